package owner

import (
	"context"
	"crypto/tls"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/config"
	"baobabfield.example/core/failover"
	"baobabfield.example/core/membership"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
	"baobabfield.example/node/endpoint"
	"baobabfield.example/node/mailbox"
	"baobabfield.example/node/watch"
)

const (
	// registryInboxSize is the capacity of the registry's inbox in messages.
	registryInboxSize = 1024
	// leavingPrimaryGrace is the longest time for which a leaving primary still accepts
	// requests while another endpoint is promoted.
	leavingPrimaryGrace = 2 * time.Second
	// leavingCheckInterval is the time between two checks for leaving endpoints.
	leavingCheckInterval = 200 * time.Millisecond
)

// Settings configure the registry.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	// Failover holds the timing of the failover machines. The registry sets its host,
	// database and owners for each database.
	Failover failover.Config
	// ConnectTimeout and InactivityTimeout apply to the connections for statements.
	ConnectTimeout, InactivityTimeout time.Duration
	// TLS is the client configuration for endpoints. If nil, connections are in plain
	// text.
	TLS *tls.Config
	// WatchEffects receives the outputs of the watches. The registry replaces HoldWrites
	// and handles each view before it calls PublishView.
	WatchEffects watch.Effects
}

// Registry owns the host's endpoint tasks and watches.
type Registry struct {
	settings Settings
	log      *zap.Logger
	inbox    chan any
	stopped  chan struct{}
	// txnContext is the context of transactions and their tasks. It outlives the
	// registry's own context.
	txnContext context.Context

	snapshot      config.Snapshot
	members       membership.View
	databases     map[types.Database]*databaseHandle
	endpoints     map[types.Endpoint]*endpointHandle
	leaving       bool
	lastRequestID types.RequestID
	// formerTasks holds replaced or removed endpoint tasks until they end.
	formerTasks []*endpointTask
}

// databaseTasks holds the tasks of a database. Both are nil if the host does not watch the
// database.
type databaseTasks struct {
	watch *watch.Task
	acks  *ackTask
}

// databaseHandle holds a database's tasks and their latest inputs and view.
type databaseHandle struct {
	databaseTasks
	cancel context.CancelFunc
	spec   types.DatabaseSpec
	owners map[types.Endpoint]types.Host
	view   failover.View
}

// endpointHandle holds an endpoint's task and its configuration.
type endpointHandle struct {
	task        *endpointTask
	cancel      context.CancelFunc
	spec        types.EndpointSpec
	db          types.Database
	service     types.ServiceSpec
	durability  types.Durability
	queueConfig admission.Config
	draining    bool
	// leavingSince is the time at which the endpoint was first found leaving. Zero if it
	// is not leaving.
	leavingSince time.Time
}

// viewChange carries a database's new view.
type viewChange struct {
	db   types.Database
	view failover.View
}

// databaseWriteHold starts or ends a hold of writes at a database's primary.
type databaseWriteHold struct {
	db   types.Database
	hold bool
}

// peerSuspicion carries another owner's suspicion of a primary.
type peerSuspicion struct {
	db    types.Database
	event failover.PeerSuspicion
}

// plannedChange requests a planned change of primary.
type plannedChange struct {
	db    types.Database
	to    types.Endpoint
	reply chan bool
}

// primaryHint carries a hint of a database's primary.
type primaryHint struct {
	db    types.Database
	event failover.PrimaryHint
}

// hostLeaving reports that the host is about to stop.
type hostLeaving struct{}

// NewRegistry returns a registry whose transactions run under txnContext.
func NewRegistry(txnContext context.Context, settings Settings, log *zap.Logger) *Registry {
	return &Registry{
		settings:   settings,
		log:        log,
		inbox:      make(chan any, registryInboxSize),
		stopped:    make(chan struct{}),
		txnContext: txnContext,
		databases:  map[types.Database]*databaseHandle{},
		endpoints:  map[types.Endpoint]*endpointHandle{},
	}
}

// Run handles messages until the context ends.
func (r *Registry) Run(ctx context.Context) {
	defer close(r.stopped)
	ticker := time.NewTicker(leavingCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.drainLeavingEndpoints()
		case msg := <-r.inbox:
			r.handleMessage(msg)
		}
	}
}

func (r *Registry) handleMessage(msg any) {
	switch m := msg.(type) {
	case config.Snapshot:
		r.snapshot = m
		r.assignTasks()
	case membership.View:
		r.members = m
		r.assignTasks()
	case lookupRequest:
		m.reply <- r.lookupEndpoint(m)
	case viewChange:
		r.handleViewChange(m)
	case databaseWriteHold:
		r.handleWriteHold(m)
	case peerSuspicion:
		r.postToWatch(m.db, m.event)
	case primaryHint:
		r.postToWatch(m.db, m.event)
	case plannedChange:
		m.reply <- r.postToWatch(m.db, failover.PlannedChange{To: m.to})
	case databaseRequest:
		m.reply <- r.lookupDatabase(m.db)
	case endpointTasksRequest:
		m.reply <- r.endpointTasks()
	case watchesRequest:
		m.reply <- r.databaseWatches()
	case hostLeaving:
		r.drainAllEndpoints()
	default:
		panic(fmt.Sprintf("owner: registry received a message of unexpected type %T", msg))
	}
}

// post sends a message to the registry. It reports false if the registry has ended.
func (r *Registry) post(msg any) bool {
	return mailbox.Post(r.inbox, r.stopped, msg)
}

// SetConfig replaces the configuration in force.
func (r *Registry) SetConfig(s config.Snapshot) { r.post(s) }

// SetMembers replaces the view of the hosts.
func (r *Registry) SetMembers(v membership.View) { r.post(v) }

// StartLeaving makes all endpoint tasks refuse new requests. Running transactions
// continue.
func (r *Registry) StartLeaving() { r.post(hostLeaving{}) }

// AddPeerSuspicion passes another owner's suspicion to the database's watch.
func (r *Registry) AddPeerSuspicion(db types.Database, ev failover.PeerSuspicion) {
	r.post(peerSuspicion{db: db, event: ev})
}

// AddPrimaryHint passes a hint of the primary to the database's watch.
func (r *Registry) AddPrimaryHint(db types.Database, ev failover.PrimaryHint) {
	r.post(primaryHint{db: db, event: ev})
}

// StartPlannedChange starts a planned change of primary. It reports whether the host
// watches the database.
func (r *Registry) StartPlannedChange(ctx context.Context, db types.Database, to types.Endpoint) bool {
	m := plannedChange{db: db, to: to, reply: make(chan bool, 1)}
	if !r.post(m) {
		return false
	}
	ok, _ := mailbox.Await(ctx, r.stopped, m.reply)
	return ok
}

// postToWatch passes an event to a database's watch. It reports whether the host watches
// the database.
func (r *Registry) postToWatch(db types.Database, ev failover.Event) bool {
	h, ok := r.databases[db]
	if ok {
		h.watch.Post(ev)
	}
	return ok
}

// handleViewChange stores the view and sends its primary to the database's
// acknowledgement task and endpoint tasks.
func (r *Registry) handleViewChange(m viewChange) {
	h, ok := r.databases[m.db]
	if !ok {
		return
	}
	h.view = m.view
	if spec, ok := findEndpoint(h.spec, m.view.Primary); ok {
		h.acks.post(primaryTarget{cfg: r.endpointConfig(m.db, spec)})
	}
	for _, e := range r.endpoints {
		if e.db == m.db {
			e.task.post(primaryUpdate{primary: m.view.Primary})
		}
	}
}

// handleWriteHold passes a new hold to the primary's task, and the end of a hold to all
// endpoint tasks of the database.
func (r *Registry) handleWriteHold(m databaseWriteHold) {
	h, ok := r.databases[m.db]
	if !ok {
		return
	}
	for _, e := range r.endpoints {
		if e.db == m.db && (e.spec.ID == h.view.Primary || !m.hold) {
			e.task.post(holdWrites{hold: m.hold})
		}
	}
}

// findEndpoint returns the specification of an endpoint in the database's current or
// previous endpoint set.
func findEndpoint(db types.DatabaseSpec, id types.Endpoint) (types.EndpointSpec, bool) {
	for _, e := range slices.Concat(db.Endpoints, db.PreviousEndpoints) {
		if e.ID == id {
			return e, true
		}
	}
	return types.EndpointSpec{}, false
}

func (r *Registry) endpointConfig(db types.Database, e types.EndpointSpec) endpoint.Config {
	return endpoint.Config{
		Host: r.settings.Host, Database: db, Endpoint: e.ID, Address: e.Address,
		ConnectTimeout: r.settings.ConnectTimeout, InactivityTimeout: r.settings.InactivityTimeout, TLS: r.settings.TLS,
	}
}

// owners returns the owner of each endpoint in the database's current and previous
// endpoint sets.
func (r *Registry) owners(db types.DatabaseSpec) map[types.Endpoint]types.Host {
	out := map[types.Endpoint]types.Host{}
	for _, e := range slices.Concat(db.Endpoints, db.PreviousEndpoints) {
		owner, _ := routing.OwnerAndStandbyAt(e.ID, e.DataCentre, ownerCandidates{r})
		out[e.ID] = owner
	}
	return out
}

// ownerCandidates lists the hosts that can own endpoints. The host includes itself until
// it leaves, even if the membership already lists it as leaving, so that it keeps serving
// until the other hosts take over.
type ownerCandidates struct{ registry *Registry }

// DataCentres returns the data centres with known hosts and the host's own data centre.
func (t ownerCandidates) DataCentres() []types.DataCentre {
	list := t.registry.members.DataCentres()
	if slices.Contains(list, t.registry.settings.DataCentre) {
		return list
	}
	return append(slices.Clone(list), t.registry.settings.DataCentre)
}

// Live returns the hosts of a data centre that can own endpoints.
func (t ownerCandidates) Live(dc types.DataCentre) []types.Host {
	hosts := t.registry.members.Live(dc)
	if dc != t.registry.settings.DataCentre || t.registry.leaving || slices.Contains(hosts, t.registry.settings.Host) {
		return hosts
	}
	return append(slices.Clone(hosts), t.registry.settings.Host)
}
