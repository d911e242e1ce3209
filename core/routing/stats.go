package routing

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// statsInterval is the duration of the intervals over which samples are averaged
	// first.
	statsInterval = time.Second
	// intervalWeight is the weight of one interval. Old averages decay to one hundredth
	// within ten intervals.
	intervalWeight = 0.37
	// idleDecayDivisor sets the fraction, 1/idleDecayDivisor, by which the latency and
	// the failure rate decrease in an interval without samples.
	idleDecayDivisor = 10
	// statsLifetime is the time without samples after which the statistics are
	// discarded.
	statsLifetime = time.Minute
	// minRateSamples is the number of samples in the current interval from which its
	// success rate is used.
	minRateSamples = 3
	// minSuccessRate is the lower bound of the success rate. It keeps costs finite.
	minSuccessRate = 0.01
)

// EndpointStats tracks the latency and the success rate of an endpoint as seen by one
// frontend. Samples are averaged over an interval, and the averages of the intervals are
// smoothed. A higher latency takes effect without smoothing. The method is PeakEWMA with
// success rate (MOSN pull request 2274).
type EndpointStats struct {
	latency                   time.Duration
	failureRate               float64 // 1 - success rate
	intervalStart             types.Time
	latencySum                time.Duration
	successCount, sampleCount int
}

// Observe records the result of a request. The latency of a failed request is ignored.
func (s *EndpointStats) Observe(now types.Time, latency time.Duration, succeeded bool) {
	s.closeElapsedIntervals(now)
	s.sampleCount++
	if succeeded {
		s.successCount++
		s.latencySum += latency
	}
}

// closeElapsedIntervals closes the intervals that have ended.
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

// closeInterval adds the interval's samples to the averages. Without samples the latency
// and the failure rate decay, so that requests are sent to the endpoint again.
func (s *EndpointStats) closeInterval() {
	if s.sampleCount == 0 {
		s.latency -= s.latency / idleDecayDivisor
		s.failureRate -= s.failureRate / idleDecayDivisor
		return
	}
	intervalRate := 1 - float64(s.successCount)/float64(s.sampleCount)
	s.failureRate += (intervalRate - s.failureRate) * intervalWeight
	if s.successCount > 0 {
		mean := s.latencySum / time.Duration(s.successCount)
		smoothed := s.latency + time.Duration(float64(mean-s.latency)*intervalWeight)
		s.latency = max(mean, smoothed)
	}
	s.latencySum, s.successCount, s.sampleCount = 0, 0, 0
}

// Latency returns the smoothed latency; zero if unknown.
func (s *EndpointStats) Latency(now types.Time) time.Duration {
	s.closeElapsedIntervals(now)
	return s.latency
}

// SuccessRate returns the success rate, which is at least minSuccessRate. A lower rate
// in the current interval takes effect at once.
func (s *EndpointStats) SuccessRate(now types.Time) float64 {
	s.closeElapsedIntervals(now)
	failureRate := s.failureRate
	if s.sampleCount >= minRateSamples {
		failureRate = max(failureRate, 1-float64(s.successCount)/float64(s.sampleCount))
	}
	return max(1-failureRate, minSuccessRate)
}
