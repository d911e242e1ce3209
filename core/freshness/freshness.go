// Package freshness decides which log position a replica must hold for a read
// that accepts data of a certain age.
package freshness

import (
	"time"

	"baobabfield.example/core/types"
)

// maxSamples bounds the history; at one sample every 200 ms it covers 12 s.
const maxSamples = 64

// sample is a position that was the primary's newest at a moment not before at.
type sample struct {
	at    types.Time
	point types.LogPoint
}

// History holds the primary's newest positions at known moments.
type History struct{ samples []sample }

// Add records that the primary's newest position was point at a moment not
// before at.
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

// RequiredPosition returns the weakest position that covers every commit acknowledged
// more than maxAge before now; false where no sample is young enough.
func (h *History) RequiredPosition(now types.Time, maxStaleness time.Duration) (types.LogPoint, bool) {
	oldest := now.Add(-maxStaleness)
	for _, s := range h.samples {
		if !s.at.Before(oldest) {
			return s.point, true
		}
	}
	return types.LogPoint{}, false
}

// SinceNewest returns the time since the newest sample; false where there is none.
func (h *History) SinceNewest(now types.Time) (time.Duration, bool) {
	if len(h.samples) == 0 {
		return 0, false
	}
	return now.Sub(h.samples[len(h.samples)-1].at), true
}

// Reset forgets the history, for instance after a change of the primary.
func (h *History) Reset() { h.samples = h.samples[:0] }
