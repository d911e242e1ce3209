package owner

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
	"baobabfield.example/node/clock"
	"baobabfield.example/node/endpoint"
	"baobabfield.example/node/mailbox"
	"baobabfield.example/node/watch"
)

const (
	// endpointInboxSize is the capacity of an endpoint task's inbox in messages.
	endpointInboxSize = 1024
	// reservedControlConnections is the part of an endpoint's connections that is left to
	// the watches and acknowledgement tasks of all owners of its database.
	reservedControlConnections = 6
	// idleCheckAfter is the idle time after which a connection is checked before its
	// next use.
	idleCheckAfter = 5 * time.Second
	// restoredLevelLifetime is the time for which frontends receive the notice of a level
	// after its return to LevelFull.
	restoredLevelLifetime = 2 * time.Second
)

var (
	requestsStarted   = metrics.NewCounter("baobab_owner_requests_started_total")
	requestsRefused   = metrics.NewCounter("baobab_owner_requests_refused_total")
	connectionsOpened = metrics.NewCounter("baobab_owner_connections_opened_total")
	connectionsBroken = metrics.NewCounter("baobab_owner_connections_broken_total")
)

// pendingRequest is a request without a connection. It waits for a slot, or has a slot
// and waits for the connection.
type pendingRequest struct {
	reply chan connectionReply
	write bool
}

// endpointTask owns the queue and the idle connections of one endpoint.
type endpointTask struct {
	cfg         endpoint.Config
	queue       *admission.Queue
	queueConfig admission.Config
	startedAt   types.Time
	watch       *watch.Task
	log         *zap.Logger
	inbox       chan any
	stopped     chan struct{}

	pending        map[types.RequestID]pendingRequest
	awaitingConn   []types.RequestID
	running        map[types.RequestID]runningRequest
	idleConns      []idleConn
	openConnCount  int
	dialsInFlight  int
	runningWrites  int
	writesHeld     bool
	drainReason    types.Reason
	cachedLevels   []admission.LevelNotice
	restoredLevels []restoredLevel
}

func newEndpointTask(cfg endpoint.Config, queueConfig admission.Config, w *watch.Task, log *zap.Logger) *endpointTask {
	now := clock.Now()
	return &endpointTask{
		cfg:         cfg,
		queue:       admission.New(queueConfig, now),
		queueConfig: queueConfig,
		startedAt:   now,
		watch:       w,
		log:         log.With(zap.String("endpoint", string(cfg.Endpoint))),
		inbox:       make(chan any, endpointInboxSize),
		stopped:     make(chan struct{}),
		pending:     map[types.RequestID]pendingRequest{},
		running:     map[types.RequestID]runningRequest{},
	}
}

// post sends a message to the task. It reports false if the task has ended.
func (t *endpointTask) post(msg any) bool {
	return mailbox.Post(t.inbox, t.stopped, msg)
}

// runningRequest is a request that holds a slot.
type runningRequest struct {
	write           bool
	primaryReplaced chan struct{}
}

// interruptReplacedWrites interrupts the writes in flight if another endpoint is the
// primary, because they can no longer be acknowledged.
func (t *endpointTask) interruptReplacedWrites(primary types.Endpoint) {
	if primary == "" || primary == t.cfg.Endpoint {
		return
	}
	for id, req := range t.running {
		if req.write && req.primaryReplaced != nil {
			close(req.primaryReplaced)
			t.running[id] = runningRequest{write: true}
		}
	}
}

// hasEnded reports whether run has returned.
func (t *endpointTask) hasEnded() bool {
	select {
	case <-t.stopped:
		return true
	default:
		return false
	}
}

// run handles messages until the context ends and no request is running.
func (t *endpointTask) run(ctx context.Context) {
	defer close(t.stopped)
	defer t.closeIdleConns()
	timer := time.NewTimer(clock.Until(t.queue.NextWake()))
	defer timer.Stop()
	done := ctx.Done()
	for done != nil || len(t.running) > 0 {
		select {
		case <-done:
			done = nil
			t.refuseNewRequests(types.ReasonLeaving)
		case <-timer.C:
			t.stepQueue(ctx, admission.Event{Kind: admission.EventTick})
		case msg := <-t.inbox:
			t.handleMessage(ctx, msg)
		}
		timer.Reset(clock.Until(t.queue.NextWake()))
	}
}

func (t *endpointTask) handleMessage(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case requestConnection:
		t.handleRequest(ctx, m)
	case returnConnection:
		t.handleReturn(ctx, m)
	case cancelRequest:
		t.handleCancel(ctx, m.id)
	case dialResult:
		t.handleDialResult(ctx, m)
	case holdWrites:
		t.setWriteHold(ctx, m.hold)
	case primaryUpdate:
		t.interruptReplacedWrites(m.primary)
	case drainEndpoint:
		t.refuseNewRequests(m.reason)
	case reconfigure:
		t.reconfigureQueue(ctx, m.cfg)
	case statusRequest:
		m.reply <- t.currentStatus()
	default:
		panic(fmt.Sprintf("owner: endpoint task received a message of unexpected type %T", msg))
	}
}

func (t *endpointTask) handleRequest(ctx context.Context, m requestConnection) {
	t.pending[m.id] = pendingRequest{reply: m.replyTo, write: m.write}
	t.stepQueue(ctx, admission.Event{
		Kind: admission.EventSubmit, ID: m.id, Rank: m.rank, Feature: m.feature,
		Job: m.job, Deadline: m.deadline, Write: m.write,
	})
}

// stepQueue passes an event to the queue and performs the resulting effects.
func (t *endpointTask) stepQueue(ctx context.Context, ev admission.Event) {
	t.performEffects(ctx, t.queue.Step(clock.Now(), ev))
}

func (t *endpointTask) performEffects(ctx context.Context, effects []admission.Effect) {
	for _, e := range effects {
		switch e.Kind {
		case admission.EffectStart:
			t.startRequest(e.ID)
		case admission.EffectRefuse:
			t.refuseRequest(e.ID, e.Reason)
		case admission.EffectLevel:
			t.recordLevel(e.Level)
		case admission.EffectSlots:
			t.log.Info("number of slots changed", zap.Int("slots", e.Slots))
		}
	}
	t.assignConnections(ctx)
}

// startRequest records that a request holds a slot and waits for a connection.
func (t *endpointTask) startRequest(id types.RequestID) {
	requestsStarted.Inc()
	t.running[id] = runningRequest{write: t.pending[id].write, primaryReplaced: make(chan struct{})}
	if t.pending[id].write {
		t.runningWrites++
	}
	t.awaitingConn = append(t.awaitingConn, id)
}

// refuseRequest replies to a request that the queue refused. A drained endpoint gives
// the reason of its drain.
func (t *endpointTask) refuseRequest(id types.RequestID, reason types.Reason) {
	requestsRefused.Inc()
	req := t.pending[id]
	delete(t.pending, id)
	if reason == types.ReasonLeaving && t.drainReason != types.ReasonNone {
		reason = t.drainReason
	}
	req.reply <- connectionReply{outcome: types.NotRunOutcome(reason, "endpoint "+string(t.cfg.Endpoint)), levels: t.currentLevels()}
}

// handleReturn keeps a returned connection as idle, or closes it if it is broken, and
// releases the request's slot.
func (t *endpointTask) handleReturn(ctx context.Context, m returnConnection) {
	if m.broken {
		connectionsBroken.Inc()
		m.conn.Close()
		t.openConnCount--
		t.closeIdleConns()
	} else if m.conn != nil {
		t.idleConns = append(t.idleConns, idleConn{conn: m.conn, idleSince: clock.Now()})
	}
	t.releaseSlot(ctx, m)
}

// releaseSlot ends a running request and releases its slot.
func (t *endpointTask) releaseSlot(ctx context.Context, m returnConnection) {
	if t.running[m.id].write {
		t.runningWrites--
	}
	delete(t.running, m.id)
	t.stepQueue(ctx, admission.Event{Kind: admission.EventFinish, ID: m.id, Completed: m.succeeded, ServiceTime: m.serviceTime})
	t.reportWritesDrained()
}

// handleCancel withdraws a pending request and replies to it. If the request has a slot,
// the slot is released. A request that has its connection is not affected: it ends with
// its returnConnection.
func (t *endpointTask) handleCancel(ctx context.Context, id types.RequestID) {
	req, ok := t.pending[id]
	if !ok {
		return
	}
	delete(t.pending, id)
	req.reply <- connectionReply{outcome: types.NotRunOutcome(types.ReasonBroken, "request withdrawn")}
	for i, r := range t.awaitingConn {
		if r == id {
			t.awaitingConn = append(t.awaitingConn[:i:i], t.awaitingConn[i+1:]...)
			t.releaseSlot(ctx, returnConnection{id: id})
			return
		}
	}
	t.stepQueue(ctx, admission.Event{Kind: admission.EventCancel, ID: id})
}

// setWriteHold starts or ends a hold of new writes. Held writes stay in the queue.
func (t *endpointTask) setWriteHold(ctx context.Context, hold bool) {
	t.writesHeld = hold
	kind := admission.EventReleaseWrites
	if hold {
		kind = admission.EventHoldWrites
	}
	t.stepQueue(ctx, admission.Event{Kind: kind})
	t.reportWritesDrained()
}

// reportWritesDrained notifies the watch if writes are held and none is in flight.
func (t *endpointTask) reportWritesDrained() {
	if t.writesHeld && t.runningWrites == 0 {
		go t.watch.Post(failover.WritesDrained{})
	}
}

// refuseNewRequests refuses queued and new requests with a reason. Running requests
// continue.
func (t *endpointTask) refuseNewRequests(reason types.Reason) {
	t.drainReason = reason
	for _, e := range t.queue.Step(clock.Now(), admission.Event{Kind: admission.EventDrain}) {
		if e.Kind == admission.EffectRefuse {
			t.refuseRequest(e.ID, e.Reason)
		}
	}
}

func (t *endpointTask) reconfigureQueue(ctx context.Context, cfg admission.Config) {
	effects, err := t.queue.Reconfigure(clock.Now(), cfg)
	if err != nil {
		t.log.Warn("queue configuration rejected; the previous one stays in force", zap.Error(err))
		return
	}
	t.queueConfig = cfg
	t.performEffects(ctx, effects)
}
