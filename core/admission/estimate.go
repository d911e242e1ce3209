package admission

import "time"

// Weights of the moving averages: each sample counts for one part in these.
const (
	serviceAverageSamples  = 32
	baselineAverageSamples = 4096
	decayDivisor           = 64
)

// deviationFactor is the number of mean deviationFactor above the mean that a service
// time is assumed to stay below; nearly all samples of an exponential
// distribution do.
const deviationFactor = 6

// serviceEstimate tracks for how long requests hold a slot.
type serviceEstimate struct {
	mean      time.Duration
	deviation time.Duration
	// baseline is the long-term mean, of when the endpoint serves as usual.
	baseline time.Duration
	samples  int
}

// newServiceEstimate starts from a stated service time; a zero one is unknown.
func newServiceEstimate(initial time.Duration) serviceEstimate {
	s := serviceEstimate{mean: initial, deviation: initial / 2, baseline: initial}
	if initial > 0 {
		s.samples = serviceAverageSamples
	}
	return s
}

// addSample takes in one measured service time. The first samples count as in an
// arithmetic mean, so that none of them weighs more than the later ones.
func (s *serviceEstimate) addSample(d time.Duration) {
	s.samples++
	weight := time.Duration(min(s.samples, serviceAverageSamples))
	diff := d - s.mean
	s.mean += diff / weight
	s.deviation += (diff.Abs() - s.deviation) / weight
	weight = time.Duration(min(s.samples, baselineAverageSamples))
	s.baseline += (d - s.baseline) / weight
}

// decay lowers the estimate by one part in decayWeight.
func (s *serviceEstimate) decay() {
	s.mean -= s.mean / decayDivisor
	s.deviation -= s.deviation / decayDivisor
}

// maxReservedPercent bounds, in percent of the target, the time to leave for a service.
const maxReservedPercent = 75

// reservedTime returns the time to leave for the service of a request whose target is
// given. A target too short for the endpoint is held against the request only
// up to maxNeed, or the mean where that is longer.
func (s *serviceEstimate) reservedTime(target time.Duration) time.Duration {
	return min(s.mean+deviationFactor*s.deviation, max(s.mean, target*maxReservedPercent/hundredPercent))
}
