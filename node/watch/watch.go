// Package watch runs the failover state machine of a database. Its task owns the machine
// and its timer. Each endpoint has a controller task that owns the control connection.
//
// The watch receives failover events and requests whether a write may be sent or
// acknowledged. It sends status queries and the commands of election campaigns to the
// controllers. All other effects of the machine go to Settings.Effects.
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

// inboxSize is the number of messages that can wait for the task.
const inboxSize = 512

var (
	statusQueries       = metrics.NewCounter("baobab_watch_questions_total")
	campaignsStarted    = metrics.NewCounter("baobab_watch_campaigns_total")
	promotionsCompleted = metrics.NewCounter("baobab_watch_promotions_total")
	controlFailures     = metrics.NewCounter("baobab_watch_control_failures_total")
)

// Settings configure the watch of one database.
type Settings struct {
	Failover failover.Config
	// TLS configures the connections to endpoints. Nil means no TLS.
	TLS *tls.Config
	// Effects are the operations that the watch delegates to other tasks.
	Effects Effects
}

// Effects are the effects of the failover machine that other tasks perform. The
// functions send messages and must not block.
type Effects struct {
	// PublishView receives each new view of the database.
	PublishView func(db types.Database, v failover.View)
	// HoldWrites starts or ends a hold of new writes at the primary. After the start,
	// failover.WritesDrained must be posted once no write is in flight.
	HoldWrites func(db types.Database, hold bool)
	// SendSuspicion sends this host's suspicion of the primary to another owner.
	SendSuspicion func(db types.Database, m failover.SendSuspicion)
	// RecordPrimary records the primary of a term in the platform's store.
	RecordPrimary func(db types.Database, m failover.RecordPrimary)
	// RecordNote adds a note to the time line.
	RecordNote                func(db types.Database, n failover.Note)
	ReportPlannedChangeEnded  func(db types.Database, m failover.PlannedChangeEnded)
	ReportEndpointSetComplete func(db types.Database, m failover.SetComplete)
}

// Task owns the failover machine of one database and the controllers of its
// endpoints.
type Task struct {
	settings    Settings
	db          types.Database
	log         *zap.Logger
	machine     *failover.Machine
	inbox       chan any
	stopped     chan struct{}
	timer       *time.Timer
	spec        types.DatabaseSpec
	controllers map[types.Endpoint]*controller
}

// authorityRequest requests whether a write of the term may be sent, or acknowledged
// if forAcknowledgement is set.
type authorityRequest struct {
	term               types.Term
	forAcknowledgement bool
	reply              chan bool
}

// viewRequest requests the current view of the machine.
type viewRequest struct{ reply chan failover.View }

// New returns a task; Run starts it. Settings.Failover must pass its Check.
func New(settings Settings, log *zap.Logger) *Task {
	db := settings.Failover.Database
	return &Task{
		settings:    settings,
		db:          db.ID,
		log:         log.With(zap.String("database", string(db.ID))),
		machine:     failover.New(settings.Failover, clock.Now()),
		inbox:       make(chan any, inboxSize),
		stopped:     make(chan struct{}),
		timer:       time.NewTimer(0),
		spec:        db,
		controllers: map[types.Endpoint]*controller{},
	}
}

// Run serves the task until ctx ends.
func (t *Task) Run(ctx context.Context) {
	defer close(t.stopped)
	defer t.stopControllers()
	defer t.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.timer.C:
			t.step(ctx, failover.Tick{})
		case msg := <-t.inbox:
			t.handleMessage(ctx, msg)
		}
	}
}

func (t *Task) handleMessage(ctx context.Context, msg any) {
	switch m := msg.(type) {
	case authorityRequest:
		m.reply <- t.hasAuthority(m)
	case viewRequest:
		m.reply <- t.machine.View()
	case failover.SpecChanged:
		t.spec = m.Spec
		t.step(ctx, m)
	case failover.Event:
		t.step(ctx, m)
	default:
		panic(fmt.Sprintf("watch: unknown message type %T", msg))
	}
}

func (t *Task) hasAuthority(m authorityRequest) bool {
	now := clock.Now()
	if m.forAcknowledgement {
		return t.machine.MayAcknowledgeWrite(now, m.term)
	}
	return t.machine.MaySendWrite(now, m.term)
}

// Post sends an event to the machine, unless the task has ended.
func (t *Task) Post(ev failover.Event) { t.post(ev) }

// post sends a message unless the task has ended.
func (t *Task) post(msg any) {
	mailbox.Post(t.inbox, t.stopped, msg)
}

// MaySendWrite reports whether a write of the term may be sent to the primary
// now. It returns false if ctx or the task ends first.
func (t *Task) MaySendWrite(ctx context.Context, term types.Term) bool {
	return t.requestAuthority(ctx, authorityRequest{term: term, reply: make(chan bool, 1)})
}

// MayAcknowledgeWrite reports whether a write of the term may be acknowledged
// now. It returns false if ctx or the task ends first.
func (t *Task) MayAcknowledgeWrite(ctx context.Context, term types.Term) bool {
	return t.requestAuthority(ctx, authorityRequest{term: term, forAcknowledgement: true, reply: make(chan bool, 1)})
}

func (t *Task) requestAuthority(ctx context.Context, m authorityRequest) bool {
	t.post(m)
	ok, _ := mailbox.Await(ctx, t.stopped, m.reply)
	return ok
}

// View returns the machine's view of the database. It is empty if ctx or the task
// ends first.
func (t *Task) View(ctx context.Context) failover.View {
	m := viewRequest{reply: make(chan failover.View, 1)}
	t.post(m)
	v, _ := mailbox.Await(ctx, t.stopped, m.reply)
	return v
}

// step applies an event to the machine and performs the effects.
func (t *Task) step(ctx context.Context, ev failover.Event) {
	for _, e := range t.machine.Step(clock.Now(), ev) {
		t.perform(ctx, e)
	}
}

func (t *Task) perform(ctx context.Context, e failover.Effect) {
	switch e := e.(type) {
	case failover.QueryStatus:
		statusQueries.Inc()
		kind := cmdStatus
		if e.RenewsAuthority {
			kind = cmdStatusForAuthority
		}
		t.sendCommand(ctx, e.Endpoint, command{requestID: e.RequestID, kind: kind})
	case failover.Fence:
		t.sendCommand(ctx, e.Endpoint, command{requestID: e.RequestID, kind: cmdFence, term: e.Term})
	case failover.Promote:
		t.sendCommand(ctx, e.Endpoint, command{requestID: e.RequestID, kind: cmdPromote, term: e.Term})
	case failover.Follow:
		t.sendCommand(ctx, e.Endpoint, command{
			requestID: e.RequestID, kind: cmdFollow, term: e.Term,
			primary: e.Primary, address: t.endpointAddress(e.Primary),
		})
	case failover.Reconnect:
		t.reconnect(ctx, e.Endpoint)
	case failover.ScheduleTick:
		t.timer.Reset(clock.Until(e.Time))
	case failover.ViewChanged:
		t.settings.Effects.PublishView(t.db, e.View)
	case failover.HoldWrites:
		t.settings.Effects.HoldWrites(t.db, e.Hold)
	case failover.SendSuspicion:
		t.settings.Effects.SendSuspicion(t.db, e)
	case failover.RecordPrimary:
		t.settings.Effects.RecordPrimary(t.db, e)
	case failover.PlannedChangeEnded:
		t.settings.Effects.ReportPlannedChangeEnded(t.db, e)
	case failover.SetComplete:
		t.settings.Effects.ReportEndpointSetComplete(t.db, e)
	case failover.SpecStale:
		t.log.Warn("database specification is stale: a later endpoint set is in force", zap.Uint32("set", e.Set))
	case failover.Note:
		t.recordNote(e)
	default:
		panic(fmt.Sprintf("watch: unknown effect type %T", e))
	}
}

// recordNote counts and logs a note and passes it to the time line.
func (t *Task) recordNote(n failover.Note) {
	switch n.Kind {
	case failover.NoteCampaign:
		campaignsStarted.Inc()
	case failover.NotePromoted:
		promotionsCompleted.Inc()
	}
	t.log.Info(n.Text, zap.String("kind", string(n.Kind)), zap.Uint64("term", uint64(n.Term)))
	t.settings.Effects.RecordNote(t.db, n)
}

// endpointAddress returns the address of an endpoint of the current or previous
// set, or "" if neither has the endpoint.
func (t *Task) endpointAddress(id types.Endpoint) string {
	for _, specs := range [][]types.EndpointSpec{t.spec.Endpoints, t.spec.PreviousEndpoints} {
		for _, e := range specs {
			if e.ID == id {
				return e.Address
			}
		}
	}
	return ""
}

// sendCommand queues a command for the endpoint's controller, which it starts if
// there is none.
func (t *Task) sendCommand(ctx context.Context, id types.Endpoint, c command) {
	ctl := t.controllers[id]
	if ctl == nil {
		ctl = t.newController(ctx, id)
		t.controllers[id] = ctl
	}
	ctl.enqueue(c)
}

// reconnect replaces the endpoint's controller by one with a new connection. The
// command in progress on the old connection is interrupted.
func (t *Task) reconnect(ctx context.Context, id types.Endpoint) {
	if old := t.controllers[id]; old != nil {
		old.stop()
	}
	t.controllers[id] = t.newController(ctx, id)
}

func (t *Task) newController(ctx context.Context, id types.Endpoint) *controller {
	return startController(ctx, endpoint.Config{
		Host:              t.settings.Failover.Host,
		Database:          t.db,
		Endpoint:          id,
		Address:           t.endpointAddress(id),
		ConnectTimeout:    controlTimeout,
		InactivityTimeout: controlTimeout,
		TLS:               t.settings.TLS,
	}, t.post)
}

func (t *Task) stopControllers() {
	for _, c := range t.controllers {
		c.stop()
	}
}
