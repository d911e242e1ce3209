package main

import (
	"context"
	"strconv"

	api "baobabfield.example/api/admin"
)

// ServicesCmd lists the services.
type ServicesCmd struct{}

// Run lists the services in force.
func (c *ServicesCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	client, err := g.newClient()
	if err != nil {
		return err
	}
	list, err := client.ListServices(ctx)
	if err != nil {
		return g.queryError(err)
	}
	return p.print(list, func(page *textPage) { printServices(page, list) })
}

func printServices(p *textPage, list *api.ServiceList) {
	for _, service := range list.Services {
		spec := service.Spec
		p.addLine("%s (version %d): promise %s, %d slots and %d connections for each endpoint",
			spec.Name, service.Version, spec.Promise.Value, spec.Slots, spec.Connections)
		var rows [][]string
		for _, database := range spec.Databases {
			for _, endpoint := range database.Endpoints {
				rows = append(rows, []string{
					database.ID, endpoint.ID, endpoint.DataCentre, endpoint.Address, formatLeaving(endpoint),
				})
			}
		}
		p.addTable("  ", []string{"DATABASE", "ENDPOINT", "DATA CENTRE", "ADDRESS", "LEAVING"}, rows)
	}
}

func formatLeaving(endpoint api.EndpointSpec) string {
	if endpoint.Leaving.Value {
		return "yes"
	}
	return "-"
}

// RanksCmd lists the ranks.
type RanksCmd struct{}

// Run lists the ranks in force.
func (c *RanksCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	client, err := g.newClient()
	if err != nil {
		return err
	}
	list, err := client.ListRanks(ctx)
	if err != nil {
		return g.queryError(err)
	}
	return p.print(list, func(page *textPage) { printRanks(page, list) })
}

func printRanks(p *textPage, list *api.RankList) {
	rows := make([][]string, 0, len(list.Ranks))
	for _, rank := range list.Ranks {
		rows = append(rows, []string{
			rank.Spec.Name, strconv.Itoa(rank.Spec.Order), rank.Spec.Target.String(), strconv.Itoa(rank.Spec.Worth),
			strconv.Itoa(rank.Spec.Floor) + "%", formatCount(rank.Version),
		})
	}
	p.addTable("", []string{"RANK", "ORDER", "TARGET", "WORTH", "FLOOR", "VERSION"}, rows)
}

// LeaveCmd makes a host leave.
type LeaveCmd struct{}

// Help explains the command.
func (c *LeaveCmd) Help() string {
	return `The host that --admin names accepts no new callers, hands its endpoints over to
other hosts, lets running work finish and stops. Repeating the command is safe
and shows the progress.

Example:
  baobabctl --admin 10.0.1.7:7003 leave`
}

// Run makes the host leave.
func (c *LeaveCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	client, err := g.newClient()
	if err != nil {
		return err
	}
	leaving, err := client.Leave(ctx)
	if err != nil {
		return g.changeError(err)
	}
	return p.print(leaving, func(page *textPage) {
		page.addLine("Host %s is %s; %d requests run on it.", leaving.Host, leaving.State, leaving.InFlight)
	})
}
