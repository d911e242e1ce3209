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
	// endpointInboxSize is the number of messages that wait for an endpoint task.
	endpointInboxSize = 1024
	// reservedControlConnections are the connections to an endpoint that the watches and
	// the acknowledgement tasks of its database's owners may hold.
	reservedControlConnections = 6
	// idleCheckAfter is the idle time after which a connection is checked before use.
	idleCheckAfter = 5 * time.Second
	// restoredLevelLifetime is how long a level back at full is still told to entries.
	restoredLevelLifetime = 2 * time.Second
)

var (
	requestsStarted   = metrics.NewCounter("baobab_owner_requests_started_total")
	requestsRefused   = metrics.NewCounter("baobab_owner_requests_refused_total")
	connectionsOpened = metrics.NewCounter("baobab_owner_connections_opened_total")
	connectionsBroken = metrics.NewCounter("baobab_owner_connections_broken_total")
)

// pendingRequest is a request that has a slot and waits for a connection, or that
// waits for its slot.
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
	openConns      int
	dialing        int
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

// post sends a message unless the task has ended; it reports whether it was sent.
func (t *endpointTask) post(msg any) bool {
	return mailbox.Post(t.inbox, t.stopped, msg)
}

// runningRequest is a request that holds a slot.
type runningRequest struct {
	write           bool
	primaryReplaced chan struct{}
}

// interruptReplacedWrites ends the writes in flight where another endpoint is the
// primary: they can no longer be acknowledged.
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

// hasEnded reports whether the task has hasEnded.
func (t *endpointTask) hasEnded() bool {
	select {
	case <-t.stopped:
		return true
	default:
		return false
	}
}

// run serves until the context ends and no request is running.
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
			t.handle(ctx, msg)
		}
		timer.Reset(clock.Until(t.queue.NextWake()))
	}
}

func (t *endpointTask) handle(ctx context.Context, msg any) {
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
		panic(fmt.Sprintf("owner: message %T is not known", msg))
	}
}

func (t *endpointTask) handleRequest(ctx context.Context, m requestConnection) {
	t.pending[m.id] = pendingRequest{reply: m.replyTo, write: m.write}
	t.stepQueue(ctx, admission.Event{
		Kind: admission.EventSubmit, ID: m.id, Rank: m.rank, Feature: m.feature,
		Job: m.job, Deadline: m.deadline, Write: m.write,
	})
}

// stepQueue feeds the queue and performs its effects.
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
			t.log.Info("slots changed", zap.Int("slots", e.Slots))
		}
	}
	t.assignConnections(ctx)
}

// startRequest marks a request as holding a slot.
func (t *endpointTask) startRequest(id types.RequestID) {
	requestsStarted.Inc()
	t.running[id] = runningRequest{write: t.pending[id].write, primaryReplaced: make(chan struct{})}
	if t.pending[id].write {
		t.runningWrites++
	}
	t.awaitingConn = append(t.awaitingConn, id)
}

// refuseRequest answers a request that does not run.
func (t *endpointTask) refuseRequest(id types.RequestID, reason types.Reason) {
	requestsRefused.Inc()
	req := t.pending[id]
	delete(t.pending, id)
	if reason == types.ReasonLeaving && t.drainReason != types.ReasonNone {
		reason = t.drainReason
	}
	req.reply <- connectionReply{outcome: types.Refused(reason, "endpoint "+string(t.cfg.Endpoint)), levels: t.currentLevels()}
}

// handleReturn takes a connection back and frees the slot.
func (t *endpointTask) handleReturn(ctx context.Context, m returnConnection) {
	if m.broken {
		connectionsBroken.Inc()
		m.conn.Close()
		t.openConns--
		t.closeIdleConns()
	} else if m.conn != nil {
		t.idleConns = append(t.idleConns, idleConn{conn: m.conn, idleSince: clock.Now()})
	}
	t.releaseSlot(ctx, m)
}

// releaseSlot frees a request's slot.
func (t *endpointTask) releaseSlot(ctx context.Context, m returnConnection) {
	if t.running[m.id].write {
		t.runningWrites--
	}
	delete(t.running, m.id)
	t.stepQueue(ctx, admission.Event{Kind: admission.EventFinish, ID: m.id, OK: m.succeeded, ServiceTime: m.serviceTime})
	t.reportWritesDrained()
}

// handleCancel withdraws a request and answers it. One that has a slot but no
// connection yet gives the slot back; one that has its grant goes on to its
// finish message.
func (t *endpointTask) handleCancel(ctx context.Context, id types.RequestID) {
	req, ok := t.pending[id]
	if !ok {
		return
	}
	delete(t.pending, id)
	req.reply <- connectionReply{outcome: types.Refused(types.ReasonBroken, "request withdrawn")}
	for i, r := range t.awaitingConn {
		if r == id {
			t.awaitingConn = append(t.awaitingConn[:i:i], t.awaitingConn[i+1:]...)
			t.releaseSlot(ctx, returnConnection{id: id})
			return
		}
	}
	t.stepQueue(ctx, admission.Event{Kind: admission.EventCancel, ID: id})
}

// setWriteHold keeps new writes queued, or lets them go on.
func (t *endpointTask) setWriteHold(ctx context.Context, on bool) {
	t.writesHeld = on
	kind := admission.EventReleaseWrites
	if on {
		kind = admission.EventHoldWrites
	}
	t.stepQueue(ctx, admission.Event{Kind: kind})
	t.reportWritesDrained()
}

// reportWritesDrained tells the watch once no write is in flight while writes are held.
func (t *endpointTask) reportWritesDrained() {
	if t.writesHeld && t.runningWrites == 0 {
		go t.watch.Post(failover.WritesDrained{})
	}
}

// refuseNewRequests refuses new and queued requests with the reason; running ones go on.
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
		t.log.Warn("configuration refused", zap.Error(err))
		return
	}
	t.queueConfig = cfg
	t.performEffects(ctx, effects)
}
