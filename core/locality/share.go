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
	// all of the load while leaving saves as much as the price in addition to it. A read that is
	// likely to miss its objective saves more, up to maxSpeed times as much, and the share changes
	// in proportion: without that, 0.8 % more reads miss their objective in a flood seen by 33
	// frontends. minAdjustTime and maxAdjustTime bound the time.
	adjustServiceTimes = 7
	minAdjustTime      = 20 * time.Millisecond
	maxAdjustTime      = 8 * time.Second
	maxSpeed           = 8
	// fallFactor is the speed of the fall in relation to that of the rise. Costs vary by chance in
	// both directions, and a share that falls faster stays near zero then.
	fallFactor = 2
	// maxStep bounds the change of the share between two reads at normal speed.
	maxStep = 0.1
	// keepPercent is the part of the price down to which reads that leave keep leaving.
	keepPercent = 30
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

// NewShare returns a share of zero. The phase, from 0 to 1, must differ between frontends, so that
// they do not leave with the same read.
func NewShare(phase float64) Share { return Share{credit: phase} }

// Value returns the current share, from 0 to 1.
func (s *Share) Value() float64 { return s.value }

// leave decides whether a read leaves the data centre. gain is what leaving saves beyond the price
// of the link. service is the estimated service time.
func (s *Share) leave(now types.Time, gain, price, service time.Duration) bool {
	s.adjust(now, gain, price, service)
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

// adjust moves the share towards the cheaper side. Between the price and keepPercent of it, the
// share stays as it is.
func (s *Share) adjust(now types.Time, gain, price, service time.Duration) {
	full := max(minAdjustTime, min(adjustServiceTimes*service, maxAdjustTime))
	step := min(float64(now.Sub(s.updatedAt))/float64(full), maxStep)
	s.updatedAt = now
	unit := float64(max(price, time.Millisecond))
	keep := price * keepPercent / 100
	switch {
	case gain > 0:
		s.value = min(maxShare, s.value+step*min(maxSpeed, float64(gain)/unit))
	case gain < -keep:
		s.value = max(0, s.value-step*fallFactor*min(maxSpeed, float64(-gain-keep)/unit))
	}
}
