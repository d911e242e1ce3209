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
		m.cancelForSetChange()
	}
	m.setSpec(ev.Spec)
}

// cancelForSetChange ends the campaign and the planned change, which depend on the
// old endpoint set.
func (m *Machine) cancelForSetChange() {
	if m.campaign != nil {
		m.abandonCampaign("the endpoint set changed")
	}
	if m.plannedChange != nil {
		m.endPlannedChange(types.NotRunOutcome(types.ReasonNotPrimary, string(m.plannedChange.to)))
	}
}

// setSpec installs a specification. It keeps the state of endpoints that remain and
// drops that of removed ones.
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
		if !m.allEndpoints.contains(e) {
			delete(m.endpoints, e)
		}
	}
}

// advanceSetChange starts the planned change that moves the database to a new
// endpoint set, and reports when the previous set is no longer needed.
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
	return m.term.EndpointSet() < m.spec.EndpointSet || !m.currentSet.contains(m.primary)
}

func (m *Machine) startSetChange() {
	to := m.primary
	if !m.currentSet.contains(to) {
		to = m.mostUpToDateReplica()
	}
	if to == "" {
		return
	}
	m.startPlannedChange(to, string(NoteSetChanged))
	m.plannedChange.isSetChange = true
	m.addNote(NoteSetChanged, m.term, "configuration", "the database moves to endpoint set %d", m.spec.EndpointSet)
}

// reportSetComplete emits SetComplete once a majority of the current set has all
// log entries from before the current term.
func (m *Machine) reportSetComplete() {
	if len(m.previousSet) == 0 || m.setCompleteTerm == m.term || m.term.EndpointSet() != m.spec.EndpointSet {
		return
	}
	logEnd, ok := m.logEndBeforeTerm()
	if !ok || !m.currentSet.contains(m.primary) || !m.MajorityContains(logEnd) {
		return
	}
	m.setCompleteTerm = m.term
	m.emit(SetComplete{Set: m.spec.EndpointSet})
}

// logEndBeforeTerm returns the last log point of the primary from before the current
// term. The second result is false if it is not known.
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

// termAt returns the term of the log entry at a position.
func termAt(p types.Position, starts []types.TermStart) types.Term {
	var term types.Term
	for _, s := range starts {
		if s.Position < p && s.Term > term {
			term = s.Term
		}
	}
	return term
}
