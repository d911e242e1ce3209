package failover_test

import (
	"testing"
	"time"
)

// TestOwnerReplacesPrimaryThatOnlyItCannotReach blocks the way between a primary
// and its owner while all other ways stay open.
func TestOwnerReplacesPrimaryThatOnlyItCannotReach(t *testing.T) {
	for seed := range uint64(8) {
		sim := newSimulation(seed)
		sim.runUntil(faultTime)
		h := sim.primaryHost()
		old := h.machine.View().Primary
		sim.blockLink(string(h.id), string(old), time.Minute)
		sim.blockLink(string(old), string(h.id), time.Minute)
		sim.runUntil(faultTime + maxUnplannedGap)
		current := sim.primaryHost()
		if current == nil || current.machine.View().Primary == old {
			t.Errorf("seed %d: primary %q still stands %v after its owner lost it", seed, old, maxUnplannedGap)
		}
	}
}
