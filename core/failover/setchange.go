package failover

import (
	"slices"

	"baobabfield.example/core/types"
)

func (m *Machine) onSpecChanged(ev SpecChanged) {
	if ev.Spec.EndpointSet < m.spec.EndpointSet {
		return
	}
	if ev.Spec.EndpointSet > m.spec.EndpointSet {
		m.endForSetChange()
	}
	m.setSpec(ev.Spec)
}

// endForSetChange ends what relies on the endpoint set in force.
func (m *Machine) endForSetChange() {
	if m.campaign != nil {
		m.abandon("the endpoint set changed")
	}
	if m.planned != nil {
		m.endPlanned(types.RefusedOutcome(types.ReasonNotPrimary, string(m.planned.to)))
	}
}

// setSpec takes over the endpoint sets and the watches on their endpoints.
func (m *Machine) setSpec(spec types.DatabaseSpec) {
	m.spec = spec
	m.current = newEndpointSet(spec.Endpoints)
	m.previous = newEndpointSet(spec.PreviousEndpoints)
	m.ids = slices.Concat(m.current, m.previous)
	slices.Sort(m.ids)
	m.ids = slices.Compact(m.ids)
	for _, e := range m.ids {
		if m.watches[e] == nil {
			m.watches[e] = newWatch()
		}
	}
	for e := range m.watches {
		if !m.ids.has(e) {
			delete(m.watches, e)
		}
	}
}

// advanceSetChange starts the change of the primary that a new endpoint set
// needs, and reports when the previous set is needed no more.
func (m *Machine) advanceSetChange() {
	if !m.MaySend(m.now, m.term) {
		return
	}
	if m.setChangeDue() {
		m.startSetChange()
		return
	}
	m.reportComplete()
}

func (m *Machine) setChangeDue() bool {
	if m.planned != nil || m.campaign != nil || m.now.Before(m.retryAt) {
		return false
	}
	return m.term.EndpointSet() < m.spec.EndpointSet || !m.current.has(m.primary)
}

func (m *Machine) startSetChange() {
	to := m.primary
	if !m.current.has(to) {
		to = m.bestReplica()
	}
	if to == "" {
		return
	}
	m.startPlanned(to, string(NoteSetChanged))
	m.planned.setChange = true
	m.note(NoteSetChanged, m.term, "configuration", "the database moves to endpoint set %d", m.spec.EndpointSet)
}

// reportComplete reports that a majority of the current set holds everything
// that the term began with.
func (m *Machine) reportComplete() {
	if len(m.previous) == 0 || m.completed == m.term || m.term.EndpointSet() != m.spec.EndpointSet {
		return
	}
	last, ok := m.startOfTerm()
	if !ok || !m.current.has(m.primary) || !m.Holds(last) {
		return
	}
	m.completed = m.term
	m.emit(SetComplete{Set: m.spec.EndpointSet})
}

// startOfTerm returns the last entry of the primary's log before the current term.
func (m *Machine) startOfTerm() (types.LogPoint, bool) {
	w := m.watches[m.primary]
	if !w.known || w.status.Term != m.term {
		return types.LogPoint{}, false
	}
	var start types.TermStart
	for _, s := range w.status.TermStarts {
		if s.Term == m.term {
			start = s
		}
	}
	if start.Term == 0 {
		return types.LogPoint{}, false
	}
	return types.LogPoint{Term: termAt(start.Position, w.status.TermStarts), Position: start.Position}, true
}

// termAt returns the term of the entry at a position.
func termAt(p types.Position, starts []types.TermStart) types.Term {
	var term types.Term
	for _, s := range starts {
		if s.Position < p && s.Term > term {
			term = s.Term
		}
	}
	return term
}
