package proxy

import (
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

const (
	// pingAfter is the time after which a host that owes answers is asked for a
	// sign of life.
	pingAfter = 250 * time.Millisecond
	// pingTimeout is the time in which it has to give one.
	pingTimeout = 450 * time.Millisecond
	// minProbeInterval and lastProbe bound the time between two questions to a host that
	// is left out; it doubles.
	minProbeInterval = 300 * time.Millisecond
	maxProbeInterval = 5 * time.Second
	// pingFanout is the number of hosts in the data centre of a quiet host that are
	// asked with it: a whole data centre is often cut off at once.
	pingFanout = 8
)

// peer is what this host knows of another one.
type peer struct {
	lastHeardAt types.Time
	// helloSent is set once the link to the host has begun with a Hello.
	helloSent bool
	// pendingReplies counts the answers that the host pendingReplies.
	pendingReplies int
	pingSentAt     types.Time
	// down is set while the host is left out: from its silence, or the end of its
	// connection, until something is heard of it.
	down          bool
	nextProbeAt   types.Time
	probeInterval time.Duration
	// leavingIncarnation is the incarnation that has said that it leaves.
	leavingIncarnation int64
}

func (m *Machine) peerFor(h types.Host) *peer {
	p := m.peers[h]
	if p == nil {
		p = &peer{}
		m.peers[h] = p
	}
	return p
}

// isUsable reports whether a host can own endpoints, as far as this one knows.
func (m *Machine) isUsable(h catalog.Host) bool {
	if h.ID == m.settings.Host {
		return !m.stop.begun
	}
	p := m.peers[h.ID]
	if h.Leaving {
		return false
	}
	return p == nil || (!p.down && (p.leavingIncarnation == 0 || p.leavingIncarnation != h.Started))
}

func (m *Machine) messageReceived(from types.Host, msg Message) {
	m.peerHeard(from)
	switch msg := msg.(type) {
	case Hello:
		m.helloReceived(from, msg)
	case ExecRequest:
		m.handleExec(from, msg)
	case ExecResult:
		m.handleResult(from, msg)
	case EndTx:
		m.endOwnedTx(from, msg.Tx)
	case PositionRequest:
		m.handlePositionRequest(from, msg)
	case PositionResponse:
		m.handlePositionResponse(msg)
	case Ping:
		m.sendToHost(from, Pong{})
	case Pong:
	case Leaving:
		m.peerLeaving(from)
	case Digest:
		m.digestReceived(from, msg)
	case ChangesRequest:
		m.handleChangesRequest(from, msg)
	case ChangesResponse:
		for _, c := range msg.Kinds {
			m.applyChanges(c)
		}
	case ReachabilityRequest:
		m.handleReachabilityRequest(from, msg)
	case ReachabilityResponse:
		m.handleReachabilityResponse(from, msg)
	}
}

// helloReceived learns of a host that the store has not told of, or not as it is now.
func (m *Machine) helloReceived(from types.Host, h Hello) {
	old, known := m.catalog.Host(from)
	if known && old.Started >= h.Started {
		return
	}
	m.log(Info, "host introduced", f("peer", from), f("data_centre", h.DataCentre), f("started", h.Started))
	m.catalog.SetHost(catalog.Host{ID: from, DataCentre: h.DataCentre, MeshAddress: h.MeshAddress, Started: h.Started, Power: h.Power})
	m.clearOwnerCache()
}

func (m *Machine) peerHeard(h types.Host) {
	if h == m.settings.Host {
		return
	}
	p := m.peerFor(h)
	p.lastHeardAt, p.pingSentAt = m.now, 0
	if p.down {
		p.down = false
		m.log(Info, "host back", f("peer", h))
		m.clearOwnerCache()
	}
}

// expectReply and unexpect count the answers that a host owes.
func (m *Machine) expectReply(h types.Host) {
	if h != m.settings.Host {
		p := m.peerFor(h)
		if p.pendingReplies == 0 {
			// Silence counts from the oldest question on.
			p.lastHeardAt = max(p.lastHeardAt, m.now)
		}
		p.pendingReplies++
	}
}

func (m *Machine) dropExpectedReply(h types.Host) {
	if p := m.peers[h]; p != nil && p.pendingReplies > 0 {
		p.pendingReplies--
	}
}

// peerLeaving notes that a host takes no new work.
func (m *Machine) peerLeaving(h types.Host) {
	host, ok := m.catalog.Host(h)
	if !ok {
		return
	}
	m.peerFor(h).leavingIncarnation = host.Started
	m.log(Info, "host leaves", f("peer", h))
	m.clearOwnerCache()
	m.retryDeferred(true)
}

// peerDisconnected handles a broken connection to another host: what was outstanding on
// it is lost.
func (m *Machine) peerDisconnected(h types.Host) {
	m.log(Info, "host lost", f("peer", h), f("owed", m.peerFor(h).pendingReplies))
	m.markPeerDown(h)
}

// markPeerDown leaves a host out until it gives a sign of life.
func (m *Machine) markPeerDown(h types.Host) {
	p := m.peerFor(h)
	if !p.down {
		p.down, p.probeInterval = true, minProbeInterval
		p.nextProbeAt = m.now.Add(p.probeInterval)
	}
	p.pingSentAt, p.pendingReplies, p.helloSent = 0, 0, false
	m.sourceDisconnected(h)
	m.clearOwnerCache()
	m.ownerDisconnected(h)
	m.endTxsOfHost(h)
}

// tickPeers looks after hosts that owe answers and are silent.
func (m *Machine) tickPeers() {
	for _, host := range m.catalog.Hosts() {
		p := m.peers[host.ID]
		if p == nil {
			continue
		}
		switch {
		case p.down:
			m.probePeer(host.ID, p)
		case p.pingSentAt != 0 && m.now.Sub(p.pingSentAt) > pingTimeout:
			m.log(Warn, "host silent", f("peer", host.ID), f("silent", m.now.Sub(p.lastHeardAt)), f("owed", p.pendingReplies))
			m.emit(PeerClose{Host: host.ID})
			m.markPeerDown(host.ID)
		case p.pingSentAt == 0 && p.pendingReplies > 0 && m.now.Sub(p.lastHeardAt) > pingAfter:
			m.pingDataCentre(host)
		}
	}
}

// probePeer asks a host that is left out for a sign of life.
func (m *Machine) probePeer(h types.Host, p *peer) {
	if m.now.Before(p.nextProbeAt) {
		return
	}
	p.probeInterval = min(2*p.probeInterval, maxProbeInterval)
	p.nextProbeAt = m.now.Add(p.probeInterval)
	m.sendToHost(h, Ping{})
}

// pingDataCentre asks a quiet host, and others of its data centre that have
// not been heard lately, for a sign of life.
func (m *Machine) pingDataCentre(quiet catalog.Host) {
	m.pingHost(quiet.ID)
	for _, h := range random.Pick(&m.rng, m.otherHosts(quiet.DataCentre), pingFanout) {
		if p := m.peerFor(h); p.pingSentAt == 0 && m.now.Sub(p.lastHeardAt) > pingAfter {
			m.pingHost(h)
		}
	}
}

func (m *Machine) pingHost(h types.Host) {
	m.peerFor(h).pingSentAt = m.now
	m.sendToHost(h, Ping{})
}
