package main

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	api "baobabfield.example/api/host"
)

// DebugStateCmd shows the debug state of a host on the users' platform.
type DebugStateCmd struct {
	Address string `arg:"" help:"The host's metrics address, IP:PORT."`
	Routes  bool   `help:"Show the routes, too."`
}

// Run requests the debug state from the host and prints it.
func (c *DebugStateCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	client, err := api.NewClient("http://"+c.Address, api.WithClient(&http.Client{Timeout: g.Timeout}))
	if err != nil {
		return usagef("address %q is not valid: %v", c.Address, err)
	}
	state, err := client.GetBeliefs(ctx)
	var refusal *api.ErrorStatusCode
	if errors.As(err, &refusal) {
		return errors.New(refusal.Response.Message)
	}
	if err != nil {
		return &exitError{code: exitUnreachable, err: errors.Wrapf(err, "host at %s", c.Address)}
	}
	return p.print(state, func(page *textPage) { c.printState(page, state) })
}

func (c *DebugStateCmd) printState(p *textPage, state *api.Beliefs) {
	readiness := "is ready"
	if !state.Ready {
		readiness = "is not ready: " + state.NotReady
	}
	p.addLine("Host %s in %s %s", state.Host, state.DataCentre, readiness)
	p.addLine("Callers: %d, requests that wait for a primary: %d", state.Sessions, state.Waiting)
	p.addLine("Configuration: version %d, %d routes", state.Configuration.Version, len(state.Configuration.Routes))
	p.addLine("")
	rows := [][]string{}
	for _, o := range state.Objects {
		rows = append(rows, []string{o.Kind, strconv.FormatUint(o.Revision, 10), formatAge(o.Age)})
	}
	p.addTable("", []string{"KIND", "REVISION", "AGE"}, rows)
	for i := range state.Services {
		p.addLine("")
		printServiceState(p, &state.Services[i])
	}
	p.addLine("")
	rows = nil
	for _, h := range state.Hosts {
		rows = append(rows, []string{h.ID, h.DataCentre, h.Address, formatYesNo(h.Usable)})
	}
	p.addTable("", []string{"HOST", "DATA CENTRE", "ADDRESS", "USABLE"}, rows)
	if c.Routes {
		p.addLine("")
		printRoutes(p, state.Configuration.Routes)
	}
}

func printServiceState(p *textPage, s *api.Service) {
	p.addLine("Service %s: primary %s, token %d held by %s, campaign %s",
		s.Name, dashIfEmpty(s.Primary), s.Token, dashIfEmpty(s.Holder), dashIfEmpty(s.Campaign))
	rows := [][]string{}
	for _, e := range s.Endpoints {
		rows = append(rows, []string{
			e.ID, e.DataCentre, e.Address, describeEndpointRole(&e), dashIfEmpty(e.Owner), formatYesNo(e.Authority),
			strconv.Itoa(e.Waiting), strconv.Itoa(e.Running) + "/" + strconv.Itoa(e.Slots), strconv.Itoa(e.Connections),
		})
	}
	p.addTable("  ", []string{"ENDPOINT", "DATA CENTRE", "ADDRESS", "STATE", "OWNER", "AUTHORITY", "WAITING", "RUNNING", "CONNECTIONS"}, rows)
}

func describeEndpointRole(e *api.Endpoint) string {
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

func printRoutes(p *textPage, routes []api.DatabaseRoute) {
	rows := [][]string{}
	for _, r := range routes {
		rows = append(rows, []string{
			r.Database, r.Service, r.Consistency, r.MaxAge.String(), r.Timeout.String(), r.Objective.String(), strconv.Itoa(r.Rank),
		})
	}
	p.addTable("", []string{"DATABASE", "SERVICE", "CONSISTENCY", "MAX AGE", "TIMEOUT", "OBJECTIVE", "RANK"}, rows)
}

func formatYesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
