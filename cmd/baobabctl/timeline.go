package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	api "baobabfield.example/api/admin"
	"baobabfield.example/core/types"
)

// TimelineCmd shows the time line.
type TimelineCmd struct {
	Since  string `help:"Only events since this time, or this long ago: 2026-05-01T10:00:00Z or 15m." placeholder:"TIME"`
	Until  string `help:"Only events until this time, or until this long ago." placeholder:"TIME"`
	Kind   string `help:"Only events of this kind, for instance \"promoted\"."`
	Object string `help:"Only events about this object, for instance an endpoint."`
	Host   string `help:"Only events of this host."`
	Scope  string `help:"Ask all hosts, or only the one that --admin names: all or host." enum:"all,host" default:"all"`
	Limit  int    `help:"Only the newest events, at most this many." default:"1000"`
	Story  string `help:"Only this event, its causes and its effects." placeholder:"EVENT"`
	Format string `help:"Output format: text, json or trace (Chrome trace events). Default: the format that --output names." enum:",text,json,trace" default:""`
}

// Help returns examples.
func (c *TimelineCmd) Help() string {
	return `Examples:
  baobabctl timeline --since 15m
  baobabctl timeline --kind promoted
  baobabctl timeline --story rs-3/412
  baobabctl timeline --since 1h --format trace > trace.json

A trace opens in ui.perfetto.dev or chrome://tracing: each host is a process,
each object a thread, and arrows lead from causes to effects.`
}

// Run shows the time line.
func (c *TimelineCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	params, err := c.requestParams(time.Now())
	if err != nil {
		return usageError(err)
	}
	client, err := g.newClient()
	if err != nil {
		return err
	}
	timeline, err := client.GetTimeline(ctx, params)
	if err != nil {
		return g.queryError(err)
	}
	switch c.Format {
	case "trace":
		return p.printJSON(buildTrace(timeline.Events))
	case "json":
		return p.printJSON(timeline)
	case "text":
		p.asJSON = false
	}
	return p.print(timeline, func(page *textPage) { printTimeline(page, timeline) })
}

func (c *TimelineCmd) requestParams(now time.Time) (api.GetTimelineParams, error) {
	params := api.GetTimelineParams{
		Scope: api.NewOptTimelineScope(api.TimelineScope(c.Scope)),
		Limit: api.NewOptInt(c.Limit),
	}
	var err error
	if params.Since, err = parseTimeFlag("--since", c.Since, now); err != nil {
		return params, err
	}
	if params.Until, err = parseTimeFlag("--until", c.Until, now); err != nil {
		return params, err
	}
	params.Kind = optionalString(c.Kind)
	params.Object = optionalString(c.Object)
	params.Host = optionalString(c.Host)
	params.Story = optionalString(c.Story)
	return params, nil
}

func optionalString(s string) api.OptString {
	return api.OptString{Value: s, Set: s != ""}
}

// parseTimeFlag parses the text of a flag: a time, or a duration before now.
func parseTimeFlag(flag, text string, now time.Time) (api.OptDateTime, error) {
	if text == "" {
		return api.OptDateTime{}, nil
	}
	if age, err := time.ParseDuration(text); err == nil {
		return api.NewOptDateTime(now.Add(-age)), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return api.OptDateTime{}, errors.Errorf("%s: %q is neither a time like 2026-05-01T10:00:00Z nor a duration like 15m", flag, text)
	}
	return api.NewOptDateTime(at), nil
}

func printTimeline(p *textPage, timeline *api.Timeline) {
	rows := make([][]string, 0, len(timeline.Events))
	for _, e := range timeline.Events {
		indent := strings.Repeat("  ", e.Depth)
		rows = append(rows, []string{
			formatTime(e.At), e.ID, indent + e.Kind, dashIfEmpty(e.Object), describeEvent(e),
		})
	}
	p.addTable("", []string{"TIME", "EVENT", "KIND", "OBJECT", "WHAT"}, rows)
	printMissingHosts(p, timeline.Missing)
}

// describeCount formats a count. A term is shown as its endpoint set and the number
// of its campaign.
func describeCount(c api.Count) string {
	if c.Name == "term" {
		term := types.Term(c.Value)
		return fmt.Sprintf("term=%d.%d", term.EndpointSet(), term.Campaign())
	}
	return fmt.Sprintf("%s=%d", c.Name, c.Value)
}

func describeEvent(e api.Event) string {
	var parts []string
	if e.Text != "" {
		parts = append(parts, e.Text)
	}
	for _, count := range e.Counts {
		parts = append(parts, describeCount(count))
	}
	if e.Author != "" {
		parts = append(parts, "by "+e.Author)
	}
	if e.Cause != "" {
		parts = append(parts, "after "+e.Cause)
	}
	return dashIfEmpty(strings.Join(parts, ", "))
}
