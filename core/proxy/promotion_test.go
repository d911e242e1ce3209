package proxy_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

// A call that requests a promotion can be carried out long after the campaign has stopped
// waiting for it. The old primary must not be used again meanwhile, although it is reachable
// and its replicas respond.
func TestLatePromotionDoesNotOverlapOldPrimary(t *testing.T) {
	for late := 2 * time.Second; late <= 7*time.Second; late += 500 * time.Millisecond {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			sim := newSimulation(t, 41, 2)
			sim.callers.pauseFactor = 4
			openAll(sim)
			sim.runFor(time.Second)
			sim.promoteCallDelay = late
			sim.cutDataCentre("a", true)
			sim.runFor(4 * time.Second)
			sim.cutDataCentre("a", false)
			sim.runFor(10 * time.Second)
			sim.reportViolations()
			sim.expectRecentWrite(time.Second)
		})
	}
}

// The host that requested a promotion is killed before it is carried out. Its successor must
// finish the same promotion: another candidate would be a second primary.
func TestSuccessorFinishesLatePromotion(t *testing.T) {
	for late := time.Second; late <= 4*time.Second; late += 500 * time.Millisecond {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			sim := newSimulation(t, 42, 2)
			sim.callers.pauseFactor = 4
			openAll(sim)
			sim.runFor(time.Second)
			sim.promoteCallDelay = late
			sim.cutDataCentre("a", true)
			sim.runFor(3 * time.Second)
			holder := sim.leadershipHolder()
			if holder == "" {
				t.Fatal("no campaign has started within 3 s")
			}
			sim.killHost(holder)
			sim.cutDataCentre("a", false)
			sim.runFor(10 * time.Second)
			sim.reportViolations()
			sim.expectRecentWrite(time.Second)
		})
	}
}

// leadershipHolder returns the host whose claim to the service is stored; empty for none.
func (sim *simulation) leadershipHolder() types.Host {
	o, ok := sim.store.current[string(proxy.KindLeadership)+"/"+string(testService)]
	if !ok {
		return ""
	}
	return sim.store.values[string(o.Data)].Leadership.Holder
}

// expectRecentWrite fails the test if no write was acknowledged within the given time.
func (sim *simulation) expectRecentWrite(limit time.Duration) {
	sim.t.Helper()
	if age := sim.now.Sub(sim.callers.lastWrite); age > limit {
		sim.t.Errorf("no write was acknowledged for %v", age)
	}
}

// The candidate has been promoted, but the host that requested it was killed before it closed
// the record, and then the new primary crashes. It is replaced like any other.
func TestPrimaryWithOpenRecordIsReplaced(t *testing.T) {
	for after := 200 * time.Millisecond; after <= 3*time.Second; after += 400 * time.Millisecond {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			sim := newSimulation(t, 43, 3)
			sim.callers.pauseFactor = 4
			openAll(sim)
			sim.runFor(time.Second)
			sim.endpoints["e-a"].crash()
			for !sim.endpoints["e-b"].primary && !sim.endpoints["e-c"].primary {
				sim.runFor(time.Millisecond)
			}
			sim.killHost(sim.leadershipHolder())
			sim.runFor(after)
			sim.endpoints["e-a"].restart()
			sim.runFor(500 * time.Millisecond)
			for _, id := range []types.Endpoint{"e-b", "e-c"} {
				if sim.endpoints[id].primary {
					sim.endpoints[id].crash()
				}
			}
			sim.runFor(8 * time.Second)
			sim.reportViolations()
			sim.expectRecentWrite(time.Second)
		})
	}
}

// All hosts are killed while a campaign has paused the replicas, and the primary responds again
// when they return. Its owner has to resume the replicas soon: until then it has no authority.
func TestPausedReplicasAreResumedAfterAllHostsRestart(t *testing.T) {
	const limit = 3 * time.Second
	for seed := uint64(44); seed < 50; seed++ {
		sim := newSimulation(t, seed, 3)
		sim.callers.pauseFactor = 4
		openAll(sim)
		sim.runFor(time.Second)
		for _, h := range sim.sortedHosts() {
			sim.cuts[[2]string{string(h.id), "e-a"}] = true
		}
		for !sim.endpoints["e-b"].paused || !sim.endpoints["e-c"].paused {
			sim.runFor(time.Millisecond)
		}
		for _, h := range sim.sortedHosts() {
			sim.killHost(h.id)
		}
		sim.runFor(800 * time.Millisecond)
		for _, h := range sim.sortedHosts() {
			delete(sim.cuts, [2]string{string(h.id), "e-a"})
			sim.startHost(h.id, h.dc)
		}
		started := sim.now
		for sim.callers.lastWrite.Before(started) && sim.now.Sub(started) < 10*time.Second {
			sim.runFor(50 * time.Millisecond)
		}
		if took := sim.now.Sub(started); took > limit {
			t.Errorf("seed %d: the first write was acknowledged %v after the start, limit %v", seed, took, limit)
		}
		sim.runFor(8 * time.Second)
		sim.reportViolations()
		sim.expectRecentWrite(time.Second)
	}
}

// A host is killed after its claim was stored and the promotion requested. Its next process,
// whose list of records is older, must not take the claim for its own and use the token again.
func TestClaimOfKilledProcessIsNotTakenOver(t *testing.T) {
	for after := time.Duration(0); after <= 60*time.Millisecond; after += 20 * time.Millisecond {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			sim := newSimulation(t, 44, 1)
			sim.callers.pauseFactor = 4
			openAll(sim)
			sim.runFor(time.Second)
			older := maps.Clone(sim.store.current)
			asOf := sim.store.revision
			sim.watchesSilent = true
			sim.promoteCallDelay = 30 * time.Millisecond
			sim.endpoints["e-a"].crash()
			for limit := sim.now.Add(5 * time.Second); sim.leadershipCandidate() == "" && sim.now.Before(limit); {
				sim.runFor(time.Millisecond)
			}
			sim.runFor(after)
			holder := sim.leadershipHolder()
			sim.killHost(holder)
			sim.store.staleObjects, sim.store.staleAsOf = older, asOf
			sim.startHost(holder, sim.hosts[holder].dc)
			sim.runFor(2 * time.Second)
			sim.store.staleObjects = nil
			sim.runFor(6 * time.Second)
			sim.reportViolations()
			sim.expectRecentWrite(time.Second)
		})
	}
}

// leadershipCandidate returns the endpoint that the stored record names as being promoted.
func (sim *simulation) leadershipCandidate() types.Endpoint {
	o, ok := sim.store.current[string(proxy.KindLeadership)+"/"+string(testService)]
	if !ok {
		return ""
	}
	return sim.store.values[string(o.Data)].Leadership.Candidate
}

// announcementDelay is the time from an endpoint's announcement until a promotion that was requested
// before can reach the platform: the watch, the write of the candidate, and the call.
const announcementDelay = 50 * time.Millisecond

// minHolderChange is the time within which the platform allows the duty of promoting endpoints of a
// service only to one host.
const minHolderChange = 3 * time.Second

// Several endpoints of a service begin to leave within half a second. The primary must go to one that
// stays, although those that leave answer sooner, and hosts must not promote by turns.
func TestEndpointsThatLeaveTogetherDoNotTakeTurns(t *testing.T) {
	for seed := uint64(200); seed < 220; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 2)
			sim.callers.pauseFactor = 4
			sim.addEndpoint("e-d", "a", false)
			sim.addEndpoint("e-e", "b", false)
			openAll(sim)
			sim.runFor(time.Second)
			staying := map[types.Endpoint]bool{"e-c": true, "e-e": true}
			for id := range staying {
				sim.endpoints[id].statusDelay = time.Duration(sim.rng.IntN(80)) * time.Millisecond
			}
			for _, id := range []types.Endpoint{"e-a", "e-b", "e-d"} {
				e := sim.endpoints[id]
				sim.schedule(time.Duration(sim.rng.IntN(500))*time.Millisecond, func() {
					e.leaving = true
					e.register()
				})
			}
			sim.runFor(3 * time.Second)
			// One that stayed leaves as well, perhaps the new primary.
			sim.endpoints["e-c"].leaving = true
			sim.endpoints["e-c"].register()
			sim.runFor(9 * time.Second)
			sim.reportViolations()
			sim.expectNoLostWrite()
			sim.expectRecentWrite(500 * time.Millisecond)
			if !sim.endpoints["e-e"].primary {
				t.Error("the endpoint that stays is not the primary")
			}
			for i, p := range sim.promotions {
				if since := sim.endpoints[p.endpoint].leavingAt; since != 0 && p.at.Sub(since) > announcementDelay {
					t.Errorf("%s was promoted %v after it had announced that it leaves", p.endpoint, p.at.Sub(since))
				}
				if i > 0 && p.holder != sim.promotions[i-1].holder && p.at.Sub(sim.promotions[i-1].at) < minHolderChange {
					t.Errorf("%s promoted %v after %s", p.holder, p.at.Sub(sim.promotions[i-1].at), sim.promotions[i-1].holder)
				}
			}
		})
	}
}

// A campaign has replaced a primary, and the next one crashes before the replicas are resumed. The
// later campaign has paused them for its own term by then: a resumed replica could confirm the
// crashed primary when it restarts.
func TestReplicasPausedByLaterCampaignAreNotResumed(t *testing.T) {
	for seed := uint64(60); seed < 72; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 2)
			sim.callers.pauseFactor = 4
			sim.addEndpoint("e-d", "a", false).lag = 0
			for _, id := range []types.Endpoint{"e-b", "e-c"} { // so that e-d becomes the primary
				sim.endpoints[id].lag = 200 * time.Millisecond
			}
			openAll(sim)
			sim.runFor(time.Second)
			sim.endpoints["e-a"].crash()
			var next *endpointSim
			for limit := sim.now.Add(5 * time.Second); next == nil && sim.now.Before(limit); {
				sim.runFor(time.Millisecond)
				for _, e := range sim.sortedEndpoints() {
					if e.alive && e.primary {
						next = e
					}
				}
			}
			if next == nil {
				t.Fatal("the crashed primary is not replaced")
			}
			sim.endpoints["e-a"].restart()
			sim.runFor(time.Duration(100+sim.rng.IntN(500)) * time.Millisecond)
			next.crash()
			sim.runFor(3 * time.Second)
			next.restart()
			sim.runFor(6 * time.Second)
			for _, e := range sim.sortedEndpoints() {
				if e.shortestPause != 0 && e.shortestPause < lead.DemotionDelay {
					t.Errorf("replica %s was resumed %v after it was paused", e.id, e.shortestPause)
				}
			}
			sim.reportViolations()
			sim.expectRecentWrite(time.Second)
		})
	}
}

// Guards against a campaign that goes on after another host has replaced the primary: the record of that
// arrives while the campaign queries the replicas, and its claim follows that record.
func TestCampaignEndsIfPrimaryWasReplacedBeforeClaim(t *testing.T) {
	for _, planned := range []bool{true, false} {
		t.Run(fmt.Sprintf("planned=%v", planned), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 47, 2)
			openAll(sim)
			sim.runFor(3 * time.Second)
			sim.endpoints["e-b"].statusDelay = 250 * time.Millisecond
			sim.endpoints["e-c"].statusDelay = 400 * time.Millisecond
			old := sim.endpoints["e-a"]
			if planned {
				old.leaving = true
				old.register()
			} else {
				old.crash()
			}
			started := func() bool {
				for _, h := range sim.sortedHosts() {
					for _, l := range h.logs {
						if l.Event == "campaign started" {
							return true
						}
					}
				}
				return false
			}
			for start := sim.now; !started() && sim.now.Sub(start) < 3*time.Second; {
				sim.runFor(time.Millisecond)
			}
			old.execute(lead.OpStepDown, old.term+1)
			sim.endpoints["e-b"].becomePrimary()
			record := catalog.Leadership{Service: testService, FencingToken: 9, Holder: "h-b0", Primary: "e-b", WriteID: 1}
			sim.store.put(proxy.KindLeadership, string(testService), proxy.Change{Leadership: &record})
			sim.runFor(2 * time.Second)
			is.Equal(sim.leadershipHolder(), types.Host("h-b0"))
			is.Equal(len(sim.promotions), 0)
		})
	}
}
