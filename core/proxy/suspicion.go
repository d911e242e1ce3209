package proxy

import (
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/random"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

const (
	// silentLimit is the time for which a primary may owe every answer before it is
	// suspected; it is far above the slowest statement of a slow endpoint.
	silentLimit = 450 * time.Millisecond
	// reachPeers is the number of other hosts that are asked about a suspect.
	reachPeers = 3
	// reachTimeout is the time for which their answers are awaited: a host that
	// reaches the endpoint needs a few round trips.
	reachTimeout = 250 * time.Millisecond
	// silentMemory is how long an order without an answer counts.
	silentMemory = 2 * time.Second
	// goneMemory is how long a refused connection counts.
	goneMemory = time.Second
	// handOver is the time for which a host leaves a primary to others that reach it.
	handOver = 2 * time.Second
	// missingLimit is the time for which a service may lack a primary before one
	// is promoted.
	missingLimit = 900 * time.Millisecond
)

// goneSeen notes that nothing listens at an endpoint's address.
func (m *Machine) goneSeen(o *owned) {
	if m.now.Sub(o.goneAt) > goneMemory {
		o.gone = 0
	}
	o.gone++
	o.goneAt = m.now
	m.urgent = true
}

// watchPrimary looks for a reason to replace a service's primary.
func (m *Machine) watchPrimary(s *service) {
	l := &s.lead
	if m.now.Before(l.nextAt) {
		return
	}
	primary, known := m.cat.PrimaryOf(s.name)
	if !known {
		m.watchMissing(s)
		return
	}
	o := m.owned[primary]
	e, _ := m.cat.Endpoint(primary)
	switch {
	case e.Draining && m.ownerOf(primary, nil) == m.set.Host:
		m.campaign(s, lead.Leaving, primary)
	case o == nil, m.now.Before(o.unreachableUntil):
		l.missingSince = 0
	case o.authority != nil && o.authority.Fenced():
		m.watchMissing(s)
	case l.asked == primary:
		m.checkReach(s, o)
	case m.isGone(o), o.pool.UnresponsiveFor(m.now) > silentLimit || m.controlSilent(primary) || o.pool.DialFailures() > 1:
		m.askReach(s, primary)
	default:
		l.missingSince = 0
	}
}

// isGone reports whether the primary's address refuses connections, seen twice.
func (m *Machine) isGone(o *owned) bool {
	return o.gone >= 2 && m.now.Sub(o.goneAt) < goneMemory && (o.pool.DialFailures() > 0 || o.pool.ConnectionCount() == 0)
}

// controlSilent reports whether an endpoint has left an order without an answer.
func (m *Machine) controlSilent(id types.Endpoint) bool {
	c := m.controls[id]
	return c != nil && c.silentAt != 0 && m.now.Sub(c.silentAt) < silentMemory
}

// watchMissing promotes an endpoint of a service that has had no usable primary
// for a while. One host by hash takes it up first, the others later.
func (m *Machine) watchMissing(s *service) {
	l := &s.lead
	if l.missingSince == 0 {
		l.missingSince = m.now
		return
	}
	limit := missingLimit
	first, second := routing.HighestWeightHosts("lead/"+string(s.name), m.usableHosts("", nil))
	switch m.set.Host {
	case first:
	case second:
		limit *= 3
	default:
		limit *= 6
	}
	if m.now.Sub(l.missingSince) < limit {
		return
	}
	old, _ := m.cat.PrimaryOf(s.name)
	reason := lead.Demoted
	if old != "" {
		// Its owner knows it, and has lost its authority to paused replicas.
		reason = lead.Stuck
	}
	m.campaign(s, reason, old)
}

// askReach asks other hosts whether they can use a primary that this one cannot.
func (m *Machine) askReach(s *service, primary types.Endpoint) {
	l := &s.lead
	l.asked, l.askedAt, l.answers, l.reachers = primary, m.now, 0, nil
	m.log(Info, "primary suspected", f("service", s.name), f("endpoint", primary))
	var others []types.Host
	for _, h := range m.usableHosts("", nil) {
		if h != m.set.Host {
			others = append(others, h)
		}
	}
	for _, h := range random.Pick(&m.rng, others, reachPeers) {
		m.send(h, AskReach{Service: s.name, Endpoint: primary})
	}
}

// checkReach decides about a suspect once the answers are there.
func (m *Machine) checkReach(s *service, o *owned) {
	l := &s.lead
	waited := m.now.Sub(l.askedAt)
	if len(l.reachers) == 0 && l.answers < reachPeers && waited < reachTimeout {
		return
	}
	// Whatever is decided holds for a moment, so that the question is not asked anew
	// at every tick.
	l.asked, l.nextAt = "", m.now.Add(campaignPause)
	if len(l.reachers) > 0 {
		m.log(Info, "primary left to other hosts", f("service", s.name), f("endpoint", o.id), f("reached_by", l.reachers[0]))
		o.unreachableUntil = m.now.Add(handOver)
		for _, j := range o.waiting {
			m.finishJob(o, j, Done{Reason: types.ReasonUnreachable})
		}
		o.waiting = nil
		o.pool.CloseAll(m.now, types.ReasonBroken)
		return
	}
	e, _ := m.cat.Endpoint(o.id)
	switch {
	case m.isGone(o) && e.DataCentre == m.set.DataCentre:
		m.campaign(s, lead.Gone, o.id)
	case m.isGone(o), o.pool.UnresponsiveFor(m.now) > silentLimit, m.controlSilent(o.id), o.pool.DialFailures() > 0:
		// From another data centre a cut link can look like a refusal.
		m.campaign(s, lead.Silent, o.id)
	}
}

// answerReach tells the hosts that asked whether an endpoint is in use as the
// primary here.
func (m *Machine) answerReach(e catalog.Endpoint, primary bool) {
	for _, h := range m.reachAskers[e.ID] {
		m.send(h, Reach{Service: e.Service, Endpoint: e.ID, Primary: primary})
	}
	delete(m.reachAskers, e.ID)
}

func (m *Machine) reachAsked(from types.Host, q AskReach) {
	if _, ok := m.cat.Endpoint(q.Endpoint); !ok {
		m.send(from, Reach{Service: q.Service, Endpoint: q.Endpoint})
		return
	}
	m.reachAskers[q.Endpoint] = append(removeHost(m.reachAskers[q.Endpoint], from), from)
	m.order(lead.Order{Endpoint: q.Endpoint, Op: lead.AskStatus}, purposeReach)
}

func (m *Machine) reachAnswered(from types.Host, r Reach) {
	l := &m.service(r.Service).lead
	if l.asked != r.Endpoint {
		return
	}
	l.answers++
	if r.Primary {
		l.reachers = append(l.reachers, from)
	}
}
