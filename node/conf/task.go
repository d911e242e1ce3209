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
	inputQueueLength   = 16
	payloadQueueLength = 256
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
	config            Config
	distributor       *config.Distributor
	encoder           *encoder
	peers             chan config.Peers
	payloads          chan Payload
	written           chan config.Written
	platformResponses chan platformResponse
	counters          counters
	startedAt         time.Time
	// watchNumber numbers the watches; answers of earlier ones are ignored.
	watchNumber    uint64
	cancelWatchCtx context.CancelFunc
	// pendingChange is the change that Changes has not taken yet.
	pendingChange *config.Changed
	// openRequests counts the goroutines that send answers.
	openRequests int
}

// platformResponse is what a request to the platform gave.
type platformResponse struct {
	// watchNumber is the number of the watchNumber, 0 for a list.
	watchNumber uint64
	event       config.Event
	// isLast is set if the goroutine sends no more answers.
	isLast bool
}

// counters count messages and requests.
type counters struct {
	sent, received, malformed *metrics.Counter
	sentBytes, receivedBytes  *metrics.Counter
	lists, watches, failures  *metrics.Counter
	applied                   *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		sent:          set.NewCounter(`baobab_conf_messages_total{direction="sent"}`),
		received:      set.NewCounter(`baobab_conf_messages_total{direction="received"}`),
		malformed:     set.NewCounter(`baobab_conf_dropped_total{reason="malformed"}`),
		sentBytes:     set.NewCounter(`baobab_conf_bytes_total{direction="sent"}`),
		receivedBytes: set.NewCounter(`baobab_conf_bytes_total{direction="received"}`),
		lists:         set.NewCounter(`baobab_conf_platform_calls_total{call="list"}`),
		watches:       set.NewCounter(`baobab_conf_platform_calls_total{call="watch"}`),
		failures:      set.NewCounter(`baobab_conf_platform_failures_total`),
		applied:       set.NewCounter(`baobab_conf_objects_applied_total`),
	}
}

// New returns a task; Run starts it.
func New(cfg Config) *Task {
	return &Task{
		config: cfg,
		distributor: config.NewDistributor(config.Settings{
			Host: cfg.Host, DataCentre: cfg.DataCentre, Seed: cfg.Seed,
		}),
		encoder:           newEncoder(),
		peers:             make(chan config.Peers, inputQueueLength),
		payloads:          make(chan Payload, payloadQueueLength),
		written:           make(chan config.Written, inputQueueLength),
		platformResponses: make(chan platformResponse, inputQueueLength),
		counters:          newCounters(cfg.Metrics),
		startedAt:         time.Now(),
		cancelWatchCtx:    func() {},
	}
}

// Peers returns the channel for the live hosts.
func (t *Task) Peers() chan<- config.Peers { return t.peers }

// Payloads returns the channel for payloads from other hosts.
func (t *Task) Payloads() chan<- Payload { return t.payloads }

// Written returns the channel for objects that this host wrote to the platform.
func (t *Task) Written() chan<- config.Written { return t.written }

// Run serves the task until the context ends.
func (t *Task) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer t.awaitRequests()
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var changes chan<- config.Changed
		var change config.Changed
		if t.pendingChange != nil {
			changes = t.config.Changes
			change = *t.pendingChange
		}
		select {
		case <-ctx.Done():
			return
		case changes <- change:
			t.pendingChange = nil
		case ev := <-t.peers:
			t.step(ctx, ev)
		case ev := <-t.written:
			t.step(ctx, ev)
		case p := <-t.payloads:
			t.handlePayload(ctx, p)
		case a := <-t.platformResponses:
			t.handleResponse(ctx, a)
		case <-timer.C:
			t.step(ctx, config.Tick{})
		}
		timer.Reset(t.distributor.Deadline().Sub(t.now()))
	}
}

// awaitRequests waits for the requests to the platform, which have been cancelled.
func (t *Task) awaitRequests() {
	for t.openRequests > 0 {
		if a := <-t.platformResponses; a.isLast {
			t.openRequests--
		}
	}
}

// now returns the time since the task was made.
func (t *Task) now() types.Time { return types.Time(time.Since(t.startedAt)) }

func (t *Task) handlePayload(ctx context.Context, p Payload) {
	t.counters.received.Inc()
	t.counters.receivedBytes.Add(len(p.Data))
	body, err := decode(p.Data)
	if err != nil {
		t.counters.malformed.Inc()
		return
	}
	t.step(ctx, config.PeerMessage{From: p.From, Body: body})
}

// handleResponse takes an answer of the platform, unless its watch has been replaced.
func (t *Task) handleResponse(ctx context.Context, a platformResponse) {
	if a.isLast {
		t.openRequests--
	}
	if a.watchNumber != 0 && a.watchNumber != t.watchNumber {
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
			t.startList(ctx)
		case config.WatchPlatform:
			t.startWatch(ctx, eff.After)
		case config.StopWatch:
			t.cancelWatch()
		case config.Changed:
			t.queueChange(eff)
		case config.Note:
			t.config.Recorder.Record(timeline.Event{Kind: noteKinds[eff.Kind], Object: string(t.config.Host)})
		}
	}
}

var noteKinds = map[config.NoteKind]timeline.Kind{
	config.NoteReady:         timeline.KindConfigReady,
	config.NoteRelayStarted:  timeline.KindRelayStarted,
	config.NoteRelayStopped:  timeline.KindRelayStopped,
	config.NotePlatformLost:  timeline.KindPlatformDisconnected,
	config.NotePlatformFound: timeline.KindPlatformReconnected,
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

// queueChange keeps a change until it is taken, together with later ones.
func (t *Task) queueChange(c config.Changed) {
	t.counters.applied.Add(len(c.Objects))
	for _, o := range c.Objects {
		t.config.Recorder.Record(timeline.Event{
			Kind:   timeline.KindConfigApplied,
			Object: o.Key.String(),
			Text:   fmt.Sprintf("version %d", o.Version),
		})
	}
	if t.pendingChange != nil {
		earlier := t.pendingChange.Objects
		c.Objects = append(earlier[:len(earlier):len(earlier)], c.Objects...)
	}
	t.pendingChange = &c
}

// startList asks the platform for all objects.
func (t *Task) startList(ctx context.Context) {
	t.counters.lists.Inc()
	t.openRequests++
	go listObjects(ctx, t.config.Platform, t.platformResponses)
}

func listObjects(ctx context.Context, p Platform, out chan<- platformResponse) {
	ctx, cancel := context.WithTimeout(ctx, platformRequestTimeout)
	defer cancel()
	objects, revision, err := p.List(ctx)
	if err != nil {
		out <- platformResponse{event: config.PlatformFailed{}, isLast: true}
		return
	}
	ev := config.PlatformObjects{Objects: objects, Whole: true, Revision: revision}
	out <- platformResponse{event: ev, isLast: true}
}

// startWatch replaces the watch of the platform.
func (t *Task) startWatch(ctx context.Context, after config.Version) {
	t.cancelWatch()
	t.counters.watches.Inc()
	watchCtx, cancel := context.WithCancel(ctx)
	t.cancelWatchCtx = cancel
	t.openRequests++
	go watchObjects(watchCtx, t.config.Platform, after, t.watchNumber, t.platformResponses)
}

// cancelWatch ends the watch; what it still sends is ignored.
func (t *Task) cancelWatch() {
	t.cancelWatchCtx()
	t.watchNumber++
}

// watchObjects passes on the changes of the platform and the end of the watchObjects.
func watchObjects(ctx context.Context, p Platform, after config.Version, number uint64, out chan<- platformResponse) {
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
			out <- platformResponse{watchNumber: number, event: config.PlatformObjects{Objects: batch}}
		case <-ended:
			out <- platformResponse{watchNumber: number, event: config.PlatformFailed{}, isLast: true}
			return
		}
	}
}
