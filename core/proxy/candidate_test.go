package proxy_test

import (
	"testing"
	"time"

	"baobabfield.example/core/types"
)

// Guards against a replica without the acknowledged commits that is promoted in place of a candidate:
// one that crashes before it leads, whose host is killed meanwhile, or whose promotion is answered late.
// The candidate or the old primary returns with all commits.
func TestReplicaWithoutCommitsDoesNotReplaceCandidate(t *testing.T) {
	const candidateReturn, primaryReturn = 4500 * time.Millisecond, 7 * time.Second
	for name, trouble := range map[string]func(sim *simulation){
		"crash":        func(*simulation) {},
		"holder ends":  func(sim *simulation) { sim.killHost(sim.leadershipHolder()) },
		"late answers": func(sim *simulation) { sim.promoteCallDelay = 600 * time.Millisecond },
		// The records expire as well.
		"expiry": func(sim *simulation) {
			sim.runFor(2 * time.Second)
			sim.endpoints["e-a"].expire()
			sim.endpoints["e-c"].expire()
		},
		// The old primary returns, and the candidate not at all.
		"candidate lost": func(sim *simulation) {
			sim.runFor(2 * time.Second)
			sim.endpoints["e-a"].restart()
			sim.runFor(1600 * time.Millisecond)
			sim.endpoints["e-c"].expire()
			sim.runFor(8 * time.Second)
		},
		// The candidate has led for a moment when it crashes, and its host has not learned of it.
		"candidate led": func(sim *simulation) {
			candidate := sim.endpoints["e-c"]
			candidate.restart()
			candidate.silentCommands = true
			sim.runFor(900 * time.Millisecond)
			candidate.crash()
			candidate.silentCommands = false
			sim.endpoints["e-a"].restart()
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(800); seed < 804; seed++ {
				sim := newSyncSimulation(t, seed)
				primary, deaf, candidate := sim.endpoints["e-a"], sim.endpoints["e-b"], sim.endpoints["e-c"]
				deaf.deaf = true
				sim.schedule(6*time.Second, func() { deaf.deaf = false })
				sim.runFor(2 * time.Second)
				primary.crash()
				requested := len(sim.promotions)
				for start := sim.now; len(sim.promotions) == requested && sim.now.Sub(start) < 10*time.Second; {
					sim.runFor(10 * time.Millisecond)
				}
				sim.runFor(200 * time.Millisecond)
				candidate.crash()
				if name != "candidate lost" {
					sim.schedule(candidateReturn, candidate.restart)
				}
				sim.schedule(primaryReturn, primary.restart)
				trouble(sim)
				sim.runFor(14 * time.Second)
				sim.reportViolations()
				sim.expectRecentWrite(2 * time.Second)
			}
		})
	}
}

// With SyncReplicas a replica that has announced its end is waited for like any other until it ends.
func TestLeavingReplicaWithCommitsIsWaitedFor(t *testing.T) {
	for seed := uint64(820); seed < 824; seed++ {
		sim := newSyncSimulation(t, seed)
		primary, deaf, leaving := sim.endpoints["e-a"], sim.endpoints["e-b"], sim.endpoints["e-c"]
		deaf.deaf = true
		sim.runFor(time.Second)
		leaving.leaving = true
		leaving.register()
		leaving.silentCommands = true
		sim.runFor(time.Second)
		primary.crash()
		sim.runFor(4 * time.Second)
		leaving.silentCommands = false
		sim.runFor(4 * time.Second)
		sim.reportViolations()
		if got := sim.primaries(); len(got) != 1 || got[0] != "e-c" {
			t.Errorf("seed %d: the primaries are %v", seed, got)
		}
	}
}

// primaries returns the endpoints that run as primaries.
func (sim *simulation) primaries() []types.Endpoint {
	var out []types.Endpoint
	for _, e := range sim.sortedEndpoints() {
		if e.alive && e.primary {
			out = append(out, e.id)
		}
	}
	return out
}
