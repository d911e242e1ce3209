// Package operator handles the requests that package admin decodes. Its task owns copies of
// the configuration, the membership view and the platform's reachability. Each request
// that waits for other tasks, other hosts or the platform runs in a goroutine on a copy of
// that state.
//
// The task also answers the queries of other hosts' operator tasks. It proposes plans when
// endpoints leave or an endpoint set is complete.
package operator

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"baobabfield.example/core/config"
	"baobabfield.example/core/membership"
	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
	"baobabfield.example/node/admin"
	"baobabfield.example/node/conf"
	"baobabfield.example/node/events"
	"baobabfield.example/node/mesh"
	"baobabfield.example/node/owner"
	"baobabfield.example/node/router"
	"baobabfield.example/wire/meshpb"
	wire "baobabfield.example/wire/operator"
)

const (
	// inboxSize is the capacity of the task's inbox in messages.
	inboxSize = 64
	// platformOperationTimeout is the limit for one operation at the platform, retries
	// included.
	platformOperationTimeout = 10 * time.Second
	// hostQueryTimeout is the limit for a query to another host.
	hostQueryTimeout = time.Second
	// maxConcurrentHostQueries is the number of hosts that are queried concurrently.
	maxConcurrentHostQueries = 64
	// planIDLength is the length of a generated plan ID in characters.
	planIDLength = 8
)

// PlanLister lists the plans that the platform stores.
type PlanLister interface {
	// Plans returns all plans. The list may be some seconds old.
	Plans(ctx context.Context) ([]config.Object, error)
}

// Platform is the part of the platform that the admin API's requests need.
type Platform interface {
	conf.Platform
	PlanLister
}

// Settings holds the host's identity and the other tasks that the task uses.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	Platform   Platform
	Mesh       *mesh.Task
	Registry   *owner.Registry
	Router     *router.Task
	Conf       *conf.Task
	Events     *events.Task
	Recorder   *events.Recorder
	// BeginStop starts the planned stop of the host. It runs in its own goroutine.
	BeginStop func()
}

// Task handles the admin API's requests. It owns the copies of the configuration, the
// membership view and the platform's state that the requests read.
type Task struct {
	settings      Settings
	log           *zap.Logger
	requests      chan admin.Request
	inbox         chan any
	platformCalls chan bool
	snapshot      config.Snapshot
	members       membership.View
	leaving       bool
	platform      platformState
}

// platformState is the platform's state according to the last calls.
type platformState struct {
	reachable bool
	// lastAnswer is the time of the platform's last answer. Initially it is the start of
	// the task.
	lastAnswer time.Time
}

// New returns a task that does nothing until Run.
func New(settings Settings, log *zap.Logger) *Task {
	return &Task{
		settings:      settings,
		log:           log,
		requests:      make(chan admin.Request),
		inbox:         make(chan any, inboxSize),
		platformCalls: make(chan bool, inboxSize),
		platform:      platformState{lastAnswer: time.Now()},
	}
}

// ReportPlatformCall reports whether the platform answered a call. It does not block: if
// the queue of reports is full, the report is dropped.
func (t *Task) ReportPlatformCall(answered bool) {
	select {
	case t.platformCalls <- answered:
	default:
	}
}

// Requests returns the channel for the admin API's requests.
func (t *Task) Requests() chan<- admin.Request { return t.requests }

// SetConfig replaces the configuration in force.
func (t *Task) SetConfig(ctx context.Context, s config.Snapshot) { t.post(ctx, s) }

// SetMembers replaces the membership view.
func (t *Task) SetMembers(ctx context.Context, v membership.View) { t.post(ctx, v) }

// post sends a message to the task unless the context ends first.
func (t *Task) post(ctx context.Context, msg any) {
	select {
	case t.inbox <- msg:
	case <-ctx.Done():
	}
}

// hostQuery carries another host's query and the channel for the answer.
type hostQuery struct {
	query *meshpb.HostQuery
	reply chan *meshpb.HostAnswer
}

// recordEvent requests that the task record an event. The task owns the recorder, which
// is not safe for concurrent use.
type recordEvent struct{ event timeline.Event }

// Run handles messages and requests until the context ends.
func (t *Task) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-t.inbox:
			t.handleMessage(ctx, msg)
		case req := <-t.requests:
			t.handleRequest(ctx, req)
		case answered := <-t.platformCalls:
			t.updatePlatformState(answered)
		}
	}
}

func (t *Task) handleMessage(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case config.Snapshot:
		t.snapshot = m
	case membership.View:
		t.members = m
	case recordEvent:
		t.settings.Recorder.Record(m.event)
	case leavingEndpoints:
		if v := t.newRequestView(); v.isProposer() {
			go v.proposeRetirements(ctx, m.endpoints)
		}
	case endpointSetComplete:
		go t.newRequestView().proposeCompletion(ctx, m)
	case hostQuery:
		v := t.newRequestView()
		go func() { m.reply <- v.answerHostQuery(ctx, m.query) }()
	default:
		panic(fmt.Sprintf("operator: received a message of unexpected type %T", msg))
	}
}

// updatePlatformState records the result of a call to the platform and logs a change of
// reachability.
func (t *Task) updatePlatformState(answered bool) {
	if answered {
		t.platform.lastAnswer = time.Now()
	}
	if answered != t.platform.reachable {
		t.log.Info("platform reachability changed", zap.Bool("reachable", answered))
	}
	t.platform.reachable = answered
}

// requestView is the copy of the task's state from which one request is handled. It belongs
// to the request's own goroutine.
type requestView struct {
	Settings
	log      *zap.Logger
	snapshot config.Snapshot
	members  membership.View
	leaving  bool
	platform platformState
	post     func(ctx context.Context, msg any)
}

func (t *Task) newRequestView() requestView {
	return requestView{
		Settings: t.settings, log: t.log, snapshot: t.snapshot, members: t.members,
		leaving: t.leaving, platform: t.platform, post: t.post,
	}
}

// handleRequest replies to a request. Requests that wait for other tasks, for other hosts
// or for the platform are handled in their own goroutine.
func (t *Task) handleRequest(ctx context.Context, req admin.Request) {
	v := t.newRequestView()
	switch r := req.(type) {
	case admin.SnapshotRequest:
		replyValue(r.Reply, v.snapshot)
	case admin.RecordRequest:
		replyValue(r.Reply, t.settings.Recorder.Record(r.Event))
	case admin.LeaveRequest:
		t.leaving = true
		go t.settings.BeginStop()
		replyValue(r.Reply, admin.LeaveProgress{Host: t.settings.Host, State: admin.HostLeaving})
	default:
		go v.serveRequest(ctx, req)
	}
}

// replyValue replies to a request with a value.
func replyValue[T any](reply admin.Reply[T], value T) { reply <- admin.Answer[T]{Value: value} }

// replyResult replies to a request with a value, or with a failure if f is not nil.
func replyResult[T any](reply admin.Reply[T], value T, f *admin.Failure) {
	reply <- admin.Answer[T]{Value: value, Failure: f}
}

func (v requestView) serveRequest(ctx context.Context, req admin.Request) {
	ctx, cancel := context.WithTimeout(ctx, platformOperationTimeout)
	defer cancel()
	switch r := req.(type) {
	case admin.StatusRequest:
		replyValue(r.Reply, v.hostStatus(ctx))
	case admin.RolloutRequest:
		replyValue(r.Reply, v.collectRollout(ctx))
	case admin.UsesRequest:
		replyValue(r.Reply, v.collectUses(ctx))
	case admin.TimelineRequest:
		replyValue(r.Reply, v.readTimeline(ctx, r))
	case admin.PlansRequest:
		plans, f := v.listPlans(ctx)
		replyResult(r.Reply, plans, f)
	case admin.PlanRequest:
		plan, _, f := v.readPlan(ctx, r.ID)
		replyResult(r.Reply, plan, f)
	case admin.CreatePlanRequest:
		plan, f := v.createPlan(ctx, r)
		replyResult(r.Reply, plan, f)
	case admin.ConfirmPlanRequest:
		confirmed, f := v.confirmPlan(ctx, r)
		replyResult(r.Reply, confirmed, f)
	case admin.WithdrawPlanRequest:
		confirmed, f := v.withdrawPlan(ctx, r)
		replyResult(r.Reply, confirmed, f)
	default:
		panic(fmt.Sprintf("operator: received a request of unexpected type %T", req))
	}
}

// AnswerHostQuery returns this host's answer to another host's query. The answer is empty
// if the context ends first.
func (t *Task) AnswerHostQuery(ctx context.Context, q *meshpb.HostQuery) *meshpb.HostAnswer {
	m := hostQuery{query: q, reply: make(chan *meshpb.HostAnswer, 1)}
	t.post(ctx, m)
	select {
	case a := <-m.reply:
		return a
	case <-ctx.Done():
		return &meshpb.HostAnswer{}
	}
}

// answerHostQuery collects the data of this host that a query requests.
func (v requestView) answerHostQuery(ctx context.Context, q *meshpb.HostQuery) *meshpb.HostAnswer {
	a := &meshpb.HostAnswer{
		ConfigVersion: uint64(v.snapshot.Version()),
		ConfigDigest:  v.snapshot.Digest(),
	}
	if q.GetUses() {
		a.Uses = wire.EncodeUses(v.Router.Uses(ctx))
	}
	if f := q.GetEvents(); f != nil {
		a.Events = wire.EncodeEvents(v.localEvents(ctx, wire.DecodeFilter(f)))
	}
	return a
}

// localEvents reads this host's time line events.
func (v requestView) localEvents(ctx context.Context, f timeline.Filter) []timeline.Event {
	reply := make(chan []timeline.Event, 1)
	select {
	case v.Events.Queries() <- events.Query{Filter: f, Reply: reply}:
	case <-ctx.Done():
		return nil
	}
	select {
	case list := <-reply:
		return list
	case <-ctx.Done():
		return nil
	}
}
