package admission

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// controlPeriod is the time between two updates of levels and slots.
	controlPeriod = 100 * time.Millisecond
	// levelRefreshInterval is the time after which a level below LevelFull is sent again.
	levelRefreshInterval = time.Second
	// minLevelChangeDivisor sets the smallest relative change of a level,
	// 1/minLevelChangeDivisor, that is sent at once.
	minLevelChangeDivisor = 8
	// levelHeadroomFactor is the load that frontends forward relative to the expected
	// capacity of the rank. It is above 1 so that the queue does not run empty.
	levelHeadroomFactor = 1.25
	// periodAverageWeight is the weight of one control period in moving averages.
	periodAverageWeight = 0.25
	// flowExpiryPeriods is the number of control periods after which an idle flow is
	// removed.
	flowExpiryPeriods = 100
)

// minLevel is the lowest admission level. It is above zero because the offered load is
// measured by the requests that frontends forward.
const minLevel Level = 1

// runControlPeriod updates averages, slots and levels once per control period.
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

// resetPeriodCounts clears the counts for the next control period.
func (r *rankQueue) resetPeriodCounts() {
	r.refusedCount, r.completedCount = 0, 0
	r.usedSlotTime, r.completedSlotTime = 0, 0
}

// refuseLateRequests refuses queued requests that can no longer end in time.
func (q *Queue) refuseLateRequests(now types.Time) {
	for i := range q.items {
		it := &q.items[i]
		if it.id == 0 || it.started {
			continue
		}
		if it.write && q.writesHeld {
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

// updateAvailableShare updates the moving average of the share of slot time that more
// urgent ranks leave to the rank. It returns the share that the rank leaves to less
// urgent ones in this period.
func (q *Queue) updateAvailableShare(r *rankQueue, elapsed time.Duration, available float64) float64 {
	r.availableShare += (available - r.availableShare) * r.averageWeight(elapsed)
	used := float64(r.usedSlotTime) / (float64(elapsed) * float64(q.slots))
	return available - used
}

// averageWeight returns the weight of a period in the rank's moving averages. They span
// about half of the rank's target, which is the time scale that matters to its requests.
func (r *rankQueue) averageWeight(elapsed time.Duration) float64 {
	return min(2*float64(elapsed)/float64(r.spec.Target), periodAverageWeight)
}

// lowerServiceEstimate lowers the service time estimate of a rank whose requests were
// all refused. Eventually one request is admitted as a probe, and the estimate follows
// the endpoint again.
func (r *rankQueue) lowerServiceEstimate() {
	if r.refusedCount > 0 && r.completedCount == 0 && r.runningCount == 0 {
		r.serviceTime.decay()
	}
}

// updateLevels computes the admission level of each flow of a rank: the max-min fair
// share of the rank's capacity, relative to the load that the flow offers.
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

// updateOfferedLoad updates the offered load of each flow and returns their sum.
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

// maxMinFairShare returns the largest load per flow for which the sum over all flows
// stays within capacity. Flows that offer less leave the remainder to the others.
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

// sendLevel emits an effect with the flow's level if it has changed noticeably or its
// refresh is due.
func (q *Queue) sendLevel(now types.Time, r *rankQueue, f *flow) {
	change := int(f.level) - int(f.sentLevel)
	changed := max(change, -change)*minLevelChangeDivisor > int(f.sentLevel) || (f.level == LevelFull && f.sentLevel != LevelFull)
	refresh := f.sentLevel != LevelFull && now.Sub(f.levelSentAt) >= levelRefreshInterval
	if !changed && !refresh {
		return
	}
	f.sentLevel = f.level
	f.levelSentAt = now
	q.effects = append(q.effects, Effect{Kind: EffectLevel, Level: newLevelNotice(r, f)})
}

// removeIdleFlows frees the flows that have been idle for flowExpiryPeriods.
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
