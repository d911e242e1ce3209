package admission

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// controlPeriod is the time between two adjustments of levels and slots.
	controlPeriod = 100 * time.Millisecond
	// levelRefresh is the time after which a level in force is told again.
	levelRefresh = time.Second
	// levelStep is the smallest relative change of a level, in 1/levelStep, that
	// is told at once.
	levelStep = 8
	// levelHeadroom is the load that entries forward relative to what the
	// endpoint is expected to serve, so that its queue does not run empty.
	levelHeadroom = 1.25
	// periodWeight is the weight of averages over control periods.
	periodWeight = 0.25
	// idlePeriods is the number of control periods after which an idle flow is
	// forgotten.
	idlePeriods = 100
)

// minLevel is the lowest level; some requests must pass for the offered load to be known.
const minLevel Level = 1

// control runs once in each control period.
func (q *Queue) control(now types.Time) {
	elapsed := now.Sub(q.nextTick) + controlPeriod
	q.nextTick = now.Add(controlPeriod)
	q.dropLate(now)
	q.adaptSlots()
	rest := 1.0
	for i := range q.ranks {
		rest = q.updateUse(&q.ranks[i], elapsed, rest)
	}
	for i := range q.ranks {
		q.ranks[i].relaxEstimate()
		q.updateLevels(now, int32(i), elapsed)
		q.ranks[i].endPeriod()
	}
}

// endPeriod starts the counts of the next control period.
func (r *rankQueue) endPeriod() {
	r.refused, r.finished = 0, 0
	r.held, r.answered = 0, 0
}

// dropLate refuses queued requests that can no longer be served in time.
func (q *Queue) dropLate(now types.Time) {
	for i := range q.items {
		it := &q.items[i]
		if it.id == 0 || it.started {
			continue
		}
		if it.write && q.holdWrites {
			if it.deadline != 0 && now.After(it.deadline) {
				q.dropQueued(int32(i), types.ReasonLate)
			}
			continue
		}
		if !q.inTime(now, it, 0) {
			q.dropQueued(int32(i), types.ReasonLate)
		}
	}
}

// updateUse averages the share of slot time that more urgent ranks leave to
// the rank, and returns what the rank in turn has left in this period.
func (q *Queue) updateUse(r *rankQueue, elapsed time.Duration, rest float64) float64 {
	r.rest += (rest - r.rest) * r.weight(elapsed)
	used := float64(r.held) / (float64(elapsed) * float64(q.slots))
	return rest - used
}

// weight returns the weight of a period in the rank's averages, which reach over
// about half of its target: the time ahead that counts for its requests.
func (r *rankQueue) weight(elapsed time.Duration) float64 {
	return min(2*float64(elapsed)/float64(r.spec.Target), periodWeight)
}

// relaxEstimate lowers the service estimate of a rank whose requests were all
// refused, so that one is tried and the estimate can follow the endpoint again.
func (r *rankQueue) relaxEstimate() {
	if r.refused > 0 && r.finished == 0 && r.running == 0 {
		r.service.decay()
	}
}

// updateLevels computes the admission level of each flow of a rank: the
// max-min fair share of the rank's capacity, relative to what the flow offers.
func (q *Queue) updateLevels(now types.Time, rank int32, elapsed time.Duration) {
	r := &q.ranks[rank]
	total := r.measureOffered(elapsed)
	share := total
	if r.service.mean > 0 {
		slotTime := float64(controlPeriod) * float64(q.slots) * q.share(rank)
		capacity := levelHeadroom * slotTime / float64(r.service.mean)
		if total > capacity && (r.refused > 0 || r.depth > 0) {
			share = r.fairShare(capacity)
		}
	}
	for i := range r.flows {
		f := &r.flows[i]
		f.level = LevelFull
		if f.offered > share {
			f.level = max(minLevel, Level(float64(LevelFull)*share/f.offered))
		}
		q.tell(now, r, f)
	}
	r.forgetIdle()
}

// measureOffered updates each flow's offered load and returns their sum.
func (r *rankQueue) measureOffered(elapsed time.Duration) float64 {
	periods := float64(elapsed) / float64(controlPeriod)
	weight := r.weight(elapsed)
	total := 0.0
	for i := range r.flows {
		f := &r.flows[i]
		offered := float64(f.arrivals) / periods * float64(LevelFull) / float64(f.told)
		f.offered += (offered - f.offered) * weight
		f.idle++
		if f.arrivals > 0 {
			f.idle = 0
		}
		f.arrivals = 0
		total += f.offered
	}
	return total
}

// fairShare returns the largest load that each flow may have so that together
// they stay within capacity.
func (r *rankQueue) fairShare(capacity float64) float64 {
	share := capacity / float64(len(r.flows))
	for {
		rest, above := capacity, 0
		for i := range r.flows {
			if r.flows[i].offered <= share {
				rest -= r.flows[i].offered
			} else {
				above++
			}
		}
		if above == 0 {
			return share
		}
		next := rest / float64(above)
		if next <= share {
			return share
		}
		share = next
	}
}

// tell notifies the entries of a flow's level where it has changed noticeably
// or is due again.
func (q *Queue) tell(now types.Time, r *rankQueue, f *flow) {
	change := int(f.level) - int(f.told)
	changed := max(change, -change)*levelStep > int(f.told) || (f.level == LevelFull && f.told != LevelFull)
	refresh := f.told != LevelFull && now.Sub(f.toldAt) >= levelRefresh
	if !changed && !refresh {
		return
	}
	f.told = f.level
	f.toldAt = now
	q.effects = append(q.effects, Effect{Kind: EffectLevel, Level: notice(r, f)})
}

// forgetIdle frees the flows that have been idle for long.
func (r *rankQueue) forgetIdle() {
	for i := range r.flows {
		f := &r.flows[i]
		if int32(i) == overflowFlow || f.unused || f.idle < idlePeriods || f.length > 0 || f.told != LevelFull {
			continue
		}
		f.unused = true
		delete(r.byKey, f.key)
		r.unused = append(r.unused, int32(i))
	}
}
