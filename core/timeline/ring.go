package timeline

import "slices"

// Ring holds the newest events of one host, up to a fixed number.
type Ring struct {
	events      []Event
	oldestIndex int
	limit       int
	// dropped counts the events that were overwritten.
	dropped uint64
}

// NewRing returns an empty ring that holds up to limit events.
func NewRing(limit int) *Ring { return &Ring{limit: max(limit, 1)} }

// Add appends an event and overwrites the oldest one if the ring is full.
func (r *Ring) Add(e Event) {
	if len(r.events) < r.limit {
		r.events = append(r.events, e)
		return
	}
	r.events[r.oldestIndex] = e
	r.oldestIndex = (r.oldestIndex + 1) % r.limit
	r.dropped++
}

// Dropped returns the number of events that were overwritten.
func (r *Ring) Dropped() uint64 { return r.dropped }

// Events returns the events of the ring, oldest first.
func (r *Ring) Events() []Event {
	return slices.Concat(r.events[r.oldestIndex:], r.events[:r.oldestIndex])
}

// Filter selects events. The zero value selects all of them.
type Filter struct {
	// Since and Until bound the stamps, inclusively; a zero bound is open.
	Since, Until Stamp
	// Kinds lists the accepted kinds; an empty list accepts all.
	Kinds []Kind
	// Object is the accepted object; an empty one accepts all.
	Object string
	// Limit is the greatest number of events returned, the newest ones; 0 means no
	// limit.
	Limit int
}

// Matches reports whether the filter accepts the event.
func (f Filter) Matches(e Event) bool {
	switch {
	case f.Since != Stamp{} && e.Stamp.Less(f.Since):
		return false
	case f.Until != Stamp{} && f.Until.Less(e.Stamp):
		return false
	case f.Object != "" && e.Object != f.Object:
		return false
	}
	return len(f.Kinds) == 0 || slices.Contains(f.Kinds, e.Kind)
}

// Select returns the events that the filter accepts, in the given order.
func (f Filter) Select(events []Event) []Event {
	var out []Event
	for _, e := range events {
		if f.Matches(e) {
			out = append(out, e)
		}
	}
	if f.Limit > 0 && len(out) > f.Limit {
		out = out[len(out)-f.Limit:]
	}
	return out
}
