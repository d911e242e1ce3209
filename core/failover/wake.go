package failover

import "baobabfield.example/core/types"

// nextWake returns the earliest time at which something is due.
func (m *Machine) nextWake() types.Time {
	next := m.now.Add(m.cfg.QuestionInterval)
	earlier := func(t types.Time) {
		if t.After(m.now) && t.Before(next) {
			next = t
		}
	}
	for _, e := range m.ids {
		w := m.watches[e]
		earlier(w.askedAt.Add(m.interval(e)))
		if w.unanswered {
			earlier(w.unansweredSince.Add(m.cfg.AnswerTimeout))
			earlier(w.unansweredSince.Add(m.cfg.SuspectAfter / 2))
			earlier(w.unansweredSince.Add(m.cfg.SuspectAfter))
		}
	}
	if until, ok := m.authorityUntil(m.term); ok {
		earlier(until)
	}
	if m.suspicion.agreed {
		earlier(m.campaignAt())
	}
	earlier(m.retryAt)
	earlier(m.seenAt.Add(m.noPrimaryAfter()))
	m.wakeCampaign(earlier)
	return next
}

func (m *Machine) wakeCampaign(earlier func(types.Time)) {
	if c := m.campaign; c != nil {
		earlier(c.deadline)
		earlier(c.readyAt)
	}
	if p := m.planned; p != nil {
		earlier(p.deadline)
		if p.phase == plannedCatchUp {
			earlier(m.now.Add(m.pollInterval()))
		}
	}
}
