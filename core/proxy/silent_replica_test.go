package proxy_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/types"
)

// cutEndpoint breaks the links between all hosts and an endpoint, or restores them.
func (sim *simulation) cutEndpoint(e types.Endpoint, on bool) {
	for _, h := range sim.sortedHosts() {
		sim.cuts[[2]string{string(h.id), string(e)}] = on
	}
}

// expectNoLostWrite fails the test for each write that was acknowledged and then lost.
func (sim *simulation) expectNoLostWrite() {
	sim.t.Helper()
	for _, write := range sim.callers.acked {
		if write.lost {
			sim.t.Errorf("write %s was acknowledged and then lost", write.id)
		}
	}
}

// One replica that no host reaches must not keep a leaving primary in use.
func TestLeavingPrimaryIsReplacedWhileReplicaIsCutOff(t *testing.T) {
	for seed := uint64(70); seed < 76; seed++ {
		sim := newSimulation(t, seed, 2)
		sim.callers.pauseFactor = 4
		openAll(sim)
		sim.runFor(time.Second)
		sim.cutEndpoint("e-c", true)
		sim.runFor(200 * time.Millisecond)
		sim.endpoints["e-a"].leaving = true
		sim.endpoints["e-a"].register()
		sim.runFor(2 * time.Second)
		if !sim.endpoints["e-b"].primary || sim.endpoints["e-a"].primary {
			t.Errorf("seed %d: the leaving primary is not replaced", seed)
		}
		sim.expectRecentWrite(300 * time.Millisecond)
		sim.runFor(8 * time.Second)
		sim.cutEndpoint("e-c", false)
		sim.runFor(2 * time.Second)
		sim.reportViolations()
		sim.expectNoLostWrite()
		sim.expectRecentWrite(300 * time.Millisecond)
	}
}

// A leaving primary that nothing can replace gets no new work after the bound. Its callers are
// told that their statements have not run.
func TestLeavingPrimaryWithoutReplicasGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 76, 2)
	sim.callers.pauseFactor = 4
	openAll(sim)
	sim.runFor(time.Second)
	sim.cutEndpoint("e-b", true)
	sim.endpoints["e-c"].paused = true // receives nothing
	sim.runFor(200 * time.Millisecond)
	sim.endpoints["e-a"].leaving = true
	sim.endpoints["e-a"].register()
	sim.runFor(3 * time.Second)
	sim.expectRecentWrite(300 * time.Millisecond)
	sim.runFor(7 * time.Second)
	is.True(sim.now.Sub(sim.callers.lastWrite) > 3*time.Second)
	unknown := sim.callers.unknown
	sim.runFor(2 * time.Second)
	is.Equal(sim.callers.unknown, unknown)
	sim.endpoints["e-c"].paused = false
	sim.cutEndpoint("e-b", false)
	sim.runFor(3 * time.Second)
	sim.reportViolations()
	sim.expectNoLostWrite()
	sim.expectRecentWrite(300 * time.Millisecond)
}

// A crashed primary is replaced although no host reaches one of the replicas. The primary may
// restart, the replica come back, and another host take over the ownership of the old primary, at
// any moment: the old primary is never used beside the new one.
func TestCrashedPrimaryIsReplacedWhileReplicaIsCutOff(t *testing.T) {
	for seed := uint64(100); seed < 160; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 2)
			sim.callers.pauseFactor = 4
			openAll(sim)
			sim.runFor(time.Second)
			sim.watchesSilent = seed%2 == 0
			sim.promoteTime = time.Duration(100+sim.rng.IntN(900)) * time.Millisecond
			sim.cutEndpoint("e-c", true)
			sim.runFor(time.Duration(sim.rng.IntN(600)) * time.Millisecond)
			sim.endpoints["e-a"].crash()
			random := func(limit int) time.Duration { return time.Duration(sim.rng.IntN(limit)) * time.Millisecond }
			if seed%3 != 0 {
				sim.schedule(random(2500), func() { sim.endpoints["e-a"].restart() })
			}
			if seed%4 != 0 {
				sim.schedule(random(2500), func() { sim.cutEndpoint("e-c", false) })
			}
			if seed%5 == 0 {
				owner := sim.hosts["h-a0"]
				sim.schedule(random(2500), func() { sim.killHost(owner.id) })
				sim.schedule(4*time.Second, func() { sim.startHost(owner.id, owner.dc) })
			}
			sim.runFor(3*time.Second + sim.promoteTime)
			if seed%3 == 0 && seed%5 != 0 && !sim.endpoints["e-b"].primary && !sim.endpoints["e-c"].primary {
				t.Error("the crashed primary is not replaced")
			}
			sim.runFor(3 * time.Second)
			sim.cutEndpoint("e-c", false)
			sim.endpoints["e-a"].restart()
			sim.runFor(6 * time.Second)
			sim.reportViolations()
			sim.expectRecentWrite(time.Second)
		})
	}
}

// A crashed primary restarts before the promotion of its successor takes effect. Its next owner has
// just started, so that it knows neither of the crash nor of the campaign, and reaches only the
// replica that the campaign did not. It must not use the restarted primary with its confirmation alone.
func TestRestartedPrimaryIsNotUsedWithConfirmationOfSilentReplica(t *testing.T) {
	for _, storeReachable := range []bool{false, true} {
		for after := time.Duration(0); after <= 200*time.Millisecond; after += 50 * time.Millisecond {
			t.Run(fmt.Sprintf("store reachable %v/%v", storeReachable, after), func(t *testing.T) {
				sim := newSimulation(t, 180, 2)
				sim.callers.pauseFactor = 4
				openAll(sim)
				sim.runFor(time.Second)
				older, asOf := maps.Clone(sim.store.current), sim.store.revision
				sim.promoteTime, sim.watchesSilent = time.Second, true
				sim.cutEndpoint("e-c", true)
				sim.endpoints["e-a"].crash()
				for limit := sim.now.Add(4 * time.Second); sim.leadershipCandidate() == "" && sim.now.Before(limit); {
					sim.runFor(time.Millisecond)
				}
				if sim.leadershipCandidate() != "e-b" {
					t.Fatalf("the candidate is %q", sim.leadershipCandidate())
				}
				sim.runFor(10*time.Millisecond + after)
				sim.killHost("h-a0")
				sim.killHost("h-a1")
				sim.endpoints["e-a"].restart()
				// The other hosts do not tell the new one what they know.
				sim.loseGossip()
				sim.store.staleObjects, sim.store.staleAsOf = older, asOf
				sim.startHost("h-a0", "a")
				sim.cuts[[2]string{"h-a0", "e-c"}], sim.cuts[[2]string{"h-a0", "e-b"}] = false, true
				sim.callers.openSession("h-a0", "own-db", "write")
				sim.runFor(10 * time.Millisecond)
				sim.storeCut["h-a0"] = !storeReachable
				sim.runFor(3 * time.Second)
				sim.reportViolations()
				sim.expectNoLostWrite()
			})
		}
	}
}
