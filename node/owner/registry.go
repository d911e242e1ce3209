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
	// registryInbox is the number of messages that wait for the registry.
	registryInbox = 1024
	// leavingGrace is the longest time for which a leaving endpoint that is the
	// primary still takes work while another one is being promoted.
	leavingGrace = 2 * time.Second
	// leavingCheck is the time between checks of leaving endpoints.
	leavingCheck = 200 * time.Millisecond
)

// Settings configure the registry.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	// Failover holds the timing of the failover machines; the host, database
	// and owners in it are filled in for each database.
	Failover failover.Config
	// ConnectTimeout and SilenceBound apply to statement connections.
	ConnectTimeout, SilenceBound time.Duration
	// TLS is used towards endpoints; nil connects without TLS.
	TLS *tls.Config
	// Out takes what other tasks have to do or know; View and Hold are handled
	// by the registry as well.
	Out watch.Effects
}

// Registry owns the set of endpoint tasks and watches of the host.
type Registry struct {
	set     Settings
	log     *zap.Logger
	inbox   chan any
	stopped chan struct{}
	// work is the context of transactions; it outlives the registry's own.
	work context.Context

	conf      config.Snapshot
	members   membership.View
	databases map[types.Database]*watchHandle
	endpoints map[types.Endpoint]*endpointHandle
	leaving   bool
	requests  types.RequestID
	// former are the tasks of endpoints that the host owned, until they end.
	former []*endpointTask
}

// databaseTasks are the tasks that serve a database; both are nil for none.
type databaseTasks struct {
	watch *watch.Task
	acks  *ackTask
}

// watchHandle is what the registry knows of a database's tasks.
type watchHandle struct {
	databaseTasks
	cancel context.CancelFunc
	spec   types.DatabaseSpec
	owners map[types.Endpoint]types.Host
	view   failover.View
}

// endpointHandle is an endpoint task and what it was made for.
type endpointHandle struct {
	task     *endpointTask
	cancel   context.CancelFunc
	spec     types.EndpointSpec
	db       types.Database
	service  types.ServiceSpec
	promise  types.Promise
	qcfg     admission.Config
	draining bool
	// leavingSince is the time at which the endpoint was first seen to leave.
	leavingSince time.Time
}

// viewMessage brings the new view of a database.
type viewMessage struct {
	db   types.Database
	view failover.View
}

// holdMessage starts or ends the holding back of writes at a primary.
type holdMessage struct {
	db types.Database
	on bool
}

// peerSuspicion brings another owner's opinion.
type peerSuspicion struct {
	db types.Database
	ev failover.PeerSuspicion
}

// planned asks for a planned change of primary.
type planned struct {
	db    types.Database
	to    types.Endpoint
	reply chan bool
}

// learned brings a hint of a database's primary.
type learned struct {
	db types.Database
	ev failover.PrimaryHint
}

// leaveMessage says that the host is about to stop.
type leaveMessage struct{}

// NewRegistry returns the registry; work is the context of its transactions.
func NewRegistry(work context.Context, set Settings, log *zap.Logger) *Registry {
	return &Registry{
		set:       set,
		log:       log,
		inbox:     make(chan any, registryInbox),
		stopped:   make(chan struct{}),
		work:      work,
		databases: map[types.Database]*watchHandle{},
		endpoints: map[types.Endpoint]*endpointHandle{},
	}
}

// Run serves until the context ends.
func (r *Registry) Run(ctx context.Context) {
	defer close(r.stopped)
	ticker := time.NewTicker(leavingCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.checkLeaving()
		case msg := <-r.inbox:
			r.handle(msg)
		}
	}
}

func (r *Registry) handle(msg any) {
	switch m := msg.(type) {
	case config.Snapshot:
		r.conf = m
		r.assign()
	case membership.View:
		r.members = m
		r.assign()
	case lookup:
		m.reply <- r.lookup(m)
	case viewMessage:
		r.viewChanged(m)
	case holdMessage:
		r.hold(m)
	case peerSuspicion:
		r.toWatch(m.db, m.ev)
	case learned:
		r.toWatch(m.db, m.ev)
	case planned:
		m.reply <- r.toWatch(m.db, failover.PlannedChange{To: m.to})
	case databaseRequest:
		m.reply <- r.database(m.db)
	case allRequest:
		m.reply <- r.all()
	case reportRequest:
		m.reply <- r.watches()
	case leaveMessage:
		r.leave()
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

// Leave refuses new work from now on; running transactions go on.
func (r *Registry) Leave() { r.post(leaveMessage{}) }

// PeerSuspicion passes on another owner's opinion of a primary.
func (r *Registry) PeerSuspicion(db types.Database, ev failover.PeerSuspicion) {
	r.post(peerSuspicion{db: db, ev: ev})
}

// Learned passes on a hint of a database's primary.
func (r *Registry) Learned(db types.Database, ev failover.PrimaryHint) {
	r.post(learned{db: db, ev: ev})
}

// PlannedChange starts a planned change of primary; it reports whether the
// host watches the database.
func (r *Registry) PlannedChange(ctx context.Context, db types.Database, to types.Endpoint) bool {
	m := planned{db: db, to: to, reply: make(chan bool, 1)}
	if !r.post(m) {
		return false
	}
	ok, _ := mailbox.Await(ctx, r.stopped, m.reply)
	return ok
}

// toWatch passes an event to a database's watch, if the host has one.
func (r *Registry) toWatch(db types.Database, ev failover.Event) bool {
	h, ok := r.databases[db]
	if ok {
		h.watch.Post(ev)
	}
	return ok
}

// viewChanged keeps the view and tells the acknowledgement task its primary.
func (r *Registry) viewChanged(m viewMessage) {
	h, ok := r.databases[m.db]
	if !ok {
		return
	}
	h.view = m.view
	if spec, ok := findEndpoint(h.spec, m.view.Primary); ok {
		h.acks.post(ackTarget{cfg: r.endpointConfig(m.db, spec)})
	}
	for _, e := range r.endpoints {
		if e.db == m.db {
			e.task.post(primaryKnown{primary: m.view.Primary})
		}
	}
}

// hold passes the holding back of writes to the primary's task.
func (r *Registry) hold(m holdMessage) {
	h, ok := r.databases[m.db]
	if !ok {
		return
	}
	for _, e := range r.endpoints {
		if e.db == m.db && (e.spec.ID == h.view.Primary || !m.on) {
			e.task.post(hold{on: m.on})
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
		Host: r.set.Host, Database: db, Endpoint: e.ID, Address: e.Address,
		ConnectTimeout: r.set.ConnectTimeout, SilenceBound: r.set.SilenceBound, TLS: r.set.TLS,
	}
}

// owners returns the owner of each endpoint of a database.
func (r *Registry) owners(db types.DatabaseSpec) map[types.Endpoint]types.Host {
	out := map[types.Endpoint]types.Host{}
	for _, e := range slices.Concat(db.Endpoints, db.PreviousEndpoints) {
		owner, _ := routing.OwnerAndStandbyAt(e.ID, e.DataCentre, takingWork{r})
		out[e.ID] = owner
	}
	return out
}

// takingWork is the registry's view of the hosts. The host counts itself as
// long as it takes work, so that it goes on while the others learn that it leaves.
type takingWork struct{ r *Registry }

// DataCentres returns the data centres with known hosts, the host's own included.
func (t takingWork) DataCentres() []types.DataCentre {
	list := t.r.members.DataCentres()
	if slices.Contains(list, t.r.set.DataCentre) {
		return list
	}
	return append(slices.Clone(list), t.r.set.DataCentre)
}

// Live returns the hosts of a data centre that take work.
func (t takingWork) Live(dc types.DataCentre) []types.Host {
	hosts := t.r.members.Live(dc)
	if dc != t.r.set.DataCentre || t.r.leaving || slices.Contains(hosts, t.r.set.Host) {
		return hosts
	}
	return append(slices.Clone(hosts), t.r.set.Host)
}
