package failover

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// pauseThresholdIntervals is the number of question intervals between two steps
	// from which the host counts as having been paused.
	pauseThresholdIntervals = 3
	// queryExpiryWindows is the age in W at which an unanswered question is forgotten.
	queryExpiryWindows = 2
	// slowQueryIntervals is the number of question intervals between questions to an
	// endpoint that this host neither owns nor needs for authority.
	slowQueryIntervals = 4
	// catchUpQueriesPerInterval divides the question interval while writes are held.
	catchUpQueriesPerInterval = 16
)

// pendingQuery is one that has no answer yet.
type pendingQuery struct {
	sentAt          types.Time
	renewsAuthority bool
}

// endpointState is what the machine knows of one endpoint.
type endpointState struct {
	status EndpointStatus
	// statusQuerySentAt is when the question that status answers was sent.
	statusQuerySentAt types.Time
	statusKnown       bool
	pendingQueries    map[RequestID]pendingQuery
	lastQueryAt       types.Time
	queryNow          bool

	// authorityQuerySentAt is when the latest authority question that was answered
	// with authorityTerm was sent.
	authorityQuerySentAt types.Time
	authorityTerm        types.Term
	authorityKnown       bool

	// hasUnanswered says that no question sent since unansweredSince was answered.
	hasUnanswered   bool
	unansweredSince types.Time
	// failuresInRow counts the Silence events since the last answer.
	failuresInRow int
	// reconnectRequested says that a new connection was asked for at reconnectedAt,
	// and triedNew that a question was sent after it.
	reconnectRequested    bool
	reconnectRequestedAt  types.Time
	queriedSinceReconnect bool

	freshAt    types.Time
	freshKnown bool

	// followedTerm is the term whose primary the endpoint follows. The command
	// follow for followTerm was sent at followSent.
	followedTerm      types.Term
	followRequest     RequestID
	followRequestTerm types.Term
	followSentAt      types.Time
}

func newEndpointState() *endpointState {
	return &endpointState{pendingQueries: map[RequestID]pendingQuery{}, queryNow: true}
}

// unansweredFor returns how long the endpoint has left questions unanswered.
func (ep *endpointState) unansweredFor(now types.Time) time.Duration {
	if !ep.hasUnanswered {
		return 0
	}
	return now.Sub(ep.unansweredSince)
}

// reachable reports whether the endpoint answers in time.
func (ep *endpointState) reachable(now types.Time, timeout time.Duration) bool {
	return ep.statusKnown && ep.failuresInRow == 0 && ep.unansweredFor(now) < timeout
}

func (m *Machine) queryAll() {
	for _, e := range m.allEndpoints {
		m.endpoints[e].queryNow = true
	}
}

func (m *Machine) sendDueQueries() {
	for _, e := range m.allEndpoints {
		ep := m.endpoints[e]
		if ep.queryNow || m.now.Sub(ep.lastQueryAt) >= m.queryInterval(e) {
			m.sendQuery(e, ep)
		}
	}
}

func (m *Machine) sendQuery(e types.Endpoint, ep *endpointState) {
	requestID := m.nextRequestID()
	renewsAuthority := m.renewsAuthority()
	ep.pendingQueries[requestID] = pendingQuery{sentAt: m.now, renewsAuthority: renewsAuthority}
	ep.lastQueryAt = m.now
	ep.queryNow = false
	ep.queriedSinceReconnect = ep.reconnectRequested
	if !ep.hasUnanswered {
		ep.hasUnanswered = true
		ep.unansweredSince = m.now
	}
	m.emit(QueryStatus{RequestID: requestID, Endpoint: e, RenewsAuthority: renewsAuthority})
}

// queryInterval returns the time between questions to the endpoint.
func (m *Machine) queryInterval(e types.Endpoint) time.Duration {
	switch {
	case m.plannedChange != nil && m.plannedChange.queriesOften(e):
		return m.cfg.QueryInterval / catchUpQueriesPerInterval
	case m.owns(e), m.owns(m.primary), e == m.primary:
		return m.cfg.QueryInterval
	case m.primary == "", m.suspicion.selfSuspects, m.highestTerm > m.term:
		return m.cfg.QueryInterval
	}
	return slowQueryIntervals * m.cfg.QueryInterval
}

func (m *Machine) onStatusResponse(ev StatusResponse) {
	ep := m.endpoints[ev.Endpoint]
	if ep == nil {
		return
	}
	q, ok := ep.pendingQueries[ev.RequestID]
	if !ok {
		return
	}
	delete(ep.pendingQueries, ev.RequestID)
	ep.recordResponse(q.sentAt)
	if !ep.recordStatus(q, ev.Status) {
		return
	}
	m.observeTerm(ev.Status.Term)
	m.updatePrimary(ev.Endpoint, ev.Status)
	m.updateFreshness(ev.Endpoint, ep)
	m.confirmPromotion(ev.Endpoint, ev.Status)
}

// recordStatus takes in a status. It returns false for one that is older than what is
// known already.
func (ep *endpointState) recordStatus(q pendingQuery, s EndpointStatus) bool {
	if ep.statusKnown && (q.sentAt < ep.statusQuerySentAt || s.Term < ep.status.Term) {
		return false
	}
	ep.statusKnown = true
	ep.status = s
	ep.statusQuerySentAt = q.sentAt
	if q.renewsAuthority {
		ep.authorityKnown = true
		ep.authorityTerm = s.Term
		ep.authorityQuerySentAt = q.sentAt
	}
	return true
}

// recordResponse notes the answer to a question.
func (ep *endpointState) recordResponse(sentAt types.Time) {
	if ep.reconnectRequested {
		ep.followedTerm = 0
	}
	ep.failuresInRow = 0
	ep.reconnectRequested = false
	ep.queriedSinceReconnect = false
	ep.hasUnanswered = false
	for _, q := range ep.pendingQueries {
		if q.sentAt > sentAt && (!ep.hasUnanswered || q.sentAt < ep.unansweredSince) {
			ep.hasUnanswered = true
			ep.unansweredSince = q.sentAt
		}
	}
}

// updatePrimary takes the primary from an endpoint's status.
func (m *Machine) updatePrimary(e types.Endpoint, s EndpointStatus) {
	switch {
	case s.Role == RolePrimary:
		m.adoptPrimary(s.Term, e)
	case e == m.primary && s.Term >= m.term:
		m.primary = ""
		m.primaryAwaitedSince = m.now
	}
}

func (m *Machine) onNoResponse(ev NoResponse) {
	m.onCommandNoResponse(ev)
	ep := m.endpoints[ev.Endpoint]
	if ep == nil {
		return
	}
	if _, ok := ep.pendingQueries[ev.RequestID]; !ok {
		return
	}
	delete(ep.pendingQueries, ev.RequestID)
	ep.failuresInRow++
}

// reconnectUnresponsive asks for new connections to endpoints that do not answer.
func (m *Machine) reconnectUnresponsive() {
	for _, e := range m.allEndpoints {
		ep := m.endpoints[e]
		m.expireQueries(ep)
		unresponsive := ep.failuresInRow > 0 || ep.unansweredFor(m.now) >= m.cfg.ResponseTimeout
		retryDue := ep.reconnectRequested && m.now.Sub(ep.reconnectRequestedAt) >= m.cfg.SuspectAfter
		if unresponsive && (!ep.reconnectRequested || retryDue) {
			ep.reconnectRequested = true
			ep.reconnectRequestedAt = m.now
			ep.queryNow = true
			m.emit(Reconnect{Endpoint: e})
		}
	}
}

func (m *Machine) expireQueries(ep *endpointState) {
	for id, q := range ep.pendingQueries {
		if m.now.Sub(q.sentAt) > queryExpiryWindows*m.cfg.AuthorityWindow {
			delete(ep.pendingQueries, id)
		}
	}
}

// resetAfterPause drops the questions from before a pause of this host: the pause
// explains the missing answers.
func (m *Machine) resetAfterPause() {
	for _, e := range m.allEndpoints {
		ep := m.endpoints[e]
		clear(ep.pendingQueries)
		ep.hasUnanswered = false
		ep.failuresInRow = 0
		ep.reconnectRequested = false
		ep.queriedSinceReconnect = false
		ep.queryNow = true
	}
	m.primaryAwaitedSince = m.now
	m.suspicion.selfSuspects = false
}
