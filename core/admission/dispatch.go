package admission

import (
	"time"

	"baobabfield.example/core/types"
)

// Floors accumulate credit for at most floorBurstTime, or for the service time of
// minBurstRequests requests if that is longer.
const (
	floorBurstTime   = 50 * time.Millisecond
	minBurstRequests = 2
)

const (
	// floorDelayDivisor sets the part of its target, 1/floorDelayDivisor, that a rank
	// waits before its floor gives it precedence over more urgent ranks.
	floorDelayDivisor = 4
	// floorCreditPercent is the slot time that floors earn, as a percentage of the
	// configured floor. It exceeds 100 because part of the slot time goes to requests
	// that end late or is not used in time.
	floorCreditPercent = 110
	// waitDecayDivisor sets the weight, 1/waitDecayDivisor, with which the peak wait
	// decays.
	waitDecayDivisor = 16
)

// accrueFloorCredit gives each rank the slot time that its floor has earned since the
// last call.
func (q *Queue) accrueFloorCredit(now types.Time) {
	elapsed := now.Sub(q.creditedUntil)
	q.creditedUntil = now
	for i := range q.ranks {
		r := &q.ranks[i]
		share := time.Duration(q.slots*r.spec.Floor) * floorCreditPercent / hundredPercent
		limit := max(floorBurstTime*share/hundredPercent, minBurstRequests*r.serviceTime.mean)
		r.floorCredit = min(r.floorCredit+elapsed*share/hundredPercent, limit)
	}
}

// chargeFloorCredit subtracts slot time from the rank's credit. The credit has a lower
// bound, so that a rank that has used idle slots soon earns credit for its floor again.
func (r *rankQueue) chargeFloorCredit(d time.Duration) {
	r.floorCredit = max(r.floorCredit-d, -minBurstRequests*r.serviceTime.mean)
}

// dispatch starts queued requests while slots are free.
func (q *Queue) dispatch(now types.Time) {
	for q.slotsInUse < q.slots {
		rank := q.nextRank(now)
		if rank == noIndex {
			return
		}
		i := q.nextItemOfRank(rank)
		if !q.endsInTime(now, &q.items[i], 0) {
			q.refuseQueued(i, types.ReasonLate)
			continue
		}
		q.startItem(now, i)
	}
}

// nextRank returns the rank to serve next: the most urgent rank whose floor is due, or
// else the most urgent rank with a startable request. It returns noIndex if there is
// none.
func (q *Queue) nextRank(now types.Time) int32 {
	for i := range q.ranks {
		if q.isFloorDue(now, &q.ranks[i]) {
			return int32(i)
		}
	}
	for i := range q.ranks {
		if q.startableCount(&q.ranks[i]) > 0 {
			return int32(i)
		}
	}
	return noIndex
}

// isFloorDue reports whether the rank has earned credit for a request and needs it,
// because its requests have waited for too long.
func (q *Queue) isFloorDue(now types.Time, r *rankQueue) bool {
	if r.spec.Floor == 0 || r.floorCredit < r.serviceTime.mean || q.startableCount(r) == 0 {
		return false
	}
	delay := r.spec.Target / floorDelayDivisor
	return r.peakWait >= delay || now.Sub(r.lastStart) >= delay
}

// startableCount returns the number of the rank's queued requests that may start.
func (q *Queue) startableCount(r *rankQueue) int {
	if q.writesHeld {
		return r.depth - r.queuedWrites
	}
	return r.depth
}

// nextItemOfRank returns the next request of a rank that has a startable one. Flows are
// served round robin. If the next flow is within its fair share, the oldest request of
// all such flows is served instead, because random arrivals make some of them slightly
// busier than others.
func (q *Queue) nextItemOfRank(rank int32) int32 {
	r := &q.ranks[rank]
	for {
		f := &r.flows[r.nextFlow]
		r.nextFlow = f.nextInRing
		if f.level == LevelFull {
			if i := q.oldestItemWithinShare(r); i != noIndex {
				return i
			}
		}
		if i := q.oldestItem(f); i != noIndex {
			return i
		}
	}
}

// oldestItemWithinShare returns the oldest startable request among the flows that offer
// no more than their fair share, or noIndex.
func (q *Queue) oldestItemWithinShare(r *rankQueue) int32 {
	best := noIndex
	first := r.nextFlow
	for at := first; ; {
		f := &r.flows[at]
		if f.level == LevelFull {
			if i := q.oldestItem(f); i != noIndex && (best == noIndex || q.items[i].seq < q.items[best].seq) {
				best = i
			}
		}
		if at = f.nextInRing; at == first {
			return best
		}
	}
}

// oldestItem returns the flow's oldest startable request, or noIndex.
func (q *Queue) oldestItem(f *flow) int32 {
	read, write := f.reads.head, f.writes.head
	if write == noIndex || q.writesHeld {
		return read
	}
	if read == noIndex || q.items[write].seq < q.items[read].seq {
		return write
	}
	return read
}

// startItem assigns a slot to a queued request.
func (q *Queue) startItem(now types.Time, i int32) {
	q.dequeue(i)
	it := &q.items[i]
	it.started = true
	r := &q.ranks[it.rank]
	r.recordStart(now, r.spec.Target-it.due.Sub(now))
	it.chargedTime = r.serviceTime.mean
	r.chargeFloorCredit(it.chargedTime)
	r.runningCount++
	q.slotsInUse++
	q.effects = append(q.effects, Effect{Kind: EffectStart, ID: it.id})
}

// recordStart records that a request of the rank starts after the given wait.
func (r *rankQueue) recordStart(now types.Time, wait time.Duration) {
	r.lastStart = now
	r.peakWait = max(wait, r.peakWait+(wait-r.peakWait)/waitDecayDivisor)
}

// endsInTime reports whether a request that starts after wait is likely to end before
// the end of its target and before its deadline.
func (q *Queue) endsInTime(now types.Time, it *item, wait time.Duration) bool {
	r := &q.ranks[it.rank]
	end := now.Add(wait + r.serviceTime.reservedTime(r.spec.Target))
	return !end.After(it.due) && (it.deadline == 0 || !end.After(it.deadline))
}

// expectedWait estimates how long a new request of the flow would wait for a slot.
func (q *Queue) expectedWait(rank int32, f *flow) time.Duration {
	r := &q.ranks[rank]
	startable := q.startableCount(r)
	if q.slotsInUse < q.slots && startable == 0 {
		return 0
	}
	activeFlowCount := r.activeFlowCount
	if f.queuedCount == 0 {
		activeFlowCount++
	}
	ahead := min(startable, (f.queuedCount+1)*activeFlowCount-1) + 1
	perRequest := float64(r.serviceTime.mean) / (float64(q.slots) * q.expectedShare(rank))
	return time.Duration(float64(ahead) * perRequest)
}

// minExpectedShare is the smallest share of slots that a rank is assumed to get.
const minExpectedShare = 0.01

// expectedShare estimates the share of slots that a rank gets while it has queued
// requests. This is the share that more urgent ranks leave, less the floors of less
// urgent ranks with queued requests, and at least the rank's own floor.
func (q *Queue) expectedShare(rank int32) float64 {
	available := q.ranks[rank].availableShare
	for i := rank + 1; i < int32(len(q.ranks)); i++ {
		if q.ranks[i].depth > 0 {
			available -= float64(q.ranks[i].spec.Floor) / hundredPercent
		}
	}
	floor := float64(q.ranks[rank].spec.Floor) / hundredPercent
	return max(available, floor, minExpectedShare)
}
