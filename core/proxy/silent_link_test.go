package proxy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

// silenceLinks makes a percentage of the links between hosts silent, each direction for itself.
func (sim *simulation) silenceLinks(percent int) {
	for _, a := range sim.sortedHosts() {
		for _, b := range sim.sortedHosts() {
			if a != b && sim.rng.IntN(100) < percent {
				sim.silent[[2]types.Host{a.id, b.id}] = true
			}
		}
	}
}

// Links fall silent without an error. What they lose is settled on new links within a second: no
// caller is left without an outcome, and nothing runs twice.
func TestSilentLinksAreReplacedAndRequestsSettled(t *testing.T) {
	for seed := uint64(300); seed < 310; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, seed, 3)
			sim.callers.pauseFactor = servablePauses
			openAll(sim)
			sim.runFor(2 * time.Second)
			sim.silenceLinks(30 + 10*int(seed%7))
			sim.runFor(time.Second)
			ok := sim.callers.ok
			sim.runFor(time.Second)
			is.True(sim.callers.ok-ok > 20)
			sim.runFor(3 * time.Second)
			sim.reportViolations()
			is.Equal(sim.callers.unknown, 0)
			is.True(sim.callers.refused <= 3) // transactions whose statement was running
		})
	}
}

// While links are silent, hosts are suspended or restarted, the primary crashes, and more links fall
// silent. A request that an earlier process of the owner may have run must not be sent again.
func TestSilentLinksBesideOtherFaults(t *testing.T) {
	for seed := uint64(320); seed < 350; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 2)
			sim.callers.pauseFactor = 3
			openAll(sim)
			sim.runFor(time.Second)
			for range 6 {
				sim.silenceLinks(70)
				sim.runFor(time.Duration(sim.rng.IntN(500)) * time.Millisecond)
				injectFault(sim)
			}
			sim.heal()
			sim.runFor(5 * time.Second)
			sim.reportViolations()
			sim.expectRecentWrite(2 * time.Second)
		})
	}
}

// The owner has run a write, is killed, and starts again, while the link that carried the write is
// silent, so that the frontend does not notice. The new process has not received the write, but must
// not make the frontend send it again.
func TestRestartedOwnerDoesNotSettleRequestsOfEarlierProcess(t *testing.T) {
	for after := time.Duration(0); after <= 60*time.Millisecond; after += 5 * time.Millisecond {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			sim := newSimulation(t, 351, 1)
			for range 10 {
				sim.callers.openSession("h-b0", "primary-db", "write")
			}
			sim.runFor(10 * time.Millisecond)
			sim.isLost = func(from types.Host, msg proxy.Message) bool {
				_, isResult := msg.(proxy.ExecResult)
				return isResult && from == "h-a0" && sim.hosts["h-a0"].incarnation == 1
			}
			sim.runFor(after)
			sim.silent[[2]types.Host{"h-b0", "h-a0"}], sim.silent[[2]types.Host{"h-a0", "h-b0"}] = true, true
			sim.killHost("h-a0")
			sim.startHost("h-a0", "a")
			sim.runFor(3 * time.Second)
			sim.reportViolations()
			sim.expectRecentWrite(time.Second)
		})
	}
}

// A host of an earlier build ignores the messages by which links are replaced and requests settled.
func TestSilentLinksBesideEarlierBuild(t *testing.T) {
	for seed := uint64(360); seed < 366; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 2)
			sim.callers.pauseFactor = servablePauses
			sim.isLost = func(_ types.Host, msg proxy.Message) bool {
				switch msg.(type) {
				case proxy.ReopenLink, proxy.OutstandingRequests, proxy.RequestsNotReceived:
					return true
				}
				return false
			}
			openAll(sim)
			sim.runFor(2 * time.Second)
			sim.silenceLinks(40)
			sim.runFor(8 * time.Second)
			sim.reportViolations()
			sim.expectRecentWriteOrRead(time.Second)
		})
	}
}

// The owner forgets a request before its time limit, which is long on this route. The frontend must
// not ask about it then: the owner would say that it has not received it, and the write would run
// again.
func TestForgottenRequestIsNotSentAgain(t *testing.T) {
	sim := newSimulation(t, 370, 1)
	sim.store.put(proxy.KindConfig, "main", proxy.Change{Config: &catalog.Config{
		Version: 2, Services: []catalog.Service{{Name: testService, MaxConnections: 40}},
		Routes: []catalog.Route{{Database: "primary-db", Service: testService, StatementTimeout: 30 * time.Second, TargetLatency: 250 * time.Millisecond}},
	}})
	sim.runFor(time.Second)
	sim.isLost = func(_ types.Host, msg proxy.Message) bool {
		_, isResult := msg.(proxy.ExecResult)
		return isResult
	}
	sim.callers.openSession("h-b0", "primary-db", "write")
	heard := func() { sim.deliver(sim.hosts["h-b0"], proxy.PeerMessage{From: "h-a0", Message: proxy.Pong{}}) }
	for range 150 {
		heard() // so that the link does not count as silent
		sim.runFor(100 * time.Millisecond)
	}
	sim.isLost = nil
	sim.deliver(sim.hosts["h-b0"], proxy.PeerMessage{From: "h-a0", Message: proxy.ReopenLink{}})
	sim.runFor(2 * time.Second)
	sim.reportViolations()
}
