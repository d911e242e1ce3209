package main

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	api "baobabfield.example/api/host"
)

// BeliefsCmd shows what a host on the users' platform believes.
type BeliefsCmd struct {
	Address string `arg:"" help:"The host's metrics address, IP:PORT."`
	Routes  bool   `help:"Show the routes, too."`
}

// Run asks the host.
func (c *BeliefsCmd) Run(ctx context.Context, g *Globals, p *Printer) error {
	client, err := api.NewClient("http://"+c.Address, api.WithClient(&http.Client{Timeout: g.Timeout}))
	if err != nil {
		return usagef("address %q is not valid: %v", c.Address, err)
	}
	b, err := client.GetBeliefs(ctx)
	var refused *api.ErrorStatusCode
	if errors.As(err, &refused) {
		return errors.New(refused.Response.Message)
	}
	if err != nil {
		return &exitError{code: exitUnreachable, err: errors.Wrapf(err, "host at %s", c.Address)}
	}
	return p.print(b, func(page *page) { c.show(page, b) })
}

func (c *BeliefsCmd) show(p *page, b *api.Beliefs) {
	state := "is ready"
	if !b.Ready {
		state = "is not ready: " + b.NotReady
	}
	p.line("Host %s in %s %s", b.Host, b.DataCentre, state)
	p.line("Callers: %d, requests that wait for a primary: %d", b.Sessions, b.Waiting)
	p.line("Configuration: version %d, %d routes", b.Configuration.Version, len(b.Configuration.Routes))
	p.line("")
	rows := [][]string{}
	for _, o := range b.Objects {
		rows = append(rows, []string{o.Kind, strconv.FormatUint(o.Revision, 10), formatAge(o.Age)})
	}
	p.table("", []string{"KIND", "REVISION", "AGE"}, rows)
	for i := range b.Services {
		p.line("")
		showService(p, &b.Services[i])
	}
	p.line("")
	rows = nil
	for _, h := range b.Hosts {
		rows = append(rows, []string{h.ID, h.DataCentre, h.Address, yesNo(h.Usable)})
	}
	p.table("", []string{"HOST", "DATA CENTRE", "ADDRESS", "USABLE"}, rows)
	if c.Routes {
		p.line("")
		showRoutes(p, b.Configuration.Routes)
	}
}

func showService(p *page, s *api.Service) {
	p.line("Service %s: primary %s, token %d held by %s, campaign %s",
		s.Name, orDash(s.Primary), s.Token, orDash(s.Holder), orDash(s.Campaign))
	rows := [][]string{}
	for _, e := range s.Endpoints {
		rows = append(rows, []string{
			e.ID, e.DataCentre, e.Address, endpointState(&e), orDash(e.Owner), yesNo(e.Authority),
			strconv.Itoa(e.Waiting), strconv.Itoa(e.Running) + "/" + strconv.Itoa(e.Slots), strconv.Itoa(e.Connections),
		})
	}
	p.table("  ", []string{"ENDPOINT", "DATA CENTRE", "ADDRESS", "STATE", "OWNER", "AUTHORITY", "WAITING", "RUNNING", "CONNECTIONS"}, rows)
}

func endpointState(e *api.Endpoint) string {
	role := "replica"
	if e.ClaimsPrimary {
		role = "primary"
	}
	switch {
	case !e.Listed:
		return role + ", gone"
	case e.Draining:
		return role + ", draining"
	}
	return role
}

func showRoutes(p *page, routes []api.DatabaseRoute) {
	rows := [][]string{}
	for _, r := range routes {
		rows = append(rows, []string{
			r.Database, r.Service, r.Consistency, r.MaxAge.String(), r.Timeout.String(), r.Objective.String(), strconv.Itoa(r.Rank),
		})
	}
	p.table("", []string{"DATABASE", "SERVICE", "CONSISTENCY", "MAX AGE", "TIMEOUT", "OBJECTIVE", "RANK"}, rows)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
