package failover

import "baobabfield.example/core/types"

// MaySend reports whether a write of the term may be sent to the primary.
func (m *Machine) MaySend(now types.Time, term types.Term) bool {
	return m.owns(m.primary) && m.term == term && m.MayAck(now, term)
}

// MayAck reports whether a write of the term may be acknowledged. The caller
// reads the clock after it has received the write's result.
func (m *Machine) MayAck(now types.Time, term types.Term) bool {
	if term < m.floor {
		return false
	}
	until, ok := m.authorityUntil(term)
	return ok && now.Before(until)
}

// authorityUntil returns the time at which authority in the term lapses.
func (m *Machine) authorityUntil(term types.Term) (types.Time, bool) {
	set, ok := m.setOf(term)
	if !ok {
		return 0, false
	}
	sent, ok := set.majorityTime(func(e types.Endpoint) (types.Time, bool) {
		w := m.watches[e]
		return w.authoritySent, w.authorityKnown && w.authorityTerm == term
	})
	return sent.Add(m.cfg.W), ok
}

// holdsAuthority reports whether this host's questions ask for authority: it
// owns the primary, the primary answers, and no campaign of its own replaces it.
func (m *Machine) holdsAuthority() bool {
	if !m.owns(m.primary) || m.term < m.floor {
		return false
	}
	w := m.watches[m.primary]
	return w != nil && w.reachable(m.now, m.cfg.AnswerTimeout)
}

// confirmedAt returns a time at which no later term than the current one had a
// majority.
func (m *Machine) confirmedAt() (types.Time, bool) {
	set, ok := m.setOf(m.term)
	if !ok {
		return 0, false
	}
	return set.majorityTime(func(e types.Endpoint) (types.Time, bool) {
		w := m.watches[e]
		return w.statusSent, w.known && w.status.Term == m.term
	})
}

// Holds reports whether the log of a majority of the term's endpoint set is
// known to contain the log point.
func (m *Machine) Holds(point types.LogPoint) bool {
	set, ok := m.setOf(m.term)
	return ok && set.majorityOf(func(e types.Endpoint) bool {
		return m.watches[e].contains(point, m.term)
	})
}

func (m *Machine) reportAuthority() {
	has := m.MaySend(m.now, m.term)
	if has == m.hadAuth {
		return
	}
	m.hadAuth = has
	if has {
		m.note(NoteAuthority, m.term, string(NotePromoted), "host %q may acknowledge writes at %q", m.cfg.Host, m.primary)
		return
	}
	m.note(NoteAuthority, m.term, m.lossCause(), "host %q may no longer acknowledge writes at %q", m.cfg.Host, m.primary)
}

func (m *Machine) lossCause() string {
	switch {
	case m.campaign != nil:
		return string(NoteCampaign)
	case m.seen > m.term:
		return string(NoteFenced)
	case !m.owns(m.primary):
		return "owners changed"
	}
	return "no majority"
}
