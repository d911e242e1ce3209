package proxy

import (
	"time"

	"baobabfield.example/core/freshness"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/types"
)

const (
	// positionEvery is the time after which the primary's position is asked again
	// while replicas serve reads.
	positionEvery = 250 * time.Millisecond
	// positionTimeout is the time after which a question for it counts as lost.
	positionTimeout = 400 * time.Millisecond
	// positionAge is the age up to which a primary's owner answers with what it
	// knows; after that it asks the primary.
	positionAge = 300 * time.Millisecond
	// positionRepeat is the time after which a primary is asked again whose answer did
	// not count, as its connection was not covered by the authority yet.
	positionRepeat = 50 * time.Millisecond
	// positionWait is how long a read waits for a position before another endpoint
	// is tried.
	positionWait = 120 * time.Millisecond
)

// asker is a host with the number of its question.
type asker struct {
	host   types.Host
	number uint64
}

// service is what the host knows of a service beyond the catalog.
type service struct {
	name    types.Service
	history freshness.History
	// primary is the endpoint that the history belongs to.
	primary types.Endpoint
	asking  bool
	askedAt types.Time
	// question numbers the questions: the answer to an earlier one says nothing
	// about the time since the newest.
	question uint64
	// askers are those that wait for the position of the owned primary.
	askers []asker
	lead   leading
}

func (m *Machine) service(name types.Service) *service {
	s := m.services[name]
	if s == nil {
		s = &service{name: name}
		m.services[name] = s
	}
	return s
}

// requiredPosition returns the position that a replica must hold for a job; the
// job waits where it is not known.
func (m *Machine) requiredPosition(o *owned, j *job) (types.LogPoint, bool) {
	s := m.service(o.service)
	m.refreshPosition(s)
	if j.continues() {
		return types.LogPoint{}, true
	}
	point, ok := s.history.RequiredPosition(m.now, j.exec.MaxAge)
	if ok {
		return point, true
	}
	if m.now.Sub(j.arrived) > positionWait {
		m.finishJob(o, j, Done{Reason: types.ReasonStale})
		return point, false
	}
	o.waiting = append(o.waiting, j)
	return point, false
}

// refreshPosition asks the primary's owner for its position where the newest one
// is old.
func (m *Machine) refreshPosition(s *service) {
	primary, ok := m.cat.PrimaryOf(s.name)
	if !ok {
		return
	}
	if primary != s.primary {
		s.primary, s.asking = primary, false
		s.history.Reset()
	}
	if age, known := s.history.SinceNewest(m.now); known && age < positionEvery {
		return
	}
	if s.asking && m.now.Sub(s.askedAt) < positionTimeout {
		return
	}
	host := m.ownerOf(primary, nil)
	if host == "" {
		return
	}
	s.asking, s.askedAt = true, m.now
	s.question++
	m.send(host, AskPosition{Number: s.question, Service: s.name, Endpoint: primary})
}

// askPosition answers another host's question for the position of a primary.
func (m *Machine) askPosition(from types.Host, q AskPosition) {
	o := m.own(q.Endpoint)
	if o == nil {
		m.send(from, Position{Number: q.Number, Service: q.Service, Endpoint: q.Endpoint})
		return
	}
	s := m.service(q.Service)
	s.askers = append(s.askers, asker{host: from, number: q.Number})
	o.usedAt = m.now
	a := m.authority(o)
	a.Use(m.now)
	m.confirm(o)
	m.answerPositions(o)
}

// answerPositions answers the waiting questions once there is authority and the
// position is fresh.
func (m *Machine) answerPositions(o *owned) {
	s := m.service(o.service)
	if len(s.askers) == 0 || o.authority == nil {
		return
	}
	answer := Position{Service: o.service, Endpoint: o.id}
	if !o.authority.Fenced() {
		if !o.authority.Valid(m.now) {
			return
		}
		point, at, known := o.pool.Position()
		if !known || m.now.Sub(at) > positionAge {
			m.askOwnedPosition(o)
			return
		}
		answer.Known, answer.Point, answer.Age = true, point, m.now.Sub(at)
	}
	askers := s.askers
	s.askers = nil
	for _, a := range askers {
		answer.Number = a.number
		m.send(a.host, answer)
	}
}

// askOwnedPosition asks an owned primary for its position.
func (m *Machine) askOwnedPosition(o *owned) {
	if recent(m.now, o.positionAskedAt, positionRepeat) {
		return
	}
	o.positionAskedAt = m.now
	m.order(lead.Order{Endpoint: o.id, Op: lead.AskStatus}, purposePosition)
}

// position takes the answer of the primary's owner.
func (m *Machine) position(p Position) {
	s := m.service(p.Service)
	if !s.asking || p.Number != s.question || p.Endpoint != s.primary {
		return
	}
	s.asking = false
	if !p.Known {
		return
	}
	s.history.Add(s.askedAt.Add(-p.Age), p.Point)
	for _, o := range ordered(m.owned) {
		if o.service == s.name && o.id != s.primary {
			m.retryWaiting(o)
		}
	}
}
