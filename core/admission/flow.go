package admission

import (
	"time"

	"baobabfield.example/core/types"
)

// none is the index that stands for no item and no flow.
const none int32 = -1

// item is a request that is queued or holds a slot.
type item struct {
	id       types.RequestID
	rank     int32
	flow     int32
	key      flowKey
	next     int32
	prev     int32
	seq      uint64
	due      types.Time // end of the rank's target
	deadline types.Time // the caller's deadline; zero for none
	write    bool
	started  bool
	cost     time.Duration // slot time charged at the start
}

// list is a queue of items, linked by index.
type list struct{ head, tail int32 }

// flowKey tells apart the features and jobs of a rank.
type flowKey struct {
	feature types.Feature
	job     types.Job
}

// flow holds the waiting requests of one feature or job within a rank.
type flow struct {
	key    flowKey
	reads  list
	writes list
	length int
	// next and prev link the flows that have waiting requests in a ring.
	next, prev int32

	arrivals int     // requests since the last control period
	offered  float64 // requests in a control period, before entries shed any
	level    Level
	told     Level
	toldAt   types.Time
	idle     int // control periods without an arrival
	unused   bool
}

func newFlow(key flowKey) flow {
	empty := list{none, none}
	return flow{key: key, reads: empty, writes: empty, level: LevelFull, told: LevelFull}
}

// listOf returns the list that holds the flow's reads or its writes.
func (f *flow) listOf(write bool) *list {
	if write {
		return &f.writes
	}
	return &f.reads
}

// rankQueue holds the waiting requests of one rank.
type rankQueue struct {
	spec    types.RankSpec
	flows   []flow
	unused  []int32
	byKey   map[flowKey]int32
	cursor  int32 // the flow that is served next
	active  int   // flows in the ring
	depth   int
	writes  int // the part of depth that may write
	service serviceEstimate

	// credit is the slot time that the floor still owes the rank.
	credit time.Duration
	// wait is a decaying peak of the time from the entry to the start.
	wait time.Duration
	// servedAt is the time of the last start, or at which the rank began to wait.
	servedAt types.Time
	// held is the slot time that the rank used since the last control period.
	held    time.Duration
	running int // requests that hold a slot
	// finished and answered count the answers since the last control period and
	// the slot time that they took.
	finished int
	answered time.Duration
	// rest is the share of slot time that more urgent ranks leave, averaged.
	rest float64
	// refused counts the refusals since the last control period.
	refused int
}

// overflowFlow is the index of the flow of requests that name neither feature
// nor job, and of those beyond the flow limit.
const overflowFlow int32 = 0

func newRankQueue(spec types.RankSpec) rankQueue {
	return rankQueue{
		spec:   spec,
		flows:  []flow{newFlow(flowKey{})},
		byKey:  map[flowKey]int32{{}: overflowFlow},
		cursor: none,
		rest:   1,
	}
}

// flowOf returns the index of the flow of key, making one if need be.
func (r *rankQueue) flowOf(key flowKey, limit int) int32 {
	if i, ok := r.byKey[key]; ok {
		return i
	}
	if n := len(r.unused); n > 0 {
		i := r.unused[n-1]
		r.unused = r.unused[:n-1]
		r.flows[i] = newFlow(key)
		r.byKey[key] = i
		return i
	}
	if len(r.flows) >= limit {
		return overflowFlow
	}
	i := int32(len(r.flows))
	r.flows = append(r.flows, newFlow(key))
	r.byKey[key] = i
	return i
}

// count adds n to the number of waiting requests.
func (r *rankQueue) count(write bool, n int) {
	r.depth += n
	if write {
		r.writes += n
	}
}

// activate puts a flow at the end of the ring.
func (r *rankQueue) activate(i int32) {
	r.active++
	f := &r.flows[i]
	if r.cursor == none {
		f.next, f.prev = i, i
		r.cursor = i
		return
	}
	last := r.flows[r.cursor].prev
	f.next, f.prev = r.cursor, last
	r.flows[last].next = i
	r.flows[r.cursor].prev = i
}

// deactivate takes a flow out of the ring.
func (r *rankQueue) deactivate(i int32) {
	r.active--
	f := &r.flows[i]
	if f.next == i {
		r.cursor = none
		return
	}
	r.flows[f.prev].next = f.next
	r.flows[f.next].prev = f.prev
	if r.cursor == i {
		r.cursor = f.next
	}
}
