package events

import (
	"context"
	"time"

	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
)

const (
	// recordQueueLength is the number of events that can wait for the task. Further
	// events are dropped.
	recordQueueLength = 1024
	queryQueueLength  = 16
	stampQueueLength  = 256
)

// Settings holds the settings of a task.
type Settings struct {
	Host types.Host
	// MaxEvents is the number of events that the task keeps.
	MaxEvents int
	// WallNanos returns the wall clock time in nanoseconds since the Unix epoch.
	WallNanos func() int64
}

// Query requests the events that a filter accepts, oldest first.
type Query struct {
	Filter timeline.Filter
	// Reply receives the events. It must be buffered, so that the task never blocks.
	Reply chan<- []timeline.Event
}

// Task owns the ring of events and the hybrid logical clock of the host's time line.
type Task struct {
	settings       Settings
	ring           *timeline.Ring
	clock          timeline.Clock
	records        chan timeline.Event
	queries        chan Query
	receivedStamps chan timeline.Stamp
	stampRequests  chan chan<- timeline.Stamp
}

// New returns a task; Run starts it.
func New(settings Settings) *Task {
	return &Task{
		settings:       settings,
		ring:           timeline.NewRing(settings.MaxEvents),
		records:        make(chan timeline.Event, recordQueueLength),
		queries:        make(chan Query, queryQueueLength),
		receivedStamps: make(chan timeline.Stamp, stampQueueLength),
		stampRequests:  make(chan chan<- timeline.Stamp, queryQueueLength),
	}
}

// Run serves the task until ctx ends.
func (t *Task) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-t.records:
			t.record(e)
		case q := <-t.queries:
			t.recordQueued()
			q.Reply <- q.Filter.Select(t.ring.Events())
		case s := <-t.receivedStamps:
			t.clock.Observe(s)
		case reply := <-t.stampRequests:
			reply <- t.clock.Now(t.settings.WallNanos())
		}
	}
}

func (t *Task) record(e timeline.Event) {
	e.Stamp = t.clock.Now(t.settings.WallNanos())
	t.ring.Add(e)
}

// recordQueued records the waiting events, so that a query returns the events that
// its sender recorded before it.
func (t *Task) recordQueued() {
	for range len(t.records) {
		t.record(<-t.records)
	}
}

// Queries returns the channel for queries.
func (t *Task) Queries() chan<- Query { return t.queries }

// ReceivedStamps returns the channel for stamps received from other hosts.
func (t *Task) ReceivedStamps() chan<- timeline.Stamp { return t.receivedStamps }

// StampRequests returns the channel for requests of the current stamp. Messages to
// other hosts carry that stamp. The reply channel must be buffered.
func (t *Task) StampRequests() chan<- chan<- timeline.Stamp { return t.stampRequests }

// Recorder returns a recorder for another task of the host. Each task needs its own
// recorder with a unique number, so that event ids are unique.
func (t *Task) Recorder(number uint8) *Recorder {
	startMicros := uint64(t.settings.WallNanos() / int64(time.Microsecond))
	return &Recorder{
		host:    t.settings.Host,
		counter: startMicros<<recorderNumberBits | uint64(number),
		records: t.records,
	}
}

// recorderNumberBits is the number of low bits of an event's counter that hold the number
// of the recorder.
const recorderNumberBits = 8

// Recorder adds events to the time line. It is not safe for concurrent use.
type Recorder struct {
	host types.Host
	// counter is the counter of the last event. It starts from the wall clock, so that
	// it increases across restarts of the host.
	counter uint64
	records chan<- timeline.Event
	dropped uint64
}

// Record adds an event and returns its id, for use as the Cause of later events. The
// recorder sets the id and the host, and the events task sets the stamp. The
// event is dropped if the queue of the events task is full. A nil recorder drops all
// events.
func (r *Recorder) Record(e timeline.Event) timeline.EventID {
	if r == nil {
		return timeline.EventID{}
	}
	r.counter += 1 << recorderNumberBits
	e.ID = timeline.EventID{Host: r.host, Counter: r.counter}
	e.Host = r.host
	select {
	case r.records <- e:
	default:
		r.dropped++
	}
	return e.ID
}

// Dropped returns the number of events that the recorder has dropped.
func (r *Recorder) Dropped() uint64 { return r.dropped }
