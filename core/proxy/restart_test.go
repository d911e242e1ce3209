package proxy_test

import (
	"fmt"
	"testing"
	"time"

	"baobabfield.example/core/types"
)

// With a fast platform, a campaign that proceeds too early is more likely to violate a
// guarantee.
const (
	fastStoreDelay  = 50 * time.Millisecond
	fastPromoteTime = 100 * time.Millisecond
)

// A primary that crashes and restarts while its successor is being chosen must not be used
// alongside it, even if the store is slow to grant the token.
func TestNoTwoPrimariesAfterRestartDuringCampaign(t *testing.T) {
	for delay := 15 * time.Millisecond; delay <= 600*time.Millisecond; delay += 30 * time.Millisecond {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			sim := newSimulation(t, 31, 2)
			openAll(sim)
			sim.runFor(2 * time.Second)
			sim.store.delay, sim.promoteTime = fastStoreDelay, fastPromoteTime
			sim.watchesSilent = true // hosts do not learn the new start time at once
			sim.endpoints["e-a"].crash()
			sim.runFor(delay)
			sim.endpoints["e-a"].restart()
			sim.runFor(4 * time.Second)
			sim.reportViolations()
			if sim.now.Sub(sim.callers.lastWrite) > time.Second {
				t.Errorf("no write was acknowledged for %v", sim.now.Sub(sim.callers.lastWrite))
			}
		})
	}
}

// A host does not notice the crash of the primary while its link to it is cut. It must not
// apply old confirmations of the replicas to a new connection to the restarted primary.
func TestHostThatMissedCrashDoesNotUseOldConfirmations(t *testing.T) {
	for delay := 50 * time.Millisecond; delay <= 700*time.Millisecond; delay += 50 * time.Millisecond {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			sim := newSimulation(t, 32, 2)
			openAll(sim)
			sim.runFor(time.Second)
			// Each of the two hosts of the primary's data centre owns the primary.
			const isolatedHost = types.Host("h-a0")
			for _, h := range sim.sortedHosts() {
				if h.id != isolatedHost {
					sim.cuts[[2]string{string(isolatedHost), string(h.id)}] = true
				}
			}
			sim.runFor(3 * time.Second)
			sim.promoteTime, sim.watchesSilent = fastPromoteTime, true
			sim.cuts[[2]string{string(isolatedHost), "e-a"}] = true
			sim.runFor(40 * time.Millisecond)
			sim.endpoints["e-a"].crash()
			sim.runFor(delay)
			sim.endpoints["e-a"].restart()
			delete(sim.cuts, [2]string{string(isolatedHost), "e-a"})
			sim.runFor(4 * time.Second)
			sim.reportViolations()
		})
	}
}

// In an isolated data centre that still reaches the store, a refused connection does not prove
// that an endpoint elsewhere is down. The majority of the endpoints still confirms the
// primary, so that it must not be replaced.
func TestRefusedConnectionsDuringPartitionKeepPrimary(t *testing.T) {
	sim := newSimulation(t, 33, 2)
	openAll(sim)
	sim.runFor(time.Second)
	sim.cutsRefuse = true
	sim.cutDataCentre("b", true)
	sim.runFor(6 * time.Second)
	sim.reportViolations()
	if sim.now.Sub(sim.callers.lastWrite) > time.Second {
		t.Errorf("no write was acknowledged for %v", sim.now.Sub(sim.callers.lastWrite))
	}
	sim.cutDataCentre("b", false)
	sim.runFor(3 * time.Second)
	sim.reportViolations()
	if !sim.endpoints["e-a"].primary {
		t.Error("the primary was replaced")
	}
}
