package routing

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// statsInterval is the time over which samples count as one.
	statsInterval = time.Second
	// statsWeight makes an average decay to a hundredth within ten intervals.
	statsWeight = 0.37
	// idleDecay is the part, 1/idleDecay, by which the latency and the failures
	// fall in an interval without samples.
	idleDecay = 10
	// forgetAfter is the time without samples after which nothing is known.
	forgetAfter = time.Minute
	// minSamples is the number of samples that make a rate.
	minSamples = 3
	// minSuccess bounds the success rate from below, so that costs stay finite.
	minSuccess = 0.01
)

// Stats tracks the latency and the success rate of an endpoint as one entry
// host sees them. Samples are averaged over an interval first; the averages of
// intervals are then smoothed, except that a higher latency counts at once.
// The method is that of PeakEWMA with success rate, mosn pull request 2274.
type Stats struct {
	latency  time.Duration
	failures float64 // 1 - success rate
	start    types.Time
	sum      time.Duration
	ok, all  int
}

// Observe records the answer to a request. The latency of failures does not count.
func (s *Stats) Observe(now types.Time, latency time.Duration, ok bool) {
	s.advance(now)
	s.all++
	if ok {
		s.ok++
		s.sum += latency
	}
}

// advance closes the intervals that are over.
func (s *Stats) advance(now types.Time) {
	if now.Sub(s.start) >= forgetAfter {
		*s = Stats{start: now}
		return
	}
	for now.Sub(s.start) >= statsInterval {
		s.closeInterval()
		s.start = s.start.Add(statsInterval)
	}
}

// closeInterval takes the interval's samples into the averages. Without
// samples both averages recover, so that the endpoint is tried again.
func (s *Stats) closeInterval() {
	if s.all == 0 {
		s.latency -= s.latency / idleDecay
		s.failures -= s.failures / idleDecay
		return
	}
	failures := 1 - float64(s.ok)/float64(s.all)
	s.failures += (failures - s.failures) * statsWeight
	if s.ok > 0 {
		mean := s.sum / time.Duration(s.ok)
		smoothed := s.latency + time.Duration(float64(mean-s.latency)*statsWeight)
		s.latency = max(mean, smoothed)
	}
	s.sum, s.ok, s.all = 0, 0, 0
}

// Latency returns the smoothed latency; zero where nothing is known.
func (s *Stats) Latency(now types.Time) time.Duration {
	s.advance(now)
	return s.latency
}

// Success returns the success rate, at least minSuccess. A lower rate in the
// current interval counts at once.
func (s *Stats) Success(now types.Time) float64 {
	s.advance(now)
	failures := s.failures
	if s.all >= minSamples {
		failures = max(failures, 1-float64(s.ok)/float64(s.all))
	}
	return max(1-failures, minSuccess)
}
