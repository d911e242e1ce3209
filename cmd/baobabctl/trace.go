package main

import (
	"encoding/json"
	"time"

	api "baobabfield.example/api/admin"
)

// sliceDuration is the duration of the slice that shows an event. Events have no
// duration, but a flow can only connect slices.
const sliceDuration = 100 * time.Microsecond

// traceFile is the content of a file in the Chrome trace event format.
type traceFile struct {
	TraceEvents     []traceEvent `json:"traceEvents"`
	DisplayTimeUnit string       `json:"displayTimeUnit"`
}

// MarshalJSON makes a traceFile a json.Marshaler, as Printer requires.
func (t traceFile) MarshalJSON() ([]byte, error) {
	type plain traceFile
	return json.Marshal(plain(t))
}

// traceEvent is one record of the Chrome trace event format. Its phase is "X" for a
// slice, "s" or "f" for the start or end of a flow, and "M" for metadata.
type traceEvent struct {
	Name            string     `json:"name"`
	Phase           string     `json:"ph"`
	Category        string     `json:"cat,omitempty"`
	ProcessID       int        `json:"pid"`
	ThreadID        int        `json:"tid"`
	TimestampMicros float64    `json:"ts"`
	DurationMicros  float64    `json:"dur,omitempty"`
	FlowID          int        `json:"id,omitempty"`
	BindingPoint    string     `json:"bp,omitempty"`
	Args            *traceArgs `json:"args,omitempty"`
}

// traceArgs are the details that a viewer shows for a record.
type traceArgs struct {
	Name   string           `json:"name,omitempty"`
	Event  string           `json:"event,omitempty"`
	Cause  string           `json:"cause,omitempty"`
	Object string           `json:"object,omitempty"`
	Author string           `json:"author,omitempty"`
	Text   string           `json:"text,omitempty"`
	Counts map[string]int64 `json:"counts,omitempty"`
}

// traceBuilder converts events to trace records. Each host becomes a process, and
// each object on a host becomes a thread of that process.
type traceBuilder struct {
	processes map[string]int
	threads   map[threadKey]int
	slices    map[string]traceEvent
	records   []traceEvent
}

// threadKey identifies the thread of an object on a host.
type threadKey struct {
	processID int
	object    string
}

// buildTrace converts events, which are ordered by time, to a trace.
func buildTrace(events []api.Event) traceFile {
	t := &traceBuilder{
		processes: map[string]int{},
		threads:   map[threadKey]int{},
		slices:    map[string]traceEvent{},
		records:   []traceEvent{},
	}
	for _, event := range events {
		t.addSlice(event)
	}
	for flow, event := range events {
		t.addFlow(flow+1, event)
	}
	return traceFile{TraceEvents: t.records, DisplayTimeUnit: "ms"}
}

func (t *traceBuilder) addSlice(e api.Event) {
	process := t.processID(e.Host)
	slice := traceEvent{
		Name:            e.Kind,
		Phase:           "X",
		Category:        "event",
		ProcessID:       process,
		ThreadID:        t.threadID(process, e.Object),
		TimestampMicros: float64(e.At.UnixMicro()),
		DurationMicros:  float64(sliceDuration.Microseconds()),
		Args: &traceArgs{
			Event: e.ID, Cause: e.Cause, Object: e.Object, Author: e.Author, Text: e.Text, Counts: countsByName(e),
		},
	}
	t.slices[e.ID] = slice
	t.records = append(t.records, slice)
}

func countsByName(e api.Event) map[string]int64 {
	counts := map[string]int64{}
	for _, count := range e.Counts {
		counts[count.Name] = count.Value
	}
	return counts
}

// addFlow adds a flow from the cause of an event to the event. It adds nothing if
// the cause is not among the events.
func (t *traceBuilder) addFlow(id int, e api.Event) {
	cause, ok := t.slices[e.Cause]
	if !ok {
		return
	}
	effect := t.slices[e.ID]
	t.records = append(t.records, newFlowEvent("s", id, cause), newFlowEvent("f", id, effect))
}

// newFlowEvent returns the start or the end of a flow, at the slice it attaches to.
func newFlowEvent(phase string, id int, slice traceEvent) traceEvent {
	event := traceEvent{
		Name:            "cause",
		Phase:           phase,
		Category:        "cause",
		ProcessID:       slice.ProcessID,
		ThreadID:        slice.ThreadID,
		TimestampMicros: slice.TimestampMicros,
		FlowID:          id,
	}
	if phase == "f" {
		event.BindingPoint = "e"
	}
	return event
}

func (t *traceBuilder) processID(host string) int {
	if id, ok := t.processes[host]; ok {
		return id
	}
	id := len(t.processes) + 1
	t.processes[host] = id
	t.records = append(t.records, traceEvent{
		Name: "process_name", Phase: "M", ProcessID: id, Args: &traceArgs{Name: host},
	})
	return id
}

func (t *traceBuilder) threadID(process int, object string) int {
	key := threadKey{processID: process, object: object}
	if id, ok := t.threads[key]; ok {
		return id
	}
	id := len(t.threads) + 1
	t.threads[key] = id
	t.records = append(t.records, traceEvent{
		Name: "thread_name", Phase: "M", ProcessID: process, ThreadID: id, Args: &traceArgs{Name: dashIfEmpty(object)},
	})
	return id
}
