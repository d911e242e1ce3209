package main

import (
	"encoding/json"
	"time"

	api "baobabfield.example/api/admin"
)

// traceSlice is the length at which an event is drawn; flows attach to slices.
const traceSlice = 100 * time.Microsecond

// trace is a file of Chrome trace events.
type trace struct {
	TraceEvents     []traceEvent `json:"traceEvents"`
	DisplayTimeUnit string       `json:"displayTimeUnit"`
}

// MarshalJSON encodes the trace.
func (t trace) MarshalJSON() ([]byte, error) {
	type plain trace
	return json.Marshal(plain(t))
}

// traceEvent is one record of the Chrome trace event format.
type traceEvent struct {
	Name     string     `json:"name"`
	Phase    string     `json:"ph"`
	Category string     `json:"cat,omitempty"`
	Process  int        `json:"pid"`
	Thread   int        `json:"tid"`
	Micros   float64    `json:"ts"`
	Duration float64    `json:"dur,omitempty"`
	ID       int        `json:"id,omitempty"`
	Binding  string     `json:"bp,omitempty"`
	Args     *traceArgs `json:"args,omitempty"`
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

// tracer lays events out: a process for each host, a thread for each object.
type tracer struct {
	processes map[string]int
	threads   map[traceThread]int
	slices    map[string]traceEvent
	out       []traceEvent
}

// traceThread identifies the thread of an object on a host.
type traceThread struct {
	process int
	object  string
}

// traceOf translates events, which come in order of time, to a trace.
func traceOf(events []api.Event) trace {
	t := &tracer{
		processes: map[string]int{},
		threads:   map[traceThread]int{},
		slices:    map[string]traceEvent{},
		out:       []traceEvent{},
	}
	for _, event := range events {
		t.addSlice(event)
	}
	for flow, event := range events {
		t.addFlow(flow+1, event)
	}
	return trace{TraceEvents: t.out, DisplayTimeUnit: "ms"}
}

func (t *tracer) addSlice(e api.Event) {
	process := t.process(e.Host)
	slice := traceEvent{
		Name:     e.Kind,
		Phase:    "X",
		Category: "event",
		Process:  process,
		Thread:   t.thread(process, e.Object),
		Micros:   float64(e.At.UnixMicro()),
		Duration: float64(traceSlice.Microseconds()),
		Args: &traceArgs{
			Event: e.ID, Cause: e.Cause, Object: e.Object, Author: e.Author, Text: e.Text, Counts: traceCounts(e),
		},
	}
	t.slices[e.ID] = slice
	t.out = append(t.out, slice)
}

func traceCounts(e api.Event) map[string]int64 {
	counts := map[string]int64{}
	for _, count := range e.Counts {
		counts[count.Name] = count.Value
	}
	return counts
}

// addFlow draws an arrow from the cause of an event to the event.
func (t *tracer) addFlow(id int, e api.Event) {
	cause, ok := t.slices[e.Cause]
	if !ok {
		return
	}
	effect := t.slices[e.ID]
	t.out = append(t.out, flowEnd("s", id, cause), flowEnd("f", id, effect))
}

func flowEnd(phase string, id int, slice traceEvent) traceEvent {
	end := traceEvent{
		Name:     "cause",
		Phase:    phase,
		Category: "cause",
		Process:  slice.Process,
		Thread:   slice.Thread,
		Micros:   slice.Micros,
		ID:       id,
	}
	if phase == "f" {
		end.Binding = "e"
	}
	return end
}

func (t *tracer) process(host string) int {
	if id, ok := t.processes[host]; ok {
		return id
	}
	id := len(t.processes) + 1
	t.processes[host] = id
	t.out = append(t.out, traceEvent{
		Name: "process_name", Phase: "M", Process: id, Args: &traceArgs{Name: host},
	})
	return id
}

func (t *tracer) thread(process int, object string) int {
	key := traceThread{process: process, object: object}
	if id, ok := t.threads[key]; ok {
		return id
	}
	id := len(t.threads) + 1
	t.threads[key] = id
	t.out = append(t.out, traceEvent{
		Name: "thread_name", Phase: "M", Process: process, Thread: id, Args: &traceArgs{Name: orDash(object)},
	})
	return id
}
