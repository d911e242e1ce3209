package proxy

import (
	"time"

	"baobabfield.example/core/freshness"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/types"
)

const (
	// positionRefreshInterval is the time after which the primary's position is asked again
	// while replicas serve reads.
	positionRefreshInterval = 250 * time.Millisecond
	// positionTimeout is the time after which a question for it counts as lost.
	positionTimeout = 400 * time.Millisecond
	// maxPositionAge is the age up to which a primary's owner answers with what it
	// knows; after that it asks the primary.
	maxPositionAge = 300 * time.Millisecond
	// positionRetryInterval is the time after which a primary is asked again whose answer did
	// not count, as its connection was not covered by the authority yet.
	positionRetryInterval = 50 * time.Millisecond
	// maxPositionWait is how long a read waits for a position before another endpoint
	// is tried.
	maxPositionWait = 120 * time.Millisecond
)

// pendingPositionRequest is a host with the number of its question.
type pendingPositionRequest struct {
	host types.Host
	seq  uint64
}

// serviceState is what the host knows of a serviceState beyond the catalog.
type serviceState struct {
	name    types.Service
	history freshness.History
	// primary is the endpoint that the history belongs to.
	primary           types.Endpoint
	ownerQueryPending bool
	ownerQueriedAt    types.Time
	// ownerQuerySeq numbers the questions: the answer to an earlier one says nothing
	// about the time since the newest.
	ownerQuerySeq uint64
	// positionRequests are those that wait for the position of the owned primary.
	positionRequests []pendingPositionRequest
	failover         failoverState
}

func (m *Machine) serviceFor(name types.Service) *serviceState {
	s := m.services[name]
	if s == nil {
		s = &serviceState{name: name}
		m.services[name] = s
	}
	return s
}

// requiredPosition returns the position that a replica must hold for a job; the
// job waits where it is not known.
func (m *Machine) requiredPosition(o *ownedEndpoint, j *job) (types.LogPoint, bool) {
	s := m.serviceFor(o.service)
	m.requestPrimaryPosition(s)
	if j.continuesTx() {
		return types.LogPoint{}, true
	}
	point, ok := s.history.Required(m.now, j.request.MaxAge)
	if ok {
		return point, true
	}
	if m.now.Sub(j.arrivedAt) > maxPositionWait {
		m.finishJob(o, j, ExecResult{Reason: types.ReasonStale})
		return point, false
	}
	o.waitingJobs = append(o.waitingJobs, j)
	return point, false
}

// requestPrimaryPosition asks the primary's owner for its position where the newest one
// is old.
func (m *Machine) requestPrimaryPosition(s *serviceState) {
	primary, ok := m.catalog.PrimaryOf(s.name)
	if !ok {
		return
	}
	if primary != s.primary {
		s.primary, s.ownerQueryPending = primary, false
		s.history.Reset()
	}
	if age, known := s.history.Newest(m.now); known && age < positionRefreshInterval {
		return
	}
	if s.ownerQueryPending && m.now.Sub(s.ownerQueriedAt) < positionTimeout {
		return
	}
	host := m.ownerOf(primary, nil)
	if host == "" {
		return
	}
	s.ownerQueryPending, s.ownerQueriedAt = true, m.now
	s.ownerQuerySeq++
	m.sendToHost(host, PositionRequest{Seq: s.ownerQuerySeq, Service: s.name, Endpoint: primary})
}

// handlePositionRequest answers another host's question for the position of a primary.
func (m *Machine) handlePositionRequest(from types.Host, q PositionRequest) {
	o := m.ensureOwned(q.Endpoint)
	if o == nil {
		m.sendToHost(from, PositionResponse{Seq: q.Seq, Service: q.Service, Endpoint: q.Endpoint})
		return
	}
	s := m.serviceFor(q.Service)
	s.positionRequests = append(s.positionRequests, pendingPositionRequest{host: from, seq: q.Seq})
	o.lastUsedAt = m.now
	a := m.authorityFor(o)
	a.Use(m.now)
	m.sendAuthorityQueries(o)
	m.answerPositionRequests(o)
}

// answerPositionRequests answers the waiting questions once there is authority and the
// position is fresh.
func (m *Machine) answerPositionRequests(o *ownedEndpoint) {
	s := m.serviceFor(o.service)
	if len(s.positionRequests) == 0 || o.authority == nil {
		return
	}
	answer := PositionResponse{Service: o.service, Endpoint: o.id}
	if !o.authority.Fenced() {
		if !o.authority.Valid(m.now) {
			return
		}
		point, at, known := o.pool.Position()
		if !known || m.now.Sub(at) > maxPositionAge {
			m.queryOwnedPosition(o)
			return
		}
		answer.Known, answer.Point, answer.Age = true, point, m.now.Sub(at)
	}
	askers := s.positionRequests
	s.positionRequests = nil
	for _, a := range askers {
		answer.Seq = a.seq
		m.sendToHost(a.host, answer)
	}
}

// queryOwnedPosition asks an owned primary for its position.
func (m *Machine) queryOwnedPosition(o *ownedEndpoint) {
	if recent(m.now, o.positionQueriedAt, positionRetryInterval) {
		return
	}
	o.positionQueriedAt = m.now
	m.enqueueCommand(lead.Order{Endpoint: o.id, Op: lead.AskStatus}, purposePosition)
}

// handlePositionResponse takes the answer of the primary's owner.
func (m *Machine) handlePositionResponse(p PositionResponse) {
	s := m.serviceFor(p.Service)
	if !s.ownerQueryPending || p.Seq != s.ownerQuerySeq || p.Endpoint != s.primary {
		return
	}
	s.ownerQueryPending = false
	if !p.Known {
		return
	}
	s.history.Add(s.ownerQueriedAt.Add(-p.Age), p.Point)
	for _, o := range ordered(m.owned) {
		if o.service == s.name && o.id != s.primary {
			m.retryWaitingJobs(o)
		}
	}
}
