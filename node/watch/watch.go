// Package watch runs the failover machine of a database: it asks the
// database's endpoints, carries out campaigns, and answers whether a write may
// be sent and acknowledged.
package watch

import (
	"context"
	"crypto/tls"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
	"baobabfield.example/node/clock"
	"baobabfield.example/node/endpoint"
	"baobabfield.example/node/mailbox"
)

// inboxSize is the number of messages that wait for the task.
const inboxSize = 512

var (
	questionsAsked  = metrics.NewCounter("baobab_watch_questions_total")
	campaignsBegun  = metrics.NewCounter("baobab_watch_campaigns_total")
	promotionsDone  = metrics.NewCounter("baobab_watch_promotions_total")
	controlFailures = metrics.NewCounter("baobab_watch_control_failures_total")
)

// Settings configure the watch of one database.
type Settings struct {
	Failover failover.Config
	// TLS is used towards endpoints; nil connects without TLS.
	TLS *tls.Config
	// Out takes what other tasks have to do or know.
	Out Out
}

// Out are the effects that other tasks perform. The functions send messages
// and do not wait.
type Out struct {
	View     func(db types.Database, v failover.View)
	Hold     func(db types.Database, hold bool)
	TellPeer func(db types.Database, m failover.SendSuspicion)
	Record   func(db types.Database, m failover.RecordPrimary)
	Note     func(db types.Database, n failover.Note)
	Planned  func(db types.Database, m failover.PlannedChangeEnded)
	Complete func(db types.Database, m failover.SetComplete)
}

// Task owns the failover machine of one database.
type Task struct {
	set     Settings
	db      types.Database
	log     *zap.Logger
	machine *failover.Machine
	inbox   chan any
	stopped chan struct{}
	timer   *time.Timer
	spec    types.DatabaseSpec
	control map[types.Endpoint]*controller
}

// authority asks whether a write of the term may be sent or acknowledged.
type authority struct {
	term  types.Term
	ack   bool
	reply chan bool
}

// viewRequest asks for the view.
type viewRequest struct{ reply chan failover.View }

// New returns the task; Settings.Failover must pass its Check.
func New(set Settings, log *zap.Logger) *Task {
	db := set.Failover.Database
	return &Task{
		set:     set,
		db:      db.ID,
		log:     log.With(zap.String("database", string(db.ID))),
		machine: failover.New(set.Failover, clock.Now()),
		inbox:   make(chan any, inboxSize),
		stopped: make(chan struct{}),
		timer:   time.NewTimer(0),
		spec:    db,
		control: map[types.Endpoint]*controller{},
	}
}

// Run serves until the context ends.
func (t *Task) Run(ctx context.Context) {
	defer close(t.stopped)
	defer t.closeControl()
	defer t.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.timer.C:
			t.step(ctx, failover.Tick{})
		case msg := <-t.inbox:
			t.handle(ctx, msg)
		}
	}
}

func (t *Task) handle(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case authority:
		m.reply <- t.holdsAuthority(m)
	case viewRequest:
		m.reply <- t.machine.View()
	case failover.SpecChanged:
		t.spec = m.Spec
		t.step(ctx, m)
	case failover.Event:
		t.step(ctx, m)
	default:
		panic(fmt.Sprintf("watch: message %T is not known", msg))
	}
}

func (t *Task) holdsAuthority(m authority) bool {
	now := clock.Now()
	if m.ack {
		return t.machine.MayAcknowledgeWrite(now, m.term)
	}
	return t.machine.MaySendWrite(now, m.term)
}

// Post sends an event to the machine.
func (t *Task) Post(ev failover.Event) { t.post(ev) }

// post sends a message unless the task has ended.
func (t *Task) post(msg any) {
	mailbox.Post(t.inbox, t.stopped, msg)
}

// MaySend asks whether a write of the term may be sent to the primary now.
func (t *Task) MaySend(ctx context.Context, term types.Term) bool {
	return t.ask(ctx, authority{term: term, reply: make(chan bool, 1)})
}

// MayAck asks whether a write of the term may be acknowledged now.
func (t *Task) MayAck(ctx context.Context, term types.Term) bool {
	return t.ask(ctx, authority{term: term, ack: true, reply: make(chan bool, 1)})
}

func (t *Task) ask(ctx context.Context, m authority) bool {
	t.post(m)
	ok, _ := mailbox.Await(ctx, t.stopped, m.reply)
	return ok
}

// View returns what the machine knows; it is empty once the task has ended.
func (t *Task) View(ctx context.Context) failover.View {
	m := viewRequest{reply: make(chan failover.View, 1)}
	t.post(m)
	v, _ := mailbox.Await(ctx, t.stopped, m.reply)
	return v
}

// step feeds the machine one event and performs the effects.
func (t *Task) step(ctx context.Context, ev failover.Event) {
	for _, e := range t.machine.Step(clock.Now(), ev) {
		t.perform(ctx, e)
	}
}

func (t *Task) perform(ctx context.Context, e failover.Effect) {
	switch e := e.(type) {
	case failover.QueryStatus:
		questionsAsked.Inc()
		kind := cmdAsk
		if e.RenewsAuthority {
			kind = cmdAskAuthority
		}
		t.command(ctx, e.Endpoint, command{question: e.RequestID, kind: kind})
	case failover.Fence:
		t.command(ctx, e.Endpoint, command{question: e.RequestID, kind: cmdFence, term: e.Term})
	case failover.Promote:
		t.command(ctx, e.Endpoint, command{question: e.RequestID, kind: cmdPromote, term: e.Term})
	case failover.Follow:
		t.command(ctx, e.Endpoint, command{
			question: e.RequestID, kind: cmdFollow, term: e.Term,
			primary: e.Primary, address: t.address(e.Primary),
		})
	case failover.Reconnect:
		t.reconnect(ctx, e.Endpoint)
	case failover.ScheduleTick:
		t.timer.Reset(clock.Until(e.Time))
	case failover.ViewChanged:
		t.set.Out.View(t.db, e.View)
	case failover.HoldWrites:
		t.set.Out.Hold(t.db, e.Hold)
	case failover.SendSuspicion:
		t.set.Out.TellPeer(t.db, e)
	case failover.RecordPrimary:
		t.set.Out.Record(t.db, e)
	case failover.PlannedChangeEnded:
		t.set.Out.Planned(t.db, e)
	case failover.SetComplete:
		t.set.Out.Complete(t.db, e)
	case failover.SpecStale:
		t.log.Warn("endpoint set of a later configuration is in force", zap.Uint32("set", e.Set))
	case failover.Note:
		t.note(e)
	default:
		panic(fmt.Sprintf("watch: effect %T is not known", e))
	}
}

// note counts and logs a change of state and passes it to the time line.
func (t *Task) note(n failover.Note) {
	switch n.Kind {
	case failover.NoteCampaign:
		campaignsBegun.Inc()
	case failover.NotePromoted:
		promotionsDone.Inc()
	}
	t.log.Info(n.Text, zap.String("kind", string(n.Kind)), zap.Uint64("term", uint64(n.Term)))
	t.set.Out.Note(t.db, n)
}

// address returns the address of an endpoint of the current or previous set.
func (t *Task) address(id types.Endpoint) string {
	for _, list := range [][]types.EndpointSpec{t.spec.Endpoints, t.spec.PreviousEndpoints} {
		for _, e := range list {
			if e.ID == id {
				return e.Address
			}
		}
	}
	return ""
}

// command passes a command to the endpoint's controller.
func (t *Task) command(ctx context.Context, id types.Endpoint, c command) {
	ctl := t.control[id]
	if ctl == nil {
		ctl = t.newController(ctx, id)
		t.control[id] = ctl
	}
	ctl.send(c)
}

// reconnect replaces the endpoint's controller by one with a new connection;
// the old one is interrupted.
func (t *Task) reconnect(ctx context.Context, id types.Endpoint) {
	if old := t.control[id]; old != nil {
		old.stop()
	}
	t.control[id] = t.newController(ctx, id)
}

func (t *Task) newController(ctx context.Context, id types.Endpoint) *controller {
	return startController(ctx, endpoint.Config{
		Host:              t.set.Failover.Host,
		Database:          t.db,
		Endpoint:          id,
		Address:           t.address(id),
		ConnectTimeout:    controlTimeout,
		InactivityTimeout: controlTimeout,
		TLS:               t.set.TLS,
	}, t.post)
}

func (t *Task) closeControl() {
	for _, c := range t.control {
		c.stop()
	}
}
