package admission

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// controlPeriod is the time between two adjustments of levels and slots.
	controlPeriod = 100 * time.Millisecond
	// levelRefreshPeriod is the time after which a level in force is told again.
	levelRefreshPeriod = time.Second
	// minLevelChangeDivisor is the smallest relative change of a level, in 1/minLevelChangeDivisor, that
	// is told at once.
	minLevelChangeDivisor = 8
	// levelHeadroomFactor is the load that entries forward relative to what the
	// endpoint is expected to serve, so that its queue does not run empty.
	levelHeadroomFactor = 1.25
	// periodAverageWeight is the weight of averages over control periods.
	periodAverageWeight = 0.25
	// flowExpiryPeriods is the number of control periods after which an idle flow is
	// forgotten.
	flowExpiryPeriods = 100
)

// minLevel is the lowest level; some requests must pass for the offered load to be known.
const minLevel Level = 1

// runControlPeriod runs once in each runControlPeriod period.
func (q *Queue) runControlPeriod(now types.Time) {
	elapsed := now.Sub(q.nextTick) + controlPeriod
	q.nextTick = now.Add(controlPeriod)
	q.refuseLateRequests(now)
	q.adaptSlots()
	available := 1.0
	for i := range q.ranks {
		available = q.updateAvailableShare(&q.ranks[i], elapsed, available)
	}
	for i := range q.ranks {
		q.ranks[i].lowerServiceEstimate()
		q.updateLevels(now, int32(i), elapsed)
		q.ranks[i].resetPeriodCounts()
	}
}

// resetPeriodCounts starts the counts of the next control period.
func (r *rankQueue) resetPeriodCounts() {
	r.refusedCount, r.answeredCount = 0, 0
	r.usedSlotTime, r.answeredSlotTime = 0, 0
}

// refuseLateRequests refuses queued requests that can no longer be served in time.
func (q *Queue) refuseLateRequests(now types.Time) {
	for i := range q.items {
		it := &q.items[i]
		if it.id == 0 || it.started {
			continue
		}
		if it.write && q.holdWrites {
			if it.deadline != 0 && now.After(it.deadline) {
				q.refuseQueued(int32(i), types.ReasonLate)
			}
			continue
		}
		if !q.endsInTime(now, it, 0) {
			q.refuseQueued(int32(i), types.ReasonLate)
		}
	}
}

// updateAvailableShare averages the share of slot time that more urgent ranks leave to
// the rank, and returns what the rank in turn has left in this period.
func (q *Queue) updateAvailableShare(r *rankQueue, elapsed time.Duration, available float64) float64 {
	r.availableShare += (available - r.availableShare) * r.averageWeight(elapsed)
	used := float64(r.usedSlotTime) / (float64(elapsed) * float64(q.slots))
	return available - used
}

// averageWeight returns the averageWeight of a period in the rank's averages, which reach over
// about half of its target: the time ahead that counts for its requests.
func (r *rankQueue) averageWeight(elapsed time.Duration) float64 {
	return min(2*float64(elapsed)/float64(r.spec.Target), periodAverageWeight)
}

// lowerServiceEstimate lowers the service estimate of a rank whose requests were all
// refused, so that one is tried and the estimate can follow the endpoint again.
func (r *rankQueue) lowerServiceEstimate() {
	if r.refusedCount > 0 && r.answeredCount == 0 && r.runningCount == 0 {
		r.serviceTime.decay()
	}
}

// updateLevels computes the admission level of each flow of a rank: the
// max-min fair share of the rank's capacity, relative to what the flow offers.
func (q *Queue) updateLevels(now types.Time, rank int32, elapsed time.Duration) {
	r := &q.ranks[rank]
	total := r.updateOfferedLoad(elapsed)
	share := total
	if r.serviceTime.mean > 0 {
		slotTime := float64(controlPeriod) * float64(q.slots) * q.expectedShare(rank)
		capacity := levelHeadroomFactor * slotTime / float64(r.serviceTime.mean)
		if total > capacity && (r.refusedCount > 0 || r.depth > 0) {
			share = r.maxMinFairShare(capacity)
		}
	}
	for i := range r.flows {
		f := &r.flows[i]
		f.level = LevelFull
		if f.offeredLoad > share {
			f.level = max(minLevel, Level(float64(LevelFull)*share/f.offeredLoad))
		}
		q.sendLevel(now, r, f)
	}
	r.removeIdleFlows()
}

// updateOfferedLoad updates each flow's offered load and returns their sum.
func (r *rankQueue) updateOfferedLoad(elapsed time.Duration) float64 {
	periods := float64(elapsed) / float64(controlPeriod)
	weight := r.averageWeight(elapsed)
	total := 0.0
	for i := range r.flows {
		f := &r.flows[i]
		offered := float64(f.arrivals) / periods * float64(LevelFull) / float64(f.sentLevel)
		f.offeredLoad += (offered - f.offeredLoad) * weight
		f.idlePeriods++
		if f.arrivals > 0 {
			f.idlePeriods = 0
		}
		f.arrivals = 0
		total += f.offeredLoad
	}
	return total
}

// maxMinFairShare returns the largest load that each flow may have so that together
// they stay within capacity.
func (r *rankQueue) maxMinFairShare(capacity float64) float64 {
	share := capacity / float64(len(r.flows))
	for {
		remaining, flowsAbove := capacity, 0
		for i := range r.flows {
			if r.flows[i].offeredLoad <= share {
				remaining -= r.flows[i].offeredLoad
			} else {
				flowsAbove++
			}
		}
		if flowsAbove == 0 {
			return share
		}
		next := remaining / float64(flowsAbove)
		if next <= share {
			return share
		}
		share = next
	}
}

// sendLevel notifies the entries of a flow's level where it has changed noticeably
// or is due again.
func (q *Queue) sendLevel(now types.Time, r *rankQueue, f *flow) {
	change := int(f.level) - int(f.sentLevel)
	changed := max(change, -change)*minLevelChangeDivisor > int(f.sentLevel) || (f.level == LevelFull && f.sentLevel != LevelFull)
	refresh := f.sentLevel != LevelFull && now.Sub(f.levelSentAt) >= levelRefreshPeriod
	if !changed && !refresh {
		return
	}
	f.sentLevel = f.level
	f.levelSentAt = now
	q.effects = append(q.effects, Effect{Kind: EffectLevel, Level: newLevelNotice(r, f)})
}

// removeIdleFlows frees the flows that have been idle for long.
func (r *rankQueue) removeIdleFlows() {
	for i := range r.flows {
		f := &r.flows[i]
		if int32(i) == overflowFlowIndex || f.isFree || f.idlePeriods < flowExpiryPeriods || f.queuedCount > 0 || f.sentLevel != LevelFull {
			continue
		}
		f.isFree = true
		delete(r.flowByKey, f.key)
		r.freeFlows = append(r.freeFlows, int32(i))
	}
}
