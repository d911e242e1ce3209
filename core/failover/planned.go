package failover

import (
	"time"

	"baobabfield.example/core/session"
	"baobabfield.example/core/types"
)

// plannedPhase is the progress of a planned change before and during its campaign.
type plannedPhase uint8

const (
	// plannedInitialCatchUp: the replica catches up with the primary while writes
	// continue.
	plannedInitialCatchUp plannedPhase = iota
	// plannedDrain: new writes are held until those in flight finish.
	plannedDrain
	// plannedFinalCatchUp: the replica receives the last entries while writes are
	// held.
	plannedFinalCatchUp
	// plannedCampaign: a campaign replaces the primary.
	plannedCampaign
)

// plannedCampaignWindows limits the time that writes are held for the campaign, in
// authority windows.
const plannedCampaignWindows = 4

// plannedChange replaces the primary, or changes the endpoint set, without a
// failure.
type plannedChange struct {
	to       types.Endpoint
	fromTerm types.Term
	cause    string
	// isSetChange is true if the database moves to a new endpoint set.
	isSetChange bool
	phase       plannedPhase
	deadline    types.Time
	// drainedAt is when the last write finished, and target is the primary's last
	// log point after that time.
	drainedAt   types.Time
	target      types.LogPoint
	targetKnown bool
	oldPrimary  types.Endpoint
}

// queriesOften reports whether the endpoint is queried at catchUpQueryInterval.
func (p *plannedChange) queriesOften(e types.Endpoint) bool {
	return p.phase == plannedFinalCatchUp && (e == p.to || e == p.oldPrimary)
}

func (m *Machine) onPlannedChange(ev PlannedChange) {
	to := ev.To
	if to == "" {
		to = m.mostUpToDateReplica()
	}
	if outcome := m.plannedChangeRefusal(to); outcome.Kind != types.OutcomeDone {
		m.addNote(NoteRefused, m.term, "planned change", "change to %q refused: %v", to, outcome.Reason)
		m.emit(PlannedChangeEnded{To: to, Term: m.term, Outcome: outcome})
		return
	}
	m.startPlannedChange(to, "planned change")
}

// plannedChangeRefusal returns the outcome of a planned change that cannot start,
// or Done if it can.
func (m *Machine) plannedChangeRefusal(to types.Endpoint) types.Outcome {
	switch {
	case !m.owns(m.primary):
		return types.NotRunOutcome(types.ReasonNotOwner, string(m.primary))
	case m.plannedChange != nil || m.campaign != nil || !m.MaySendWrite(m.now, m.term):
		return types.NotRunOutcome(types.ReasonNoAuthority, string(m.primary))
	case !m.currentSet.contains(to):
		return types.NotRunOutcome(types.ReasonBadRequest, string(to))
	}
	return types.Outcome{}
}

func (m *Machine) startPlannedChange(to types.Endpoint, cause string) {
	m.plannedChange = &plannedChange{
		to:         to,
		fromTerm:   m.term,
		cause:      cause,
		deadline:   m.now.Add(m.cfg.DrainTimeout),
		oldPrimary: m.primary,
	}
	if to == m.primary && m.term.EndpointSet() == m.spec.EndpointSet {
		m.endPlannedChange(types.Outcome{})
	}
}

// mostUpToDateReplica returns the reachable replica of the current set with the
// highest log point, or an empty ID if there is none.
func (m *Machine) mostUpToDateReplica() types.Endpoint {
	var best types.Endpoint
	for _, e := range m.currentSet {
		ep := m.endpoints[e]
		if e == m.primary || m.isLeaving(e) || !ep.reachable(m.now, m.cfg.ResponseTimeout) {
			continue
		}
		if best == "" || m.endpoints[best].status.LastLogPoint.Less(ep.status.LastLogPoint) {
			best = e
		}
	}
	return best
}

func (m *Machine) advancePlannedChange() {
	p := m.plannedChange
	if p == nil {
		return
	}
	if m.primary != "" && m.term > p.fromTerm {
		m.endPlannedChange(m.plannedOutcome(p))
		return
	}
	switch p.phase {
	case plannedInitialCatchUp:
		m.advanceInitialCatchUp(p)
	case plannedDrain:
		m.endPlannedChangeIfExpired(p, types.ReasonLate)
	case plannedFinalCatchUp:
		m.advanceFinalCatchUp(p)
	case plannedCampaign:
		m.retryPlannedCampaign(p)
	}
}

func (m *Machine) plannedOutcome(p *plannedChange) types.Outcome {
	if m.primary == p.to {
		return types.Outcome{}
	}
	return types.NotRunOutcome(types.ReasonBehind, string(p.to))
}

// advanceInitialCatchUp holds writes once the replica has nearly caught up.
func (m *Machine) advanceInitialCatchUp(p *plannedChange) {
	if m.nearlyCaughtUp(p) {
		p.phase = plannedDrain
		p.deadline = m.now.Add(m.cfg.DrainTimeout)
		m.addNote(NoteWritesHeld, m.term, p.cause, "writes wait for the change to %q", p.to)
		m.emit(HoldWrites{Hold: true})
		return
	}
	if !p.isSetChange {
		m.endPlannedChangeIfExpired(p, types.ReasonBehind)
		return
	}
	if !m.MaySendWrite(m.now, m.term) {
		m.endPlannedChange(types.NotRunOutcome(types.ReasonNoAuthority, string(p.to)))
	}
}

func (m *Machine) nearlyCaughtUp(p *plannedChange) bool {
	if !m.hasRecentData(p.to) {
		return false
	}
	return !p.isSetChange || m.currentSet.hasMajority(m.hasRecentData)
}

// hasRecentData reports whether the staleness of the endpoint's data is known to be
// at most the authority window.
func (m *Machine) hasRecentData(e types.Endpoint) bool {
	ep := m.endpoints[e]
	return ep.freshKnown && ep.status.Term == m.term && m.now.Sub(ep.freshAt) <= m.cfg.AuthorityWindow
}

func (m *Machine) onWritesDrained() {
	p := m.plannedChange
	if p == nil || p.phase != plannedDrain {
		return
	}
	p.phase = plannedFinalCatchUp
	p.drainedAt = m.now
	m.endpoints[p.to].queryNow = true
	if ep := m.endpoints[p.oldPrimary]; ep != nil {
		ep.queryNow = true
	}
}

// advanceFinalCatchUp starts the campaign once the replica's log contains the
// primary's last entry.
func (m *Machine) advanceFinalCatchUp(p *plannedChange) {
	m.updateTarget(p)
	if p.targetKnown && m.endpoints[p.to].logContains(p.target, m.term) {
		p.phase = plannedCampaign
		p.deadline = m.now.Add(plannedCampaignWindows * m.cfg.AuthorityWindow)
		m.startCampaign(p.cause, p.to)
		return
	}
	m.endPlannedChangeIfExpired(p, types.ReasonBehind)
}

// updateTarget sets the target from the response to a query that was sent after
// the last write had finished.
func (m *Machine) updateTarget(p *plannedChange) {
	ep := m.endpoints[p.oldPrimary]
	if p.targetKnown || ep == nil || !ep.statusKnown || ep.statusQuerySentAt < p.drainedAt {
		return
	}
	p.target = ep.status.LastLogPoint
	p.targetKnown = true
}

// logContains reports whether the endpoint is in the term and its log is known to
// contain the point.
func (ep *endpointState) logContains(point types.LogPoint, term types.Term) bool {
	return ep.statusKnown && ep.status.Term == term &&
		session.CheckCoverage(point, ep.status.LastLogPoint, ep.status.TermStarts) == session.Covered
}

func (m *Machine) endPlannedChangeIfExpired(p *plannedChange, reason types.Reason) {
	if !m.now.Before(p.deadline) {
		m.endPlannedChange(types.NotRunOutcome(reason, string(p.to)))
	}
}

// retryPlannedCampaign retries an abandoned campaign until the deadline.
func (m *Machine) retryPlannedCampaign(p *plannedChange) {
	switch {
	case m.campaign != nil:
	case !m.now.Before(p.deadline):
		m.endPlannedChange(types.UnknownOutcome(types.ReasonNoMajority, string(p.to)))
	case !m.now.Before(m.retryAt):
		m.startCampaign(p.cause, p.to)
	}
}

func (m *Machine) endPlannedChange(outcome types.Outcome) {
	p := m.plannedChange
	m.plannedChange = nil
	if p.phase != plannedInitialCatchUp {
		m.emit(HoldWrites{Hold: false})
	}
	if outcome.Kind != types.OutcomeDone {
		m.retryAt = m.now.Add(m.cfg.AuthorityWindow + m.rng.durationBelow(m.cfg.AuthorityWindow))
		m.addNote(NoteRefused, m.term, p.cause, "change to %q ended: %v", p.to, outcome.Reason)
	}
	if !p.isSetChange {
		m.emit(PlannedChangeEnded{To: p.to, Term: m.term, Outcome: outcome})
	}
}

// catchUpQueryInterval returns the time between status queries during the final
// catch-up.
func (m *Machine) catchUpQueryInterval() time.Duration {
	return m.cfg.QueryInterval / catchUpQueriesPerInterval
}
