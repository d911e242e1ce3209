package admission

import "time"

// An endpoint whose service times exceed slowRatio times the usual loses a
// slot in each control period; it gets one back below recoveredRatio.
const (
	slowRatio      = 2.0
	recoveredRatio = 1.5
	// minSlots is the number of slots that an endpoint always keeps.
	minSlots = 1
)

// adaptSlots lowers the slots of a slow endpoint and raises them again.
func (q *Queue) adaptSlots() {
	ratio := q.slowdownRatio()
	switch {
	case ratio > slowRatio:
		q.setSlots(max(q.slots-1, minSlots))
	case ratio < recoveredRatio:
		q.setSlots(min(q.slots+1, q.cfg.Slots))
	}
}

// slowdownRatio returns the ratio of measured to usual slot time, averaged over
// control periods.
func (q *Queue) slowdownRatio() float64 {
	q.measuredSlotTime *= 1 - periodAverageWeight
	q.baselineSlotTime *= 1 - periodAverageWeight
	for i := range q.ranks {
		r := &q.ranks[i]
		q.measuredSlotTime += float64(r.answeredSlotTime)
		q.baselineSlotTime += float64(time.Duration(r.answeredCount) * r.serviceTime.baseline)
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
