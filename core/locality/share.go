package locality

import (
	"time"

	"baobabfield.example/core/types"
)

// DefaultPrice is the price of a read that is served in another data centre, as waiting time.
// Traffic between data centres is the most expensive part of a request.
const DefaultPrice = 70 * time.Millisecond

const (
	// adjustServiceTimes is the time, in service times, in which the share rises from nothing to
	// all of the load while leaving saves at least the price. Replies report the load with a delay
	// of about one service time and the time between two reads; a faster rise makes the frontends
	// of a data centre leave together before the first of them sees the effect.
	adjustServiceTimes = 20
	minAdjustTime      = 100 * time.Millisecond
	maxAdjustTime      = 8 * time.Second
	// maxStepPercent bounds the change of the share between two reads, in percent.
	maxStepPercent = 20
	// keepPercent is the part of the price down to which reads that leave keep leaving.
	keepPercent = 50
	// maxShare keeps some reads in the own data centre, so that its recovery is noticed.
	maxShare = 0.95
)

// Share is the part of a route's reads that one frontend sends to other data centres. Its zero
// value sends none.
type Share struct {
	value float64
	// credit is the sum of the shares of the reads so far, less those that left.
	credit    float64
	updatedAt types.Time
}

// Value returns the current share, from 0 to 1.
func (s *Share) Value() float64 { return s.value }

// Seed sets the phase of the share, from 0 to 1, so that frontends do not leave with the same
// read.
func (s *Share) Seed(phase float64) { s.credit = phase }

// Leave decides whether a read leaves the data centre. home and away are the costs of the best
// endpoints here and elsewhere; away includes the price of the link. service is the estimated
// service time.
func (s *Share) Leave(now types.Time, home, away, price, service time.Duration) bool {
	s.adjust(now, home-away, price, service)
	if s.value == 0 {
		return false
	}
	s.credit += s.value
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// adjust moves the share towards the cheaper side. gain is what leaving saves beyond the price.
func (s *Share) adjust(now types.Time, gain, price, service time.Duration) {
	full := max(minAdjustTime, min(adjustServiceTimes*service, maxAdjustTime))
	step := min(float64(now.Sub(s.updatedAt))/float64(full), maxStepPercent/100.0)
	s.updatedAt = now
	keep := price * keepPercent / 100
	scale := float64(max(price, time.Millisecond))
	switch {
	case gain > 0:
		s.value = min(maxShare, s.value+step*min(1, float64(gain)/scale))
	case gain < -keep:
		s.value = max(0, s.value-step*min(1, float64(-gain-keep)/scale))
	}
}
