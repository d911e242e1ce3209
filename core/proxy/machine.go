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
	// busyWake is the time between ticks while something waits for time to pass.
	busyWake = 40 * time.Millisecond
	// activeWake is the time between ticks while requests are outstanding.
	activeWake = 100 * time.Millisecond
	// idleWake is the time between ticks of a host that has nothing to do.
	idleWake = 250 * time.Millisecond
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
	set    Settings
	now    types.Time
	rng    random.Source
	cat    *catalog.Catalog
	mirror *feed.Mirror

	sessions map[SessionID]*session
	requests map[RequestID]*request
	// parked are the requests that wait for a primary or an owner.
	parked []*request
	// places is what the host knows of endpoints as an entry.
	places map[types.Endpoint]*place
	// owners caches the owner of each endpoint.
	owners map[types.Endpoint]types.Host

	owned map[types.Endpoint]*owned
	// ownedList holds the same in the order of their beginning.
	ownedList []*owned
	controls  map[types.Endpoint]*control
	// conns tells to which endpoint a connection belongs.
	conns    map[pool.ConnID]connection
	jobs     map[pool.RequestID]*job
	txs      map[txKey]*ownedTx
	services map[types.Service]*service
	// restarts are the endpoints that have, or may have, restarted.
	restarts map[types.Endpoint]restart
	// reachAskers are the hosts that wait to hear whether an endpoint is in use.
	reachAskers map[types.Endpoint][]types.Host

	peers   map[types.Host]*peer
	gossip  gossip
	refresh refreshing
	stop    stopping

	nextRequest RequestID
	nextTx      TxID
	nextConn    pool.ConnID
	nextJob     pool.RequestID
	nextPoolTx  pool.TxID

	// urgent asks for a tick at once; tickedAt is the time of the last one.
	urgent   bool
	tickedAt types.Time
	// local are messages that the host sends to itself.
	local   []Message
	effects []Effect
}

// connection is where the events of a connection go.
type connection struct {
	endpoint types.Endpoint
	control  bool
}

// New returns a machine that knows nothing yet.
func New(set Settings) *Machine {
	return &Machine{
		set:      set,
		rng:      random.New(set.Seed),
		cat:      catalog.New(),
		mirror:   feed.New(),
		sessions: map[SessionID]*session{},
		requests: map[RequestID]*request{},
		places:   map[types.Endpoint]*place{},
		owners:   map[types.Endpoint]types.Host{},
		owned:    map[types.Endpoint]*owned{},
		controls: map[types.Endpoint]*control{},
		conns:    map[pool.ConnID]connection{},
		jobs:     map[pool.RequestID]*job{},
		txs:      map[txKey]*ownedTx{},
		services: map[types.Service]*service{},

		restarts:    map[types.Endpoint]restart{},
		reachAskers: map[types.Endpoint][]types.Host{},

		peers:   map[types.Host]*peer{},
		gossip:  gossip{behind: map[feed.Kind]*lag{}, newest: map[feed.Kind]uint64{}},
		refresh: newRefreshing(),
	}
}

// Step applies an event and returns its effects.
func (m *Machine) Step(now types.Time, ev Event) []Effect {
	m.now = max(now, m.now)
	m.effects = nil
	m.handle(ev)
	m.settle()
	return m.effects
}

func (m *Machine) handle(ev Event) {
	switch ev := ev.(type) {
	case CallerStarted:
		m.callerStarted(ev)
	case CallerQuery:
		m.callerQuery(ev)
	case CallerGone:
		m.callerGone(ev.Session)
	case PeerMessage:
		m.peerMessage(ev.From, ev.Message)
	case PeerLost:
		m.peerLost(ev.Host)
	case PeerClosed:
		m.peerTxsEnded(ev.Host)
	case EndpointConnected, EndpointRefused, EndpointReplied, EndpointStatus, EndpointBroken:
		m.endpointEvent(ev)
	case StoreChanges:
		m.changes(ev.Changes)
	case StoreRead:
		m.storeRead(ev)
	case ClaimAnswered:
		m.claimAnswered(ev)
	case PromoteAnswered:
		m.promoteAnswered(ev)
	case Stop:
		m.beginStop(ev.Grace)
	case Tick:
		m.tick()
	default:
		panic(fmt.Sprintf("proxy: event %T is not known", ev))
	}
}

// settle carries out what the event has caused inside the host: effects of the
// pools, and messages to the host itself.
func (m *Machine) settle() {
	for {
		moved := false
		for _, o := range m.ownedList {
			moved = m.flush(o) || moved
		}
		local := m.local
		m.local = nil
		for _, msg := range local {
			moved = true
			m.peerMessage(m.set.Host, msg)
		}
		if !moved {
			return
		}
	}
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// send sends a message to a host; one to the host itself is handled at the end
// of the step.
func (m *Machine) send(h types.Host, msg Message) {
	if h == m.set.Host {
		m.local = append(m.local, msg)
		return
	}
	host, ok := m.cat.Host(h)
	if !ok {
		m.log(Warn, "message not sent", f("peer", h), f("reason", "host has no record"))
		return
	}
	p := m.peer(h)
	if !p.greeted {
		p.greeted = true
		hello := Hello{DataCentre: m.set.DataCentre, MeshAddress: m.set.MeshAddress, Started: m.set.Started, Power: m.set.Power}
		m.emit(PeerSend{Host: h, Address: host.MeshAddress, Message: hello})
	}
	m.emit(PeerSend{Host: h, Address: host.MeshAddress, Message: msg})
}

// tick does what time has made due.
func (m *Machine) tick() {
	m.urgent, m.tickedAt = false, m.now
	for _, id := range m.cat.RemoveExpiredEndpoints(m.now) {
		m.log(Info, "endpoint gone", f("endpoint", id))
		m.endpointGone(id)
	}
	m.tickSessions()
	m.tickRequests()
	for _, o := range ordered(m.owned) {
		o.pool.Tick(m.now)
	}
	m.tickControls()
	m.tickOwned()
	m.tickLeads()
	m.tickPeers()
	m.tickGossip()
	m.tickRefresh()
	m.tickStop()
}

// NextWake returns when the machine wants its next Tick. It counts from the last
// one, so that a stream of other events does not put it off.
func (m *Machine) NextWake() types.Time {
	if m.urgent {
		return m.now
	}
	at := m.tickedAt.Add(idleWake)
	switch {
	case len(m.parked) > 0 || m.leading() || m.stop.begun || m.gossip.due():
		at = m.tickedAt.Add(busyWake)
	case len(m.requests) > 0 || len(m.jobs) > 0 || m.controlsBusy():
		at = m.tickedAt.Add(activeWake)
	}
	for _, o := range m.ownedList {
		if wake, ok := o.pool.NextWake(); ok && wake.Before(at) {
			at = wake
		}
	}
	return at
}

// Ready reports whether callers can be served.
func (m *Machine) Ready() bool { return m.notReady() == "" }

func (m *Machine) anyEndpoint() bool {
	for _, s := range m.cat.Services() {
		if len(m.cat.EndpointsOf(s)) > 0 {
			return true
		}
	}
	return false
}
