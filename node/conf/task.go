package conf

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"baobabfield.example/core/config"
	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
	"baobabfield.example/node/events"
)

const (
	inputBuffer   = 16
	payloadBuffer = 256
)

// Config holds the settings of a task.
type Config struct {
	Host       types.Host
	DataCentre types.DataCentre
	// Seed starts the distributor's random numbers.
	Seed     uint64
	Platform Platform
	Sender   Sender
	// Changes receives every change of the configuration. The host may serve once
	// the snapshot is complete.
	Changes  chan<- config.Changed
	Recorder *events.Recorder
	Metrics  *metrics.Set
}

// Payload is a payload that another host sent.
type Payload struct {
	From types.Host
	Data []byte
}

// Task owns the distributor and the watch of the platform.
type Task struct {
	config      Config
	distributor *config.Distributor
	encoder     *encoder
	peers       chan config.Peers
	payloads    chan Payload
	written     chan config.ObjectsWritten
	answers     chan answer
	counters    counters
	started     time.Time
	// watch numbers the watches; answers of earlier ones are ignored.
	watch     uint64
	stopWatch context.CancelFunc
	// pending is the change that Changes has not taken yet.
	pending *config.Changed
	// running counts the goroutines that send answers.
	running int
}

// answer is what a request to the platform gave.
type answer struct {
	// watch is the number of the watch, 0 for a list.
	watch uint64
	event config.Event
	// last is set if the goroutine sends no more answers.
	last bool
}

// counters count messages and requests.
type counters struct {
	sent, received, malformed *metrics.Counter
	sentBytes, recvBytes      *metrics.Counter
	lists, watches, failures  *metrics.Counter
	applied                   *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		sent:      set.NewCounter(`baobab_conf_messages_total{direction="sent"}`),
		received:  set.NewCounter(`baobab_conf_messages_total{direction="received"}`),
		malformed: set.NewCounter(`baobab_conf_dropped_total{reason="malformed"}`),
		sentBytes: set.NewCounter(`baobab_conf_bytes_total{direction="sent"}`),
		recvBytes: set.NewCounter(`baobab_conf_bytes_total{direction="received"}`),
		lists:     set.NewCounter(`baobab_conf_platform_calls_total{call="list"}`),
		watches:   set.NewCounter(`baobab_conf_platform_calls_total{call="watch"}`),
		failures:  set.NewCounter(`baobab_conf_platform_failures_total`),
		applied:   set.NewCounter(`baobab_conf_objects_applied_total`),
	}
}

// New returns a task; Run starts it.
func New(cfg Config) *Task {
	return &Task{
		config: cfg,
		distributor: config.NewDistributor(config.Settings{
			Host: cfg.Host, DataCentre: cfg.DataCentre, Seed: cfg.Seed,
		}),
		encoder:   newEncoder(),
		peers:     make(chan config.Peers, inputBuffer),
		payloads:  make(chan Payload, payloadBuffer),
		written:   make(chan config.ObjectsWritten, inputBuffer),
		answers:   make(chan answer, inputBuffer),
		counters:  newCounters(cfg.Metrics),
		started:   time.Now(),
		stopWatch: func() {},
	}
}

// Peers returns the channel for the live hosts.
func (t *Task) Peers() chan<- config.Peers { return t.peers }

// Payloads returns the channel for payloads from other hosts.
func (t *Task) Payloads() chan<- Payload { return t.payloads }

// Written returns the channel for objects that this host wrote to the platform.
func (t *Task) Written() chan<- config.ObjectsWritten { return t.written }

// Run serves the task until the context ends.
func (t *Task) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer t.finish()
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var changes chan<- config.Changed
		var change config.Changed
		if t.pending != nil {
			changes = t.config.Changes
			change = *t.pending
		}
		select {
		case <-ctx.Done():
			return
		case changes <- change:
			t.pending = nil
		case ev := <-t.peers:
			t.step(ctx, ev)
		case ev := <-t.written:
			t.step(ctx, ev)
		case p := <-t.payloads:
			t.receive(ctx, p)
		case a := <-t.answers:
			t.answered(ctx, a)
		case <-timer.C:
			t.step(ctx, config.Tick{})
		}
		timer.Reset(t.distributor.Deadline().Sub(t.now()))
	}
}

// finish waits for the requests to the platform, which have been cancelled.
func (t *Task) finish() {
	for t.running > 0 {
		if a := <-t.answers; a.last {
			t.running--
		}
	}
}

// now returns the time since the task was made.
func (t *Task) now() types.Time { return types.Time(time.Since(t.started)) }

func (t *Task) receive(ctx context.Context, p Payload) {
	t.counters.received.Inc()
	t.counters.recvBytes.Add(len(p.Data))
	body, err := decode(p.Data)
	if err != nil {
		t.counters.malformed.Inc()
		return
	}
	t.step(ctx, config.PeerMessage{From: p.From, Body: body})
}

// answered takes an answer of the platform, unless its watch has been replaced.
func (t *Task) answered(ctx context.Context, a answer) {
	if a.last {
		t.running--
	}
	if a.watch != 0 && a.watch != t.watch {
		return
	}
	if _, failed := a.event.(config.PlatformFailed); failed {
		t.counters.failures.Inc()
	}
	t.step(ctx, a.event)
}

// step gives an event to the distributor and carries out its effects.
func (t *Task) step(ctx context.Context, ev config.Event) {
	for _, eff := range t.distributor.Step(t.now(), ev) {
		switch eff := eff.(type) {
		case config.Send:
			t.send(eff)
		case config.ListPlatform:
			t.list(ctx)
		case config.WatchPlatform:
			t.startWatch(ctx, eff.After)
		case config.StopWatch:
			t.endWatch()
		case config.Changed:
			t.publish(eff)
		case config.Note:
			t.config.Recorder.Record(timeline.Event{Kind: noteKinds[eff.Kind], Object: string(t.config.Host)})
		}
	}
}

var noteKinds = map[config.NoteKind]timeline.Kind{
	config.NoteReady:               timeline.KindConfigReady,
	config.NoteRelayStarted:        timeline.KindRelayStarted,
	config.NoteRelayStopped:        timeline.KindRelayStopped,
	config.NotePlatformUnreachable: timeline.KindPlatformDisconnected,
	config.NotePlatformReachable:   timeline.KindPlatformReconnected,
}

func (t *Task) send(s config.Send) {
	payload, err := t.encoder.encode(s.Body)
	if err != nil {
		t.counters.malformed.Inc()
		return
	}
	t.counters.sent.Inc()
	t.counters.sentBytes.Add(len(payload))
	t.config.Sender.Send(s.To, payload)
}

// publish keeps a change until it is taken, together with later ones.
func (t *Task) publish(c config.Changed) {
	t.counters.applied.Add(len(c.Objects))
	for _, o := range c.Objects {
		t.config.Recorder.Record(timeline.Event{
			Kind:   timeline.KindConfigApplied,
			Object: o.Key.String(),
			Text:   fmt.Sprintf("version %d", o.Version),
		})
	}
	if t.pending != nil {
		earlier := t.pending.Objects
		c.Objects = append(earlier[:len(earlier):len(earlier)], c.Objects...)
	}
	t.pending = &c
}

// list asks the platform for all objects.
func (t *Task) list(ctx context.Context) {
	t.counters.lists.Inc()
	t.running++
	go list(ctx, t.config.Platform, t.answers)
}

func list(ctx context.Context, p Platform, out chan<- answer) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	objects, revision, err := p.List(ctx)
	if err != nil {
		out <- answer{event: config.PlatformFailed{}, last: true}
		return
	}
	ev := config.PlatformObjects{Objects: objects, FullList: true, Revision: revision}
	out <- answer{event: ev, last: true}
}

// startWatch replaces the watch of the platform.
func (t *Task) startWatch(ctx context.Context, after config.Version) {
	t.endWatch()
	t.counters.watches.Inc()
	watchCtx, cancel := context.WithCancel(ctx)
	t.stopWatch = cancel
	t.running++
	go watch(watchCtx, t.config.Platform, after, t.watch, t.answers)
}

// endWatch ends the watch; what it still sends is ignored.
func (t *Task) endWatch() {
	t.stopWatch()
	t.watch++
}

// watch passes on the changes of the platform and the end of the watch.
func watch(ctx context.Context, p Platform, after config.Version, number uint64, out chan<- answer) {
	objects := make(chan []config.Object)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// Every end of a watch leads to a new list, so the error does not matter.
		_ = p.Watch(ctx, after, objects)
	}()
	for {
		select {
		case batch := <-objects:
			out <- answer{watch: number, event: config.PlatformObjects{Objects: batch}}
		case <-ended:
			out <- answer{watch: number, event: config.PlatformFailed{}, last: true}
			return
		}
	}
}
