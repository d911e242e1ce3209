package proxy_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"baobabfield.example/core/types"
)

// announceLeaving makes an endpoint report that it will stop.
func (sim *simulation) announceLeaving(id types.Endpoint) {
	sim.endpoints[id].leaving = true
	sim.endpoints[id].register()
}

// The replicas apply late what they receive, and one of them becomes the primary. What it had
// applied before must not count as the new primary's position: reads at the other replica would
// miss older commits than their route accepts.
func TestPositionFromBeforePromotionIsNotThePrimarys(t *testing.T) {
	applyLag := map[types.Endpoint]time.Duration{"e-b": 1400 * time.Millisecond, "e-c": 1300 * time.Millisecond}
	for seed := uint64(300); seed < 320; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 2)
			sim.callers.pauseFactor = 4
			openAll(sim)
			for range 8 { // more reads than the new primary alone serves
				for _, h := range sim.sortedHosts() {
					sim.callers.openSession(h.id, "bounded-db", "read")
				}
			}
			sim.runFor(time.Second)
			for id, lag := range applyLag {
				sim.endpoints[id].setApplyLag(lag)
			}
			sim.runFor(3 * time.Second)
			sim.announceLeaving("e-a")
			for limit := sim.now.Add(3 * time.Second); !sim.endpoints["e-b"].primary && sim.now.Before(limit); {
				sim.runFor(time.Millisecond)
			}
			sim.endpoints["e-c"].setApplyLag(time.Minute)
			sim.runFor(2 * time.Second)
			sim.reportViolations()
			sim.expectRecentWrite(500 * time.Millisecond)
		})
	}
}

// cutHostOff breaks the links of a host to the other hosts and to the store, or restores them. Its
// callers and the endpoints still reach it.
func (sim *simulation) cutHostOff(id types.Host, on bool) {
	for _, h := range sim.sortedHosts() {
		sim.cuts[[2]string{string(id), string(h.id)}] = on
	}
	sim.storeCut[id] = on
}

// ownerOfFirst returns the host that has most connections to e-a, the first primary.
func (sim *simulation) ownerOfFirst() types.Host {
	most, owner := 0, types.Host("")
	for _, h := range sim.sortedHosts() {
		n := 0
		for _, c := range h.sortedConns() {
			if c.endpoint.id == "e-a" {
				n++
			}
		}
		if n > most {
			most, owner = n, h.id
		}
	}
	return owner
}

// stopWriters ends the sessions of a host that do more than read: a refused write would end the
// host's authority.
func (sim *simulation) stopWriters(id types.Host) {
	for _, s := range sim.callers.sessions {
		if s.host.id == id && s.kind != "read" && s.kind != "readtx" {
			s.isStopped = true
		}
	}
}

// setCallersIdle makes the sessions of a host begin no operation, or begin them again.
func (sim *simulation) setCallersIdle(id types.Host, on bool) {
	for _, name := range slices.Sorted(maps.Keys(sim.callers.sessions)) {
		s := sim.callers.sessions[name]
		if s.host.id != id {
			continue
		}
		s.isStopped = on
		if !on && s.currentID == "" {
			sim.callers.scheduleNext(s)
		}
	}
}

// The owner of the primary does not hear of a planned change that another host leads. It must not go
// on reading at the old primary once the new one is in use: it would miss acknowledged writes.
func TestOwnerThatIsCutOffDoesNotReadAtReplacedPrimary(t *testing.T) {
	for _, test := range []struct {
		name string
		// begin starts what keeps the owner from hearing of the change, and end ends it.
		begin, end func(sim *simulation, owner types.Host)
		firstSeed  uint64
		step       uint64
	}{
		{
			// It is cut off from the store and the other hosts, but not from the endpoints.
			name:      "cut off",
			begin:     func(sim *simulation, owner types.Host) { sim.cutHostOff(owner, true) },
			end:       func(sim *simulation, owner types.Host) { sim.cutHostOff(owner, false) },
			firstSeed: 320, step: 1,
		},
		{
			// Beside that, the endpoints answer its queries late.
			name: "late answers",
			begin: func(sim *simulation, owner types.Host) {
				sim.cutHostOff(owner, true)
				for _, e := range sim.endpoints {
					e.statusDelay = 300 * time.Millisecond
				}
			},
			end:       func(sim *simulation, owner types.Host) { sim.cutHostOff(owner, false) },
			firstSeed: 360, step: 2,
		},
		{
			// Beside that, the old primary loses some of its replies.
			name: "lost answers",
			begin: func(sim *simulation, owner types.Host) {
				sim.cutHostOff(owner, true)
				sim.endpoints["e-a"].replyLossPercent = 30
			},
			end:       func(sim *simulation, owner types.Host) { sim.cutHostOff(owner, false) },
			firstSeed: 380, step: 4,
		},
		{
			// Beside that, the new primary is to be replaced as soon as it is in use.
			name: "changes in succession",
			begin: func(sim *simulation, owner types.Host) {
				sim.cutHostOff(owner, true)
				for after := time.Second; after <= 3*time.Second; after += 100 * time.Millisecond {
					sim.schedule(after, func() {
						if sim.endpoints["e-b"].primary && !sim.endpoints["e-b"].leaving {
							sim.endpoints["e-b"].lag = 500 * time.Millisecond
							sim.announceLeaving("e-b")
						}
					})
				}
			},
			end:       func(sim *simulation, owner types.Host) { sim.cutHostOff(owner, false) },
			firstSeed: 420, step: 2,
		},
		{
			// Its process is suspended, again and again, while the other hosts go on.
			name: "frozen",
			begin: func(sim *simulation, owner types.Host) {
				sim.cutHostOff(owner, true)
				for after := time.Duration(0); after < 4*time.Second; after += 600 * time.Millisecond {
					sim.schedule(after, func() { sim.setSuspended(owner, true) })
					sim.schedule(after+time.Duration(sim.rng.IntN(550))*time.Millisecond, func() { sim.setSuspended(owner, false) })
				}
			},
			end:       func(sim *simulation, owner types.Host) { sim.cutHostOff(owner, false) },
			firstSeed: 400, step: 2,
		},
	} {
		for seed := test.firstSeed; seed < test.firstSeed+20; seed += test.step {
			t.Run(fmt.Sprint(test.name, " ", seed), func(t *testing.T) {
				sim := newSimulation(t, seed, 2)
				sim.callers.pauseFactor = 4
				sim.promoteTime = 100 * time.Millisecond
				openAll(sim)
				sim.runFor(time.Second)
				owner := sim.ownerOfFirst()
				for range 4 {
					sim.callers.openSession(owner, "primary-db", "read")
					sim.callers.openSession(owner, "primary-db", "readtx")
				}
				sim.runFor(time.Second)
				sim.stopWriters(owner)
				test.begin(sim, owner)
				sim.runFor(time.Duration(sim.rng.IntN(200)) * time.Millisecond)
				sim.endpoints["e-a"].lag = 500 * time.Millisecond
				sim.announceLeaving("e-a")
				sim.runFor(5 * time.Second)
				test.end(sim, owner)
				sim.endpoints["e-a"].replyLossPercent = 0
				for _, e := range sim.endpoints {
					e.statusDelay = 0
				}
				sim.runFor(2 * time.Second)
				sim.reportViolations()
				sim.expectNoLostWrite()
				sim.expectRecentWrite(500 * time.Millisecond)
			})
		}
	}
}

// The primary is cut off from its replicas and from all hosts but its owner, which is cut off from the
// other hosts and the store. One of the replicas is promoted, and the other one does not reach it. When
// that one is resumed it holds no later term, and must not confirm the old primary to its owner.
func TestResumedReplicaDoesNotConfirmOldPrimary(t *testing.T) {
	for seed := uint64(340); seed < 350; seed++ {
		// With odd seeds the owner has no statements while the replica is paused.
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 1)
			sim.callers.pauseFactor = 4
			sim.endpoints["e-c"].dc = "a" // where the cut-off owner may use it
			sim.endpoints["e-c"].register()
			openAll(sim)
			sim.runFor(6 * time.Second)
			owner := sim.ownerOfFirst()
			sim.cutHostOff(owner, true)
			for _, h := range sim.sortedHosts() {
				sim.cuts[[2]string{string(h.id), "e-a"}] = h.id != owner
			}
			sim.cuts[[2]string{"e-a", "e-b"}], sim.cuts[[2]string{"e-a", "e-c"}], sim.cuts[[2]string{"e-b", "e-c"}] = true, true, true
			sim.cuts[[2]string{string(owner), "e-b"}] = true
			if seed%2 == 1 {
				sim.setCallersIdle(owner, true)
				sim.runFor(5 * time.Second)
				sim.setCallersIdle(owner, false)
			}
			sim.runFor(10 * time.Second)
			sim.reportViolations()
		})
	}
}
