package admission

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

// slowness returns the highest ratio of current to usual service time over the
// ranks that were served in this control period.
func (q *Queue) slowness() float64 {
	ratio := 1.0
	for i := range q.ranks {
		r := &q.ranks[i]
		if r.held > 0 && r.service.baseline > 0 {
			ratio = max(ratio, float64(r.service.mean)/float64(r.service.baseline))
		}
	}
	return ratio
}

// setSlots changes the number of usable slots.
func (q *Queue) setSlots(n int) {
	if n == q.slots {
		return
	}
	q.slots = n
	q.effects = append(q.effects, Effect{Kind: EffectSlots, Slots: n})
}
