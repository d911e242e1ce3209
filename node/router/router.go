// Package router owns what an entry host knows of databases, owners and
// admission levels, and chooses where each request goes.
package router

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/config"
	"baobabfield.example/core/membership"
	"baobabfield.example/core/random"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
	"baobabfield.example/node/mailbox"
	"baobabfield.example/node/mesh"
	"baobabfield.example/wire/meshpb"
)

const (
	// inboxSize is the number of messages that wait for the task.
	inboxSize = 4096
	// stateLifetime is the age at which an endpoint's state is asked for again.
	stateLifetime = time.Second
	// refreshTimeout bounds one question for the state of a database.
	refreshTimeout = 500 * time.Millisecond
	// maxParked is the number of requests of a database that wait for its state.
	maxParked = 4096
	// callersKept is the number of uses that the host remembers.
	callersKept = 4096
)

var (
	routedReplica = metrics.NewCounter(`baobab_router_routed_total{to="replica"}`)
	routedPrimary = metrics.NewCounter(`baobab_router_routed_total{to="primary"}`)
	refusedShed   = metrics.NewCounter(`baobab_router_refused_total{reason="shed"}`)
	refusedRetire = metrics.NewCounter(`baobab_router_refused_total{reason="retired"}`)
	stateAsked    = metrics.NewCounter("baobab_router_state_questions_total")
)

// Settings configure the router.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	Seed       uint64
	// MaxAge is the age of data up to which a replica serves a read whose caller
	// states no age.
	MaxAge time.Duration
}

// Query describes a request that needs a place to run.
type Query struct {
	Database types.Database
	Write    bool
	// Primary asks for the primary though the request reads.
	Primary bool
	// After is the log point that the session must see.
	After types.LogPoint
	// MaxAge is the accepted age where AcceptsAge is set.
	MaxAge     time.Duration
	AcceptsAge bool
	Rank       types.Rank
	Feature    types.Feature
	Job        types.Job
	// Caller is the caller's address without its port.
	Caller string
	// Excluded are the endpoints that have refused the request.
	Excluded []types.Endpoint
	// Again is set on every try but the first.
	Again bool
	// Refresh asks for new state before the choice.
	Refresh bool
}

// Target is where a request goes, or why it goes nowhere.
type Target struct {
	Outcome  types.Outcome
	Service  types.Service
	Endpoint types.Endpoint
	Host     types.Host
	MaxAge   time.Duration
}

// route asks for a target.
type route struct {
	query Query
	reply chan Target
}

// finished says that a request at an endpoint has ended.
type finished struct{ endpoint types.Endpoint }

// retryRequest asks the retry budget.
type retryRequest struct{ reply chan bool }

// usesRequest asks for the recorded uses.
type usesRequest struct{ reply chan []config.Use }

// Task owns the router's state.
type Task struct {
	set     Settings
	mesh    *mesh.Task
	log     *zap.Logger
	inbox   chan any
	stopped chan struct{}

	conf      config.Snapshot
	members   membership.View
	databases map[types.Database]*database
	gate      *admission.Gate
	rng       random.Source
	budget    routing.RetryBudget
	uses      *config.UseTracker
	owners    *routing.OwnerTable
	scratch   []routing.Candidate
}

// database is what the router knows of one database.
type database struct {
	service   types.ServiceSpec
	spec      types.DatabaseSpec
	term      types.Term
	primary   types.Endpoint
	endpoints map[types.Endpoint]*endpointState
	asked     types.Time
	asking    bool
	parked    []route
}

// endpointState is what the router knows of one endpoint.
type endpointState struct {
	known       bool
	last        types.LogPoint
	age         time.Duration
	ageKnown    bool
	reachable   bool
	at          types.Time
	outstanding int
	stats       routing.EndpointStats
}

// New returns the router; m opens the streams for its questions.
func New(set Settings, m *mesh.Task, log *zap.Logger) *Task {
	return &Task{
		set:       set,
		mesh:      m,
		log:       log,
		inbox:     make(chan any, inboxSize),
		stopped:   make(chan struct{}),
		databases: map[types.Database]*database{},
		gate:      admission.NewGate(set.Seed),
		rng:       random.New(set.Seed),
		budget:    routing.NewRetryBudget(),
		uses:      config.NewUseTracker(set.Host, callersKept),
		owners:    routing.NewOwnerTable(),
	}
}

// Run serves until the context ends.
func (t *Task) Run(ctx context.Context) {
	defer close(t.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-t.inbox:
			t.handle(ctx, msg)
		}
	}
}

func (t *Task) handle(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case route:
		t.route(ctx, m)
	case finished:
		t.finished(m.endpoint)
	case learn:
		t.learnView(m.view)
		t.learnState(m.view, m.state)
	case stateAnswer:
		t.answered(ctx, m)
	case config.Snapshot:
		t.conf = m
		t.configure()
		t.setOwners()
	case membership.View:
		t.members = m
		t.setOwners()
	case replacedRequest:
		m.reply <- t.replaced(ctx, m)
	case observed:
		t.observe(m)
	case check:
		m.reply <- t.check(m)
	case retryRequest:
		m.reply <- t.budget.Allow()
	case usesRequest:
		m.reply <- t.uses.Uses()
	default:
		panic(fmt.Sprintf("router: message %T is not known", msg))
	}
}

// post sends a message unless the task has ended; it reports whether it was sent.
func (t *Task) post(msg any) bool {
	return mailbox.Post(t.inbox, t.stopped, msg)
}

// SetConfig replaces the configuration in force.
func (t *Task) SetConfig(s config.Snapshot) { t.post(s) }

// SetMembers replaces the view of the hosts.
func (t *Task) SetMembers(v membership.View) { t.post(v) }

// Learn passes on what an owner told.
func (t *Task) Learn(view *meshpb.DatabaseView, state *meshpb.EndpointState) {
	if view != nil || state != nil {
		t.post(learn{view: view, state: state})
	}
}

// Finished says that a routed request has ended.
func (t *Task) Finished(e types.Endpoint) { t.post(finished{endpoint: e}) }

// Observe tells how a read at an endpoint went.
func (t *Task) Observe(db types.Database, e types.Endpoint, latency time.Duration, ok bool) {
	t.post(observed{db: db, endpoint: e, latency: latency, ok: ok})
}

// Route chooses where a request goes. The caller reports its end with Finished.
func (t *Task) Route(ctx context.Context, q Query) Target {
	m := route{query: q, reply: make(chan Target, 1)}
	if !t.post(m) {
		return Target{Outcome: types.RefusedOutcome(types.ReasonLeaving, "host is stopping")}
	}
	select {
	case target := <-m.reply:
		return target
	case <-ctx.Done():
		go t.giveBack(m.reply)
		return Target{Outcome: types.RefusedOutcome(types.ReasonLate, "deadline passed")}
	case <-t.stopped:
		return Target{Outcome: types.RefusedOutcome(types.ReasonLeaving, "host is stopping")}
	}
}

// giveBack ends a request whose target comes too late.
func (t *Task) giveBack(reply <-chan Target) {
	select {
	case target := <-reply:
		if target.Outcome.Kind == types.OutcomeDone {
			t.Finished(target.Endpoint)
		}
	case <-t.stopped:
	}
}

// replacedRequest asks whether another endpoint is the primary.
type replacedRequest struct {
	db       types.Database
	endpoint types.Endpoint
	reply    chan bool
}

// Replaced reports whether another endpoint than e is known to be the primary.
func (t *Task) Replaced(ctx context.Context, db types.Database, e types.Endpoint) bool {
	m := replacedRequest{db: db, endpoint: e, reply: make(chan bool, 1)}
	if !t.post(m) {
		return false
	}
	replaced, _ := mailbox.Await(ctx, t.stopped, m.reply)
	return replaced
}

// replaced answers from what is known, and asks for new state.
func (t *Task) replaced(ctx context.Context, m replacedRequest) bool {
	d, ok := t.databases[m.db]
	if !ok {
		return false
	}
	t.askState(ctx, d)
	return d.primary != "" && d.primary != m.endpoint
}

// AllowRetry asks the retry budget for one retry.
func (t *Task) AllowRetry(ctx context.Context) bool {
	m := retryRequest{reply: make(chan bool, 1)}
	if !t.post(m) {
		return false
	}
	ok, _ := mailbox.Await(ctx, t.stopped, m.reply)
	return ok
}

// Uses returns who has used which service through this host.
func (t *Task) Uses(ctx context.Context) []config.Use {
	m := usesRequest{reply: make(chan []config.Use, 1)}
	if !t.post(m) {
		return nil
	}
	uses, _ := mailbox.Await(ctx, t.stopped, m.reply)
	return uses
}

// finished takes a request off its endpoint's count.
func (t *Task) finished(id types.Endpoint) {
	for _, d := range t.databases {
		if e, ok := d.endpoints[id]; ok && e.outstanding > 0 {
			e.outstanding--
			return
		}
	}
}
