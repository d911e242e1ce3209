package failover

import "baobabfield.example/core/types"

// nextTickTime returns the earliest time at which a query, timeout or deadline is
// due.
func (m *Machine) nextTickTime() types.Time {
	next := m.now.Add(m.cfg.QueryInterval)
	consider := func(t types.Time) {
		if t.After(m.now) && t.Before(next) {
			next = t
		}
	}
	for _, e := range m.allEndpoints {
		ep := m.endpoints[e]
		consider(ep.lastQueryAt.Add(m.queryInterval(e)))
		if ep.hasUnanswered {
			consider(ep.unansweredSince.Add(m.cfg.ResponseTimeout))
			consider(ep.unansweredSince.Add(m.cfg.SuspectAfter / 2))
			consider(ep.unansweredSince.Add(m.cfg.SuspectAfter))
		}
	}
	if until, ok := m.authorityUntil(m.term); ok {
		consider(until)
	}
	if m.suspicion.agreed {
		consider(m.campaignStartTime())
	}
	consider(m.retryAt)
	consider(m.primaryAwaitedSince.Add(m.noPrimaryTimeout()))
	m.considerDeadlines(consider)
	return next
}

// considerDeadlines passes the deadlines of the campaign and of the planned change to
// consider.
func (m *Machine) considerDeadlines(consider func(types.Time)) {
	if c := m.campaign; c != nil {
		consider(c.deadline)
		consider(c.authorityExpiresAt)
	}
	if p := m.plannedChange; p != nil {
		consider(p.deadline)
		if p.phase == plannedFinalCatchUp {
			consider(m.now.Add(m.catchUpQueryInterval()))
		}
	}
}
