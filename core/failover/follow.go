package failover

import (
	"baobabfield.example/core/session"
	"baobabfield.example/core/types"
)

// followPrimary makes endpoints replicate from the primary. It commands the
// endpoints that this host owns, and all endpoints if this host won the term's
// campaign.
func (m *Machine) followPrimary() {
	if m.primary == "" || m.campaign != nil {
		return
	}
	for _, e := range m.allEndpoints {
		ep := m.endpoints[e]
		if m.shouldFollow(e, ep) {
			m.sendFollow(e, ep)
		}
	}
}

func (m *Machine) shouldFollow(e types.Endpoint, ep *endpointState) bool {
	switch {
	case e == m.primary || ep.followedTerm == m.term:
		return false
	case !m.owns(e) && m.wonTerm != m.term:
		return false
	case ep.statusKnown && ep.status.Term > m.term:
		return false
	case ep.followRequestTerm == m.term && m.now.Sub(ep.followSentAt) < m.cfg.ResponseTimeout:
		return false
	}
	return ep.statusKnown && ep.consecutiveFailures == 0
}

func (m *Machine) sendFollow(e types.Endpoint, ep *endpointState) {
	m.noteLostWrites(e, ep)
	ep.followRequestID = m.nextRequestID()
	ep.followRequestTerm = m.term
	ep.followSentAt = m.now
	m.emit(Follow{RequestID: ep.followRequestID, Endpoint: e, Primary: m.primary, Term: m.term})
}

// noteLostWrites adds a note if the endpoint has log entries that the primary lacks.
// The endpoint drops them when it follows the primary.
func (m *Machine) noteLostWrites(e types.Endpoint, ep *endpointState) {
	primary := m.endpoints[m.primary]
	if primary == nil || !primary.statusKnown || primary.status.Term != m.term {
		return
	}
	if session.CheckCoverage(ep.status.LastLogPoint, primary.status.LastLogPoint, primary.status.TermStarts) == session.Lost {
		m.addNote(NoteWritesLost, m.term, string(NotePromoted), "endpoint %q drops entries up to %v", e, ep.status.LastLogPoint)
	}
}

func (m *Machine) onFollowResponse(ev FollowResponse) {
	m.observeTerm(ev.Term)
	ep := m.endpoints[ev.Endpoint]
	if ep == nil || ep.followRequestID != ev.RequestID {
		return
	}
	ep.followRequestID = 0
	if ev.Done && ev.Term == m.term {
		ep.followedTerm = m.term
		ep.queryNow = true
	}
}
