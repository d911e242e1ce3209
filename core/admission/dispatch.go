package admission

import (
	"time"

	"baobabfield.example/core/types"
)

// Floors earn credit for at most this much time, or for the service of
// minBurst requests where that is longer.
const (
	floorBurst = 50 * time.Millisecond
	minBurst   = 2
)

const (
	// floorDelay is the part of its target, 1/floorDelay, for which a rank
	// waits before its floor puts it ahead of more urgent ranks.
	floorDelay = 4
	// floorRate is the slot time that floors earn, in percent of what they state,
	// as a part of it goes to requests that end late or is not called for in time.
	floorRate = 110
	// waitWeight is the weight, 1/waitWeight, at which the peak wait decays.
	waitWeight = 16
)

// accrue gives each rank the slot time that its floor has earned since the
// last call.
func (q *Queue) accrue(now types.Time) {
	elapsed := now.Sub(q.accrued)
	q.accrued = now
	for i := range q.ranks {
		r := &q.ranks[i]
		share := time.Duration(q.slots*r.spec.Floor) * floorRate / percent
		limit := max(floorBurst*share/percent, minBurst*r.service.mean)
		r.credit = min(r.credit+elapsed*share/percent, limit)
	}
}

// charge takes slot time from the rank's credit. The debt is bounded, so that
// use of idle slots does not cost the rank its floor later.
func (r *rankQueue) charge(d time.Duration) {
	r.credit = max(r.credit-d, -minBurst*r.service.mean)
}

// dispatch starts queued requests while there are free slots.
func (q *Queue) dispatch(now types.Time) {
	for q.inUse < q.slots {
		rank := q.nextRank(now)
		if rank == none {
			return
		}
		i := q.nextItem(rank)
		if !q.inTime(now, &q.items[i], 0) {
			q.dropQueued(i, types.ReasonLate)
			continue
		}
		q.start(now, i)
	}
}

// nextRank returns the rank to serve: the most urgent one whose floor is due,
// else the most urgent one with a servable request.
func (q *Queue) nextRank(now types.Time) int32 {
	for i := range q.ranks {
		if q.floorDue(now, &q.ranks[i]) {
			return int32(i)
		}
	}
	for i := range q.ranks {
		if q.servable(&q.ranks[i]) > 0 {
			return int32(i)
		}
	}
	return none
}

// floorDue reports whether the rank's floor owes it a request and the rank
// needs the floor, as its requests have waited for long.
func (q *Queue) floorDue(now types.Time, r *rankQueue) bool {
	if r.spec.Floor == 0 || r.credit < r.service.mean || q.servable(r) == 0 {
		return false
	}
	delay := r.spec.Target / floorDelay
	return r.wait >= delay || now.Sub(r.servedAt) >= delay
}

// servable returns the number of the rank's requests that may start.
func (q *Queue) servable(r *rankQueue) int {
	if q.holdWrites {
		return r.depth - r.writes
	}
	return r.depth
}

// nextItem returns the next request of a servable rank: the flows take turns, and
// those that offer no more than their share give their turns to the oldest request
// among them, since chance makes some of them a little busier than others.
func (q *Queue) nextItem(rank int32) int32 {
	r := &q.ranks[rank]
	for {
		f := &r.flows[r.cursor]
		r.cursor = f.next
		if f.level == LevelFull {
			if i := q.oldestWithinShare(r); i != none {
				return i
			}
		}
		if i := q.oldest(f); i != none {
			return i
		}
	}
}

// oldestWithinShare returns the oldest request that may start among the waiting
// flows that offer no more than their share.
func (q *Queue) oldestWithinShare(r *rankQueue) int32 {
	best := none
	first := r.cursor
	for at := first; ; {
		f := &r.flows[at]
		if f.level == LevelFull {
			if i := q.oldest(f); i != none && (best == none || q.items[i].seq < q.items[best].seq) {
				best = i
			}
		}
		if at = f.next; at == first {
			return best
		}
	}
}

// oldest returns the flow's oldest request that may start.
func (q *Queue) oldest(f *flow) int32 {
	read, write := f.reads.head, f.writes.head
	if write == none || q.holdWrites {
		return read
	}
	if read == none || q.items[write].seq < q.items[read].seq {
		return write
	}
	return read
}

// start gives a slot to a queued request.
func (q *Queue) start(now types.Time, i int32) {
	q.remove(i)
	it := &q.items[i]
	it.started = true
	r := &q.ranks[it.rank]
	r.served(now, r.spec.Target-it.due.Sub(now))
	it.cost = r.service.mean
	r.charge(it.cost)
	r.running++
	q.inUse++
	q.effects = append(q.effects, Effect{Kind: EffectStart, ID: it.id})
}

// served notes that a request of the rank starts after the given wait.
func (r *rankQueue) served(now types.Time, wait time.Duration) {
	r.servedAt = now
	r.wait = max(wait, r.wait+(wait-r.wait)/waitWeight)
}

// inTime reports whether a request that starts after wait is likely to end
// before both the end of its target and its deadline.
func (q *Queue) inTime(now types.Time, it *item, wait time.Duration) bool {
	r := &q.ranks[it.rank]
	end := now.Add(wait + r.service.need(r.spec.Target))
	return !end.After(it.due) && (it.deadline == 0 || !end.After(it.deadline))
}

// expectedWait estimates how long a new request of the flow would wait.
func (q *Queue) expectedWait(rank int32, f *flow) time.Duration {
	r := &q.ranks[rank]
	waiting := q.servable(r)
	if q.inUse < q.slots && waiting == 0 {
		return 0
	}
	active := r.active
	if f.length == 0 {
		active++
	}
	ahead := min(waiting, (f.length+1)*active-1) + 1
	perRequest := float64(r.service.mean) / (float64(q.slots) * q.share(rank))
	return time.Duration(float64(ahead) * perRequest)
}

// minShare is the smallest share of an endpoint that a rank is expected to get.
const minShare = 0.01

// share estimates the part of the slots that a rank gets while it has waiting
// requests: what more urgent ranks leave, less the floors of lower ranks that
// wait, but at least its own floor.
func (q *Queue) share(rank int32) float64 {
	rest := q.ranks[rank].rest
	for i := rank + 1; i < int32(len(q.ranks)); i++ {
		if q.ranks[i].depth > 0 {
			rest -= float64(q.ranks[i].spec.Floor) / percent
		}
	}
	floor := float64(q.ranks[rank].spec.Floor) / percent
	return max(rest, floor, minShare)
}
