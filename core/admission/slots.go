package admission

import "time"

// An endpoint whose service times exceed slowFactor times the usual loses a
// slot in each control period; it gets one back below normalFactor.
const (
	slowFactor   = 2.0
	normalFactor = 1.5
	// minSlots is the number of slots that an endpoint always keeps.
	minSlots = 1
)

// adaptSlots lowers the slots of a slow endpoint and raises them again.
func (q *Queue) adaptSlots() {
	ratio := q.slowness()
	switch {
	case ratio > slowFactor:
		q.setSlots(max(q.slots-1, minSlots))
	case ratio < normalFactor:
		q.setSlots(min(q.slots+1, q.cfg.Slots))
	}
}

// slowness returns the ratio of measured to usual slot time, averaged over
// control periods.
func (q *Queue) slowness() float64 {
	q.measured *= 1 - periodWeight
	q.usual *= 1 - periodWeight
	for i := range q.ranks {
		r := &q.ranks[i]
		q.measured += float64(r.answered)
		q.usual += float64(time.Duration(r.finished) * r.service.baseline)
	}
	if q.usual == 0 {
		return 1
	}
	return q.measured / q.usual
}

// setSlots changes the number of usable slots.
func (q *Queue) setSlots(n int) {
	if n == q.slots {
		return
	}
	q.slots = n
	q.effects = append(q.effects, Effect{Kind: EffectSlots, Slots: n})
}
