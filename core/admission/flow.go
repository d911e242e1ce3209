package admission

import (
	"time"

	"baobabfield.example/core/types"
)

// noIndex marks the absence of an item, flow or rank where an index is expected.
const noIndex int32 = -1

// item is a request that is queued or holds a slot.
type item struct {
	id          types.RequestID
	rank        int32
	flow        int32
	key         flowKey
	next        int32
	prev        int32
	seq         uint64
	due         types.Time // end of the rank's target
	deadline    types.Time // the caller's deadline; zero for none
	write       bool
	started     bool
	chargedTime time.Duration // slot time charged at the start
}

// itemList is a doubly linked list of items, linked by index.
type itemList struct{ head, tail int32 }

// flowKey identifies a feature and job within a rank.
type flowKey struct {
	feature types.Feature
	job     types.Job
}

// flow holds the queued requests of one feature or job within a rank.
type flow struct {
	key         flowKey
	reads       itemList
	writes      itemList
	queuedCount int
	// nextInRing and prevInRing link the flows with queued requests in a ring.
	nextInRing, prevInRing int32

	arrivals    int     // requests in the current control period
	offeredLoad float64 // requests per control period, including those that frontends shed
	level       Level
	sentLevel   Level
	levelSentAt types.Time
	idlePeriods int // control periods without an arrival
	isFree      bool
}

func newFlow(key flowKey) flow {
	empty := itemList{noIndex, noIndex}
	return flow{key: key, reads: empty, writes: empty, level: LevelFull, sentLevel: LevelFull}
}

// itemListFor returns the list of the flow's writes or of its reads.
func (f *flow) itemListFor(write bool) *itemList {
	if write {
		return &f.writes
	}
	return &f.reads
}

// rankQueue holds the queued requests of one rank.
type rankQueue struct {
	spec            types.RankSpec
	flows           []flow
	freeFlows       []int32
	flowByKey       map[flowKey]int32
	nextFlow        int32 // the flow that is served next, or noIndex
	activeFlowCount int   // flows in the ring
	depth           int
	queuedWrites    int // queued requests that may write
	serviceTime     serviceEstimate

	// floorCredit is the slot time that the floor has earned and the rank has not used.
	floorCredit time.Duration
	// peakWait is a decaying peak of the time from the arrival at the frontend to the
	// start.
	peakWait time.Duration
	// lastStart is the time of the last start, or the time at which the rank stopped
	// being empty if that is later.
	lastStart types.Time
	// usedSlotTime is the slot time that the rank has used in the current control
	// period.
	usedSlotTime time.Duration
	runningCount int // requests that hold a slot
	// completedCount and completedSlotTime are the number of requests with a complete
	// response in the current control period and the slot time that they used.
	completedCount    int
	completedSlotTime time.Duration
	// availableShare is the moving average of the share of slot time that more urgent
	// ranks leave.
	availableShare float64
	// refusedCount is the number of refusals in the current control period.
	refusedCount int
}

// overflowFlowIndex is the flow of requests without feature and job, and of the features
// and jobs beyond the flow limit.
const overflowFlowIndex int32 = 0

func newRankQueue(spec types.RankSpec) rankQueue {
	return rankQueue{
		spec:           spec,
		flows:          []flow{newFlow(flowKey{})},
		flowByKey:      map[flowKey]int32{{}: overflowFlowIndex},
		nextFlow:       noIndex,
		availableShare: 1,
	}
}

// findOrAddFlow returns the index of the flow with the key. It adds the flow if it is
// missing, and returns overflowFlowIndex if the limit is reached.
func (r *rankQueue) findOrAddFlow(key flowKey, limit int) int32 {
	if i, ok := r.flowByKey[key]; ok {
		return i
	}
	if n := len(r.freeFlows); n > 0 {
		i := r.freeFlows[n-1]
		r.freeFlows = r.freeFlows[:n-1]
		r.flows[i] = newFlow(key)
		r.flowByKey[key] = i
		return i
	}
	if len(r.flows) >= limit {
		return overflowFlowIndex
	}
	i := int32(len(r.flows))
	r.flows = append(r.flows, newFlow(key))
	r.flowByKey[key] = i
	return i
}

// adjustDepth adds n to the number of queued requests.
func (r *rankQueue) adjustDepth(write bool, n int) {
	r.depth += n
	if write {
		r.queuedWrites += n
	}
}

// addToRing adds a flow at the end of the ring.
func (r *rankQueue) addToRing(i int32) {
	r.activeFlowCount++
	f := &r.flows[i]
	if r.nextFlow == noIndex {
		f.nextInRing, f.prevInRing = i, i
		r.nextFlow = i
		return
	}
	last := r.flows[r.nextFlow].prevInRing
	f.nextInRing, f.prevInRing = r.nextFlow, last
	r.flows[last].nextInRing = i
	r.flows[r.nextFlow].prevInRing = i
}

// removeFromRing removes a flow from the ring.
func (r *rankQueue) removeFromRing(i int32) {
	r.activeFlowCount--
	f := &r.flows[i]
	if f.nextInRing == i {
		r.nextFlow = noIndex
		return
	}
	r.flows[f.prevInRing].nextInRing = f.nextInRing
	r.flows[f.nextInRing].prevInRing = f.prevInRing
	if r.nextFlow == i {
		r.nextFlow = f.nextInRing
	}
}
