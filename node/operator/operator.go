// Package operator answers the requests of the admin API from the tasks that
// own the state, on this host and on the others.
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
	// inboxSize is the number of messages that wait for the task.
	inboxSize = 64
	// platformTimeout bounds one operation at the platform with its repetitions.
	platformTimeout = 10 * time.Second
	// hostTimeout bounds a question to another host.
	hostTimeout = time.Second
	// askedAtOnce is the number of hosts asked at a time.
	askedAtOnce = 64
	// planIDLength is the length of a plan's generated id.
	planIDLength = 8
)

// PlanLister lists the plans that the platform holds.
type PlanLister interface {
	Plans(ctx context.Context) ([]config.Object, error)
}

// Platform is what the operator's requests need of the platform.
type Platform interface {
	conf.Platform
	PlanLister
}

// Settings connect the task with the others.
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
	// Stop starts the planned stop of the host.
	Stop func()
}

// Task takes the admin API's requests; it owns the newest views of the
// configuration and the membership for them.
type Task struct {
	set      Settings
	log      *zap.Logger
	requests chan admin.Request
	inbox    chan any
	answers  chan bool
	snapshot config.Snapshot
	members  membership.View
	leaving  bool
	platform platformState
}

// platformState is what the last calls say of the platform.
type platformState struct {
	reachable bool
	// answered is the time of its last answer.
	answered time.Time
}

// New returns the task.
func New(set Settings, log *zap.Logger) *Task {
	return &Task{
		set:      set,
		log:      log,
		requests: make(chan admin.Request),
		inbox:    make(chan any, inboxSize),
		answers:  make(chan bool, inboxSize),
		platform: platformState{answered: time.Now()},
	}
}

// PlatformCalled tells whether the platform answered a call. It does not wait.
func (t *Task) PlatformCalled(answered bool) {
	select {
	case t.answers <- answered:
	default:
	}
}

// Requests returns the channel for the admin API's requests.
func (t *Task) Requests() chan<- admin.Request { return t.requests }

// SetConfig replaces the configuration in force.
func (t *Task) SetConfig(ctx context.Context, s config.Snapshot) { t.post(ctx, s) }

// SetMembers replaces the view of the hosts.
func (t *Task) SetMembers(ctx context.Context, v membership.View) { t.post(ctx, v) }

// post sends a message unless the context ends.
func (t *Task) post(ctx context.Context, msg any) {
	select {
	case t.inbox <- msg:
	case <-ctx.Done():
	}
}

// hostQuery asks for this host's answer to another host.
type hostQuery struct {
	query *meshpb.HostQuery
	reply chan *meshpb.HostAnswer
}

// recordEvent asks the task, which owns the recorder, to record an event.
type recordEvent struct{ event timeline.Event }

// Run serves until the context ends.
func (t *Task) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-t.inbox:
			t.handle(ctx, msg)
		case req := <-t.requests:
			t.request(ctx, req)
		case answered := <-t.answers:
			t.platformCalled(answered)
		}
	}
}

func (t *Task) handle(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case config.Snapshot:
		t.snapshot = m
	case membership.View:
		t.members = m
	case recordEvent:
		t.set.Recorder.Record(m.event)
	case leavingEndpoints:
		if v := t.view(); v.proposes() {
			go v.proposeAll(ctx, m.endpoints)
		}
	case setComplete:
		go t.view().proposeCompletion(ctx, m)
	case hostQuery:
		v := t.view()
		go func() { m.reply <- v.answer(ctx, m.query) }()
	default:
		panic(fmt.Sprintf("operator: message %T is not known", msg))
	}
}

// platformCalled keeps the platform's state; a change is logged.
func (t *Task) platformCalled(answered bool) {
	if answered {
		t.platform.answered = time.Now()
	}
	if answered != t.platform.reachable {
		t.log.Info("platform's state changed", zap.Bool("reachable", answered))
	}
	t.platform.reachable = answered
}

// view is what a request is answered from; a request's own goroutine has it.
type view struct {
	Settings
	log      *zap.Logger
	snapshot config.Snapshot
	members  membership.View
	leaving  bool
	platform platformState
	post     func(ctx context.Context, msg any)
}

func (t *Task) view() view {
	return view{
		Settings: t.set, log: t.log, snapshot: t.snapshot, members: t.members,
		leaving: t.leaving, platform: t.platform, post: t.post,
	}
}

// request answers a request; those that wait for others get a goroutine.
func (t *Task) request(ctx context.Context, req admin.Request) {
	v := t.view()
	switch r := req.(type) {
	case admin.SnapshotRequest:
		succeed(r.Reply, v.snapshot)
	case admin.RecordRequest:
		succeed(r.Reply, t.set.Recorder.Record(r.Event))
	case admin.LeaveRequest:
		t.leaving = true
		go t.set.Stop()
		succeed(r.Reply, admin.LeaveProgress{Host: t.set.Host, State: admin.HostLeaving})
	default:
		go v.serve(ctx, req)
	}
}

// succeed answers a request with a value.
func succeed[T any](reply admin.Reply[T], value T) { reply <- admin.Answer[T]{Value: value} }

// answer answers with a value, or with the failure if there is one.
func answer[T any](reply admin.Reply[T], value T, f *admin.Failure) {
	reply <- admin.Answer[T]{Value: value, Failure: f}
}

func (v view) serve(ctx context.Context, req admin.Request) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	switch r := req.(type) {
	case admin.StatusRequest:
		succeed(r.Reply, v.status(ctx))
	case admin.RolloutRequest:
		succeed(r.Reply, v.rollout(ctx))
	case admin.UsesRequest:
		succeed(r.Reply, v.uses(ctx))
	case admin.TimelineRequest:
		succeed(r.Reply, v.timeline(ctx, r))
	case admin.PlansRequest:
		plans, f := v.plans(ctx)
		answer(r.Reply, plans, f)
	case admin.PlanRequest:
		plan, _, f := v.plan(ctx, r.ID)
		answer(r.Reply, plan, f)
	case admin.CreatePlanRequest:
		plan, f := v.createPlan(ctx, r)
		answer(r.Reply, plan, f)
	case admin.ConfirmPlanRequest:
		confirmed, f := v.confirm(ctx, r)
		answer(r.Reply, confirmed, f)
	case admin.WithdrawPlanRequest:
		confirmed, f := v.withdraw(ctx, r)
		answer(r.Reply, confirmed, f)
	default:
		panic(fmt.Sprintf("operator: request %T is not known", req))
	}
}

// Answer answers another host's question.
func (t *Task) Answer(ctx context.Context, q *meshpb.HostQuery) *meshpb.HostAnswer {
	m := hostQuery{query: q, reply: make(chan *meshpb.HostAnswer, 1)}
	t.post(ctx, m)
	select {
	case a := <-m.reply:
		return a
	case <-ctx.Done():
		return &meshpb.HostAnswer{}
	}
}

// answer collects this host's part.
func (v view) answer(ctx context.Context, q *meshpb.HostQuery) *meshpb.HostAnswer {
	a := &meshpb.HostAnswer{
		ConfigVersion: uint64(v.snapshot.Version()),
		ConfigDigest:  v.snapshot.Digest(),
	}
	if q.GetUses() {
		a.Uses = wire.EncodeUses(v.Router.Uses(ctx))
	}
	if f := q.GetEvents(); f != nil {
		a.Events = wire.EncodeEvents(v.ownEvents(ctx, wire.DecodeFilter(f)))
	}
	return a
}

// ownEvents reads this host's part of the time line.
func (v view) ownEvents(ctx context.Context, f timeline.Filter) []timeline.Event {
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
