package admission

import "time"

// Weights of the moving averages: each sample counts for one part in these.
const (
	serviceWeight  = 32
	baselineWeight = 4096
)

// deviations is the number of mean deviations above the mean that a service
// time is assumed to stay below; nearly all samples of an exponential
// distribution do.
const deviations = 6

// serviceEstimate tracks for how long requests hold a slot.
type serviceEstimate struct {
	mean      time.Duration
	deviation time.Duration
	// baseline is the mean while the endpoint serves at its usual speed.
	baseline time.Duration
	samples  int
}

// add takes in one measured service time.
func (s *serviceEstimate) add(d time.Duration) {
	s.samples++
	if s.samples == 1 && s.mean == 0 {
		s.mean, s.deviation, s.baseline = d, d/2, d
		return
	}
	diff := d - s.mean
	s.mean += diff / serviceWeight
	s.deviation += (diff.Abs() - s.deviation) / serviceWeight
	switch {
	case s.samples < serviceWeight || s.mean < s.baseline:
		s.baseline += (s.mean - s.baseline) / serviceWeight
	default:
		s.baseline += (s.mean - s.baseline) / baselineWeight
	}
}

// need returns the time to leave for the service of a request whose target is
// given. A target too short for the endpoint is not held against the request
// beyond half of the target, or the mean where that is longer.
func (s *serviceEstimate) need(target time.Duration) time.Duration {
	return min(s.mean+deviations*s.deviation, max(s.mean, target/2))
}
