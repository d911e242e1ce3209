package proxy_test

import (
	"fmt"
	"testing"
	"time"

	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

// TestRandomSchedules injects random faults and checks all guarantees.
func TestRandomSchedules(t *testing.T) {
	seeds := uint64(30)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		sim := newSimulation(t, 1000+seed, 2)
		openAll(sim)
		for range 12 {
			injectFault(sim)
		}
		sim.heal()
		sim.runFor(4 * time.Second)
		if len(sim.violations) > 0 {
			t.Errorf("seed %d:", 1000+seed)
			sim.reportViolations()
		}
		if sim.now.Sub(sim.callers.lastWrite) > 2*time.Second {
			t.Errorf("seed %d: no write was acknowledged for %v after the last fault", 1000+seed, sim.now.Sub(sim.callers.lastWrite))
		}
	}
}

// injectFault injects one random fault for a limited time, which may overlap with the next
// one.
func injectFault(sim *simulation) {
	hosts := sim.sortedHosts()
	h := hosts[sim.rng.IntN(len(hosts))]
	dc := dataCentres[sim.rng.IntN(len(dataCentres))]
	e := sim.endpoints[types.Endpoint("e-"+string(dataCentres[sim.rng.IntN(len(dataCentres))]))]
	d := time.Duration(200+sim.rng.IntN(2500)) * time.Millisecond
	kind := sim.rng.IntN(8)
	if sim.verbose {
		fmt.Printf("%8.4f fault %d: host %s, data centre %s, endpoint %s, %v\n", sim.now.Sub(simulationStart).Seconds(), kind, h.id, dc, e.id, d)
	}
	switch kind {
	case 0:
		if h.alive {
			sim.killHost(h.id)
			sim.schedule(d, func() {
				if !h.alive {
					sim.startHost(h.id, h.dc)
				}
			})
		}
	case 1:
		sim.cutDataCentre(dc, true)
		sim.schedule(d, func() { sim.cutDataCentre(dc, false) })
	case 2:
		if !h.suspended && h.alive {
			sim.setSuspended(h.id, true)
			sim.schedule(d, func() { sim.setSuspended(h.id, false) })
		}
	case 3:
		if e.alive {
			e.crash()
			sim.schedule(d, func() { e.restart() })
		}
	case 4:
		sim.cuts[[2]string{string(h.id), string(e.id)}] = true
		sim.schedule(d, func() { delete(sim.cuts, [2]string{string(h.id), string(e.id)}) })
	case 5:
		sim.store.down = true
		sim.schedule(d, func() { sim.store.down = false; sim.resync() })
	case 6:
		e.replyLossPercent = 20
		sim.schedule(d, func() { e.replyLossPercent = 0 })
	case 7:
		e.lag = 600 * time.Millisecond
		sim.schedule(d, func() { e.lag = 20 * time.Millisecond })
	}
	sim.runFor(time.Duration(sim.rng.IntN(1500)) * time.Millisecond)
}

// newestSession returns the session that was opened last.
func (sim *simulation) newestSession() *callerSim {
	for i := sim.callers.nextID; ; i-- {
		if s := sim.callers.sessions[fmt.Sprintf("c%d", i)]; s != nil {
			return s
		}
	}
}

// heal ends all faults.
func (sim *simulation) heal() {
	sim.runFor(3 * time.Second)
	clear(sim.cuts)
	sim.store.down = false
	sim.resync()
}

// resync sends all hosts the objects of the store, as their watches would.
func (sim *simulation) resync() {
	for _, h := range sim.sortedHosts() {
		for _, k := range proxy.Kinds {
			sim.store.sendAll(h, k)
		}
	}
}

// restart restarts a crashed endpoint with its log.
func (e *endpointSim) restart() {
	if e.alive {
		return
	}
	e.alive, e.paused, e.fencedTerm, e.startedAt = true, false, 0, int64(e.sim.now)
	for _, other := range e.others() {
		if other.alive && other.primary && other.term > e.term {
			e.primary = false
		}
	}
	e.register()
	for _, other := range e.others() {
		if other.primary {
			other.attachReplicas()
		}
	}
}
