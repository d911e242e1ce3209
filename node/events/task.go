package events

import (
	"context"

	"baobabfield.example/core/timeline"
	"baobabfield.example/core/types"
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
	records chan timeline.Event
	queries chan Query
	stamps  chan timeline.Stamp
	stamp   chan chan<- timeline.Stamp
}

// New returns a task; Run starts it.
func New(_ Config) *Task { return &Task{} }

// Run serves the task until the context ends.
func (t *Task) Run(_ context.Context) {}

// Queries returns the channel for queries.
func (t *Task) Queries() chan<- Query { return t.queries }

// Observed returns the channel for stamps received from other hosts.
func (t *Task) Observed() chan<- timeline.Stamp { return t.stamps }

// Stamps returns the channel for requests of the current stamp, for messages to
// other hosts. The reply channel must have room for the answer.
func (t *Task) Stamps() chan<- chan<- timeline.Stamp { return t.stamp }

// Recorder returns a recorder for one other task. Each of the host's tasks has its
// own, with a number that no other task uses.
func (t *Task) Recorder(_ uint8) *Recorder { return &Recorder{records: t.records} }

// Recorder adds events to the time line. It belongs to a single task.
type Recorder struct {
	records chan<- timeline.Event
}

// Record adds an event and returns its id, for events that it causes. The recorder
// sets the id and the host, the events task the stamp. The event is dropped if the
// events task is too far behind.
func (r *Recorder) Record(_ timeline.Event) timeline.EventID { return timeline.EventID{} }

// Dropped returns the number of events dropped.
func (r *Recorder) Dropped() uint64 { return 0 }
