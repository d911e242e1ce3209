package proxy

import (
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

const (
	// quietPeer is the time after which a host that owes answers is asked for a
	// sign of life.
	quietPeer = 250 * time.Millisecond
	// pingTimeout is the time in which it has to give one.
	pingTimeout = 450 * time.Millisecond
	// firstProbe and lastProbe bound the time between two questions to a host that
	// is left out; it doubles.
	firstProbe = 300 * time.Millisecond
	lastProbe  = 5 * time.Second
	// neighbours is the number of hosts in the data centre of a quiet host that are
	// asked with it: a whole data centre is often cut off at once.
	neighbours = 8
)

// peer is what this host knows of another one.
type peer struct {
	heardAt types.Time
	// greeted is set once the link to the host has begun with a Hello.
	greeted bool
	// owes counts the answers that the host owes.
	owes   int
	pingAt types.Time
	// down is set while the host is left out: from its silence, or the end of its
	// connection, until something is heard of it.
	down    bool
	probeAt types.Time
	probe   time.Duration
	// leaving is the incarnation that has said that it leaves.
	leaving int64
}

func (m *Machine) peer(h types.Host) *peer {
	p := m.peers[h]
	if p == nil {
		p = &peer{}
		m.peers[h] = p
	}
	return p
}

// usable reports whether a host can own endpoints, as far as this one knows.
func (m *Machine) usable(h catalog.Host) bool {
	if h.ID == m.set.Host {
		return !m.stop.begun
	}
	p := m.peers[h.ID]
	if h.Leaving {
		return false
	}
	return p == nil || (!p.down && (p.leaving == 0 || p.leaving != h.StartedUnixMs))
}

func (m *Machine) peerMessage(from types.Host, msg Message) {
	m.heard(from)
	switch msg := msg.(type) {
	case Hello:
		m.introduced(from, msg)
	case Exec:
		m.exec(from, msg)
	case Done:
		m.done(from, msg)
	case EndTx:
		m.ownedTxEnded(from, msg.Tx)
	case AskPosition:
		m.askPosition(from, msg)
	case Position:
		m.position(msg)
	case Ping:
		m.send(from, Pong{})
	case Pong:
	case Leaving:
		m.peerLeaving(from)
	case Digest:
		m.digest(from, msg)
	case AskChanges:
		m.changesAsked(from, msg)
	case Changes:
		for _, c := range msg.Kinds {
			m.changes(c)
		}
	case AskReach:
		m.reachAsked(from, msg)
	case Reach:
		m.reachAnswered(from, msg)
	}
}

// introduced learns of a host that the store has not told of, or not as it is now.
func (m *Machine) introduced(from types.Host, h Hello) {
	old, known := m.cat.Host(from)
	if known && old.StartedUnixMs >= h.Started {
		return
	}
	m.log(Info, "host introduced", f("peer", from), f("data_centre", h.DataCentre), f("started", h.Started))
	m.cat.SetHost(catalog.Host{ID: from, DataCentre: h.DataCentre, MeshAddress: h.MeshAddress, StartedUnixMs: h.Started, CPUMillicores: h.Power})
	m.ownersChanged()
}

func (m *Machine) heard(h types.Host) {
	if h == m.set.Host {
		return
	}
	p := m.peer(h)
	p.heardAt, p.pingAt = m.now, 0
	if p.down {
		p.down = false
		m.log(Info, "host back", f("peer", h))
		m.ownersChanged()
	}
}

// expect and unexpect count the answers that a host owes.
func (m *Machine) expect(h types.Host) {
	if h != m.set.Host {
		p := m.peer(h)
		if p.owes == 0 {
			// Silence counts from the oldest question on.
			p.heardAt = max(p.heardAt, m.now)
		}
		p.owes++
	}
}

func (m *Machine) unexpect(h types.Host) {
	if p := m.peers[h]; p != nil && p.owes > 0 {
		p.owes--
	}
}

// peerLeaving notes that a host takes no new work.
func (m *Machine) peerLeaving(h types.Host) {
	host, ok := m.cat.Host(h)
	if !ok {
		return
	}
	m.peer(h).leaving = host.StartedUnixMs
	m.log(Info, "host leaves", f("peer", h))
	m.ownersChanged()
	m.retryParked(true)
}

// peerLost handles a broken connection to another host: what was outstanding on
// it is lost.
func (m *Machine) peerLost(h types.Host) {
	m.log(Info, "host lost", f("peer", h), f("owed", m.peer(h).owes))
	m.peerDown(h)
}

// peerDown leaves a host out until it gives a sign of life.
func (m *Machine) peerDown(h types.Host) {
	p := m.peer(h)
	if !p.down {
		p.down, p.probe = true, firstProbe
		p.probeAt = m.now.Add(p.probe)
	}
	p.pingAt, p.owes, p.greeted = 0, 0, false
	m.tellerLost(h)
	m.ownersChanged()
	m.ownerLost(h)
	m.peerTxsEnded(h)
}

// tickPeers looks after hosts that owe answers and are silent.
func (m *Machine) tickPeers() {
	for _, host := range m.cat.Hosts() {
		p := m.peers[host.ID]
		if p == nil {
			continue
		}
		switch {
		case p.down:
			m.probePeer(host.ID, p)
		case p.pingAt != 0 && m.now.Sub(p.pingAt) > pingTimeout:
			m.log(Warn, "host silent", f("peer", host.ID), f("silent", m.now.Sub(p.heardAt)), f("owed", p.owes))
			m.emit(PeerDrop{Host: host.ID})
			m.peerDown(host.ID)
		case p.pingAt == 0 && p.owes > 0 && m.now.Sub(p.heardAt) > quietPeer:
			m.pingWithNeighbours(host)
		}
	}
}

// probePeer asks a host that is left out for a sign of life.
func (m *Machine) probePeer(h types.Host, p *peer) {
	if m.now.Before(p.probeAt) {
		return
	}
	p.probe = min(2*p.probe, lastProbe)
	p.probeAt = m.now.Add(p.probe)
	m.send(h, Ping{})
}

// pingWithNeighbours asks a quiet host, and others of its data centre that have
// not been heard lately, for a sign of life.
func (m *Machine) pingWithNeighbours(quiet catalog.Host) {
	m.ping(quiet.ID)
	for _, h := range random.Pick(&m.rng, m.otherHosts(quiet.DataCentre), neighbours) {
		if p := m.peer(h); p.pingAt == 0 && m.now.Sub(p.heardAt) > quietPeer {
			m.ping(h)
		}
	}
}

func (m *Machine) ping(h types.Host) {
	m.peer(h).pingAt = m.now
	m.send(h, Ping{})
}
