package timeline

import (
	"cmp"
	"slices"
)

// Merge combines the events of several hosts in the order of their stamps. An event
// that is in several lists appears once.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortFunc(all, compareEvents)
	return slices.CompactFunc(all, func(a, b Event) bool { return a.ID == b.ID })
}

// compareEvents orders events by stamp, then by host and counter.
func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp.Wall, b.Stamp.Wall),
		cmp.Compare(a.Stamp.Logical, b.Stamp.Logical),
		cmp.Compare(a.ID.Host, b.ID.Host),
		cmp.Compare(a.ID.Counter, b.ID.Counter),
	)
}

// CausalNode is an event of a causal tree with its distance from the root.
type CausalNode struct {
	Event Event
	Depth int
}

// CausalTree returns the tree of events that contains the event with the given id, in
// the order of a depth-first traversal. The root is the first known event in the
// event's chain of causes, and every event is a child of its cause. CausalTree returns
// nil if the events do not contain the id.
func CausalTree(events []Event, id EventID) []CausalNode {
	byID := make(map[EventID]Event, len(events))
	for _, e := range events {
		byID[e.ID] = e
	}
	if _, ok := byID[id]; !ok {
		return nil
	}
	walk := causalWalk{effects: groupByCause(events), visited: map[EventID]bool{}}
	walk.visit(byID[findRootCause(byID, id)], 0)
	return walk.nodes
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

// groupByCause groups the events by their causes.
func groupByCause(events []Event) map[EventID][]Event {
	effects := map[EventID][]Event{}
	for _, e := range Merge(events) {
		if !e.Cause.IsZero() {
			effects[e.Cause] = append(effects[e.Cause], e)
		}
	}
	return effects
}

// causalWalk collects the nodes of a causal tree. visited stops it on a cycle.
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
