package membership

import (
	"slices"
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// Timing and fan-out of the probes.
const (
	probePeriod  = 500 * time.Millisecond
	probeTimeout = 150 * time.Millisecond
	// indirectProbes is the number of peers asked to probe a silent host.
	indirectProbes = 3
	// maxForwards bounds the probes in progress for other hosts.
	maxForwards = 64
	// seedContacts is the number of seeds contacted at a time.
	seedContacts = 3
)

// prober is the state of the probes.
type prober struct {
	nextRound types.Time
	seq       uint64
	// order lists the hosts still to be probed in this pass.
	order    []types.Host
	current  probe
	forwards []forward
}

// probe is the probe in progress; its host is empty if there is none.
type probe struct {
	host       types.Host
	seq        uint64
	indirectAt types.Time
	indirect   bool
}

// forward is a probe for another host.
type forward struct {
	seq     uint64
	address string
	// theirs is the sequence number of the host that asked.
	theirs uint64
	until  types.Time
}

func (p *prober) deadline() types.Time {
	if p.current.host != "" && !p.current.indirect {
		return min(p.nextRound, p.current.indirectAt)
	}
	return p.nextRound
}

// probe asks others about a silent host, and starts the next round when it is due.
func (m *Machine) probe(now types.Time) {
	p := &m.prober
	if p.current.host != "" && !p.current.indirect && !now.Before(p.current.indirectAt) {
		m.probeIndirectly()
	}
	if now.Before(p.nextRound) {
		return
	}
	m.judge(now)
	m.startRound(now)
}

// probeIndirectly asks some peers to probe the silent host.
func (m *Machine) probeIndirectly() {
	p := &m.prober
	p.current.indirect = true
	target, ok := m.table.get(p.current.host)
	if !ok {
		return
	}
	others := slices.DeleteFunc(m.peers(), func(h types.Host) bool { return h == target.Host })
	for _, h := range random.Sample(&m.random, others, indirectProbes) {
		m.send(h, PingReq{Seq: p.current.seq, Target: target.Host, Address: target.GossipAddress})
	}
}

// judge suspects the host that has not answered in this round.
func (m *Machine) judge(now types.Time) {
	h := m.prober.current.host
	m.prober.current = probe{}
	about, known := m.table.get(h)
	if !known {
		return
	}
	switch {
	case about.Incarnation == 0:
		m.table.remove(h)
	case about.State == Alive:
		about.State = Suspect
		m.learn(now, about, true)
	case about.State == Leaving && !m.suspects(h):
		m.suspect(now, about)
	}
}

func (m *Machine) suspects(h types.Host) bool {
	return slices.ContainsFunc(m.suspicions, func(s suspicion) bool { return s.host == h })
}

// startRound probes the next host.
func (m *Machine) startRound(now types.Time) {
	p := &m.prober
	if p.nextRound == 0 {
		// The first round comes at a random time, so that hosts that start together
		// do not probe together.
		p.nextRound = now.Add(time.Duration(m.random.IntN(int(probePeriod))))
		return
	}
	p.nextRound = now.Add(probePeriod)
	if !m.joined {
		m.contactSeeds()
	}
	h, ok := m.nextTarget()
	if !ok {
		return
	}
	p.seq++
	p.current = probe{host: h, seq: p.seq, indirectAt: now.Add(probeTimeout)}
	m.send(h, Ping{Seq: p.seq, Updates: m.updates(h)})
}

// nextTarget returns the next host to probe: every host of the data centre once
// in each pass, in an order that is new for each pass.
func (m *Machine) nextTarget() (types.Host, bool) {
	p := &m.prober
	for range 2 {
		for len(p.order) > 0 {
			h := p.order[0]
			p.order = p.order[1:]
			about, known := m.table.get(h)
			if known && about.State != Dead {
				return h, true
			}
		}
		p.order = m.pass()
	}
	return "", false
}

// pass returns the other hosts of the data centre that are not dead, in random order.
func (m *Machine) pass() []types.Host {
	var order []types.Host
	for _, i := range m.table.selectIn(m.self.DataCentre, func(r record) bool { return r.state != Dead }) {
		h := types.Host(m.table.records[i].host())
		if h != m.self.Host {
			order = append(order, h)
		}
	}
	random.Shuffle(&m.random, order)
	return order
}

// acknowledged ends a probe or forwards the answer to the host that asked for it.
func (m *Machine) acknowledged(seq uint64) {
	p := &m.prober
	if seq == p.current.seq && p.current.host != "" {
		m.clearLeavingSuspicion(p.current.host)
		p.current = probe{}
		return
	}
	for i, f := range p.forwards {
		if f.seq == seq {
			m.sendTo(f.address, Ack{Seq: f.theirs})
			p.forwards = slices.Delete(p.forwards, i, i+1)
			return
		}
	}
}

// clearLeavingSuspicion ends the suspicion of a leaving host that answered; others
// must refute, since their suspicion is known to all.
func (m *Machine) clearLeavingSuspicion(h types.Host) {
	if about, ok := m.table.get(h); ok && about.State == Leaving {
		m.clearSuspicion(h)
	}
}

// probeFor pings a host for another one.
func (m *Machine) probeFor(now types.Time, from Member, req PingReq) {
	p := &m.prober
	p.forwards = slices.DeleteFunc(p.forwards, func(f forward) bool { return !now.Before(f.until) })
	if len(p.forwards) >= maxForwards {
		return
	}
	p.seq++
	p.forwards = append(p.forwards, forward{
		seq:     p.seq,
		address: from.GossipAddress,
		theirs:  req.Seq,
		until:   now.Add(probePeriod),
	})
	m.sendTo(req.Address, Ping{Seq: p.seq, Updates: m.updates(req.Target)})
}
