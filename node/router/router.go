// Package router chooses the endpoint and the owner for each request of a frontend. Its
// task owns what the frontend knows of databases, endpoint owners and admission levels.
//
// It receives queries from the sessions of package caller, the configuration, membership
// views, and the state that owners send with results. It requests older state again from
// the owners over the mesh. A query waits for the reply if the primary is unknown or the
// query requires new state.
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
	// inboxSize is the capacity of the task's inbox in messages.
	inboxSize = 4096
	// maxStateAge is the age at which the state of a database's endpoints is requested
	// again.
	maxStateAge = time.Second
	// stateRequestTimeout bounds one request for the state of a database.
	stateRequestTimeout = 500 * time.Millisecond
	// maxPendingRoutes limits the requests of a database that wait for its state.
	maxPendingRoutes = 4096
	// maxTrackedUses limits the uses that the host records.
	maxTrackedUses = 4096
)

var (
	routedReplica  = metrics.NewCounter(`baobab_router_routed_total{to="replica"}`)
	routedPrimary  = metrics.NewCounter(`baobab_router_routed_total{to="primary"}`)
	refusedShed    = metrics.NewCounter(`baobab_router_refused_total{reason="shed"}`)
	refusedRetired = metrics.NewCounter(`baobab_router_refused_total{reason="retired"}`)
	stateRequests  = metrics.NewCounter("baobab_router_state_questions_total")
)

// Settings configures the router.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	Seed       uint64
	// DefaultMaxStaleness is the largest staleness of a replica for reads without a limit
	// of their own.
	DefaultMaxStaleness time.Duration
}

// Query describes a request for which the router chooses a target.
type Query struct {
	Database types.Database
	Write    bool
	// PrimaryOnly is set if the request must run at the primary although it only reads.
	PrimaryOnly bool
	// MinPosition is the session's log point. A replica serves the request only if it has
	// applied the log up to this point.
	MinPosition types.LogPoint
	// MaxStaleness is the accepted staleness if HasMaxStaleness is set.
	MaxStaleness    time.Duration
	HasMaxStaleness bool
	Rank            types.Rank
	Feature         types.Feature
	Job             types.Job
	// Caller is the caller's address without its port.
	Caller string
	// Excluded lists the endpoints that have refused the request.
	Excluded []types.Endpoint
	// IsRetry is set on every attempt but the first.
	IsRetry bool
	// RefreshState is set if new state must be requested before the target is chosen.
	RefreshState bool
}

// Target is the endpoint and the owner for a request. If no target is available,
// Outcome holds the refusal.
type Target struct {
	Outcome  types.Outcome
	Service  types.Service
	Endpoint types.Endpoint
	// Host is the owner of the endpoint.
	Host         types.Host
	MaxStaleness time.Duration
}

// routeRequest requests a target.
type routeRequest struct {
	query Query
	reply chan Target
}

// requestFinished reports that a request at an endpoint has ended.
type requestFinished struct{ endpoint types.Endpoint }

// retryRequest requests permission for one retry from the retry budget.
type retryRequest struct{ reply chan bool }

// usesRequest requests the recorded uses.
type usesRequest struct{ reply chan []config.Use }

// Task owns the router's state.
type Task struct {
	settings Settings
	mesh     *mesh.Task
	log      *zap.Logger
	inbox    chan any
	stopped  chan struct{}

	config          config.Snapshot
	members         membership.View
	databases       map[types.Database]*database
	gate            *admission.Gate
	rng             random.Source
	budget          routing.RetryBudget
	uses            *config.UseTracker
	owners          *routing.OwnerTable
	candidateBuffer []routing.Candidate
}

// database is the router's state of one database.
type database struct {
	service              types.ServiceSpec
	spec                 types.DatabaseSpec
	term                 types.Term
	primary              types.Endpoint
	endpoints            map[types.Endpoint]*endpointState
	stateRequestedAt     types.Time
	stateRequestInFlight bool
	pendingRoutes        []routeRequest
}

// endpointState is the router's state of one endpoint.
type endpointState struct {
	hasState       bool
	applied        types.LogPoint
	staleness      time.Duration
	stalenessKnown bool
	reachable      bool
	updatedAt      types.Time
	inFlight       int
	stats          routing.EndpointStats
}

// New returns a router that sends its state requests over m.
func New(settings Settings, m *mesh.Task, log *zap.Logger) *Task {
	return &Task{
		settings:  settings,
		mesh:      m,
		log:       log,
		inbox:     make(chan any, inboxSize),
		stopped:   make(chan struct{}),
		databases: map[types.Database]*database{},
		gate:      admission.NewGate(settings.Seed),
		rng:       random.New(settings.Seed),
		budget:    routing.NewRetryBudget(),
		uses:      config.NewUseTracker(settings.Host, maxTrackedUses),
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
			t.handleMessage(ctx, msg)
		}
	}
}

func (t *Task) handleMessage(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case routeRequest:
		t.handleRoute(ctx, m)
	case requestFinished:
		t.decrementInFlight(m.endpoint)
	case stateUpdate:
		t.updatePrimary(m.view)
		t.updateEndpointState(m.view, m.state)
	case stateReply:
		t.handleStateReply(ctx, m)
	case config.Snapshot:
		t.config = m
		t.updateDatabases()
		t.updateOwners()
	case membership.View:
		t.members = m
		t.updateOwners()
	case replacedRequest:
		m.reply <- t.checkReplaced(ctx, m)
	case readObserved:
		t.recordRead(m)
	case validateRequest:
		m.reply <- t.validateNames(m)
	case retryRequest:
		m.reply <- t.budget.Allow()
	case usesRequest:
		m.reply <- t.uses.Uses()
	default:
		panic(fmt.Sprintf("router: unexpected message type %T", msg))
	}
}

// post sends a message to the task. It reports false if the task has ended.
func (t *Task) post(msg any) bool {
	return mailbox.Post(t.inbox, t.stopped, msg)
}

// SetConfig replaces the configuration in force.
func (t *Task) SetConfig(s config.Snapshot) { t.post(s) }

// SetMembers replaces the membership view.
func (t *Task) SetMembers(v membership.View) { t.post(v) }

// UpdateState applies state that an owner has sent with a result. Either argument
// may be nil.
func (t *Task) UpdateState(view *meshpb.DatabaseView, state *meshpb.EndpointState) {
	if view != nil || state != nil {
		t.post(stateUpdate{view: view, state: state})
	}
}

// ReportFinished reports that a routed request has ended.
func (t *Task) ReportFinished(e types.Endpoint) { t.post(requestFinished{endpoint: e}) }

// RecordRead records the latency and the success of a read at an endpoint.
func (t *Task) RecordRead(db types.Database, e types.Endpoint, latency time.Duration, succeeded bool) {
	t.post(readObserved{db: db, endpoint: e, latency: latency, succeeded: succeeded})
}

// Route chooses the target of a request. If the target's outcome is Done, the end of
// the request must be reported with ReportFinished.
func (t *Task) Route(ctx context.Context, q Query) Target {
	m := routeRequest{query: q, reply: make(chan Target, 1)}
	if !t.post(m) {
		return Target{Outcome: types.NotRunOutcome(types.ReasonLeaving, "host is stopping")}
	}
	select {
	case target := <-m.reply:
		return target
	case <-ctx.Done():
		go t.releaseLateTarget(m.reply)
		return Target{Outcome: types.NotRunOutcome(types.ReasonLate, "deadline passed")}
	case <-t.stopped:
		return Target{Outcome: types.NotRunOutcome(types.ReasonLeaving, "host is stopping")}
	}
}

// releaseLateTarget reports the end of a request whose target arrives after its
// deadline.
func (t *Task) releaseLateTarget(reply <-chan Target) {
	select {
	case target := <-reply:
		if target.Outcome.Kind == types.OutcomeDone {
			t.ReportFinished(target.Endpoint)
		}
	case <-t.stopped:
	}
}

// replacedRequest queries whether an endpoint has been replaced as primary.
type replacedRequest struct {
	db       types.Database
	endpoint types.Endpoint
	reply    chan bool
}

// PrimaryReplaced reports whether an endpoint other than e is known to be the
// primary.
func (t *Task) PrimaryReplaced(ctx context.Context, db types.Database, e types.Endpoint) bool {
	m := replacedRequest{db: db, endpoint: e, reply: make(chan bool, 1)}
	if !t.post(m) {
		return false
	}
	replaced, _ := mailbox.Await(ctx, t.stopped, m.reply)
	return replaced
}

// checkReplaced replies from the current state and requests new state.
func (t *Task) checkReplaced(ctx context.Context, m replacedRequest) bool {
	d, ok := t.databases[m.db]
	if !ok {
		return false
	}
	t.requestState(ctx, d)
	return d.primary != "" && d.primary != m.endpoint
}

// AllowRetry reports whether the retry budget allows one more retry.
func (t *Task) AllowRetry(ctx context.Context) bool {
	m := retryRequest{reply: make(chan bool, 1)}
	if !t.post(m) {
		return false
	}
	ok, _ := mailbox.Await(ctx, t.stopped, m.reply)
	return ok
}

// Uses returns the uses of services through this host.
func (t *Task) Uses(ctx context.Context) []config.Use {
	m := usesRequest{reply: make(chan []config.Use, 1)}
	if !t.post(m) {
		return nil
	}
	uses, _ := mailbox.Await(ctx, t.stopped, m.reply)
	return uses
}

// decrementInFlight decrements an endpoint's count of requests in flight.
func (t *Task) decrementInFlight(id types.Endpoint) {
	for _, d := range t.databases {
		if e, ok := d.endpoints[id]; ok && e.inFlight > 0 {
			e.inFlight--
			return
		}
	}
}
