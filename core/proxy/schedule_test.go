package proxy_test

import (
	"fmt"
	"testing"
	"time"

	"baobabfield.example/core/catalog"
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
		runSchedule(sim, 1000+seed, func() { injectFault(sim) })
	}
	// The same with commits that mostly need a replica, a second service, and workspaces. Records expire,
	// candidates and hosts of campaigns crash, and routes and keys move.
	for seed := range seeds {
		sim := newSimulation(t, 2000+seed, 2)
		s := newSyncSchedule(sim, int(min(seed%3, 1)))
		runSchedule(sim, 2000+seed, s.injectFault)
	}
}

// runSchedule injects faults, ends them and checks the guarantees.
func runSchedule(sim *simulation, seed uint64, inject func()) {
	sim.t.Helper()
	for range 12 {
		inject()
	}
	sim.heal()
	sim.runFor(4 * time.Second)
	if len(sim.violations) > 0 {
		sim.t.Errorf("seed %d:", seed)
		sim.reportViolations()
	}
	if sim.now.Sub(sim.callers.lastWrite) > 2*time.Second {
		sim.t.Errorf("seed %d: no write was acknowledged for %v after the last fault", seed, sim.now.Sub(sim.callers.lastWrite))
	}
}

// syncSchedule is a random schedule with commits that need a replica, two services and workspaces.
type syncSchedule struct {
	sim     *simulation
	version uint64
	isMoved bool
}

func newSyncSchedule(sim *simulation, syncReplicas int) *syncSchedule {
	s := &syncSchedule{sim: sim, version: 1}
	sim.syncReplicas = syncReplicas
	sim.addSecondService()
	sim.workspaces = twoWorkspaces()
	s.configure()
	sim.runFor(3 * time.Second)
	for i, h := range sim.sortedHosts() {
		for _, kind := range []string{"mixed", "tx", "write", "readtx"} {
			sim.callers.openSessionWithKey(h.id, "own-db", kind, []string{"key-n1", "key-n2", "key-s1"}[i%3])
		}
		sim.callers.openSessionWithKey(h.id, "primary-db", "write", "key-n1")
		sim.callers.openSessionWithKey(h.id, "primary-db", "read", "key-s1")
		sim.callers.openSessionWithKey(h.id, "bounded-db", "read", "key-n2")
		slow := sim.callers.openSessionWithKey(h.id, "primary-db", "tx", "key-n2")
		slow.statementPause = 1400 * time.Millisecond
	}
	return s
}

func (s *syncSchedule) configure() {
	s.version++
	s.sim.configure(s.version)
}

// injectFault injects one random fault for a limited time, or changes the configuration.
func (s *syncSchedule) injectFault() {
	sim := s.sim
	endpoints := sim.sortedEndpoints()
	e := endpoints[sim.rng.IntN(len(endpoints))]
	d := time.Duration(1000+sim.rng.IntN(4000)) * time.Millisecond
	kind := sim.rng.IntN(8)
	if sim.verbose {
		fmt.Printf("%8.4f sync fault %d: endpoint %s, %v\n", sim.now.Sub(simulationStart).Seconds(), kind, e.id, d)
	}
	switch kind {
	case 0:
		s.expireRecords()
	case 1:
		s.crashBesideDeafReplica(e, d)
	case 2:
		s.moveRouteAndBack()
	case 3:
		sim.workspaces = twoWorkspaces()
		if sim.workspaceOfKey["key-n2"] == "north" {
			sim.workspaces = []catalog.Workspace{{Name: "north", Keys: []string{"key-n1"}}, {Name: "south", Keys: []string{"key-s1", "key-n2"}}}
		}
		s.configure()
	case 4:
		e.setApplyLag(1400 * time.Millisecond)
		sim.schedule(d, func() { e.setApplyLag(0) })
	case 5:
		if holder := sim.leadershipHolder(); sim.hosts[holder] != nil && sim.hosts[holder].alive {
			sim.killHost(holder)
			sim.schedule(d, func() { sim.startHost(holder, sim.hosts[holder].dc) })
		}
	default:
		injectFault(sim)
		return
	}
	sim.runFor(time.Duration(sim.rng.IntN(1500)) * time.Millisecond)
}

// moveRouteAndBack leads a database to the other service for a moment, while the replicas lag.
func (s *syncSchedule) moveRouteAndBack() {
	sim := s.sim
	for _, e := range sim.sortedEndpoints() {
		e.setApplyLag(1400 * time.Millisecond)
		sim.schedule(2500*time.Millisecond, func() { e.setApplyLag(0) })
	}
	sim.runFor(time.Duration(300+sim.rng.IntN(300)) * time.Millisecond)
	for range 2 {
		s.isMoved = !s.isMoved
		sim.moveRoutes()
		if s.isMoved {
			sim.moveRoutes("own-db")
		}
		s.configure()
		sim.runFor(time.Duration(300+sim.rng.IntN(300)) * time.Millisecond)
	}
	if sim.rng.IntN(2) == 0 {
		s.isMoved = !s.isMoved
		sim.moveRoutes()
		if s.isMoved {
			sim.moveRoutes("own-db")
		}
		s.configure()
	}
}

// expireRecords lets the records of all endpoints expire during an outage of the store. They are back
// within two seconds of its return. Sometimes a primary crashes, or a data centre is cut off, meanwhile.
func (s *syncSchedule) expireRecords() {
	sim := s.sim
	sim.disturb(3 * time.Second)
	sim.expireAll()
	for _, e := range sim.sortedEndpoints() {
		delay := time.Duration(sim.rng.IntN(1900)) * time.Millisecond
		if e.primary {
			delay /= 10
		}
		sim.schedule(delay, func() {
			if e.alive {
				e.register()
			}
		})
	}
	sim.runFor(time.Duration(200+sim.rng.IntN(700)) * time.Millisecond)
	endpoints := sim.sortedEndpoints()
	e := endpoints[sim.rng.IntN(len(endpoints))]
	if primaries := sim.primaries(); len(primaries) > 0 && sim.rng.IntN(2) == 0 {
		e = sim.endpoints[primaries[0]]
	}
	switch sim.rng.IntN(4) {
	case 0:
		s.crashBesideDeafReplica(e, 4*time.Second)
	case 1, 2:
		sim.disturb(4 * time.Second)
		sim.cutDataCentre(e.dc, true)
		for _, h := range sim.sortedHosts() {
			sim.storeCut[h.id] = h.dc == e.dc
		}
		sim.schedule(4*time.Second, func() { sim.cutDataCentre(e.dc, false); clear(sim.storeCut); sim.resync() })
	}
}

// crashBesideDeafReplica makes a replica receive nothing for a time, and crashes its primary. Sometimes
// the candidate crashes before it leads.
func (s *syncSchedule) crashBesideDeafReplica(e *endpointSim, d time.Duration) {
	sim := s.sim
	if e.primary || !e.alive {
		return
	}
	e.deaf = true
	sim.schedule(d+2*time.Second, func() { e.deaf = false })
	sim.runFor(time.Second)
	requested := len(sim.promotions)
	for _, other := range e.others() {
		if other.primary && other.alive {
			other.crash()
			sim.schedule(d+time.Second, other.restart)
		}
	}
	if sim.rng.IntN(2) == 0 {
		return
	}
	for start := sim.now; len(sim.promotions) == requested && sim.now.Sub(start) < 3*time.Second; {
		sim.runFor(20 * time.Millisecond)
	}
	if len(sim.promotions) > requested {
		sim.runFor(200 * time.Millisecond)
		if candidate := sim.endpoints[sim.promotions[requested].endpoint]; candidate.alive && !candidate.primary {
			candidate.crash()
			sim.schedule(d, candidate.restart)
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
	if kind == 1 || kind == 2 || kind == 5 {
		sim.disturb(d)
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
	clear(sim.storeCut)
	sim.store.down = false
	for _, e := range sim.sortedEndpoints() {
		e.deaf = false
		e.restart()
		e.register()
	}
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
