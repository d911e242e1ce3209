package events

import (
	"context"
	"time"

	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
)

const (
	// recordBuffer is the number of events that wait for the task.
	recordBuffer = 1024
	queryBuffer  = 16
	stampBuffer  = 256
)

// Config holds the settings of a task.
type Config struct {
	Host types.Host
	// Limit is the number of events kept.
	Limit int
	// Wall returns the wall clock in nanoseconds since the Unix epoch.
	Wall func() int64
}

// Query asks for the events that a filter accepts, the oldest first.
type Query struct {
	Filter timeline.Filter
	// Reply receives the answer; it must have room for it.
	Reply chan<- []timeline.Event
}

// Task owns the ring and the clock of the host's time line.
type Task struct {
	config   Config
	ring     *timeline.Ring
	clock    timeline.Clock
	records  chan timeline.Event
	queries  chan Query
	observed chan timeline.Stamp
	stamps   chan chan<- timeline.Stamp
}

// New returns a task; Run starts it.
func New(cfg Config) *Task {
	return &Task{
		config:   cfg,
		ring:     timeline.NewRing(cfg.Limit),
		records:  make(chan timeline.Event, recordBuffer),
		queries:  make(chan Query, queryBuffer),
		observed: make(chan timeline.Stamp, stampBuffer),
		stamps:   make(chan chan<- timeline.Stamp, queryBuffer),
	}
}

// Run serves the task until the context ends.
func (t *Task) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-t.records:
			t.record(e)
		case q := <-t.queries:
			t.drain()
			q.Reply <- q.Filter.Select(t.ring.Events())
		case s := <-t.observed:
			t.clock.Observe(s)
		case reply := <-t.stamps:
			reply <- t.clock.Now(t.config.Wall())
		}
	}
}

func (t *Task) record(e timeline.Event) {
	e.Stamp = t.clock.Now(t.config.Wall())
	t.ring.Add(e)
}

// drain records the events that wait, so that a query sees what its asker recorded
// before it.
func (t *Task) drain() {
	for range len(t.records) {
		t.record(<-t.records)
	}
}

// Queries returns the channel for queries.
func (t *Task) Queries() chan<- Query { return t.queries }

// Observed returns the channel for stamps received from other hosts.
func (t *Task) Observed() chan<- timeline.Stamp { return t.observed }

// Stamps returns the channel for requests of the current stamp, for messages to
// other hosts. The reply channel must have room for the answer.
func (t *Task) Stamps() chan<- chan<- timeline.Stamp { return t.stamps }

// Recorder returns a recorder for one other task. Each of the host's tasks has its
// own, with a number that no other task uses.
func (t *Task) Recorder(task uint8) *Recorder {
	start := uint64(t.config.Wall() / int64(time.Microsecond))
	return &Recorder{
		host:    t.config.Host,
		counter: start<<taskBits | uint64(task),
		records: t.records,
	}
}

// taskBits is the number of low bits of an event's counter that number the task.
const taskBits = 8

// Recorder adds events to the time line. It belongs to a single task.
type Recorder struct {
	host types.Host
	// counter is that of the last event. It starts from the wall clock, so that it
	// grows across restarts of the host.
	counter uint64
	records chan<- timeline.Event
	dropped uint64
}

// Record adds an event and returns its id, for events that it causes. The recorder
// sets the id and the host, the events task the stamp. The event is dropped if the
// events task is too far behind. A nil recorder drops all events.
func (r *Recorder) Record(e timeline.Event) timeline.EventID {
	if r == nil {
		return timeline.EventID{}
	}
	r.counter += 1 << taskBits
	e.ID = timeline.EventID{Host: r.host, Counter: r.counter}
	e.Host = r.host
	select {
	case r.records <- e:
	default:
		r.dropped++
	}
	return e.ID
}

// Dropped returns the number of events dropped.
func (r *Recorder) Dropped() uint64 { return r.dropped }
