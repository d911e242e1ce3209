package proxy_test

import (
	"fmt"
	"testing"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/types"
)

// newConnectionLimitSimulation returns a simulation in which sessions of the given number of workspaces
// keep the connections of all endpoints at their limits.
func newConnectionLimitSimulation(t *testing.T, seed uint64, workspaces int) *simulation {
	sim := newSimulation(t, seed, 2)
	for i := range workspaces {
		name := types.Workspace(fmt.Sprint("w", i))
		sim.workspaces = append(sim.workspaces, catalog.Workspace{Name: name, Keys: []string{string(name)}, Rate: 100, Burst: 100})
	}
	sim.configure(2)
	sim.runFor(500 * time.Millisecond)
	for _, e := range sim.endpoints {
		e.connectionLimit = testMaxConnections
	}
	for i := range workspaces {
		for j, kind := range []string{"write", "read", "tx"} {
			dc := dataCentres[(i+j)%len(dataCentres)]
			db := []types.Database{"primary-db", "own-db", "primary-db"}[j]
			s := sim.callers.openSessionWithKey(types.Host(fmt.Sprintf("h-%s%d", dc, i%2)), db, kind, sim.workspaces[i].Keys[0])
			s.moves = true
		}
	}
	sim.callers.pauseFactor = 10
	return sim
}

// Two owners of an endpoint, one of them suspended, may open 60 % of its connections each. The new
// owner makes do with what the endpoint accepts: its refusals are few, the primary does not count
// as failed, and callers of all workspaces are served. Once the suspended host is back, the hosts
// that are no longer owners make room for it.
func TestConnectionLimitHoldsWhileOwnershipMoves(t *testing.T) {
	const (
		// refusedLimit is the number of dials that the three endpoints may refuse in 3 s. Without
		// regard to refusals there were up to 19.
		refusedLimit = 12
		// servedLimit is the number of operations that must succeed in 3 s at half of the hosts.
		// Both halves together serve about 690.
		servedLimit = 300
	)
	for seed := uint64(90); seed < 92; seed++ {
		sim := newConnectionLimitSimulation(t, seed, 40)
		sim.runFor(4 * time.Second)
		for round := range 3 {
			refused, served := sim.refusedDials(), sim.callers.ok
			half := sim.hostsOfHalf(round % 2)
			for _, h := range half {
				sim.setSuspended(h, true)
			}
			sim.runFor(3 * time.Second)
			if refused, served := sim.refusedDials()-refused, sim.callers.ok-served; refused > refusedLimit || served < servedLimit {
				t.Errorf("seed %d, round %d: while half of the hosts are suspended, %d dials are refused and %d operations succeed", seed, round, refused, served)
			}
			for _, h := range half {
				sim.setSuspended(h, false)
			}
			sim.runFor(3 * time.Second)
			refused = sim.refusedDials()
			sim.runFor(3 * time.Second)
			if refused := sim.refusedDials() - refused; refused > 0 {
				t.Errorf("seed %d, round %d: %d dials are refused after all hosts have resumed", seed, round, refused)
			}
		}
		if len(sim.promotions) > 0 {
			t.Errorf("seed %d: the primary was replaced", seed)
		}
		sim.reportViolations()
	}
}

// Half of the hosts restart at once, and their endpoints' ownership moves twice. The limit holds,
// and all callers are served again.
func TestConnectionLimitHoldsWhileHalfOfHostsRestart(t *testing.T) {
	for seed := uint64(94); seed < 96; seed++ {
		sim := newConnectionLimitSimulation(t, seed, 40)
		sim.runFor(4 * time.Second)
		for round := range 2 {
			for _, h := range sim.hostsOfHalf(round) {
				sim.killHost(h)
			}
			sim.runFor(500 * time.Millisecond)
			for _, h := range sim.hostsOfHalf(round) {
				sim.startHost(h, sim.hosts[h].dc)
			}
			sim.runFor(3 * time.Second)
			refused, served := sim.refusedDials(), sim.callers.ok
			sim.runFor(3 * time.Second)
			if refused, served := sim.refusedDials()-refused, sim.callers.ok-served; refused > 0 || served < 600 {
				t.Errorf("seed %d, round %d: after the restart %d dials are refused and %d operations succeed", seed, round, refused, served)
			}
		}
		for _, e := range sim.sortedEndpoints() {
			if e.mostConns > testMaxConnections {
				t.Errorf("seed %d: %s has had %d connections", seed, e.id, e.mostConns)
			}
		}
		sim.reportViolations()
	}
}

// hostsOfHalf returns one of the two hosts of each data centre.
func (sim *simulation) hostsOfHalf(n int) []types.Host {
	var out []types.Host
	for _, dc := range dataCentres {
		out = append(out, types.Host(fmt.Sprintf("h-%s%d", dc, n)))
	}
	return out
}

// refusedDials returns the number of dials that endpoints have refused at their limits.
func (sim *simulation) refusedDials() int {
	n := 0
	for _, e := range sim.endpoints {
		n += e.refusedDials
	}
	return n
}
