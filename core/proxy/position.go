package proxy

import (
	"slices"
	"time"

	"baobabfield.example/core/freshness"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/types"
)

const (
	// positionRefreshInterval is the age at which the primary's position is requested again
	// while replicas serve reads.
	positionRefreshInterval = 250 * time.Millisecond
	// positionTimeout is the time after which a position request without a response is sent
	// again.
	positionTimeout = 400 * time.Millisecond
	// maxPositionAge is the age up to which the owner of a primary replies with the position
	// that it knows. It queries the primary for a newer one.
	maxPositionAge = 300 * time.Millisecond
	// positionRetryInterval is the time after which the primary is queried again. The reply to
	// the first query may not count because the authority did not yet cover the connection
	// that it arrived on. Without the interval, queries would follow as fast as replies arrive.
	positionRetryInterval = 50 * time.Millisecond
	// maxPositionWait is how long a read waits for a position before another endpoint is
	// tried.
	maxPositionWait = 120 * time.Millisecond
)

// pendingPositionRequest is a position request that has not been answered yet.
type pendingPositionRequest struct {
	host types.Host
	seq  uint64
}

// serviceState is what the host knows of a service beyond the catalog.
type serviceState struct {
	name types.Service
	// claimFreeAt is when this host requested its last read of the leadership records that
	// showed no campaign for the service.
	claimFreeAt types.Time
	history     freshness.History
	// primary is the endpoint whose positions history holds.
	primary types.Endpoint
	// positionRequestPending, positionRequestedAt and positionRequestSeq describe the newest
	// request to the primary's owner. Responses to earlier requests are ignored, since their
	// age would be counted from the wrong time.
	positionRequestPending bool
	positionRequestedAt    types.Time
	positionRequestSeq     uint64
	failover               failoverState
}

func (m *Machine) serviceFor(name types.Service) *serviceState {
	s := m.services[name]
	if s == nil {
		s = &serviceState{name: name, positionRequestSeq: m.firstNumber}
		s.failover.observed, s.failover.resumes, s.failover.suspicionSeq = map[types.Endpoint]observedPosition{}, map[types.Endpoint]pendingResume{}, m.firstNumber
		m.services[name] = s
	}
	return s
}

// requiredPosition returns the position that a replica must have reached to run a statement.
// If it is not known, the execution is kept waiting or refused, and the result is false.
func (m *Machine) requiredPosition(o *ownedEndpoint, ex *execution) (types.LogPoint, bool) {
	s := m.serviceFor(o.service)
	m.requestPrimaryPosition(s)
	if ex.continuesTx() {
		return types.LogPoint{}, true
	}
	point, ok := s.history.RequiredPosition(m.now, ex.request.MaxStaleness)
	if ok {
		return point, true
	}
	if m.now.Sub(ex.arrivedAt) > maxPositionWait || m.isolatedSince != 0 {
		m.finishExecution(o, ex, ExecResult{Reason: types.ReasonStale})
		return point, false
	}
	o.waitingExecutions = append(o.waitingExecutions, ex)
	return point, false
}

// requestPrimaryPosition requests the position from the primary's owner if the newest known
// position is too old.
func (m *Machine) requestPrimaryPosition(s *serviceState) {
	primary, ok := m.catalog.PrimaryOf(s.name)
	if !ok {
		return
	}
	if primary != s.primary {
		s.primary, s.positionRequestPending = primary, false
		s.history.Reset()
	}
	if age, known := s.history.SinceNewest(m.now); known && age < positionRefreshInterval {
		return
	}
	if s.positionRequestPending && m.now.Sub(s.positionRequestedAt) < positionTimeout {
		return
	}
	host := m.ownerOf(primary, nil)
	if host == "" {
		return
	}
	s.positionRequestPending, s.positionRequestedAt = true, m.now
	s.positionRequestSeq++
	m.sendToHost(host, PositionRequest{Seq: s.positionRequestSeq, Service: s.name, Endpoint: primary})
}

// handlePositionRequest handles another host's request for the position of a primary.
func (m *Machine) handlePositionRequest(from types.Host, req PositionRequest) {
	o := m.ensureOwned(req.Endpoint)
	if o == nil {
		m.sendToHost(from, PositionResponse{Seq: req.Seq, Service: req.Service, Endpoint: req.Endpoint})
		return
	}
	// A host waits for the answer to its latest request only.
	o.positionRequests = slices.DeleteFunc(o.positionRequests, func(p pendingPositionRequest) bool { return p.host == from })
	o.positionRequests = append(o.positionRequests, pendingPositionRequest{host: from, seq: req.Seq})
	o.lastUsedAt = m.now
	a := m.authorityFor(o)
	a.RecordUse(m.now)
	m.sendAuthorityQueries(o)
	m.answerPositionRequests(o)
}

// answerPositionRequests answers the waiting requests once this host has authority and knows a
// recent position. If the authority is fenced, it replies that the position is unknown.
func (m *Machine) answerPositionRequests(o *ownedEndpoint) {
	if len(o.positionRequests) == 0 || o.authority == nil {
		return
	}
	response := PositionResponse{Service: o.service, Endpoint: o.id}
	if !o.authority.Fenced() {
		if !o.authority.Valid(m.now) {
			return
		}
		point, at, known := o.pool.Position()
		if !known || m.now.Sub(at) > maxPositionAge || o.primaryTerm != o.authority.Term() {
			m.queryOwnedPosition(o)
			return
		}
		response.Known, response.Point, response.Age = true, point, m.now.Sub(at)
	}
	m.sendPosition(o, response)
}

// sendPosition sends a position to the hosts that wait for it.
func (m *Machine) sendPosition(o *ownedEndpoint, response PositionResponse) {
	pending := o.positionRequests
	o.positionRequests = nil
	for _, req := range pending {
		response.Seq = req.seq
		m.sendToHost(req.host, response)
	}
}

// noteRole records the role that an owned endpoint has reported. Positions from its replies count
// only as those of the primary of one term.
func (m *Machine) noteRole(o *ownedEndpoint, st lead.Status) {
	var term types.Term
	if st.Primary {
		term = st.Term
	}
	if o.primaryTerm != term {
		o.primaryTerm = term
		o.pool.SetPrimary(m.now, st.Primary)
	}
}

// queryOwnedPosition queries an owned primary for its position.
func (m *Machine) queryOwnedPosition(o *ownedEndpoint) {
	if isRecent(m.now, o.positionQueriedAt, positionRetryInterval) {
		return
	}
	o.positionQueriedAt = m.now
	m.enqueueCommand(lead.Command{Endpoint: o.id, Op: lead.OpQueryStatus}, purposePosition)
}

// handlePositionResponse adds a position to the service's history and retries the executions
// that wait for it.
func (m *Machine) handlePositionResponse(resp PositionResponse) {
	s := m.serviceFor(resp.Service)
	if !s.positionRequestPending || resp.Seq != s.positionRequestSeq || resp.Endpoint != s.primary {
		return
	}
	s.positionRequestPending = false
	if !resp.Known {
		return
	}
	s.history.Add(s.positionRequestedAt.Add(-resp.Age), resp.Point)
	for _, o := range ordered(m.owned) {
		if o.service == s.name && o.id != s.primary {
			m.retryWaitingExecutions(o)
		}
	}
}
