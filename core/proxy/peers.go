package proxy

import (
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

const (
	// pingDelay is the time without a message after which a host with pending replies is
	// pinged.
	pingDelay = 150 * time.Millisecond
	// pingTimeout is the time after a ping in which a message must arrive.
	pingTimeout = 450 * time.Millisecond
	// reopenDelay is the time after a ping without any message after which the links to and from
	// the host are replaced: one of them may have fallen silent, while new ones work. The
	// replies pending on the old ones are waited for until pingTimeout.
	reopenDelay = 80 * time.Millisecond
	// reopenInterval is the minimum time between two replacements of a link.
	reopenInterval = 500 * time.Millisecond
	// minProbeInterval and maxProbeInterval bound the time between pings to a host that is
	// down. The interval doubles after each ping.
	minProbeInterval = 300 * time.Millisecond
	maxProbeInterval = 5 * time.Second
	// pingFanout is the number of other hosts that are pinged together with an unresponsive
	// host of their data centre, since often a whole data centre becomes unreachable at once.
	pingFanout = 8
)

// peer is what this host knows of another host.
type peer struct {
	lastReceivedAt types.Time
	// helloSent is set once a Hello has been sent on the current link.
	helloSent bool
	// pendingReplies is the number of replies expected from the host.
	pendingReplies int
	pingSentAt     types.Time
	// reopenedAt is when the link to the host was last replaced.
	reopenedAt types.Time
	// down is set from the time at which the host became unresponsive or disconnected until a
	// message from it arrives. A host that is down is not used. It may be alive, since only
	// its connection to this host is known to have failed.
	down          bool
	nextProbeAt   types.Time
	probeInterval time.Duration
	// leavingIncarnation is the incarnation that has announced that it is leaving; 0 for none.
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

// isUsable reports whether a host can own endpoints, as far as this host knows.
func (m *Machine) isUsable(h catalog.Host) bool {
	if h.ID == m.settings.Host {
		return !m.stop.begun
	}
	p := m.peers[h.ID]
	if h.Leaving || m.isUnreachable(h.DataCentre) {
		return false
	}
	return p == nil || (!p.down && (p.leavingIncarnation == 0 || p.leavingIncarnation != h.StartedUnixMs))
}

func (m *Machine) handleMessage(from types.Host, msg Message) {
	m.markPeerUp(from)
	switch msg := msg.(type) {
	case Hello:
		m.handleHello(from, msg)
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
	case ReopenLink:
		m.reopenLink(from, false)
		m.sendToHost(from, Pong{})
	case OutstandingRequests:
		m.handleOutstandingRequests(from, msg)
	case RequestsNotReceived:
		m.handleRequestsNotReceived(from, msg)
	case Leaving:
		m.markPeerLeaving(from)
	case Digest, ChangesRequest, ChangesResponse:
		m.handleGossip(from, msg)
	case MissingEndpointsRequest:
		m.handleMissingEndpointsRequest(from)
	case MissingEndpointsResponse:
		m.handleMissingEndpointsResponse(from, msg)
	case ReleasePrimary:
		m.handleReleasePrimary(from, msg)
	case LimitReport, LimitGrant:
		m.handleLimitMessage(from, msg)
	case ReachabilityRequest:
		m.handleReachabilityRequest(from, msg)
	case ReachabilityResponse:
		m.handleReachabilityResponse(from, msg)
	}
}

// handleHello adds a host that the store has not reported yet, or not in its current
// incarnation.
func (m *Machine) handleHello(from types.Host, h Hello) {
	old, known := m.catalog.Host(from)
	if known && old.StartedUnixMs >= h.StartedUnixMs {
		return
	}
	m.log(Info, "host added from hello", field("peer", from), field("data_centre", h.DataCentre), field("started", h.StartedUnixMs))
	m.catalog.SetHost(catalog.Host{ID: from, DataCentre: h.DataCentre, MeshAddress: h.MeshAddress, StartedUnixMs: h.StartedUnixMs, CPUMillicores: h.CPUMillicores, AuthorityRules: h.AuthorityRules, WorkspaceRules: h.WorkspaceRules})
	m.clearOwnerCache()
}

// markPeerUp records that a message from a host has arrived. A host that was down is used
// again.
func (m *Machine) markPeerUp(h types.Host) {
	if h == m.settings.Host {
		return
	}
	p := m.peerFor(h)
	p.lastReceivedAt, p.pingSentAt = m.now, 0
	m.recordHeard(h)
	if p.down {
		p.down = false
		m.log(Info, "host reachable again", field("peer", h))
		m.clearOwnerCache()
	}
}

// expectReply adds a reply to those that are pending from a host.
func (m *Machine) expectReply(h types.Host) {
	if h != m.settings.Host {
		p := m.peerFor(h)
		if p.pendingReplies == 0 {
			// The time without a message counts from the oldest pending request.
			p.lastReceivedAt = max(p.lastReceivedAt, m.now)
		}
		p.pendingReplies++
	}
}

// dropExpectedReply removes a reply from those that are pending from a host.
func (m *Machine) dropExpectedReply(h types.Host) {
	if p := m.peers[h]; p != nil && p.pendingReplies > 0 {
		p.pendingReplies--
	}
}

// markPeerLeaving records that a host accepts no new work.
func (m *Machine) markPeerLeaving(h types.Host) {
	host, ok := m.catalog.Host(h)
	if !ok {
		return
	}
	m.peerFor(h).leavingIncarnation = host.StartedUnixMs
	m.log(Info, "host announced that it is leaving", field("peer", h))
	m.clearOwnerCache()
	m.retryDeferred(true)
}

// handlePeerDisconnected handles a broken connection to another host. The replies pending on
// it will not arrive.
func (m *Machine) handlePeerDisconnected(h types.Host) {
	m.log(Info, "host lost", field("peer", h), field("owed", m.peerFor(h).pendingReplies))
	m.markPeerDown(h)
}

// markPeerDown stops using a host until a message from it arrives.
func (m *Machine) markPeerDown(h types.Host) {
	p := m.peerFor(h)
	if !p.down {
		p.down, p.probeInterval = true, minProbeInterval
		p.nextProbeAt = m.now.Add(p.probeInterval)
	}
	p.pingSentAt, p.pendingReplies, p.helloSent = 0, 0, false
	m.removeGossipSource(h)
	m.clearOwnerCache()
	m.handleOwnerDisconnect(h)
	m.endTxsOfHost(h, func(*ownedTx) bool { return true })
}

// isAwaitingPong reports whether a host has not responded to a ping.
func (m *Machine) isAwaitingPong() bool {
	for _, p := range m.peers {
		if p.pingSentAt != 0 {
			return true
		}
	}
	return false
}

// tickPeers pings hosts that have sent nothing for pingDelay while replies are pending, and
// marks those that do not reply within pingTimeout as down.
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
			m.log(Warn, "host silent", field("peer", host.ID), field("silent", m.now.Sub(p.lastReceivedAt)), field("owed", p.pendingReplies))
			m.emit(PeerClose{Host: host.ID})
			m.markPeerDown(host.ID)
		case p.pingSentAt != 0 && m.now.Sub(p.pingSentAt) > reopenDelay && p.reopenedAt.Before(p.pingSentAt):
			m.log(Info, "link replaced", field("peer", host.ID), field("silent", m.now.Sub(p.lastReceivedAt)), field("owed", p.pendingReplies))
			m.incrementCounter("baobab_links_replaced_total")
			m.reopenLink(host.ID, true)
			m.sendToHost(host.ID, Ping{})
		case p.pingSentAt == 0 && p.pendingReplies > 0 && m.now.Sub(p.lastReceivedAt) > pingDelay:
			m.pingDataCentre(host)
		}
	}
}

// handleResume restarts the waits for other hosts after this process has not run for some
// time: what they have sent meanwhile has not been read yet, so their silence proves nothing.
func (m *Machine) handleResume(pause time.Duration) {
	m.log(Warn, "host resumed", field("paused", pause))
	for _, p := range m.peers {
		if p.pingSentAt != 0 {
			p.pingSentAt = m.now
		}
		p.lastReceivedAt = max(p.lastReceivedAt, m.now)
	}
	m.restartProbes()
}

// probePeer pings a host that is down.
func (m *Machine) probePeer(h types.Host, p *peer) {
	if m.now.Before(p.nextProbeAt) {
		return
	}
	p.probeInterval = min(2*p.probeInterval, maxProbeInterval)
	p.nextProbeAt = m.now.Add(p.probeInterval)
	m.sendToHost(h, ReopenLink{})
	m.sendToHost(h, Ping{})
}

// reopenLink replaces the link to a host, unless that was done just before, and settles the
// requests that were sent on the old one. askPeer requests that the host do the same.
func (m *Machine) reopenLink(h types.Host, askPeer bool) {
	p := m.peerFor(h)
	if isRecent(m.now, p.reopenedAt, reopenInterval) {
		return
	}
	p.reopenedAt, p.helloSent = m.now, false
	m.emit(PeerReopen{Host: h})
	if askPeer {
		m.sendToHost(h, ReopenLink{})
	}
	m.queryOutstanding(h)
}

// pingDataCentre pings an unresponsive host and other hosts of its data centre that have sent
// nothing for pingDelay.
func (m *Machine) pingDataCentre(unresponsive catalog.Host) {
	m.pingHost(unresponsive.ID)
	for _, h := range random.Sample(&m.rng, m.otherHosts(unresponsive.DataCentre), pingFanout) {
		if p := m.peerFor(h); p.pingSentAt == 0 && m.now.Sub(p.lastReceivedAt) > pingDelay {
			m.pingHost(h)
		}
	}
}

func (m *Machine) pingHost(h types.Host) {
	m.peerFor(h).pingSentAt = m.now
	m.sendToHost(h, Ping{})
}
