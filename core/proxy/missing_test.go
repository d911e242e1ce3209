package proxy_test

import (
	"fmt"
	"testing"
	"time"
)

// newSyncSimulation returns a simulation whose commits are acknowledged once a replica holds them,
// with callers and complete lists of endpoints at all hosts.
func newSyncSimulation(t *testing.T, seed uint64) *simulation {
	sim := newSimulation(t, seed, 2)
	sim.syncReplicas = 1
	sim.configure(2)
	openAll(sim)
	sim.runFor(3 * time.Second)
	return sim
}

// expireAll lets the records of all endpoints expire during an outage of the store, and returns after
// the end of the outage. The endpoints have not registered again.
func (sim *simulation) expireAll() {
	sim.store.down = true
	sim.runFor(2 * time.Second)
	for _, e := range sim.sortedEndpoints() {
		e.expire()
	}
	sim.runFor(time.Second)
	sim.store.down = false
	sim.resync()
}

// Guards against a campaign that takes a replica for gone whose record has only expired: with
// SyncReplicas it may be the only one that holds the acknowledged commits. The host of the campaign may
// have started meanwhile, and know the replica from other hosts alone.
func TestCampaignWaitsForReplicaWithoutRecord(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarted=%v", restarted), func(t *testing.T) {
			for seed := uint64(700); seed < 706; seed++ {
				sim := newSyncSimulation(t, seed)
				primary, deaf, current := sim.endpoints["e-a"], sim.endpoints["e-b"], sim.endpoints["e-c"]
				sim.expireAll()
				deaf.deaf = true
				primary.register()
				deaf.register()
				if restarted {
					for _, h := range sim.sortedHosts() {
						if h.id != "h-a0" {
							sim.killHost(h.id)
							sim.startHost(h.id, h.dc)
						}
					}
				}
				sim.runFor(900 * time.Millisecond)
				primary.crash()
				sim.runFor(time.Second)
				current.register() // 1.9 s after the return of the store
				sim.runFor(5 * time.Second)
				deaf.deaf = false
				sim.runFor(time.Second)
				sim.reportViolations()
				sim.expectRecentWrite(time.Second)
			}
		})
	}
}

// Guards against an owner that goes on without any confirmation since the records of the replicas have
// expired: while its data centre is cut off, the others promote a replica whose record is back. The
// owner cannot learn that, however long the cut lasts.
func TestReplicasWithoutRecordMustConfirm(t *testing.T) {
	for seed := uint64(720); seed < 730; seed++ {
		sim := newSimulation(t, seed, 2)
		sim.callers.pauseFactor = 1
		openAll(sim)
		sim.runFor(3 * time.Second)
		sim.expireAll()
		sim.endpoints["e-a"].register()
		sim.runFor(400 * time.Millisecond)
		sim.cutDataCentre("a", true)
		for _, id := range sim.sortedHosts() {
			sim.storeCut[id.id] = id.dc == "a"
		}
		sim.runFor(200 * time.Millisecond)
		sim.endpoints["e-b"].register()
		sim.endpoints["e-c"].register()
		sim.runFor(5 * time.Second)
		if !sim.endpoints["e-b"].primary && !sim.endpoints["e-c"].primary {
			t.Errorf("seed %d: no replica was promoted", seed)
		}
		sim.cutDataCentre("a", false)
		clear(sim.storeCut)
		sim.resync()
		sim.runFor(3 * time.Second)
		sim.reportViolations()
	}
}

// Guards against an owner that has started after the records of the replicas had expired, and takes the
// primary for the only endpoint of its service.
func TestRestartedOwnerNeedsConfirmationOfUnknownReplicas(t *testing.T) {
	for seed := uint64(740); seed < 750; seed++ {
		sim := newSimulation(t, seed, 2)
		openAll(sim)
		sim.runFor(3 * time.Second)
		sim.expireAll()
		sim.endpoints["e-a"].register()
		for _, h := range sim.sortedHosts() {
			if h.dc == "a" {
				sim.killHost(h.id)
				sim.startHost(h.id, h.dc)
			}
		}
		sim.runFor(20 * time.Millisecond)
		sim.cutDataCentre("a", true)
		for _, h := range sim.sortedHosts() {
			sim.storeCut[h.id] = h.dc == "a"
		}
		sim.runFor(200 * time.Millisecond)
		sim.endpoints["e-b"].register()
		sim.endpoints["e-c"].register()
		sim.runFor(6 * time.Second)
		if !sim.endpoints["e-b"].primary && !sim.endpoints["e-c"].primary {
			t.Errorf("seed %d: no replica was promoted", seed)
		}
		sim.cutDataCentre("a", false)
		clear(sim.storeCut)
		sim.resync()
		sim.runFor(3 * time.Second)
		sim.reportViolations()
	}
}

// Guards against a wait for endpoints that have ended. With SyncReplicas the service is without a primary
// until the copies count as lost, and not for longer.
func TestServiceGoesOnWithoutLostCopies(t *testing.T) {
	sim := newSyncSimulation(t, 760)
	sim.endpoints["e-c"].crash()
	sim.runFor(time.Second)
	sim.endpoints["e-a"].crash()
	sim.runFor(3 * time.Second)
	sim.endpoints["e-c"].expire()
	sim.endpoints["e-a"].expire()
	sim.runFor(9 * time.Second)
	if sim.endpoints["e-b"].primary {
		t.Error("a replica was promoted before the copies counted as lost")
	}
	sim.runFor(6 * time.Second)
	if !sim.endpoints["e-b"].primary {
		t.Error("no replica was promoted")
	}
}

// Guards against a process that starts while a primary leaves, and gives it new work for as long as if it had
// announced that just then.
func TestRestartedHostEndsWorkAtLeavingPrimary(t *testing.T) {
	sim := newSimulation(t, 770, 2)
	for _, h := range sim.sortedHosts() {
		sim.callers.openSession(h.id, "primary-db", "write")
	}
	sim.runFor(3 * time.Second)
	sim.endpoints["e-b"].deaf, sim.endpoints["e-c"].deaf = true, true // nothing can replace the primary
	sim.runFor(100 * time.Millisecond)
	sim.endpoints["e-a"].leaving = true
	sim.endpoints["e-a"].register()
	sim.runFor(time.Second)
	for _, h := range sim.sortedHosts() {
		sim.killHost(h.id)
		sim.startHost(h.id, h.dc)
	}
	sim.runFor(inTouchTime)
	before := len(sim.callers.acked)
	if sim.now.Sub(sim.callers.lastWrite) > 2*time.Second {
		t.Error("the primary got no work after the start")
	}
	sim.runFor(2 * time.Second)
	if got := len(sim.callers.acked) - before; got > 0 {
		t.Errorf("%d writes were acknowledged after the hosts had been in touch", got)
	}
}
