package failover

import (
	"time"

	"baobabfield.example/core/session"
	"baobabfield.example/core/types"
)

// plannedPhase is the progress of a planned change before and during its campaign.
type plannedPhase uint8

const (
	// plannedApproach: the replica replicates up to the recent past.
	plannedApproach plannedPhase = iota
	// plannedDrain: new writes are held and those in flight finish.
	plannedDrain
	// plannedCatchUp: the replica receives the last entries.
	plannedCatchUp
	// plannedCampaign: the campaign replaces the primary.
	plannedCampaign
)

// campaignTimeout bounds the time in W that writes are held for the campaign.
const campaignTimeout = 4

// planned is a change of the primary, or of the endpoint set, without a failure.
type planned struct {
	to    types.Endpoint
	from  types.Term
	cause string
	// setChange says that the change takes the database into a new endpoint set.
	setChange bool
	phase     plannedPhase
	deadline  types.Time
	// drainedAt is when the last write finished, and target the primary's last
	// entry since then.
	drainedAt   types.Time
	target      types.LogPoint
	targetKnown bool
	primary     types.Endpoint
}

// polls reports whether the endpoint is asked often.
func (p *planned) polls(e types.Endpoint) bool {
	return p.phase == plannedCatchUp && (e == p.to || e == p.primary)
}

func (m *Machine) onPlannedChange(ev PlannedChange) {
	to := ev.To
	if to == "" {
		to = m.bestReplica()
	}
	if outcome := m.refusal(to); outcome.Kind != types.OutcomeDone {
		m.note(NoteRefused, m.term, "planned change", "change to %q refused: %v", to, outcome.Reason)
		m.emit(PlannedEnded{To: to, Term: m.term, Outcome: outcome})
		return
	}
	m.startPlanned(to, "planned change")
}

// refusal returns why a planned change cannot start, or Done.
func (m *Machine) refusal(to types.Endpoint) types.Outcome {
	switch {
	case !m.owns(m.primary):
		return types.RefusedOutcome(types.ReasonNotOwner, string(m.primary))
	case m.planned != nil || m.campaign != nil || !m.MaySend(m.now, m.term):
		return types.RefusedOutcome(types.ReasonNoAuthority, string(m.primary))
	case !m.current.has(to):
		return types.RefusedOutcome(types.ReasonBadRequest, string(to))
	}
	return types.Outcome{}
}

func (m *Machine) startPlanned(to types.Endpoint, cause string) {
	m.planned = &planned{
		to:       to,
		from:     m.term,
		cause:    cause,
		deadline: m.now.Add(m.cfg.DrainTimeout),
		primary:  m.primary,
	}
	if to == m.primary && m.term.EndpointSet() == m.spec.EndpointSet {
		m.endPlanned(types.Outcome{})
	}
}

// bestReplica returns the replica of the current set with the highest log.
func (m *Machine) bestReplica() types.Endpoint {
	var best types.Endpoint
	for _, e := range m.current {
		w := m.watches[e]
		if e == m.primary || m.leaving(e) || !w.reachable(m.now, m.cfg.AnswerTimeout) {
			continue
		}
		if best == "" || m.watches[best].status.Last.Less(w.status.Last) {
			best = e
		}
	}
	return best
}

func (m *Machine) advancePlanned() {
	p := m.planned
	if p == nil {
		return
	}
	if m.primary != "" && m.term > p.from {
		m.endPlanned(m.plannedOutcome(p))
		return
	}
	switch p.phase {
	case plannedApproach:
		m.advanceApproach(p)
	case plannedDrain:
		m.expirePlanned(p, types.ReasonLate)
	case plannedCatchUp:
		m.advanceCatchUp(p)
	case plannedCampaign:
		m.expireCampaign(p)
	}
}

func (m *Machine) plannedOutcome(p *planned) types.Outcome {
	if m.primary == p.to {
		return types.Outcome{}
	}
	return types.RefusedOutcome(types.ReasonBehind, string(p.to))
}

// advanceApproach holds writes once the replica has nearly caught up.
func (m *Machine) advanceApproach(p *planned) {
	if m.nearlyCaughtUp(p) {
		p.phase = plannedDrain
		p.deadline = m.now.Add(m.cfg.DrainTimeout)
		m.note(NoteHeld, m.term, p.cause, "writes wait for the change to %q", p.to)
		m.emit(HoldWrites{Hold: true})
		return
	}
	if !p.setChange {
		m.expirePlanned(p, types.ReasonBehind)
		return
	}
	if !m.MaySend(m.now, m.term) {
		m.endPlanned(types.RefusedOutcome(types.ReasonNoAuthority, string(p.to)))
	}
}

func (m *Machine) nearlyCaughtUp(p *planned) bool {
	if !m.recent(p.to) {
		return false
	}
	return !p.setChange || m.current.majorityOf(m.recent)
}

// recent reports whether the endpoint's data is known to be no older than W.
func (m *Machine) recent(e types.Endpoint) bool {
	w := m.watches[e]
	return w.freshKnown && w.status.Term == m.term && m.now.Sub(w.freshAt) <= m.cfg.W
}

func (m *Machine) onWritesDrained() {
	p := m.planned
	if p == nil || p.phase != plannedDrain {
		return
	}
	p.phase = plannedCatchUp
	p.drainedAt = m.now
	m.watches[p.to].askNow = true
	if w := m.watches[p.primary]; w != nil {
		w.askNow = true
	}
}

// advanceCatchUp starts the campaign once the replica holds the primary's log.
func (m *Machine) advanceCatchUp(p *planned) {
	m.learnTarget(p)
	if p.targetKnown && m.watches[p.to].contains(p.target, m.term) {
		p.phase = plannedCampaign
		p.deadline = m.now.Add(campaignTimeout * m.cfg.W)
		m.startCampaign(p.cause, p.to)
		return
	}
	m.expirePlanned(p, types.ReasonBehind)
}

// learnTarget takes the primary's last entry from an answer to a question that
// was sent after the last write had finished.
func (m *Machine) learnTarget(p *planned) {
	w := m.watches[p.primary]
	if p.targetKnown || w == nil || !w.known || w.statusSent < p.drainedAt {
		return
	}
	p.target = w.status.Last
	p.targetKnown = true
}

// contains reports whether the endpoint replicates in the term and its log
// contains the point.
func (w *watch) contains(point types.LogPoint, term types.Term) bool {
	return w.known && w.status.Term == term &&
		session.Eligible(point, w.status.Last, w.status.TermStarts) == session.Covered
}

func (m *Machine) expirePlanned(p *planned, reason types.Reason) {
	if !m.now.Before(p.deadline) {
		m.endPlanned(types.RefusedOutcome(reason, string(p.to)))
	}
}

// expireCampaign retries an abandoned campaign until the deadline.
func (m *Machine) expireCampaign(p *planned) {
	switch {
	case m.campaign != nil:
	case !m.now.Before(p.deadline):
		m.endPlanned(types.InDoubtOutcome(types.ReasonNoMajority, string(p.to)))
	case !m.now.Before(m.retryAt):
		m.startCampaign(p.cause, p.to)
	}
}

func (m *Machine) endPlanned(outcome types.Outcome) {
	p := m.planned
	m.planned = nil
	if p.phase != plannedApproach {
		m.emit(HoldWrites{Hold: false})
	}
	if outcome.Kind != types.OutcomeDone {
		m.retryAt = m.now.Add(m.cfg.W + m.random.below(m.cfg.W))
		m.note(NoteRefused, m.term, p.cause, "change to %q ended: %v", p.to, outcome.Reason)
	}
	if !p.setChange {
		m.emit(PlannedEnded{To: p.to, Term: m.term, Outcome: outcome})
	}
}

// pollInterval is the time to the next step while writes are held.
func (m *Machine) pollInterval() time.Duration {
	return m.cfg.QuestionInterval / catchUpPolls
}
