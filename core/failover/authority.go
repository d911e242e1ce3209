package failover

import "baobabfield.example/core/types"

// MaySendWrite reports whether a write of the term may be sent to the primary.
func (m *Machine) MaySendWrite(now types.Time, term types.Term) bool {
	return m.owns(m.primary) && m.term == term && m.MayAcknowledgeWrite(now, term)
}

// MayAcknowledgeWrite reports whether a write of the term may be acknowledged.
// The caller must read the clock after it has received the write's result.
func (m *Machine) MayAcknowledgeWrite(now types.Time, term types.Term) bool {
	if term < m.minAuthorityTerm {
		return false
	}
	until, ok := m.authorityUntil(term)
	return ok && now.Before(until)
}

// authorityUntil returns the time at which this host's authority in the term
// expires. The second result is false if fewer than a majority of the term's endpoint
// set have renewed it.
func (m *Machine) authorityUntil(term types.Term) (types.Time, bool) {
	set, ok := m.endpointSetOf(term)
	if !ok {
		return 0, false
	}
	sentAt, ok := set.latestMajorityTime(func(e types.Endpoint) (types.Time, bool) {
		ep := m.endpoints[e]
		return ep.authorityQuerySentAt, ep.authorityKnown && ep.authorityTerm == term
	})
	return sentAt.Add(m.cfg.AuthorityWindow), ok
}

// renewsAuthority reports whether this host's queries renew its authority. They
// do if the host owns the primary, the primary responds, and the host has not
// started a campaign to replace it.
func (m *Machine) renewsAuthority() bool {
	if !m.owns(m.primary) || m.term < m.minAuthorityTerm {
		return false
	}
	ep := m.endpoints[m.primary]
	return ep != nil && ep.reachable(m.now, m.cfg.ResponseTimeout)
}

// termConfirmedAt returns the latest time known at which no later term than the
// current one had a majority.
func (m *Machine) termConfirmedAt() (types.Time, bool) {
	set, ok := m.endpointSetOf(m.term)
	if !ok {
		return 0, false
	}
	return set.latestMajorityTime(func(e types.Endpoint) (types.Time, bool) {
		ep := m.endpoints[e]
		return ep.statusQuerySentAt, ep.statusKnown && ep.status.Term == m.term
	})
}

// MajorityContains reports whether a majority of the term's endpoint set is known
// to have the log point in its logs.
func (m *Machine) MajorityContains(point types.LogPoint) bool {
	set, ok := m.endpointSetOf(m.term)
	return ok && set.hasMajority(func(e types.Endpoint) bool {
		return m.endpoints[e].logContains(point, m.term)
	})
}

// reportAuthority adds a note when this host gains or loses authority.
func (m *Machine) reportAuthority() {
	hasAuthority := m.MaySendWrite(m.now, m.term)
	if hasAuthority == m.hadAuthority {
		return
	}
	m.hadAuthority = hasAuthority
	if hasAuthority {
		m.addNote(NoteAuthority, m.term, string(NotePromoted), "host %q may acknowledge writes at %q", m.cfg.Host, m.primary)
		return
	}
	m.addNote(NoteAuthority, m.term, m.authorityLossCause(), "host %q may no longer acknowledge writes at %q", m.cfg.Host, m.primary)
}

func (m *Machine) authorityLossCause() string {
	switch {
	case m.campaign != nil:
		return string(NoteCampaign)
	case m.highestTerm > m.term:
		return string(NoteFenced)
	case !m.owns(m.primary):
		return "owners changed"
	}
	return "no majority"
}
