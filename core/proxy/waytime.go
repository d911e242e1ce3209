package proxy

import "time"

const (
	// wayTimeSamples sets the weight, 1/wayTimeSamples, of a new sample.
	wayTimeSamples = 16
	// wayTimeDeviations mean deviations above the mean are reserved for the way.
	wayTimeDeviations = 2
)

// wayTime is the observed time from the sending of a statement to its result, without the time in
// the queue and at the endpoint. It includes the time that busy hosts need for the messages.
type wayTime struct {
	// mean is zero if nothing has been measured yet. deviation is the mean absolute deviation.
	mean, deviation time.Duration
}

func (w *wayTime) record(d time.Duration) {
	d = max(d, 0)
	if w.mean == 0 {
		w.mean, w.deviation = d, d/2
		return
	}
	w.deviation += ((d - w.mean).Abs() - w.deviation) / wayTimeSamples
	w.mean += (d - w.mean) / wayTimeSamples
}

// usualLimit returns the time that few statements exceed; zero if nothing has been measured yet.
func (w *wayTime) usualLimit() time.Duration { return w.mean + wayTimeDeviations*w.deviation }
