package failover

import (
	"slices"

	"baobabfield.example/core/types"
)

func (m *Machine) onSpecChanged(ev SpecChanged) {
	if ev.Spec.Set < m.spec.Set {
		return
	}
	if ev.Spec.Set > m.spec.Set {
		m.cancelForSetChange()
	}
	m.setSpec(ev.Spec)
}

// cancelForSetChange ends what relies on the endpoint set in force.
func (m *Machine) cancelForSetChange() {
	if m.campaign != nil {
		m.abandonCampaign("the endpoint set changed")
	}
	if m.plannedChange != nil {
		m.endPlannedChange(types.Refused(types.ReasonNotPrimary, string(m.plannedChange.to)))
	}
}

// setSpec takes over the endpoint sets and the watches on their endpoints.
func (m *Machine) setSpec(spec types.DatabaseSpec) {
	m.spec = spec
	m.currentSet = newEndpointSet(spec.Endpoints)
	m.previousSet = newEndpointSet(spec.PreviousEndpoints)
	m.allEndpoints = slices.Concat(m.currentSet, m.previousSet)
	slices.Sort(m.allEndpoints)
	m.allEndpoints = slices.Compact(m.allEndpoints)
	for _, e := range m.allEndpoints {
		if m.endpoints[e] == nil {
			m.endpoints[e] = newEndpointState()
		}
	}
	for e := range m.endpoints {
		if !m.allEndpoints.has(e) {
			delete(m.endpoints, e)
		}
	}
}

// advanceSetChange starts the change of the primary that a new endpoint set
// needs, and reports when the previous set is needed no more.
func (m *Machine) advanceSetChange() {
	if !m.MaySendWrite(m.now, m.term) {
		return
	}
	if m.setChangeDue() {
		m.startSetChange()
		return
	}
	m.reportSetComplete()
}

func (m *Machine) setChangeDue() bool {
	if m.plannedChange != nil || m.campaign != nil || m.now.Before(m.retryAt) {
		return false
	}
	return m.term.Set() < m.spec.Set || !m.currentSet.has(m.primary)
}

func (m *Machine) startSetChange() {
	to := m.primary
	if !m.currentSet.has(to) {
		to = m.bestReplica()
	}
	if to == "" {
		return
	}
	m.startPlannedChange(to, string(NoteSetChanged))
	m.plannedChange.isSetChange = true
	m.addNote(NoteSetChanged, m.term, "configuration", "the database moves to endpoint set %d", m.spec.Set)
}

// reportSetComplete reports that a majority of the current set holds everything
// that the term began with.
func (m *Machine) reportSetComplete() {
	if len(m.previousSet) == 0 || m.setCompleteTerm == m.term || m.term.Set() != m.spec.Set {
		return
	}
	logEnd, ok := m.logEndBeforeTerm()
	if !ok || !m.currentSet.has(m.primary) || !m.MajorityContains(logEnd) {
		return
	}
	m.setCompleteTerm = m.term
	m.emit(SetComplete{Set: m.spec.Set})
}

// logEndBeforeTerm returns the last entry of the primary's log before the current term.
func (m *Machine) logEndBeforeTerm() (types.LogPoint, bool) {
	ep := m.endpoints[m.primary]
	if !ep.statusKnown || ep.status.Term != m.term {
		return types.LogPoint{}, false
	}
	var start types.TermStart
	for _, s := range ep.status.TermStarts {
		if s.Term == m.term {
			start = s
		}
	}
	if start.Term == 0 {
		return types.LogPoint{}, false
	}
	return types.LogPoint{Term: termAt(start.Position, ep.status.TermStarts), Position: start.Position}, true
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
