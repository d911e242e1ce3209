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

// Capacities of the task's channels.
const (
	inputQueueLength   = 16
	payloadQueueLength = 256
)

// Settings holds the settings of a task.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	// Seed is the seed of the distributor's random numbers.
	Seed     uint64
	Platform Platform
	Sender   Sender
	// Changes receives every configuration change. The host may serve callers once a
	// snapshot is complete.
	Changes  chan<- config.Changed
	Recorder *events.Recorder
	Metrics  *metrics.Set
}

// Payload is an encoded configuration message from another host.
type Payload struct {
	From types.Host
	Data []byte
}

// Task owns the configuration distributor and the watch of the platform. Requests
// to the platform run in goroutines that send their responses to the task.
type Task struct {
	settings          Settings
	distributor       *config.Distributor
	encoder           *encoder
	peers             chan config.Peers
	payloads          chan Payload
	written           chan config.ObjectsWritten
	platformResponses chan platformResponse
	counters          counters
	startedAt         time.Time
	// watchNumber is the number of the current watch. Responses of earlier watches
	// are ignored.
	watchNumber    uint64
	cancelWatchCtx context.CancelFunc
	// pendingChange is the change that Changes has not received yet.
	pendingChange *config.Changed
	// openRequests is the number of goroutines that still send responses.
	openRequests int
}

// platformResponse is the result of a list request or one update of a watch.
type platformResponse struct {
	// watchNumber is the number of the watch, or 0 for a list request.
	watchNumber uint64
	event       config.Event
	// isLast is set if the goroutine sends no further responses.
	isLast bool
}

// counters count messages, requests to the platform and applied objects.
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
func New(settings Settings) *Task {
	return &Task{
		settings: settings,
		distributor: config.NewDistributor(config.Settings{
			Host: settings.Host, DataCentre: settings.DataCentre, Seed: settings.Seed,
		}),
		encoder:           newEncoder(),
		peers:             make(chan config.Peers, inputQueueLength),
		payloads:          make(chan Payload, payloadQueueLength),
		written:           make(chan config.ObjectsWritten, inputQueueLength),
		platformResponses: make(chan platformResponse, inputQueueLength),
		counters:          newCounters(settings.Metrics),
		startedAt:         time.Now(),
		cancelWatchCtx:    func() {},
	}
}

// Peers returns the channel for changes of the live hosts.
func (t *Task) Peers() chan<- config.Peers { return t.peers }

// Payloads returns the channel for payloads from other hosts.
func (t *Task) Payloads() chan<- Payload { return t.payloads }

// Written returns the channel for objects that this host wrote to the platform.
func (t *Task) Written() chan<- config.ObjectsWritten { return t.written }

// Run serves the task until ctx ends and its requests to the platform have returned.
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
			changes = t.settings.Changes
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
		case response := <-t.platformResponses:
			t.handleResponse(ctx, response)
		case <-timer.C:
			t.step(ctx, config.Tick{})
		}
		timer.Reset(t.distributor.NextWake().Sub(t.now()))
	}
}

// awaitRequests waits for the cancelled requests to the platform to return.
func (t *Task) awaitRequests() {
	for t.openRequests > 0 {
		if response := <-t.platformResponses; response.isLast {
			t.openRequests--
		}
	}
}

// now returns the time since the task was created.
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

// handleResponse processes a response of the platform. It ignores responses of a
// watch that has been replaced.
func (t *Task) handleResponse(ctx context.Context, response platformResponse) {
	if response.isLast {
		t.openRequests--
	}
	if response.watchNumber != 0 && response.watchNumber != t.watchNumber {
		return
	}
	if _, failed := response.event.(config.PlatformFailed); failed {
		t.counters.failures.Inc()
	}
	t.step(ctx, response.event)
}

// step applies an event to the distributor and performs the effects.
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
			t.settings.Recorder.Record(timeline.Event{Kind: noteKinds[eff.Kind], Object: string(t.settings.Host)})
		}
	}
}

var noteKinds = map[config.NoteKind]timeline.Kind{
	config.NoteReady:               timeline.KindConfigReady,
	config.NoteRelayStarted:        timeline.KindRelayStarted,
	config.NoteRelayStopped:        timeline.KindRelayStopped,
	config.NotePlatformUnreachable: timeline.KindPlatformUnreachable,
	config.NotePlatformReachable:   timeline.KindPlatformReachable,
}

func (t *Task) send(s config.Send) {
	payload, err := t.encoder.encode(s.Body)
	if err != nil {
		t.counters.malformed.Inc()
		return
	}
	t.counters.sent.Inc()
	t.counters.sentBytes.Add(len(payload))
	t.settings.Sender.Send(s.To, payload)
}

// queueChange records the changed objects in the time line and keeps the change
// until Changes receives it. Later changes are merged into a waiting one, so that a
// slow receiver never blocks the task.
func (t *Task) queueChange(c config.Changed) {
	t.counters.applied.Add(len(c.Objects))
	for _, o := range c.Objects {
		t.settings.Recorder.Record(timeline.Event{
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

// startList requests all objects from the platform in a new goroutine.
func (t *Task) startList(ctx context.Context) {
	t.counters.lists.Inc()
	t.openRequests++
	go listObjects(ctx, t.settings.Platform, t.platformResponses)
}

func listObjects(ctx context.Context, p Platform, out chan<- platformResponse) {
	ctx, cancel := context.WithTimeout(ctx, platformRequestTimeout)
	defer cancel()
	objects, revision, err := p.List(ctx)
	if err != nil {
		out <- platformResponse{event: config.PlatformFailed{}, isLast: true}
		return
	}
	ev := config.PlatformObjects{Objects: objects, FullList: true, Version: revision}
	out <- platformResponse{event: ev, isLast: true}
}

// startWatch replaces the watch of the platform by one of the changes after the
// given version.
func (t *Task) startWatch(ctx context.Context, after config.Version) {
	t.cancelWatch()
	t.counters.watches.Inc()
	watchCtx, cancel := context.WithCancel(ctx)
	t.cancelWatchCtx = cancel
	t.openRequests++
	go watchObjects(watchCtx, t.settings.Platform, after, t.watchNumber, t.platformResponses)
}

// cancelWatch cancels the watch. Responses that it still sends are ignored.
func (t *Task) cancelWatch() {
	t.cancelWatchCtx()
	t.watchNumber++
}

// watchObjects sends the changes of the platform and the end of the watch to out.
func watchObjects(ctx context.Context, p Platform, after config.Version, number uint64, out chan<- platformResponse) {
	objects := make(chan []config.Object)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// The distributor requests a new list after every end of a watch, whatever
		// the error is.
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
