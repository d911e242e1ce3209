package admission

import "time"

// Weights of the moving averages: each sample counts for one part in these.
const (
	serviceWeight  = 32
	baselineWeight = 4096
	decayWeight    = 64
)

// deviations is the number of mean deviations above the mean that a service
// time is assumed to stay below; nearly all samples of an exponential
// distribution do.
const deviations = 6

// serviceEstimate tracks for how long requests hold a slot.
type serviceEstimate struct {
	mean      time.Duration
	deviation time.Duration
	// baseline is the long-term mean, of when the endpoint serves as usual.
	baseline time.Duration
	samples  int
}

// newServiceEstimate starts from a stated service time; a zero one is unknown.
func newServiceEstimate(stated time.Duration) serviceEstimate {
	s := serviceEstimate{mean: stated, deviation: stated / 2, baseline: stated}
	if stated > 0 {
		s.samples = serviceWeight
	}
	return s
}

// add takes in one measured service time. The first samples count as in an
// arithmetic mean, so that none of them weighs more than the later ones.
func (s *serviceEstimate) add(d time.Duration) {
	s.samples++
	weight := time.Duration(min(s.samples, serviceWeight))
	diff := d - s.mean
	s.mean += diff / weight
	s.deviation += (diff.Abs() - s.deviation) / weight
	weight = time.Duration(min(s.samples, baselineWeight))
	s.baseline += (d - s.baseline) / weight
}

// decay lowers the estimate by one part in decayWeight.
func (s *serviceEstimate) decay() {
	s.mean -= s.mean / decayWeight
	s.deviation -= s.deviation / decayWeight
}

// maxNeed bounds, in percent of the target, the time to leave for a service.
const maxNeed = 75

// need returns the time to leave for the service of a request whose target is
// given. A target too short for the endpoint is held against the request only
// up to maxNeed, or the mean where that is longer.
func (s *serviceEstimate) need(target time.Duration) time.Duration {
	return min(s.mean+deviations*s.deviation, max(s.mean, target*maxNeed/percent))
}
