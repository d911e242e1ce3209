package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	api "baobabfield.example/api/host"
)

// ExplainCmd shows where a host on the users' platform would send a request now, and why.
type ExplainCmd struct {
	Address   string `arg:"" help:"The host's metrics address, IP:PORT."`
	Database  string `arg:"" help:"The database that the request names."`
	Workspace string `help:"The workspace of the caller."`
	Writes    bool   `help:"The request writes, or is a transaction that may write."`
}

// Run requests the explanation from the host and prints it. Nothing is sent to an endpoint.
func (c *ExplainCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	client, err := api.NewClient("http://"+c.Address, api.WithClient(&http.Client{Timeout: g.Timeout}))
	if err != nil {
		return usagef("address %q is not valid: %v", c.Address, err)
	}
	params := api.ExplainRequestParams{Database: c.Database, Writes: api.NewOptBool(c.Writes)}
	if c.Workspace != "" {
		params.Workspace = api.NewOptString(c.Workspace)
	}
	explanation, err := client.ExplainRequest(ctx, params)
	var refusal *api.ErrorStatusCode
	if errors.As(err, &refusal) {
		return errors.New(refusal.Response.Message)
	}
	if err != nil {
		return &exitError{code: exitUnreachable, err: errors.Wrapf(err, "host at %s", c.Address)}
	}
	return p.print(explanation, func(page *textPage) { c.printExplanation(page, explanation) })
}

func (c *ExplainCmd) printExplanation(p *textPage, e *api.Explanation) {
	kind := "reads"
	if c.Writes {
		kind = "writes"
	}
	p.addLine("Host %s in %s, a request that %s in database %s", e.Host, e.DataCentre, kind, c.Database)
	if e.Service != "" {
		p.addLine("Service %s, consistency %s, rank %d, objective %v, needs the primary: %s", e.Service, e.Consistency, e.Rank, e.Objective, formatYesNo(e.NeedsPrimary))
	}
	switch {
	case e.Refused != "":
		p.addLine("Not sent now: %s", e.Refused)
	case e.Reason != "" && e.Reason != "home":
		p.addLine("Goes to endpoint %s by owner %s, in another data centre because of: %s", e.Endpoint, e.Owner, e.Reason)
	default:
		p.addLine("Goes to endpoint %s by owner %s", e.Endpoint, e.Owner)
	}
	if !e.NeedsPrimary && e.Service != "" {
		p.addLine("Of this route's reads, %.0f %% leave the data centre", 100*e.Share)
	}
	if limit, ok := e.Limit.Get(); ok {
		p.addLine("Limit of workspace %s: %g operations/s over all hosts; this host has %.2f of it (granted %v ago by %s) and %.1f tokens",
			c.Workspace, limit.Rate, limit.Grant, limit.GrantAge, dashIfEmpty(limit.Allocator), limit.Tokens)
	}
	if len(e.Candidates) == 0 {
		return
	}
	p.addLine("")
	rows := [][]string{}
	for _, candidate := range e.Candidates {
		rows = append(rows, candidateRow(&candidate))
	}
	p.addTable("", []string{"ENDPOINT", "DATA CENTRE", "ROLE", "OWNER", "RULED OUT", "COST", "FAULTS", "PREFERENCE", "LOAD", "SERVICE TIME"}, rows)
}

func candidateRow(c *api.Candidate) []string {
	role := "replica"
	if c.Primary {
		role = "primary"
	}
	return []string{
		c.Endpoint, c.DataCentre, role, dashIfEmpty(c.Owner), dashIfEmpty(c.RuledOut), c.Cost.String(), c.FaultCost.String(), c.Preference.String(),
		fmt.Sprintf("%s (%d own)", strconv.Itoa(c.Load), c.InFlight), c.ServiceTime.String(),
	}
}
