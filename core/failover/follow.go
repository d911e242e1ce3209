package failover

import (
	"baobabfield.example/core/session"
	"baobabfield.example/core/types"
)

// followPrimary makes endpoints replicate from the primary: those that this host
// owns, and all of them after its own campaign.
func (m *Machine) followPrimary() {
	if m.primary == "" || m.campaign != nil {
		return
	}
	for _, e := range m.ids {
		w := m.watches[e]
		if m.shouldFollow(e, w) {
			m.sendFollow(e, w)
		}
	}
}

func (m *Machine) shouldFollow(e types.Endpoint, w *watch) bool {
	switch {
	case e == m.primary || w.followed == m.term:
		return false
	case !m.owns(e) && m.led != m.term:
		return false
	case w.known && w.status.Term > m.term:
		return false
	case w.followTerm == m.term && m.now.Sub(w.followSent) < m.cfg.AnswerTimeout:
		return false
	}
	return w.known && w.failures == 0
}

func (m *Machine) sendFollow(e types.Endpoint, w *watch) {
	m.noteLostTail(e, w)
	w.follow = m.newQuestion()
	w.followTerm = m.term
	w.followSent = m.now
	m.emit(Follow{Question: w.follow, Endpoint: e, Primary: m.primary, Term: m.term})
}

// noteLostTail reports the entries that the endpoint drops when it follows.
func (m *Machine) noteLostTail(e types.Endpoint, w *watch) {
	p := m.watches[m.primary]
	if p == nil || !p.known || p.status.Term != m.term {
		return
	}
	if session.CheckCoverage(w.status.Last, p.status.Last, p.status.TermStarts) == session.Lost {
		m.note(NoteLostTail, m.term, string(NotePromoted), "endpoint %q drops entries up to %v", e, w.status.Last)
	}
}

func (m *Machine) onFollowAnswer(ev FollowAnswer) {
	m.observe(ev.Term)
	w := m.watches[ev.Endpoint]
	if w == nil || w.follow != ev.Question {
		return
	}
	w.follow = 0
	if ev.Done && ev.Term == m.term {
		w.followed = m.term
		w.askNow = true
	}
}
