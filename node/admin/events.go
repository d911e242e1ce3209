package admin

import (
	"strconv"
	"strings"

	api "baobabfield.example/api/admin"
	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
)

// timelineQuery selects events of the time line.
type timelineQuery struct {
	allHosts bool
	// filter selects events. Its limit applies to the events that remain after
	// filtering by host.
	filter timeline.Filter
	// host selects the events of one host. Empty selects all hosts.
	host types.Host
	// treeEvent is the event whose causal tree is requested through the parameter
	// "story". If it is not zero, filter and host are ignored.
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

// taskFilter returns the filter that the tasks apply. A causal tree needs all
// events. A limit is left out if a host is selected, because it applies to the
// events of that host only.
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

// selectNodes returns the causal tree of treeEvent, or the selected events with
// depth 0. It fails with NotFound if treeEvent is not among the events.
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

// parseEventID parses an event id of the form "host/counter".
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
