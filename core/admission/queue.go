package admission

import (
	"fmt"

	"baobabfield.example/core/types"
)

// Queue decides which requests run at one endpoint. It is not safe for
// concurrent use; one task owns it.
type Queue struct {
	cfg     Config
	ranks   []rankQueue
	byName  map[types.Rank]int32
	items   []item
	free    int32
	byID    map[types.RequestID]int32
	effects []Effect

	slots int
	inUse int
	// measured and usual are the slot times that slowness compares.
	measured, usual float64

	holdWrites bool
	draining   bool

	seq      uint64
	accrued  types.Time // the time up to which floors have earned credit
	nextTick types.Time
}

// New returns the queue of an endpoint. It panics if cfg fails its Check.
func New(cfg Config, now types.Time) *Queue {
	if err := cfg.Check(); err != nil {
		panic("admission: " + err.Error())
	}
	q := &Queue{byID: map[types.RequestID]int32{}, free: none, accrued: now}
	q.configure(cfg.withDefaults())
	q.slots = q.cfg.Slots
	q.nextTick = now.Add(controlPeriod)
	return q
}

// configure replaces the ranks, all of them empty.
func (q *Queue) configure(cfg Config) {
	q.cfg = cfg
	q.ranks = make([]rankQueue, len(cfg.Ranks))
	q.byName = make(map[types.Rank]int32, len(cfg.Ranks))
	for i, spec := range cfg.Ranks {
		q.ranks[i] = newRankQueue(spec)
		q.ranks[i].service = newServiceEstimate(cfg.StatedService)
		q.byName[spec.Name] = int32(i)
	}
}

// rankIndex returns the index of a rank; unknown ones count as the least urgent.
func (q *Queue) rankIndex(name types.Rank) int32 {
	if i, ok := q.byName[name]; ok {
		return i
	}
	return int32(len(q.ranks) - 1)
}

// Step applies an event and returns its effects. The returned slice is valid
// until the next call.
func (q *Queue) Step(now types.Time, ev Event) []Effect {
	q.effects = q.effects[:0]
	q.accrue(now)
	switch ev.Kind {
	case EventTick:
	case EventSubmit:
		q.submit(now, &ev)
	case EventFinish:
		q.finish(&ev)
	case EventCancel:
		q.cancel(ev.ID)
	case EventHoldWrites:
		q.holdWrites = true
	case EventReleaseWrites:
		q.releaseWrites(now)
	case EventDrain:
		q.drain()
	}
	if !now.Before(q.nextTick) {
		q.control(now)
	}
	q.dispatch(now)
	return q.effects
}

// submit queues a request or refuses it.
func (q *Queue) submit(now types.Time, ev *Event) {
	if _, ok := q.byID[ev.ID]; ok || ev.ID == 0 {
		panic(fmt.Sprintf("admission: request %d was submitted twice or is zero", ev.ID))
	}
	if q.draining {
		q.refuse(ev.ID, types.ReasonLeaving)
		return
	}
	rank := q.rankIndex(ev.Rank)
	r := &q.ranks[rank]
	key := flowKey{ev.Feature, ev.Job}
	fi := r.flowOf(key, q.cfg.FlowLimit)
	f := &r.flows[fi]
	f.arrivals++
	if f.length >= q.cfg.QueueLimit-r.depth {
		r.refused++
		q.refuse(ev.ID, types.ReasonQueueFull)
		return
	}
	it := item{
		id: ev.ID, rank: rank, flow: fi, key: key, write: ev.Write,
		due: now.Add(r.spec.Target - ev.Age), deadline: ev.Deadline,
	}
	held := ev.Write && q.holdWrites
	if !held && !q.inTime(now, &it, q.expectedWait(rank, f)) {
		r.refused++
		q.refuse(ev.ID, types.ReasonLate)
		return
	}
	q.seq++
	it.seq = q.seq
	i := q.allocate()
	q.items[i] = it
	q.byID[ev.ID] = i
	if r.depth == 0 {
		r.servedAt = now
	}
	q.push(i)
}

// push appends an item to its flow.
func (q *Queue) push(i int32) {
	it := &q.items[i]
	r := &q.ranks[it.rank]
	f := &r.flows[it.flow]
	l := f.listOf(it.write)
	it.next, it.prev = none, l.tail
	if l.tail == none {
		l.head = i
	} else {
		q.items[l.tail].next = i
	}
	l.tail = i
	f.length++
	r.count(it.write, 1)
	if f.length == 1 {
		r.activate(it.flow)
	}
}

// remove takes a queued item out of its flow.
func (q *Queue) remove(i int32) {
	it := &q.items[i]
	r := &q.ranks[it.rank]
	f := &r.flows[it.flow]
	l := f.listOf(it.write)
	if it.prev == none {
		l.head = it.next
	} else {
		q.items[it.prev].next = it.next
	}
	if it.next == none {
		l.tail = it.prev
	} else {
		q.items[it.next].prev = it.prev
	}
	f.length--
	r.count(it.write, -1)
	if f.length == 0 {
		r.deactivate(it.flow)
	}
}

// allocate returns the index of an unused item.
func (q *Queue) allocate() int32 {
	if q.free != none {
		i := q.free
		q.free = q.items[i].next
		return i
	}
	q.items = append(q.items, item{})
	return int32(len(q.items) - 1)
}

// release gives an item back.
func (q *Queue) release(i int32) {
	delete(q.byID, q.items[i].id)
	q.items[i] = item{next: q.free}
	q.free = i
}

// finish frees the slot of a started request and learns from its service time.
func (q *Queue) finish(ev *Event) {
	i, ok := q.byID[ev.ID]
	if !ok || !q.items[i].started {
		return
	}
	it := &q.items[i]
	r := &q.ranks[it.rank]
	r.running--
	r.held += ev.Service
	r.charge(ev.Service - it.cost)
	if ev.OK {
		r.service.add(ev.Service)
		r.finished++
		r.answered += ev.Service
	}
	q.inUse--
	q.release(i)
}

// cancel drops a queued request. A started one keeps its slot until it finishes.
func (q *Queue) cancel(id types.RequestID) {
	i, ok := q.byID[id]
	if !ok || q.items[i].started {
		return
	}
	q.remove(i)
	q.release(i)
}

// releaseWrites lets held writes start again. Each gets its rank's whole
// target from now on, as the hold was not of its making.
func (q *Queue) releaseWrites(now types.Time) {
	q.holdWrites = false
	for i := range q.items {
		it := &q.items[i]
		if it.id != 0 && it.write && !it.started {
			it.due = now.Add(q.ranks[it.rank].spec.Target)
		}
	}
}

// drain refuses all queued requests and, from then on, all new ones.
func (q *Queue) drain() {
	q.draining = true
	for _, i := range q.waiting() {
		q.dropQueued(i, types.ReasonLeaving)
	}
}

// dropQueued refuses a queued request.
func (q *Queue) dropQueued(i int32, reason types.Reason) {
	id := q.items[i].id
	q.ranks[q.items[i].rank].refused++
	q.remove(i)
	q.release(i)
	q.refuse(id, reason)
}

func (q *Queue) refuse(id types.RequestID, reason types.Reason) {
	q.effects = append(q.effects, Effect{Kind: EffectRefuse, ID: id, Reason: reason})
}

// NextWake returns the time at which the queue wants its next EventTick.
func (q *Queue) NextWake() types.Time { return q.nextTick }

// Depth returns the number of requests that wait in a rank.
func (q *Queue) Depth(rank types.Rank) int {
	i, ok := q.byName[rank]
	if !ok {
		return 0
	}
	return q.ranks[i].depth
}

// SlotsInUse returns the number of requests that hold a slot.
func (q *Queue) SlotsInUse() int { return q.inUse }

// Slots returns the number of usable slots.
func (q *Queue) Slots() int { return q.slots }

// Draining reports whether the queue accepts no new work.
func (q *Queue) Draining() bool { return q.draining }

// Levels appends the notices in force, those below LevelFull, to out.
func (q *Queue) Levels(out []LevelNotice) []LevelNotice {
	for i := range q.ranks {
		r := &q.ranks[i]
		for j := range r.flows {
			f := &r.flows[j]
			if f.told < LevelFull {
				out = append(out, notice(r, f))
			}
		}
	}
	return out
}

func notice(r *rankQueue, f *flow) LevelNotice {
	return LevelNotice{Rank: r.spec.Name, Feature: f.key.feature, Job: f.key.job, Level: f.told}
}
