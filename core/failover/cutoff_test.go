package failover_test

import (
	"testing"
	"time"
)

// TestOwnerAloneCutOffFromItsPrimaryReplacesIt blocks the way between a primary
// and its owner while all other ways stay open.
func TestOwnerAloneCutOffFromItsPrimaryReplacesIt(t *testing.T) {
	for seed := range uint64(8) {
		w := newWorld(seed)
		w.run(faultAt)
		h := w.primaryHost()
		old := h.m.View().Primary
		w.block(string(h.id), string(old), time.Minute)
		w.block(string(old), string(h.id), time.Minute)
		w.run(faultAt + maxUnplannedGap)
		now := w.primaryHost()
		if now == nil || now.m.View().Primary == old {
			t.Errorf("seed %d: primary %q still stands %v after its owner lost it", seed, old, maxUnplannedGap)
		}
	}
}
