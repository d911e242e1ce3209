package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	api "baobabfield.example/api/admin"
)

// StatusCmd shows the state of one host.
type StatusCmd struct{}

// Run shows the state of the host.
func (c *StatusCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	client, err := g.newClient()
	if err != nil {
		return err
	}
	status, err := client.GetStatus(ctx)
	if err != nil {
		return g.queryError(err)
	}
	return p.print(status, func(page *textPage) { printStatus(page, status) })
}

func printStatus(p *textPage, s *api.Status) {
	p.addLine("Host %s in %s is %s", s.Host, s.DataCentre, s.State)
	p.addLine("Configuration: version %d, digest %s%s", s.Configuration.Version, s.Configuration.Digest, formatIncomplete(s))
	p.addLine("Platform: %s, last answer %v ago", formatReachability(s.Platform), roundDuration(s.Platform.LastAnswer))
	p.addLine("")
	printMembers(p, s.Members)
	p.addLine("")
	printDatabases(p, s.Databases)
	p.addLine("")
	printRankLevels(p, s.Ranks)
}

func formatIncomplete(s *api.Status) string {
	if s.Configuration.Complete {
		return ""
	}
	return ", not complete yet"
}

func formatReachability(platform api.PlatformState) string {
	if platform.Reachable {
		return "reachable"
	}
	return "not reachable"
}

func printMembers(p *textPage, members []api.Member) {
	rows := make([][]string, 0, len(members))
	for _, m := range members {
		rows = append(rows, []string{m.Host, m.DataCentre, m.MeshAddress, string(m.State)})
	}
	p.addTable("", []string{"HOST", "DATA CENTRE", "ADDRESS", "STATE"}, rows)
}

func printDatabases(p *textPage, databases []api.DatabaseStatus) {
	for _, d := range databases {
		p.addLine("Database %s of %s: %s", d.Database, d.Service, describeLeadership(d))
		rows := make([][]string, 0, len(d.Endpoints))
		for _, e := range d.Endpoints {
			rows = append(rows, formatEndpointRow(e))
		}
		header := []string{"ENDPOINT", "DATA CENTRE", "STATE", "POSITION", "AGE", "OWNER", "STAND-BY", "SLOTS", "CONNECTIONS", "QUEUES"}
		p.addTable("  ", header, rows)
	}
}

// describeLeadership describes the term and the primary of a database in the host's
// view. A host watches only the databases whose endpoints it owns.
func describeLeadership(d api.DatabaseStatus) string {
	if d.Set == 0 && d.Primary == "" {
		return "not watched by this host"
	}
	return fmt.Sprintf("term %d.%d, primary %s, %s", d.Set, d.Campaign, dashIfEmpty(d.Primary), describeAuthority(d))
}

func describeAuthority(d api.DatabaseStatus) string {
	if d.Authority {
		return "this host may acknowledge writes"
	}
	return "this host acknowledges no writes"
}

func formatEndpointRow(e api.EndpointStatus) []string {
	return []string{
		e.Endpoint, e.DataCentre, string(e.State),
		fmt.Sprintf("%d.%d/%d", e.Position.Set, e.Position.Campaign, e.Position.Position),
		formatAge(e.Age), dashIfEmpty(e.Owner), dashIfEmpty(e.StandBy),
		fmt.Sprintf("%d/%d", e.SlotsInUse, e.Slots), strconv.Itoa(e.Connections), formatQueues(e.Queues),
	}
}

func formatAge(age time.Duration) string {
	if age < 0 {
		return "unknown"
	}
	return roundDuration(age).String()
}

// roundDuration rounds to milliseconds.
func roundDuration(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func formatQueues(queues []api.Queue) string {
	parts := make([]string, 0, len(queues))
	for _, q := range queues {
		parts = append(parts, fmt.Sprintf("%s %d at %.0f%%", q.Rank, q.Length, q.Level*100))
	}
	return dashIfEmpty(strings.Join(parts, ", "))
}

func printRankLevels(p *textPage, levels []api.RankLevel) {
	rows := make([][]string, 0, len(levels))
	for _, l := range levels {
		rows = append(rows, []string{
			l.Rank, fmt.Sprintf("%.0f%%", l.Level*100), formatCount(l.Admitted), formatCount(l.Refused),
		})
	}
	p.addTable("", []string{"RANK", "ADMITTED SHARE", "ADMITTED", "REFUSED"}, rows)
}
