package admission

import "time"

// The moving averages give each sample the weight 1/serviceAverageSamples or
// 1/baselineAverageSamples.
const (
	serviceAverageSamples  = 32
	baselineAverageSamples = 4096
	// decayDivisor sets the fraction, 1/decayDivisor, by which decay lowers the
	// estimate.
	decayDivisor = 64
)

// deviationFactor is the number of mean deviations above the mean that a service time is
// assumed not to exceed. Nearly all samples of an exponential distribution are below it.
const deviationFactor = 6

// serviceEstimate estimates how long requests hold a slot.
type serviceEstimate struct {
	mean      time.Duration
	deviation time.Duration
	// baseline is the long-term mean, which stands for the usual speed of the endpoint.
	baseline time.Duration
	samples  int
}

// newServiceEstimate returns an estimate that starts from a configured service time.
// Zero means unknown.
func newServiceEstimate(initial time.Duration) serviceEstimate {
	s := serviceEstimate{mean: initial, deviation: initial / 2, baseline: initial}
	if initial > 0 {
		s.samples = serviceAverageSamples
	}
	return s
}

// addSample adds one measured service time. The first samples are averaged with equal
// weights, so that none of them outweighs later samples.
func (s *serviceEstimate) addSample(d time.Duration) {
	s.samples++
	window := time.Duration(min(s.samples, serviceAverageSamples))
	diff := d - s.mean
	s.mean += diff / window
	s.deviation += (diff.Abs() - s.deviation) / window
	window = time.Duration(min(s.samples, baselineAverageSamples))
	s.baseline += (d - s.baseline) / window
}

// decay lowers the estimate by 1/decayDivisor.
func (s *serviceEstimate) decay() {
	s.mean -= s.mean / decayDivisor
	s.deviation -= s.deviation / decayDivisor
}

// maxReservedPercent bounds the time reserved for service, as a percentage of the
// target.
const maxReservedPercent = 75

// reservedTime returns the time to reserve for the service of a request with the given
// target. It is at most maxReservedPercent of the target, or the mean if that is longer,
// so that a target too short for the endpoint does not cause all requests to be refused.
func (s *serviceEstimate) reservedTime(target time.Duration) time.Duration {
	return min(s.mean+deviationFactor*s.deviation, max(s.mean, target*maxReservedPercent/hundredPercent))
}
