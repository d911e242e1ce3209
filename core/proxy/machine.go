package proxy

import (
	"fmt"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

const (
	// busyTickInterval is the time between ticks while something waits for time to pass.
	busyTickInterval = 40 * time.Millisecond
	// activeTickInterval is the time between ticks while requests are outstanding.
	activeTickInterval = 100 * time.Millisecond
	// idleTickInterval is the time between ticks of a host that has nothing to do.
	idleTickInterval = 250 * time.Millisecond
)

// Settings configure the machine.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	// MeshAddress and Started describe this incarnation of the host to others.
	MeshAddress string
	Started     int64
	// Power is the host's processor in thousandths of a core; 0 where unknown.
	Power int
	// Seed starts the random numbers.
	Seed uint64
	// Decoder decodes the objects of the platform's store.
	Decoder Decoder
}

// Machine decides for one host. One task owns it.
type Machine struct {
	settings Settings
	now      types.Time
	rng      random.Source
	catalog  *catalog.Catalog
	mirror   *feed.Mirror

	sessions map[SessionID]*session
	requests map[RequestID]*request
	// deferred are the requests that wait for a primary or an owner.
	deferred []*request
	// stats is what the host knows of endpoints as an entry.
	stats map[types.Endpoint]*endpointStats
	// ownerCache caches the owner of each endpoint.
	ownerCache map[types.Endpoint]types.Host

	owned map[types.Endpoint]*ownedEndpoint
	// ownedInOrder holds the same in the order of their beginning.
	ownedInOrder []*ownedEndpoint
	controlConns map[types.Endpoint]*controlConn
	// conns tells to which endpoint a connection belongs.
	conns    map[pool.ConnID]connTarget
	jobs     map[pool.RequestID]*job
	ownedTxs map[txKey]*ownedTx
	services map[types.Service]*serviceState
	// restarts are the endpoints that have, or may have, restarted.
	restarts map[types.Endpoint]restartRecord
	// reachabilityRequesters are the hosts that wait to hear whether an endpoint is in use.
	reachabilityRequesters map[types.Endpoint][]types.Host

	peers   map[types.Host]*peer
	gossip  gossipState
	refresh refreshState
	stop    stopState

	nextRequestID RequestID
	nextTxID      TxID
	nextConnID    pool.ConnID
	nextJobID     pool.RequestID
	nextPoolTxID  pool.TxID

	// tickNow asks for a tick at once; tickedAt is the time of the last one.
	tickNow    bool
	lastTickAt types.Time
	// localMessages are messages that the host sends to itself.
	localMessages []Message
	effects       []Effect
}

// connTarget is where the events of a connTarget go.
type connTarget struct {
	endpoint  types.Endpoint
	isControl bool
}

// New returns a machine that knows nothing yet.
func New(set Settings) *Machine {
	return &Machine{
		settings:     set,
		rng:          random.New(set.Seed),
		catalog:      catalog.New(),
		mirror:       feed.New(),
		sessions:     map[SessionID]*session{},
		requests:     map[RequestID]*request{},
		stats:        map[types.Endpoint]*endpointStats{},
		ownerCache:   map[types.Endpoint]types.Host{},
		owned:        map[types.Endpoint]*ownedEndpoint{},
		controlConns: map[types.Endpoint]*controlConn{},
		conns:        map[pool.ConnID]connTarget{},
		jobs:         map[pool.RequestID]*job{},
		ownedTxs:     map[txKey]*ownedTx{},
		services:     map[types.Service]*serviceState{},

		restarts:               map[types.Endpoint]restartRecord{},
		reachabilityRequesters: map[types.Endpoint][]types.Host{},

		peers:   map[types.Host]*peer{},
		gossip:  gossipState{gaps: map[feed.Kind]*revisionGap{}, newestRevisions: map[feed.Kind]uint64{}},
		refresh: newRefreshState(),
	}
}

// Step applies an event and returns its effects.
func (m *Machine) Step(now types.Time, ev Event) []Effect {
	m.now = max(now, m.now)
	m.effects = nil
	m.handleEvent(ev)
	m.processInternal()
	return m.effects
}

func (m *Machine) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case CallerStarted:
		m.callerStarted(ev)
	case CallerQuery:
		m.callerQuery(ev)
	case CallerDisconnected:
		m.callerDisconnected(ev.Session)
	case PeerMessage:
		m.messageReceived(ev.From, ev.Message)
	case PeerDisconnected:
		m.peerDisconnected(ev.Host)
	case PeerInboundClosed:
		m.endTxsOfHost(ev.Host)
	case EndpointConnected, EndpointRefused, EndpointReplied, EndpointStatus, EndpointDisconnected:
		m.endpointEvent(ev)
	case StoreChanges:
		m.applyChanges(ev.Changes)
	case StoreReadResult:
		m.handleStoreRead(ev)
	case ClaimResult:
		m.claimResult(ev)
	case PromoteResult:
		m.promoteResult(ev)
	case Stop:
		m.beginStop(ev.Grace)
	case Tick:
		m.tick()
	default:
		panic(fmt.Sprintf("proxy: event %T is not known", ev))
	}
}

// processInternal carries out what the event has caused inside the host: effects of the
// pools, and messages to the host itself.
func (m *Machine) processInternal() {
	for {
		progressed := false
		for _, o := range m.ownedInOrder {
			progressed = m.applyPoolEffects(o) || progressed
		}
		local := m.localMessages
		m.localMessages = nil
		for _, msg := range local {
			progressed = true
			m.messageReceived(m.settings.Host, msg)
		}
		if !progressed {
			return
		}
	}
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// sendToHost sends a message to a host; one to the host itself is handled at the end
// of the step.
func (m *Machine) sendToHost(h types.Host, msg Message) {
	if h == m.settings.Host {
		m.localMessages = append(m.localMessages, msg)
		return
	}
	host, ok := m.catalog.Host(h)
	if !ok {
		m.log(Warn, "message not sent", f("peer", h), f("reason", "host has no record"))
		return
	}
	p := m.peerFor(h)
	if !p.helloSent {
		p.helloSent = true
		hello := Hello{DataCentre: m.settings.DataCentre, MeshAddress: m.settings.MeshAddress, Started: m.settings.Started, Power: m.settings.Power}
		m.emit(PeerSend{Host: h, Address: host.MeshAddress, Message: hello})
	}
	m.emit(PeerSend{Host: h, Address: host.MeshAddress, Message: msg})
}

// tick does what time has made due.
func (m *Machine) tick() {
	m.tickNow, m.lastTickAt = false, m.now
	for _, id := range m.catalog.Expire(m.now) {
		m.log(Info, "endpoint gone", f("endpoint", id))
		m.endpointRemoved(id)
	}
	m.tickSessions()
	m.tickRequests()
	for _, o := range ordered(m.owned) {
		o.pool.Tick(m.now)
	}
	m.tickControlConns()
	m.tickOwned()
	m.tickFailovers()
	m.tickPeers()
	m.tickGossip()
	m.tickRefresh()
	m.tickStop()
}

// NextWake returns when the machine wants its next Tick. It counts from the last
// one, so that a stream of other events does not put it off.
func (m *Machine) NextWake() types.Time {
	if m.tickNow {
		return m.now
	}
	at := m.lastTickAt.Add(idleTickInterval)
	switch {
	case len(m.deferred) > 0 || m.failoverActive() || m.stop.begun || m.gossip.hasWork():
		at = m.lastTickAt.Add(busyTickInterval)
	case len(m.requests) > 0 || len(m.jobs) > 0 || m.hasPendingCommands():
		at = m.lastTickAt.Add(activeTickInterval)
	}
	for _, o := range m.ownedInOrder {
		if wake, ok := o.pool.NextWake(); ok && wake.Before(at) {
			at = wake
		}
	}
	return at
}

// Ready reports whether callers can be served.
func (m *Machine) Ready() bool { return m.notReady() == "" }

func (m *Machine) hasEndpoint() bool {
	for _, s := range m.catalog.Services() {
		if len(m.catalog.EndpointsOf(s)) > 0 {
			return true
		}
	}
	return false
}
