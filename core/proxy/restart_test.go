package proxy_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/proxy"
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

// The owner of the primary is suspended, and a host with statements there is killed and started
// again. The results of those statements must not reach the callers of the new process, and its
// transactions must not continue the old ones.
func TestResultsForKilledHostReachNoOtherCaller(t *testing.T) {
	const killed = types.Host("h-b0")
	for _, kind := range []string{"read", "write", "tx"} {
		for wait := 50 * time.Millisecond; wait <= 150*time.Millisecond; wait += 50 * time.Millisecond {
			t.Run(fmt.Sprintf("%s/%v", kind, wait), func(t *testing.T) {
				sim := newSimulation(t, 34, 1)
				// The killed process has sent nothing before, as the new one has not.
				for range 10 {
					sim.callers.openSession(killed, "primary-db", kind)
				}
				sim.setSuspended("h-a0", true)
				sim.runFor(wait)
				sim.killHost(killed)
				sim.startHost(killed, "b")
				sim.runFor(100 * time.Millisecond)
				sim.setSuspended("h-a0", false)
				sim.runFor(3 * time.Second)
				sim.reportViolations()
				sim.expectRecentWriteOrRead(time.Second)
			})
		}
	}
}

// expectRecentWriteOrRead fails the test if no operation succeeded within the given time.
func (sim *simulation) expectRecentWriteOrRead(limit time.Duration) {
	sim.t.Helper()
	if age := sim.now.Sub(sim.callers.lastOK); age > limit {
		sim.t.Errorf("no operation succeeded for %v", age)
	}
}

// A reply to an earlier attempt, or to an earlier process of the host, must not match a later
// request. So no number may be sent for two of them.
func TestNumbersOfRequestsAreNotReused(t *testing.T) {
	type sender struct {
		host types.Host
		kind string
	}
	seen := map[sender]map[uint64]string{}
	for seed := uint64(35); seed < 40; seed++ {
		sim := newSimulation(t, seed, 2)
		clear(seen)
		use := func(from types.Host, kind string, number uint64, what string) {
			key := sender{from, kind}
			if seen[key] == nil {
				seen[key] = map[uint64]string{}
			}
			if earlier, ok := seen[key][number]; ok && (earlier != what || kind != "transaction") {
				sim.recordViolation("%s of %s: number %d is used for %s and for %s", kind, from, number, earlier, what)
			}
			seen[key][number] = what
		}
		sim.isLost = func(from types.Host, msg proxy.Message) bool {
			process := fmt.Sprintf("process %d", sim.hosts[from].incarnation)
			switch msg := msg.(type) {
			case proxy.ExecRequest:
				use(from, "request", uint64(msg.ID), process+", statement "+msg.Query.ID)
				if msg.Tx != 0 {
					use(from, "transaction", uint64(msg.Tx), process+", caller "+callerOf(msg.Query.ID))
				}
			case proxy.PositionRequest:
				use(from, "position request", msg.Seq, process)
			}
			return false
		}
		openAll(sim)
		for range 8 {
			injectFault(sim)
			h := sim.sortedHosts()[sim.rng.IntN(len(sim.hosts))]
			if h.alive {
				sim.killHost(h.id)
				sim.startHost(h.id, h.dc)
			}
		}
		sim.heal()
		sim.runFor(3 * time.Second)
		sim.reportViolations()
	}
}

// The first lists of a new process may be seconds old, and show an endpoint that has begun to leave
// since as one that stays. No other host tells it. The endpoint must get no new work from it after
// the bound, and the primary that has replaced a leaving one is used.
func TestRestartedHostWithOldListsUsesNoEndpointThatLeaves(t *testing.T) {
	for seed := uint64(40); seed < 46; seed++ {
		sim := newSimulation(t, seed, 2)
		sim.callers.pauseFactor = 4
		openAll(sim)
		sim.runFor(time.Second)
		sim.store.staleObjects, sim.store.staleAsOf = maps.Clone(sim.store.current), sim.store.revision
		for _, id := range []types.Endpoint{"e-a", "e-b"} {
			sim.endpoints[id].leaving = true
			sim.endpoints[id].register()
		}
		sim.runFor(time.Duration(4000+sim.rng.IntN(2900)) * time.Millisecond)
		sim.watchesSilent = true
		sim.loseGossip()
		for _, h := range sim.sortedHosts() {
			sim.killHost(h.id)
			sim.startHost(h.id, h.dc)
		}
		sim.runFor(6 * time.Second)
		sim.reportViolations()
		sim.expectRecentWriteOrRead(time.Second)
	}
}

// A host's clock is set back before it restarts, so that its start time is lower than that of its
// earlier process, which announced that it leaves. The other hosts must use it again: its record in
// the store is the newer one.
func TestHostWhoseClockWasSetBackIsUsedAgain(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 50, 1)
	sim.callers.pauseFactor = 4
	openAll(sim)
	sim.runFor(time.Second)
	owner := sim.ownerOfFirst()
	is.Equal(owner, types.Host("h-a0"))
	sim.deliver(sim.hosts[owner], proxy.Stop{Grace: 2 * time.Second})
	sim.runFor(3 * time.Second)
	is.True(sim.hosts[owner].exited)
	is.True(sim.ownerOfFirst() != owner)
	sim.hosts[owner].clockOffset = -1000
	sim.startHost(owner, "a")
	sim.runFor(3 * time.Second)
	is.Equal(sim.ownerOfFirst(), owner)
	sim.reportViolations()
	sim.expectRecentWrite(500 * time.Millisecond)
}
