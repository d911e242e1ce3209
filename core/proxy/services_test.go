package proxy_test

import (
	"testing"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/types"
)

// Guards against a session that forgets its commit at a service when it commits at another one: back at
// the first, it reads at replicas that lack its own write.
func TestSessionSeesItsWritesAtSeveralServices(t *testing.T) {
	for seed := uint64(850); seed < 856; seed++ {
		sim := newSimulation(t, seed, 2)
		sim.addSecondService()
		sim.configure(2)
		for _, h := range sim.sortedHosts() {
			sim.callers.openSession(h.id, "own-db", "mixed")
			sim.callers.openSession(h.id, "own-db", "mixed")
		}
		sim.runFor(2 * time.Second)
		for _, e := range sim.sortedEndpoints() {
			e.setApplyLag(1400 * time.Millisecond)
		}
		for version := uint64(3); version < 9; version++ {
			if version%2 == 1 {
				sim.moveRoutes("own-db")
			} else {
				sim.moveRoutes()
			}
			sim.configure(version)
			sim.runFor(400 * time.Millisecond)
		}
		sim.reportViolations()
	}
}

// Guards against a session that forgets its commit when a later transaction reads at a replica that
// lags behind it, while the route of its database accepts that.
func TestReadDoesNotReplaceLastCommit(t *testing.T) {
	sim := newSimulation(t, 860, 2)
	sim.runFor(2 * time.Second)
	for _, e := range sim.sortedEndpoints() {
		e.setApplyLag(1400 * time.Millisecond)
	}
	for _, h := range sim.sortedHosts() {
		sim.callers.openSession(h.id, "bounded-db", "read") // so that the position of the primary is known
	}
	s := sim.callers.openSession("h-b0", "own-db", "idle")
	sim.runFor(100 * time.Millisecond)
	run := func(texts ...string) {
		t.Helper()
		sim.callers.runOperation(s, texts)
		sim.runFor(150 * time.Millisecond)
		if s.currentID != "" {
			t.Fatalf("%q has no reply", texts)
		}
	}
	run("WRITE 1 x")
	sim.runFor(2 * time.Second) // the replicas apply it
	run("WRITE 1 x")
	sim.consistencies = map[types.Database]catalog.Consistency{"own-db": catalog.ConsistencyBounded}
	sim.configure(2)
	sim.runFor(200 * time.Millisecond)
	run("BEGIN READ", "READ 1", "COMMIT")
	sim.consistencies = nil
	sim.configure(3)
	sim.runFor(200 * time.Millisecond)
	run("READ 1")
	sim.reportViolations()
}
