// Package freshness determines the log position that a replica must have reached to
// serve a read with bounded staleness. Its inputs are positions of the primary with the
// times at which they were current. Staleness is the time since a commit was
// acknowledged at the primary that the replica does not hold yet.
package freshness

import (
	"time"

	"baobabfield.example/core/types"
)

// maxSamples bounds the history. At one sample per 200 ms it covers about 12 s.
const maxSamples = 64

// sample is the primary's newest position at a time not earlier than at.
type sample struct {
	at    types.Time
	point types.LogPoint
}

// History holds the newest positions of the primary, with their times.
type History struct{ samples []sample }

// Add records that the primary's newest position was point at a time not earlier than
// at. Samples that are not newer than the last one are ignored.
func (h *History) Add(at types.Time, point types.LogPoint) {
	if n := len(h.samples); n > 0 && !h.samples[n-1].at.Before(at) {
		return
	}
	if len(h.samples) == maxSamples {
		copy(h.samples, h.samples[1:])
		h.samples = h.samples[:maxSamples-1]
	}
	h.samples = append(h.samples, sample{at: at, point: point})
}

// RequiredPosition returns the smallest known position that covers every commit
// acknowledged more than maxStaleness before now. It returns false if no sample is
// recent enough.
func (h *History) RequiredPosition(now types.Time, maxStaleness time.Duration) (types.LogPoint, bool) {
	oldest := now.Add(-maxStaleness)
	for _, s := range h.samples {
		if !s.at.Before(oldest) {
			return s.point, true
		}
	}
	return types.LogPoint{}, false
}

// SinceNewest returns the time since the newest sample; false if there is none.
func (h *History) SinceNewest(now types.Time) (time.Duration, bool) {
	if len(h.samples) == 0 {
		return 0, false
	}
	return now.Sub(h.samples[len(h.samples)-1].at), true
}

// Reset removes all samples, for example after a change of the primary.
func (h *History) Reset() { h.samples = h.samples[:0] }
