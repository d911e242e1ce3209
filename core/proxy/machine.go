package proxy

import (
	"fmt"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

const (
	// busyTickInterval is the time between ticks while a request is deferred, while a failover, a
	// planned stop or gossip is in progress, or while a host has not responded to a ping.
	busyTickInterval = 40 * time.Millisecond
	// activeTickInterval is the time between ticks while requests, executions or control
	// commands are outstanding.
	activeTickInterval = 100 * time.Millisecond
	// idleTickInterval is the time between ticks when nothing is outstanding.
	idleTickInterval = 250 * time.Millisecond
	// suspensionThreshold is the time without a tick after which this process must have been
	// suspended or short of CPU time.
	suspensionThreshold = 3 * idleTickInterval
)

// Settings configures a Machine and describes its host. The operator's configuration is
// catalog.Config, which the machine reads from the store.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	// MeshAddress and StartedUnixMs are sent to other hosts. StartedUnixMs is the start time
	// in milliseconds since the Unix epoch, which identifies the incarnation of this host.
	MeshAddress   string
	StartedUnixMs int64
	// CPUMillicores is the CPU capacity of the host in thousandths of a core; 0 if unknown.
	CPUMillicores int
	// ConfigBound is the time within which an accepted configuration has to be in force, and
	// LeavingBound that after which an endpoint that leaves gets no new work; 0 for 3 s and 7 s.
	ConfigBound, LeavingBound time.Duration
	// Memory limits what callers can make the host keep.
	Memory MemoryLimits
	// RemotePrice is the price of a read that is served in another data centre, as waiting time;
	// 0 for locality.DefaultPrice.
	RemotePrice time.Duration
	// Seed initialises the pseudo-random number generator. It must differ between the processes
	// that a host runs one after the other, see Machine.firstNumber.
	Seed uint64
	// Decoder decodes the objects read from the platform's store.
	Decoder Decoder
}

// Machine is the state machine of one host. It has no locks: a single task must own it.
type Machine struct {
	settings Settings
	now      types.Time
	rng      random.Source
	catalog  *catalog.Catalog
	mirror   *feed.Mirror

	sessions map[SessionID]*session
	// stateBytes is the sum of those of all sessions, and executionBytes the size of the
	// statements of other hosts that this host runs.
	stateBytes, executionBytes int
	requests                   map[RequestID]*request
	// deferred holds the requests that wait for a usable primary or owner.
	deferred []*request
	// stats holds what this host, as a frontend, has observed of each endpoint.
	stats map[types.Endpoint]*endpointStats
	// remoteReadsByRoute holds the state of the reads in other data centres by route.
	remoteReadsByRoute map[types.Database]*remoteReads
	// ownerCache caches the owner of each endpoint, ownersWithout that without hosts that requests
	// avoid, and cachedReadOrder this host's place among those that read the store; nil after a
	// change of the hosts.
	ownerCache      map[types.Endpoint]types.Host
	ownersWithout   []ownersWithout
	cachedReadOrder *readOrder
	// shares caches the sizes of the workspaces for the affinity of reads.
	shares workspaceShares

	owned map[types.Endpoint]*ownedEndpoint
	// ownedInOrder holds the values of owned in the order of their creation.
	ownedInOrder []*ownedEndpoint
	controlConns map[types.Endpoint]*controlConn
	// conns maps each endpoint connection to its target.
	conns      map[pool.ConnID]connTarget
	executions map[pool.RequestID]*execution
	ownedTxs   map[txKey]*ownedTx
	// received holds the recent requests of other hosts; receivedInOrder holds them too, the oldest
	// first.
	received        map[requestKey]*receivedRequest
	receivedInOrder []*receivedRequest
	services        map[types.Service]*serviceState
	// leavingSince holds when this host learned that an endpoint leaves.
	leavingSince map[types.Endpoint]types.Time
	// restarts holds the endpoints that have restarted or may have restarted.
	restarts map[types.Endpoint]restartRecord
	// reachabilityRequesters holds, by endpoint, the hosts that wait for a
	// ReachabilityResponse, and the number of their requests.
	reachabilityRequesters map[types.Endpoint]map[types.Host]uint64

	peers   map[types.Host]*peer
	gossip  gossipState
	refresh refreshState
	missing missingState
	restore restoreState
	stop    stopState
	limits  limitState
	// dataCentres describes the paths to the other data centres. isolatedSince is the time at
	// which this host became isolated; zero if it is not.
	dataCentres   map[types.DataCentre]*dataCentreState
	isolatedSince types.Time

	// firstNumber is where the numbers start that other processes return: of requests,
	// transactions, position and reachability requests, and writes of leadership records. It is
	// random, so that a reply to an earlier process of this host matches nothing.
	firstNumber uint64

	nextRequestID   RequestID
	nextTxID        TxID
	nextWriteID     uint64
	nextConnID      pool.ConnID
	nextExecutionID pool.RequestID
	nextPoolTxID    pool.TxID

	// tickRequested is set if a tick is due at once; lastTickAt is the time of the last tick.
	tickRequested bool
	lastTickAt    types.Time
	// inboundLink is the link on which the message that is being handled has arrived.
	inboundLink LinkID
	// localMessages holds the messages that this host has sent to itself during the current
	// step.
	localMessages []Message
	effects       []Effect
}

// connTarget identifies the endpoint of a connection and whether it is the control connection.
type connTarget struct {
	endpoint  types.Endpoint
	isControl bool
}

// New returns a Machine with an empty catalog.
func New(settings Settings) *Machine {
	first := random.Mix(settings.Seed) >> 1 // far from the end of the range
	return &Machine{
		settings:           settings,
		rng:                random.New(settings.Seed),
		firstNumber:        first,
		catalog:            catalog.New(),
		mirror:             feed.New(),
		sessions:           map[SessionID]*session{},
		requests:           map[RequestID]*request{},
		stats:              map[types.Endpoint]*endpointStats{},
		remoteReadsByRoute: map[types.Database]*remoteReads{},
		ownerCache:         map[types.Endpoint]types.Host{},
		owned:              map[types.Endpoint]*ownedEndpoint{},
		controlConns:       map[types.Endpoint]*controlConn{},
		conns:              map[pool.ConnID]connTarget{},
		executions:         map[pool.RequestID]*execution{},
		ownedTxs:           map[txKey]*ownedTx{},
		received:           map[requestKey]*receivedRequest{},
		services:           map[types.Service]*serviceState{},

		leavingSince:           map[types.Endpoint]types.Time{},
		restarts:               map[types.Endpoint]restartRecord{},
		reachabilityRequesters: map[types.Endpoint]map[types.Host]uint64{},

		peers:   map[types.Host]*peer{},
		gossip:  gossipState{gaps: map[feed.Kind]*revisionGap{}},
		refresh: newRefreshState(),
		restore: restoreState{rewrittenAt: map[types.Service]types.Time{}},
		limits:  newLimitState(settings),

		dataCentres: map[types.DataCentre]*dataCentreState{},

		nextRequestID: RequestID(first),
		nextTxID:      TxID(first),
		nextWriteID:   first,
	}
}

// Step applies an event at a time and returns the resulting effects.
func (m *Machine) Step(now types.Time, ev Event) []Effect {
	m.now = max(now, m.now)
	m.effects = nil
	m.handleEvent(ev)
	m.processPoolsAndLocalMessages()
	return m.effects
}

func (m *Machine) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case CallerStarted:
		m.handleCallerStarted(ev)
	case CallerQuery:
		m.handleCallerQuery(ev)
	case CallerBlocked, CallerUnblocked:
		m.handleCallerBlocked(ev)
	case CallerDrained:
		m.handleCallerDrained(ev.Session)
	case CallerDisconnected:
		m.handleCallerDisconnected(ev.Session)
	case PeerMessage:
		m.inboundLink = ev.Link
		m.handleMessage(ev.From, ev.Message)
		m.inboundLink = 0
	case PeerDisconnected:
		m.handlePeerDisconnected(ev.Host)
	case PeerInboundClosed:
		m.endTxsOfHost(ev.Host, func(tx *ownedTx) bool { return tx.link == ev.Link })
	case EndpointConnected, EndpointDialFailed, EndpointReplied, EndpointStatus, EndpointDisconnected:
		m.handleEndpointEvent(ev)
	case StoreChanges:
		m.applyChanges(ev.Changes)
	case StoreReadResult:
		m.handleStoreRead(ev)
	case ClaimResult:
		m.handleClaimResult(ev)
	case PromoteResult:
		m.handlePromoteResult(ev)
	case Stop:
		m.beginStop(ev.Grace)
	case Tick:
		m.tick()
	default:
		panic(fmt.Sprintf("proxy: unknown event type %T", ev))
	}
}

// processPoolsAndLocalMessages applies the effects of the pools and delivers the messages that
// the host has sent to itself, until neither produces anything new.
func (m *Machine) processPoolsAndLocalMessages() {
	for {
		progressed := false
		for _, o := range m.ownedInOrder {
			progressed = m.applyPoolEffects(o) || progressed
		}
		progressed = m.applyLimitOutput() || progressed
		local := m.localMessages
		m.localMessages = nil
		for _, msg := range local {
			progressed = true
			m.handleMessage(m.settings.Host, msg)
		}
		if !progressed {
			return
		}
	}
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// sendToHost sends a message to a host. A message to this host itself is delivered at the end
// of the step.
func (m *Machine) sendToHost(h types.Host, msg Message) {
	if h == m.settings.Host {
		m.localMessages = append(m.localMessages, msg)
		return
	}
	host, ok := m.catalog.Host(h)
	if !ok {
		m.log(Warn, "message not sent", field("peer", h), field("reason", "host has no record"))
		return
	}
	p := m.peerFor(h)
	if !p.helloSent {
		p.helloSent = true
		hello := Hello{DataCentre: m.settings.DataCentre, MeshAddress: m.settings.MeshAddress, StartedUnixMs: m.settings.StartedUnixMs, CPUMillicores: m.settings.CPUMillicores, AuthorityRules: lead.AuthorityRules, WorkspaceRules: catalog.WorkspaceRules}
		m.emit(PeerSend{Host: h, Address: host.MeshAddress, Message: hello})
	}
	m.emit(PeerSend{Host: h, Address: host.MeshAddress, Message: msg})
}

// tick performs the work that has become due.
func (m *Machine) tick() {
	if m.lastTickAt != 0 && m.now.Sub(m.lastTickAt) > suspensionThreshold {
		m.handleResume(m.now.Sub(m.lastTickAt))
	}
	m.tickRequested, m.lastTickAt = false, m.now
	m.removeGoneEndpoints()
	m.tickMissing()
	m.tickSessions()
	m.tickRequests()
	m.tickRemoteReads()
	for _, o := range ordered(m.owned) {
		o.pool.Tick(m.now)
	}
	m.tickControlConns()
	m.checkPossibleRestarts()
	m.tickOwned()
	m.tickReceived()
	m.tickFailovers()
	m.tickPeers()
	m.tickIsolation()
	m.tickGossip()
	m.tickRefresh()
	m.tickLimits()
	m.tickStop()
}

// NextWake returns the time of the next Tick. It is relative to the last tick, so that a
// steady stream of other events does not postpone ticks.
func (m *Machine) NextWake() types.Time {
	if m.tickRequested {
		return m.now
	}
	at := m.lastTickAt.Add(idleTickInterval)
	switch {
	case len(m.deferred) > 0 || m.isFailoverActive() || m.stop.begun || m.gossip.hasPendingWork() || m.isAwaitingPong():
		at = m.lastTickAt.Add(busyTickInterval)
	case len(m.requests) > 0 || len(m.executions) > 0 || m.hasPendingCommands():
		at = m.lastTickAt.Add(activeTickInterval)
	}
	for _, o := range m.ownedInOrder {
		if wake, ok := o.pool.NextWake(); ok && wake.Before(at) {
			at = wake
		}
	}
	if wake, ok := m.limits.machine.NextWake(m.now); ok && wake.Before(at) {
		at = wake
	}
	return at
}

// Ready reports whether the host can serve callers.
func (m *Machine) Ready() bool { return m.notReadyReason() == "" }

func (m *Machine) hasEndpoint() bool {
	for _, s := range m.catalog.Services() {
		if len(m.catalog.EndpointsOf(s)) > 0 {
			return true
		}
	}
	return false
}
