package admin

import (
	"strconv"
	"strings"

	api "baobabfield.example/api/admin"
	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
)

// timelineQuery is a question about the time line.
type timelineQuery struct {
	allHosts bool
	// filter selects events; its limit applies after host.
	filter timeline.Filter
	// host is the accepted host; empty accepts all.
	host types.Host
	// treeEvent is the event whose treeEvent is asked for; zero for none.
	treeEvent timeline.EventID
}

func decodeTimelineQuery(params api.GetTimelineParams) (timelineQuery, error) {
	query := timelineQuery{
		allHosts: params.Scope.Value != api.TimelineScopeHost,
		filter: timeline.Filter{
			Since:  timeline.Stamp{Wall: toUnixNanos(params.Since)},
			Until:  timeline.Stamp{Wall: toUnixNanos(params.Until)},
			Object: params.Object.Value,
			Limit:  params.Limit.Value,
		},
		host: types.Host(params.Host.Value),
	}
	if kind := params.Kind.Value; kind != "" {
		query.filter.Kinds = []timeline.Kind{timeline.Kind(kind)}
	}
	if story := params.Story.Value; story != "" {
		id, ok := parseEventID(story)
		if !ok {
			return query, Malformed("story", "event %q is not of the form \"host/number\"", story)
		}
		query.treeEvent = id
	}
	return query, nil
}

// taskFilter returns the taskFilter for the tasks. A story needs all events, and a
// limit applies only to events of the accepted host.
func (q timelineQuery) taskFilter() timeline.Filter {
	if !q.treeEvent.IsZero() {
		return timeline.Filter{}
	}
	filter := q.filter
	if q.host != "" {
		filter.Limit = 0
	}
	return filter
}

// selectNodes selects the events that the query asks for.
func (q timelineQuery) selectNodes(events []timeline.Event) ([]timeline.CausalNode, error) {
	if !q.treeEvent.IsZero() {
		tree := timeline.CausalTree(events, q.treeEvent)
		if tree == nil {
			return nil, NotFound("event", q.treeEvent.String())
		}
		return tree, nil
	}
	var nodes []timeline.CausalNode
	for _, event := range q.filter.Select(q.filterByHost(events)) {
		nodes = append(nodes, timeline.CausalNode{Event: event})
	}
	return nodes, nil
}

func (q timelineQuery) filterByHost(events []timeline.Event) []timeline.Event {
	if q.host == "" {
		return events
	}
	var own []timeline.Event
	for _, event := range events {
		if event.Host == q.host {
			own = append(own, event)
		}
	}
	return own
}

// parseEventID parses the form "host/counter".
func parseEventID(s string) (timeline.EventID, bool) {
	slash := strings.LastIndexByte(s, '/')
	if slash <= 0 {
		return timeline.EventID{}, false
	}
	counter, err := strconv.ParseUint(s[slash+1:], 10, 64)
	if err != nil {
		return timeline.EventID{}, false
	}
	return timeline.EventID{Host: types.Host(s[:slash]), Counter: counter}, true
}
