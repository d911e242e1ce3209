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
	// wanted selects events; its limit applies after host.
	wanted timeline.Filter
	// host is the accepted host; empty accepts all.
	host types.Host
	// story is the event whose story is asked for; zero for none.
	story timeline.EventID
}

func decodeTimelineQuery(params api.GetTimelineParams) (timelineQuery, error) {
	query := timelineQuery{
		allHosts: params.Scope.Value != api.TimelineScopeHost,
		wanted: timeline.Filter{
			Since:  timeline.Stamp{Wall: nanoseconds(params.Since)},
			Until:  timeline.Stamp{Wall: nanoseconds(params.Until)},
			Object: params.Object.Value,
			Limit:  params.Limit.Value,
		},
		host: types.Host(params.Host.Value),
	}
	if kind := params.Kind.Value; kind != "" {
		query.wanted.Kinds = []timeline.Kind{timeline.Kind(kind)}
	}
	if story := params.Story.Value; story != "" {
		id, ok := parseEventID(story)
		if !ok {
			return query, Malformed("story", "event %q is not of the form \"host/number\"", story)
		}
		query.story = id
	}
	return query, nil
}

// filter returns the filter for the tasks. A story needs all events, and a
// limit applies only to events of the accepted host.
func (q timelineQuery) filter() timeline.Filter {
	if !q.story.IsZero() {
		return timeline.Filter{}
	}
	filter := q.wanted
	if q.host != "" {
		filter.Limit = 0
	}
	return filter
}

// steps selects the events that the query asks for.
func (q timelineQuery) steps(events []timeline.Event) ([]timeline.CausalNode, error) {
	if !q.story.IsZero() {
		story := timeline.CausalTree(events, q.story)
		if story == nil {
			return nil, NotFound("event", q.story.String())
		}
		return story, nil
	}
	var steps []timeline.CausalNode
	for _, event := range q.wanted.Select(q.ofHost(events)) {
		steps = append(steps, timeline.CausalNode{Event: event})
	}
	return steps, nil
}

func (q timelineQuery) ofHost(events []timeline.Event) []timeline.Event {
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
