package routing

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// statsInterval is the time over which samples count as one.
	statsInterval = time.Second
	// intervalWeight makes an average decay to a hundredth within ten intervals.
	intervalWeight = 0.37
	// idleDecayDivisor is the part, 1/idleDecayDivisor, by which the latency and the failures
	// fall in an interval without samples.
	idleDecayDivisor = 10
	// statsLifetime is the time without samples after which nothing is known.
	statsLifetime = time.Minute
	// minRateSamples is the number of samples that make a rate.
	minRateSamples = 3
	// minSuccessRate bounds the success rate from below, so that costs stay finite.
	minSuccessRate = 0.01
)

// EndpointStats tracks the latency and the success rate of an endpoint as one entry
// host sees them. Samples are averaged over an interval first; the averages of
// intervals are then smoothed, except that a higher latency counts at once.
// The method is that of PeakEWMA with success rate, mosn pull request 2274.
type EndpointStats struct {
	latency                   time.Duration
	failureRate               float64 // 1 - success rate
	intervalStart             types.Time
	latencySum                time.Duration
	successCount, sampleCount int
}

// Observe records the answer to a request. The latency of failures does not count.
func (s *EndpointStats) Observe(now types.Time, latency time.Duration, ok bool) {
	s.closeElapsedIntervals(now)
	s.sampleCount++
	if ok {
		s.successCount++
		s.latencySum += latency
	}
}

// closeElapsedIntervals closes the intervals that are over.
func (s *EndpointStats) closeElapsedIntervals(now types.Time) {
	if now.Sub(s.intervalStart) >= statsLifetime {
		*s = EndpointStats{intervalStart: now}
		return
	}
	for now.Sub(s.intervalStart) >= statsInterval {
		s.closeInterval()
		s.intervalStart = s.intervalStart.Add(statsInterval)
	}
}

// closeInterval takes the interval's samples into the averages. Without
// samples both averages recover, so that the endpoint is tried again.
func (s *EndpointStats) closeInterval() {
	if s.sampleCount == 0 {
		s.latency -= s.latency / idleDecayDivisor
		s.failureRate -= s.failureRate / idleDecayDivisor
		return
	}
	failures := 1 - float64(s.successCount)/float64(s.sampleCount)
	s.failureRate += (failures - s.failureRate) * intervalWeight
	if s.successCount > 0 {
		mean := s.latencySum / time.Duration(s.successCount)
		smoothed := s.latency + time.Duration(float64(mean-s.latency)*intervalWeight)
		s.latency = max(mean, smoothed)
	}
	s.latencySum, s.successCount, s.sampleCount = 0, 0, 0
}

// Latency returns the smoothed latency; zero where nothing is known.
func (s *EndpointStats) Latency(now types.Time) time.Duration {
	s.closeElapsedIntervals(now)
	return s.latency
}

// SuccessRate returns the success rate, at least minSuccess. A lower rate in the
// current interval counts at once.
func (s *EndpointStats) SuccessRate(now types.Time) float64 {
	s.closeElapsedIntervals(now)
	failures := s.failureRate
	if s.sampleCount >= minRateSamples {
		failures = max(failures, 1-float64(s.successCount)/float64(s.sampleCount))
	}
	return max(1-failures, minSuccessRate)
}
