package admission

import (
	"fmt"

	"baobabfield.example/core/types"
)

// Queue decides which requests run at one endpoint. It is not safe for concurrent use
// and belongs to one task.
type Queue struct {
	cfg           Config
	ranks         []rankQueue
	rankByName    map[types.Rank]int32
	items         []item
	freeItemIndex int32
	itemByID      map[types.RequestID]int32
	effects       []Effect

	slots      int
	slotsInUse int
	// measuredSlotTime and baselineSlotTime are moving averages, compared by
	// slowdownRatio.
	measuredSlotTime, baselineSlotTime float64

	writesHeld bool
	draining   bool

	seq           uint64
	creditedUntil types.Time // time up to which floors have earned credit
	nextTick      types.Time
}

// New returns the queue of an endpoint. It panics if cfg is invalid.
func New(cfg Config, now types.Time) *Queue {
	if err := cfg.Check(); err != nil {
		panic("admission: " + err.Error())
	}
	q := &Queue{itemByID: map[types.RequestID]int32{}, freeItemIndex: noIndex, creditedUntil: now}
	q.setConfig(cfg.withDefaults())
	q.slots = q.cfg.Slots
	q.nextTick = now.Add(controlPeriod)
	return q
}

// setConfig replaces the configuration and the ranks. The new ranks are empty.
func (q *Queue) setConfig(cfg Config) {
	q.cfg = cfg
	q.ranks = make([]rankQueue, len(cfg.Ranks))
	q.rankByName = make(map[types.Rank]int32, len(cfg.Ranks))
	for i, spec := range cfg.Ranks {
		q.ranks[i] = newRankQueue(spec)
		q.ranks[i].serviceTime = newServiceEstimate(cfg.InitialServiceTime)
		q.rankByName[spec.Name] = int32(i)
	}
}

// rankIndex returns the index of a rank. Unknown names map to the least urgent rank.
func (q *Queue) rankIndex(name types.Rank) int32 {
	if i, ok := q.rankByName[name]; ok {
		return i
	}
	return int32(len(q.ranks) - 1)
}

// Step applies an event and returns its effects. The returned slice is valid until the
// next call.
func (q *Queue) Step(now types.Time, ev Event) []Effect {
	q.effects = q.effects[:0]
	q.accrueFloorCredit(now)
	switch ev.Kind {
	case EventTick:
	case EventSubmit:
		q.submitRequest(now, &ev)
	case EventFinish:
		q.finishRequest(&ev)
	case EventCancel:
		q.cancelRequest(ev.ID)
	case EventHoldWrites:
		q.writesHeld = true
	case EventReleaseWrites:
		q.releaseWrites(now)
	case EventDrain:
		q.drain()
	}
	if !now.Before(q.nextTick) {
		q.runControlPeriod(now)
	}
	q.dispatch(now)
	return q.effects
}

// submitRequest queues a request or refuses it.
func (q *Queue) submitRequest(now types.Time, ev *Event) {
	if _, ok := q.itemByID[ev.ID]; ok || ev.ID == 0 {
		panic(fmt.Sprintf("admission: request ID %d is zero or was submitted before", ev.ID))
	}
	if q.draining {
		q.refuseRequest(ev.ID, types.ReasonLeaving)
		return
	}
	rank := q.rankIndex(ev.Rank)
	r := &q.ranks[rank]
	key := flowKey{ev.Feature, ev.Job}
	flowIndex := r.findOrAddFlow(key, q.cfg.FlowLimit)
	f := &r.flows[flowIndex]
	f.arrivals++
	// A flow may queue no more requests than the rank has free places, so that one flow
	// does not fill the queue of the rank.
	if f.queuedCount >= q.cfg.QueueLimit-r.depth {
		r.refusedCount++
		q.refuseRequest(ev.ID, types.ReasonQueueFull)
		return
	}
	it := item{
		id: ev.ID, rank: rank, flow: flowIndex, key: key, write: ev.Write,
		due: now.Add(r.spec.Target - ev.Age), deadline: ev.Deadline,
	}
	held := ev.Write && q.writesHeld
	if !held && !q.endsInTime(now, &it, q.expectedWait(rank, f)) {
		r.refusedCount++
		q.refuseRequest(ev.ID, types.ReasonLate)
		return
	}
	q.seq++
	it.seq = q.seq
	i := q.allocateItem()
	q.items[i] = it
	q.itemByID[ev.ID] = i
	if r.depth == 0 {
		r.lastStart = now
	}
	q.enqueue(i)
}

// enqueue appends an item to its flow.
func (q *Queue) enqueue(i int32) {
	it := &q.items[i]
	r := &q.ranks[it.rank]
	f := &r.flows[it.flow]
	l := f.itemListFor(it.write)
	it.next, it.prev = noIndex, l.tail
	if l.tail == noIndex {
		l.head = i
	} else {
		q.items[l.tail].next = i
	}
	l.tail = i
	f.queuedCount++
	r.adjustDepth(it.write, 1)
	if f.queuedCount == 1 {
		r.addToRing(it.flow)
	}
}

// dequeue removes a queued item from its flow.
func (q *Queue) dequeue(i int32) {
	it := &q.items[i]
	r := &q.ranks[it.rank]
	f := &r.flows[it.flow]
	l := f.itemListFor(it.write)
	if it.prev == noIndex {
		l.head = it.next
	} else {
		q.items[it.prev].next = it.next
	}
	if it.next == noIndex {
		l.tail = it.prev
	} else {
		q.items[it.next].prev = it.prev
	}
	f.queuedCount--
	r.adjustDepth(it.write, -1)
	if f.queuedCount == 0 {
		r.removeFromRing(it.flow)
	}
}

// allocateItem returns the index of a free item.
func (q *Queue) allocateItem() int32 {
	if q.freeItemIndex != noIndex {
		i := q.freeItemIndex
		q.freeItemIndex = q.items[i].next
		return i
	}
	q.items = append(q.items, item{})
	return int32(len(q.items) - 1)
}

// freeItem adds an item to the free list.
func (q *Queue) freeItem(i int32) {
	delete(q.itemByID, q.items[i].id)
	q.items[i] = item{next: q.freeItemIndex}
	q.freeItemIndex = i
}

// finishRequest frees the slot of a started request. If the request completed, it adds
// the service time to the estimate.
func (q *Queue) finishRequest(ev *Event) {
	i, ok := q.itemByID[ev.ID]
	if !ok || !q.items[i].started {
		return
	}
	it := &q.items[i]
	r := &q.ranks[it.rank]
	r.runningCount--
	r.usedSlotTime += ev.ServiceTime
	r.chargeFloorCredit(ev.ServiceTime - it.chargedTime)
	if ev.Completed {
		r.serviceTime.addSample(ev.ServiceTime)
		r.completedCount++
		r.completedSlotTime += ev.ServiceTime
	}
	q.slotsInUse--
	q.freeItem(i)
}

// cancelRequest removes a queued request. A started one keeps its slot until it finishes.
func (q *Queue) cancelRequest(id types.RequestID) {
	i, ok := q.itemByID[id]
	if !ok || q.items[i].started {
		return
	}
	q.dequeue(i)
	q.freeItem(i)
}

// releaseWrites allows held writes to start. Their targets start again now, so that
// writes are not refused because of the time for which they were held.
func (q *Queue) releaseWrites(now types.Time) {
	q.writesHeld = false
	for i := range q.items {
		it := &q.items[i]
		if it.id != 0 && it.write && !it.started {
			it.due = now.Add(q.ranks[it.rank].spec.Target)
		}
	}
}

// drain refuses all queued requests and all later ones.
func (q *Queue) drain() {
	q.draining = true
	for _, i := range q.queuedItems() {
		q.refuseQueued(i, types.ReasonLeaving)
	}
}

// refuseQueued removes a queued request and refuses it.
func (q *Queue) refuseQueued(i int32, reason types.Reason) {
	id := q.items[i].id
	q.ranks[q.items[i].rank].refusedCount++
	q.dequeue(i)
	q.freeItem(i)
	q.refuseRequest(id, reason)
}

func (q *Queue) refuseRequest(id types.RequestID, reason types.Reason) {
	q.effects = append(q.effects, Effect{Kind: EffectRefuse, ID: id, Reason: reason})
}

// NextWake returns the time at which the queue needs its next EventTick.
func (q *Queue) NextWake() types.Time { return q.nextTick }

// Depth returns the number of queued requests of a rank.
func (q *Queue) Depth(rank types.Rank) int {
	i, ok := q.rankByName[rank]
	if !ok {
		return 0
	}
	return q.ranks[i].depth
}

// SlotsInUse returns the number of requests that hold a slot.
func (q *Queue) SlotsInUse() int { return q.slotsInUse }

// Slots returns the number of usable slots.
func (q *Queue) Slots() int { return q.slots }

// Draining reports whether the queue refuses new requests.
func (q *Queue) Draining() bool { return q.draining }

// Levels appends the sent levels that are below LevelFull to out.
func (q *Queue) Levels(out []LevelNotice) []LevelNotice {
	for i := range q.ranks {
		r := &q.ranks[i]
		for j := range r.flows {
			f := &r.flows[j]
			if f.sentLevel < LevelFull {
				out = append(out, newLevelNotice(r, f))
			}
		}
	}
	return out
}

func newLevelNotice(r *rankQueue, f *flow) LevelNotice {
	return LevelNotice{Rank: r.spec.Name, Feature: f.key.feature, Job: f.key.job, Level: f.sentLevel}
}
