package admission

import "time"

// The number of slots decreases by one per control period while service times exceed
// slowRatio times the baseline. It increases by one per control period, up to the
// configured number, while they are below recoveredRatio times the baseline.
const (
	slowRatio      = 2.0
	recoveredRatio = 1.5
	// minSlots is the number of slots that an endpoint keeps even if it is slow.
	minSlots = 1
)

// adaptSlots lowers the number of slots of a slow endpoint and raises it after recovery.
func (q *Queue) adaptSlots() {
	ratio := q.slowdownRatio()
	switch {
	case ratio > slowRatio:
		q.setSlots(max(q.slots-1, minSlots))
	case ratio < recoveredRatio:
		q.setSlots(min(q.slots+1, q.cfg.Slots))
	}
}

// slowdownRatio returns the ratio of measured to baseline slot time, averaged over
// control periods.
func (q *Queue) slowdownRatio() float64 {
	q.measuredSlotTime *= 1 - periodAverageWeight
	q.baselineSlotTime *= 1 - periodAverageWeight
	for i := range q.ranks {
		r := &q.ranks[i]
		q.measuredSlotTime += float64(r.completedSlotTime)
		q.baselineSlotTime += float64(time.Duration(r.completedCount) * r.serviceTime.baseline)
	}
	if q.baselineSlotTime == 0 {
		return 1
	}
	return q.measuredSlotTime / q.baselineSlotTime
}

// setSlots changes the number of usable slots.
func (q *Queue) setSlots(n int) {
	if n == q.slots {
		return
	}
	q.slots = n
	q.effects = append(q.effects, Effect{Kind: EffectSlots, Slots: n})
}
