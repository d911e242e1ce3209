package failover

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// pauseThresholdIntervals is the time between two steps, in query intervals,
	// above which the machine assumes that the host was paused.
	pauseThresholdIntervals = 3
	// queryExpiryWindows is the age at which a pending query expires, in authority
	// windows.
	queryExpiryWindows = 2
	// slowQueryIntervals is the time between queries to an endpoint that this host
	// neither owns nor needs for its authority, in query intervals.
	slowQueryIntervals = 4
	// catchUpQueriesPerInterval is the number of queries per query interval during
	// the final catch-up of a planned change, while writes are held.
	catchUpQueriesPerInterval = 16
)

// pendingQuery is a status query without a response so far.
type pendingQuery struct {
	sentAt          types.Time
	renewsAuthority bool
}

// endpointState holds the status of one endpoint and of the requests to it.
type endpointState struct {
	status EndpointStatus
	// statusQuerySentAt is when the query whose response is status was sent.
	statusQuerySentAt types.Time
	statusKnown       bool
	pendingQueries    map[RequestID]pendingQuery
	lastQueryAt       types.Time
	queryNow          bool

	// authorityQuerySentAt is when the latest query was sent that renewed
	// authority. Its response had the term authorityTerm.
	authorityQuerySentAt types.Time
	authorityTerm        types.Term
	authorityKnown       bool

	// hasUnanswered is true if no query sent since unansweredSince has a response.
	hasUnanswered   bool
	unansweredSince types.Time
	// consecutiveFailures counts the NoResponse events since the last response.
	consecutiveFailures int
	// reconnectRequested is true if a new connection was requested at
	// reconnectRequestedAt and no response has arrived since.
	// queriedSinceReconnect is true if a query was sent after that request.
	reconnectRequested    bool
	reconnectRequestedAt  types.Time
	queriedSinceReconnect bool

	// freshAt and freshKnown are those of EndpointView.
	freshAt    types.Time
	freshKnown bool

	// followedTerm is the term whose primary the endpoint follows. followRequestID is
	// the pending Follow command, or 0 if there is none. The last command was for
	// followRequestTerm and was sent at followSentAt.
	followedTerm      types.Term
	followRequestID   RequestID
	followRequestTerm types.Term
	followSentAt      types.Time
}

func newEndpointState() *endpointState {
	return &endpointState{pendingQueries: map[RequestID]pendingQuery{}, queryNow: true}
}

// unansweredFor returns the time since the first query without a response was sent,
// or 0 if all queries have one.
func (ep *endpointState) unansweredFor(now types.Time) time.Duration {
	if !ep.hasUnanswered {
		return 0
	}
	return now.Sub(ep.unansweredSince)
}

// reachable reports whether the endpoint responds within the timeout.
func (ep *endpointState) reachable(now types.Time, timeout time.Duration) bool {
	return ep.statusKnown && ep.consecutiveFailures == 0 && ep.unansweredFor(now) < timeout
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

// queryInterval returns the time between status queries to the endpoint.
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

// recordStatus stores a status. It returns false if the status is older than the
// stored one.
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

// recordResponse resets the failure state after the response to a query that was
// sent at sentAt. Later queries without a response stay unanswered.
func (ep *endpointState) recordResponse(sentAt types.Time) {
	if ep.reconnectRequested {
		// The endpoint may have restarted, so Follow is sent to it again.
		ep.followedTerm = 0
	}
	ep.consecutiveFailures = 0
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

// updatePrimary adopts the endpoint if its status shows that it is the primary. It
// clears the machine's primary if the endpoint no longer is.
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
	ep.consecutiveFailures++
}

// reconnectUnresponsive requests new connections to endpoints that do not respond.
func (m *Machine) reconnectUnresponsive() {
	for _, e := range m.allEndpoints {
		ep := m.endpoints[e]
		m.expireQueries(ep)
		unresponsive := ep.consecutiveFailures > 0 || ep.unansweredFor(m.now) >= m.cfg.ResponseTimeout
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

// resetAfterPause discards the queries from before a pause of this host and its
// suspicion. The pause, not a failure, explains the missing responses.
func (m *Machine) resetAfterPause() {
	for _, e := range m.allEndpoints {
		ep := m.endpoints[e]
		clear(ep.pendingQueries)
		ep.hasUnanswered = false
		ep.consecutiveFailures = 0
		ep.reconnectRequested = false
		ep.queriedSinceReconnect = false
		ep.queryNow = true
	}
	m.primaryAwaitedSince = m.now
	m.suspicion.selfSuspects = false
}
