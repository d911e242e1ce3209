package timeline

import (
	"cmp"
	"slices"
)

// Merge combines the events of several hosts in the order of their stamps.
// An event that several lists contain appears once.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortFunc(all, compareEvents)
	return slices.CompactFunc(all, func(a, b Event) bool { return a.ID == b.ID })
}

// compareEvents orders by stamp, then by host and counter.
func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp.Wall, b.Stamp.Wall),
		cmp.Compare(a.Stamp.Logical, b.Stamp.Logical),
		cmp.Compare(a.ID.Host, b.ID.Host),
		cmp.Compare(a.ID.Counter, b.ID.Counter),
	)
}

// CausalNode is an event of a story with its distance from the story's first cause.
type CausalNode struct {
	Event Event
	Depth int
}

// CausalTree returns the event with the given id, its chain of causes and all that
// follows from the first of these causes, in the order of a depth-first walk.
// It returns nil if the events do not contain the id.
func CausalTree(events []Event, id EventID) []CausalNode {
	byID := make(map[EventID]Event, len(events))
	for _, e := range events {
		byID[e.ID] = e
	}
	if _, ok := byID[id]; !ok {
		return nil
	}
	w := causalWalk{effects: groupByCause(events), visited: map[EventID]bool{}}
	w.visit(byID[findRootCause(byID, id)], 0)
	return w.nodes
}

// findRootCause follows the causes from id as far as the events are known.
func findRootCause(byID map[EventID]Event, id EventID) EventID {
	seen := map[EventID]bool{id: true}
	for {
		cause := byID[id].Cause
		if _, ok := byID[cause]; !ok || seen[cause] {
			return id
		}
		seen[cause] = true
		id = cause
	}
}

// groupByCause groups the events by the event that led to them.
func groupByCause(events []Event) map[EventID][]Event {
	effects := map[EventID][]Event{}
	for _, e := range Merge(events) {
		if !e.Cause.IsZero() {
			effects[e.Cause] = append(effects[e.Cause], e)
		}
	}
	return effects
}

// causalWalk collects the steps of a story.
type causalWalk struct {
	effects map[EventID][]Event
	visited map[EventID]bool
	nodes   []CausalNode
}

func (w *causalWalk) visit(e Event, depth int) {
	if w.visited[e.ID] {
		return
	}
	w.visited[e.ID] = true
	w.nodes = append(w.nodes, CausalNode{Event: e, Depth: depth})
	for _, effect := range w.effects[e.ID] {
		w.visit(effect, depth+1)
	}
}
