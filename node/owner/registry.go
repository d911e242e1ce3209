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
	// registryInboxSize is the number of messages that wait for the registry.
	registryInboxSize = 1024
	// leavingPrimaryGrace is the longest time for which a leaving endpoint that is the
	// primary still takes work while another one is being promoted.
	leavingPrimaryGrace = 2 * time.Second
	// leavingCheckInterval is the time between checks of leaving endpoints.
	leavingCheckInterval = 200 * time.Millisecond
)

// Settings configure the registry.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	// Failover holds the timing of the failover machines; the host, database
	// and owners in it are filled in for each database.
	Failover failover.Config
	// ConnectTimeout and InactivityTimeout apply to statement connections.
	ConnectTimeout, InactivityTimeout time.Duration
	// TLS is used towards endpoints; nil connects without TLS.
	TLS *tls.Config
	// Out takes what other tasks have to do or know; View and Hold are handled
	// by the registry as well.
	Out watch.Out
}

// Registry owns the set of endpoint tasks and watches of the host.
type Registry struct {
	settings Settings
	log      *zap.Logger
	inbox    chan any
	stopped  chan struct{}
	// txnContext is the context of transactions; it outlives the registry's own.
	txnContext context.Context

	snapshot      config.Snapshot
	members       membership.View
	databases     map[types.Database]*databaseHandle
	endpoints     map[types.Endpoint]*endpointHandle
	leaving       bool
	lastRequestID types.RequestID
	// formerTasks are the tasks of endpoints that the host owned, until they end.
	formerTasks []*endpointTask
}

// databaseTasks are the tasks that serve a database; both are nil for none.
type databaseTasks struct {
	watch *watch.Task
	acks  *ackTask
}

// databaseHandle is what the registry knows of a database's tasks.
type databaseHandle struct {
	databaseTasks
	cancel context.CancelFunc
	spec   types.DatabaseSpec
	owners map[types.Endpoint]types.Host
	view   failover.View
}

// endpointHandle is an endpoint task and what it was made for.
type endpointHandle struct {
	task        *endpointTask
	cancel      context.CancelFunc
	spec        types.EndpointSpec
	db          types.Database
	service     types.ServiceSpec
	durability  types.Promise
	queueConfig admission.Config
	draining    bool
	// leavingSince is the time at which the endpoint was first seen to leave.
	leavingSince time.Time
}

// viewChange brings the new view of a database.
type viewChange struct {
	db   types.Database
	view failover.View
}

// databaseWriteHold starts or ends the holding back of writes at a primary.
type databaseWriteHold struct {
	db   types.Database
	hold bool
}

// peerSuspicion brings another owner's opinion.
type peerSuspicion struct {
	db    types.Database
	event failover.PeerSuspicion
}

// plannedChange asks for a plannedChange change of primary.
type plannedChange struct {
	db    types.Database
	to    types.Endpoint
	reply chan bool
}

// primaryHint brings a hint of a database's primary.
type primaryHint struct {
	db    types.Database
	event failover.PrimaryHint
}

// hostLeaving says that the host is about to stop.
type hostLeaving struct{}

// NewRegistry returns the registry; work is the context of its transactions.
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

// Run serves until the context ends.
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
			r.handle(msg)
		}
	}
}

func (r *Registry) handle(msg any) {
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
		r.drainEndpoints()
	default:
		panic(fmt.Sprintf("owner: message %T is not known", msg))
	}
}

// post sends a message unless the registry has ended.
func (r *Registry) post(msg any) bool {
	return mailbox.Post(r.inbox, r.stopped, msg)
}

// SetConfig replaces the configuration in force.
func (r *Registry) SetConfig(s config.Snapshot) { r.post(s) }

// SetMembers replaces the view of the hosts.
func (r *Registry) SetMembers(v membership.View) { r.post(v) }

// StartLeaving refuses new work from now on; running transactions go on.
func (r *Registry) StartLeaving() { r.post(hostLeaving{}) }

// AddPeerSuspicion passes on another owner's opinion of a primary.
func (r *Registry) AddPeerSuspicion(db types.Database, ev failover.PeerSuspicion) {
	r.post(peerSuspicion{db: db, event: ev})
}

// AddPrimaryHint passes on a hint of a database's primary.
func (r *Registry) AddPrimaryHint(db types.Database, ev failover.PrimaryHint) {
	r.post(primaryHint{db: db, event: ev})
}

// StartPlannedChange starts a planned change of primary; it reports whether the
// host watches the database.
func (r *Registry) StartPlannedChange(ctx context.Context, db types.Database, to types.Endpoint) bool {
	m := plannedChange{db: db, to: to, reply: make(chan bool, 1)}
	if !r.post(m) {
		return false
	}
	ok, _ := mailbox.Await(ctx, r.stopped, m.reply)
	return ok
}

// postToWatch passes an event to a database's watch, if the host has one.
func (r *Registry) postToWatch(db types.Database, ev failover.Event) bool {
	h, ok := r.databases[db]
	if ok {
		h.watch.Post(ev)
	}
	return ok
}

// handleViewChange keeps the view and tells the acknowledgement task its primary.
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

// handleWriteHold passes the holding back of writes to the primary's task.
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

// findEndpoint returns the description of an endpoint of a database.
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

// owners returns the owner of each endpoint of a database.
func (r *Registry) owners(db types.DatabaseSpec) map[types.Endpoint]types.Host {
	out := map[types.Endpoint]types.Host{}
	for _, e := range slices.Concat(db.Endpoints, db.PreviousEndpoints) {
		owner, _ := routing.OwnerAndStandbyAt(e.ID, e.DataCentre, ownerCandidates{r})
		out[e.ID] = owner
	}
	return out
}

// ownerCandidates is the registry's view of the hosts. The host counts itself as
// long as it takes work, so that it goes on while the others learn that it leaves.
type ownerCandidates struct{ registry *Registry }

// DataCentres returns the data centres with known hosts, the host's own included.
func (t ownerCandidates) DataCentres() []types.DataCentre {
	list := t.registry.members.DataCentres()
	if slices.Contains(list, t.registry.settings.DataCentre) {
		return list
	}
	return append(slices.Clone(list), t.registry.settings.DataCentre)
}

// Live returns the hosts of a data centre that take work.
func (t ownerCandidates) Live(dc types.DataCentre) []types.Host {
	hosts := t.registry.members.Live(dc)
	if dc != t.registry.settings.DataCentre || t.registry.leaving || slices.Contains(hosts, t.registry.settings.Host) {
		return hosts
	}
	return append(slices.Clone(hosts), t.registry.settings.Host)
}
