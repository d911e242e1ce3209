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
	// endpointInbox is the number of messages that wait for an endpoint task.
	endpointInbox = 1024
	// controlConnections are the connections to an endpoint that the watches and
	// the acknowledgement tasks of its database's owners may hold.
	controlConnections = 6
	// idleCheck is the idle time after which a connection is checked before use.
	idleCheck = 5 * time.Second
	// restoredLifetime is how long a level back at full is still told to entries.
	restoredLifetime = 2 * time.Second
)

var (
	requestsStarted = metrics.NewCounter("baobab_owner_requests_started_total")
	requestsRefused = metrics.NewCounter("baobab_owner_requests_refused_total")
	connsOpened     = metrics.NewCounter("baobab_owner_connections_opened_total")
	connsBroken     = metrics.NewCounter("baobab_owner_connections_broken_total")
)

// waiter is a request that has a slot and waits for a connection, or that
// waits for its slot.
type waiter struct {
	reply chan grant
	write bool
}

// endpointTask owns the queue and the idle connections of one endpoint.
type endpointTask struct {
	cfg     endpoint.Config
	queue   *admission.Queue
	qcfg    admission.Config
	since   types.Time
	watch   *watch.Task
	log     *zap.Logger
	inbox   chan any
	stopped chan struct{}

	waiting  map[types.RequestID]waiter
	ready    []types.RequestID
	running  map[types.RequestID]runningRequest
	idle     []idleConn
	open     int
	dialing  int
	writes   int
	holding  bool
	refusal  types.Reason
	levels   []admission.LevelNotice
	restored []restoredLevel
}

func newEndpointTask(cfg endpoint.Config, qcfg admission.Config, w *watch.Task, log *zap.Logger) *endpointTask {
	now := clock.Now()
	return &endpointTask{
		cfg:     cfg,
		queue:   admission.New(qcfg, now),
		qcfg:    qcfg,
		since:   now,
		watch:   w,
		log:     log.With(zap.String("endpoint", string(cfg.Endpoint))),
		inbox:   make(chan any, endpointInbox),
		stopped: make(chan struct{}),
		waiting: map[types.RequestID]waiter{},
		running: map[types.RequestID]runningRequest{},
	}
}

// post sends a message unless the task has ended; it reports whether it was sent.
func (t *endpointTask) post(msg any) bool {
	return mailbox.Post(t.inbox, t.stopped, msg)
}

// runningRequest is a request that holds a slot.
type runningRequest struct {
	write    bool
	replaced chan struct{}
}

// endReplacedWrites ends the writes in flight where another endpoint is the
// primary: they can no longer be acknowledged.
func (t *endpointTask) endReplacedWrites(primary types.Endpoint) {
	if primary == "" || primary == t.cfg.Endpoint {
		return
	}
	for id, r := range t.running {
		if r.write && r.replaced != nil {
			close(r.replaced)
			t.running[id] = runningRequest{write: true}
		}
	}
}

// ended reports whether the task has ended.
func (t *endpointTask) ended() bool {
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
	defer t.closeIdle()
	timer := time.NewTimer(clock.Until(t.queue.NextWake()))
	defer timer.Stop()
	done := ctx.Done()
	for done != nil || len(t.running) > 0 {
		select {
		case <-done:
			done = nil
			t.drain(types.ReasonLeaving)
		case <-timer.C:
			t.step(ctx, admission.Event{Kind: admission.EventTick})
		case msg := <-t.inbox:
			t.handle(ctx, msg)
		}
		timer.Reset(clock.Until(t.queue.NextWake()))
	}
}

func (t *endpointTask) handle(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case submit:
		t.submit(ctx, m)
	case finish:
		t.finish(ctx, m)
	case cancelRequest:
		t.cancel(ctx, m.id)
	case connected:
		t.connected(ctx, m)
	case hold:
		t.hold(ctx, m.on)
	case primaryKnown:
		t.endReplacedWrites(m.primary)
	case drainEndpoint:
		t.drain(m.reason)
	case reconfigure:
		t.reconfigure(ctx, m.cfg)
	case statusRequest:
		m.reply <- t.status()
	default:
		panic(fmt.Sprintf("owner: message %T is not known", msg))
	}
}

func (t *endpointTask) submit(ctx context.Context, m submit) {
	t.waiting[m.id] = waiter{reply: m.reply, write: m.write}
	t.step(ctx, admission.Event{
		Kind: admission.EventSubmit, ID: m.id, Rank: m.rank, Feature: m.feature,
		Job: m.job, Deadline: m.deadline, Write: m.write,
	})
}

// step feeds the queue and performs its effects.
func (t *endpointTask) step(ctx context.Context, ev admission.Event) {
	t.perform(ctx, t.queue.Step(clock.Now(), ev))
}

func (t *endpointTask) perform(ctx context.Context, effects []admission.Effect) {
	for _, e := range effects {
		switch e.Kind {
		case admission.EffectStart:
			t.start(e.ID)
		case admission.EffectRefuse:
			t.refuse(e.ID, e.Reason)
		case admission.EffectLevel:
			t.noteLevel(e.Level)
		case admission.EffectSlots:
			t.log.Info("slots changed", zap.Int("slots", e.Slots))
		}
	}
	t.hand(ctx)
}

// start marks a request as holding a slot.
func (t *endpointTask) start(id types.RequestID) {
	requestsStarted.Inc()
	t.running[id] = runningRequest{write: t.waiting[id].write, replaced: make(chan struct{})}
	if t.waiting[id].write {
		t.writes++
	}
	t.ready = append(t.ready, id)
}

// refuse answers a request that does not run.
func (t *endpointTask) refuse(id types.RequestID, reason types.Reason) {
	requestsRefused.Inc()
	w := t.waiting[id]
	delete(t.waiting, id)
	if reason == types.ReasonLeaving && t.refusal != types.ReasonNone {
		reason = t.refusal
	}
	w.reply <- grant{outcome: types.RefusedOutcome(reason, "endpoint "+string(t.cfg.Endpoint)), levels: t.currentLevels()}
}

// finish takes a connection back and frees the slot.
func (t *endpointTask) finish(ctx context.Context, m finish) {
	if m.broken {
		connsBroken.Inc()
		m.conn.Close()
		t.open--
		t.closeIdle()
	} else if m.conn != nil {
		t.idle = append(t.idle, idleConn{conn: m.conn, since: clock.Now()})
	}
	t.release(ctx, m)
}

// release frees a request's slot.
func (t *endpointTask) release(ctx context.Context, m finish) {
	if t.running[m.id].write {
		t.writes--
	}
	delete(t.running, m.id)
	t.step(ctx, admission.Event{Kind: admission.EventFinish, ID: m.id, OK: m.ok, ServiceTime: m.service})
	t.reportDrained()
}

// cancel withdraws a request and answers it. One that has a slot but no
// connection yet gives the slot back; one that has its grant goes on to its
// finish message.
func (t *endpointTask) cancel(ctx context.Context, id types.RequestID) {
	w, ok := t.waiting[id]
	if !ok {
		return
	}
	delete(t.waiting, id)
	w.reply <- grant{outcome: types.RefusedOutcome(types.ReasonBroken, "request withdrawn")}
	for i, r := range t.ready {
		if r == id {
			t.ready = append(t.ready[:i:i], t.ready[i+1:]...)
			t.release(ctx, finish{id: id})
			return
		}
	}
	t.step(ctx, admission.Event{Kind: admission.EventCancel, ID: id})
}

// hold keeps new writes queued, or lets them go on.
func (t *endpointTask) hold(ctx context.Context, on bool) {
	t.holding = on
	kind := admission.EventReleaseWrites
	if on {
		kind = admission.EventHoldWrites
	}
	t.step(ctx, admission.Event{Kind: kind})
	t.reportDrained()
}

// reportDrained tells the watch once no write is in flight while writes are held.
func (t *endpointTask) reportDrained() {
	if t.holding && t.writes == 0 {
		go t.watch.Post(failover.WritesDrained{})
	}
}

// drain refuses new and queued requests with the reason; running ones go on.
func (t *endpointTask) drain(reason types.Reason) {
	t.refusal = reason
	for _, e := range t.queue.Step(clock.Now(), admission.Event{Kind: admission.EventDrain}) {
		if e.Kind == admission.EffectRefuse {
			t.refuse(e.ID, e.Reason)
		}
	}
}

func (t *endpointTask) reconfigure(ctx context.Context, cfg admission.Config) {
	effects, err := t.queue.Reconfigure(clock.Now(), cfg)
	if err != nil {
		t.log.Warn("configuration refused", zap.Error(err))
		return
	}
	t.qcfg = cfg
	t.perform(ctx, effects)
}
