package failover_test

import (
	"testing"
	"time"
)

// TestOwnerReplacesPrimaryThatOnlyItCannotReach guards against a lasting loss of
// writes when the link between the primary and its owner fails. The other owners still
// reach the primary, so there is no majority that suspects it.
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
			t.Errorf("seed %d: primary %q is not replaced %v after the link to its owner failed", seed, old, maxUnplannedGap)
		}
	}
}
