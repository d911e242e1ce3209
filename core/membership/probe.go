package membership

import (
	"slices"
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// Timing and fan-out of the probes.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 150 * time.Millisecond
	// indirectProbeFanout is the number of peers requested to probe an unresponsive
	// host.
	indirectProbeFanout = 3
	// maxForwardedProbes bounds the probes in flight on behalf of other hosts.
	maxForwardedProbes = 64
	// seedFanout is the number of seeds contacted at a time.
	seedFanout = 3
)

// prober is the state of the probes.
type prober struct {
	nextRoundAt types.Time
	seq         uint64
	// probeOrder lists the hosts still to be probed in this pass.
	probeOrder []types.Host
	current    probe
	forwarded  []forwardedProbe
}

// probe is the probe in flight; its host is empty if there is none.
type probe struct {
	host         types.Host
	seq          uint64
	indirectAt   types.Time
	indirectSent bool
}

// forwardedProbe is a probe in flight on behalf of another host.
type forwardedProbe struct {
	seq              uint64
	requesterAddress string
	// requesterSeq is the sequence number that the requesting host expects in the Ack.
	requesterSeq uint64
	expiresAt    types.Time
}

func (p *prober) nextWake() types.Time {
	if p.current.host != "" && !p.current.indirectSent {
		return min(p.nextRoundAt, p.current.indirectAt)
	}
	return p.nextRoundAt
}

// advanceProbe starts the indirect probes of an unresponsive host, and the next round,
// when they are due.
func (m *Machine) advanceProbe(now types.Time) {
	p := &m.prober
	if p.current.host != "" && !p.current.indirectSent && !now.Before(p.current.indirectAt) {
		m.probeIndirectly()
	}
	if now.Before(p.nextRoundAt) {
		return
	}
	m.suspectUnresponsive(now)
	m.startProbeRound(now)
}

// probeIndirectly requests some peers to probe the unresponsive host.
func (m *Machine) probeIndirectly() {
	p := &m.prober
	p.current.indirectSent = true
	target, ok := m.table.get(p.current.host)
	if !ok {
		return
	}
	helpers := slices.DeleteFunc(m.peers(), func(h types.Host) bool { return h == target.Host })
	for _, h := range random.Sample(&m.random, helpers, indirectProbeFanout) {
		m.sendToHost(h, PingReq{Seq: p.current.seq, Target: target.Host, Address: target.GossipAddress})
	}
}

// suspectUnresponsive suspects the host that has not responded in this round. A host
// that only the platform's list names is removed instead.
func (m *Machine) suspectUnresponsive(now types.Time) {
	h := m.prober.current.host
	m.prober.current = probe{}
	member, known := m.table.get(h)
	if !known {
		return
	}
	switch {
	case member.Incarnation == 0:
		m.table.remove(h)
	case member.State == Alive:
		member.State = Suspect
		m.applyUpdate(now, member, true)
	case member.State == Leaving && !m.hasSuspicion(h):
		m.startSuspicion(now, member)
	}
}

// hasSuspicion reports whether a suspicion of the host is pending.
func (m *Machine) hasSuspicion(h types.Host) bool {
	return slices.ContainsFunc(m.suspicions, func(s suspicion) bool { return s.host == h })
}

// startProbeRound starts a round with a probe of the next host.
func (m *Machine) startProbeRound(now types.Time) {
	p := &m.prober
	if p.nextRoundAt == 0 {
		// The first round starts at a random time, so that hosts that start together do
		// not probe at the same time.
		p.nextRoundAt = now.Add(time.Duration(m.random.IntN(int(probeInterval))))
		return
	}
	p.nextRoundAt = now.Add(probeInterval)
	if !m.joined {
		m.contactSeeds()
	}
	h, ok := m.nextProbeTarget()
	if !ok {
		return
	}
	p.seq++
	p.current = probe{host: h, seq: p.seq, indirectAt: now.Add(probeTimeout)}
	m.sendToHost(h, Ping{Seq: p.seq, Updates: m.piggybackUpdates(h)})
}

// nextProbeTarget returns the next host to probe: every host of the data centre once in
// each pass, in an order that is new for each pass.
func (m *Machine) nextProbeTarget() (types.Host, bool) {
	p := &m.prober
	for range 2 {
		for len(p.probeOrder) > 0 {
			h := p.probeOrder[0]
			p.probeOrder = p.probeOrder[1:]
			member, known := m.table.get(h)
			if known && member.State != Dead {
				return h, true
			}
		}
		p.probeOrder = m.shuffledProbeTargets()
	}
	return "", false
}

// shuffledProbeTargets returns the other hosts of the data centre that are not dead, in
// random order.
func (m *Machine) shuffledProbeTargets() []types.Host {
	var order []types.Host
	for _, i := range m.table.selectRecords(m.self.DataCentre, func(r record) bool { return r.state != Dead }) {
		h := types.Host(m.table.records[i].host())
		if h != m.self.Host {
			order = append(order, h)
		}
	}
	random.Shuffle(&m.random, order)
	return order
}

// handleAck ends a probe, or forwards the Ack to the host that requested the probe.
func (m *Machine) handleAck(seq uint64) {
	p := &m.prober
	if seq == p.current.seq && p.current.host != "" {
		m.clearLeavingSuspicion(p.current.host)
		p.current = probe{}
		return
	}
	for i, f := range p.forwarded {
		if f.seq == seq {
			m.sendToAddress(f.requesterAddress, Ack{Seq: f.requesterSeq})
			p.forwarded = slices.Delete(p.forwarded, i, i+1)
			return
		}
	}
}

// clearLeavingSuspicion ends the suspicion of a leaving host that has responded. That
// suspicion is local to this machine. A host in state Suspect must refute instead, since
// that state has been sent to other hosts.
func (m *Machine) clearLeavingSuspicion(h types.Host) {
	if member, ok := m.table.get(h); ok && member.State == Leaving {
		m.clearSuspicion(h)
	}
}

// forwardProbe pings a host on behalf of another one.
func (m *Machine) forwardProbe(now types.Time, from Member, req PingReq) {
	p := &m.prober
	p.forwarded = slices.DeleteFunc(p.forwarded, func(f forwardedProbe) bool { return !now.Before(f.expiresAt) })
	if len(p.forwarded) >= maxForwardedProbes {
		return
	}
	p.seq++
	p.forwarded = append(p.forwarded, forwardedProbe{
		seq:              p.seq,
		requesterAddress: from.GossipAddress,
		requesterSeq:     req.Seq,
		expiresAt:        now.Add(probeInterval),
	})
	m.sendToAddress(req.Address, Ping{Seq: p.seq, Updates: m.piggybackUpdates(req.Target)})
}
