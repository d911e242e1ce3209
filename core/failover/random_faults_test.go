package failover_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
)

const (
	defaultSeed         = "1"
	defaultChecks       = "150"
	faultPhaseLength    = 4 * time.Second
	recoveryPhaseLength = 8 * time.Second
)

// TestMain sets default values of rapid's flags. The command line overrides them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": defaultSeed, "rapid.checks": defaultChecks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fault is one fault of a schedule. hostIndex and endpointIndex select its target.
type fault struct {
	kind                     string
	hostIndex, endpointIndex int
	startsAt, duration       time.Duration
}

var faultKinds = []string{
	"crash endpoint", "crash host", "pause host", "isolate data centre", "block inbound", "block outbound", "block queries",
	"block responses", "stall connection", "replication lag", "delay messages", "two owners", "planned change", "set change", "planned change with two owners", "stale specification",
}

func drawFault(t *rapid.T) fault {
	return fault{
		kind:          rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		hostIndex:     rapid.IntRange(0, 2).Draw(t, "host"),
		endpointIndex: rapid.IntRange(0, 3).Draw(t, "endpoint"),
		startsAt:      time.Duration(rapid.IntRange(1000, 3000).Draw(t, "starts at")) * time.Millisecond,
		duration:      time.Duration(rapid.IntRange(50, 2000).Draw(t, "duration")) * time.Millisecond,
	}
}

// blockDataCentre blocks the messages from other data centres to this one, the
// messages in the other direction, or both, for a time. The hosts and endpoints with
// index i are in data centre i modulo 3.
func (sim *simulation) blockDataCentre(dc int, in, out bool, d time.Duration) {
	inside := func(i int) bool { return i%3 == dc }
	for i := range 4 {
		for j := range 4 {
			if inside(i) == inside(j) {
				continue
			}
			for _, from := range []string{fmt.Sprint("h", i+1), fmt.Sprint("e", i+1)} {
				for _, to := range []string{fmt.Sprint("h", j+1), fmt.Sprint("e", j+1)} {
					if (inside(i) && out) || (inside(j) && in) {
						sim.blockLink(from, to, d)
					}
				}
			}
		}
	}
}

func (sim *simulation) blockLink(from, to string, d time.Duration) {
	sim.blockedLinks[from+">"+to] = true
	sim.scheduleAfter(d, func() { delete(sim.blockedLinks, from+">"+to) })
}

func (sim *simulation) injectFault(f fault) {
	h, e := sim.hosts[f.hostIndex], sim.endpoints[f.endpointIndex]
	switch f.kind {
	case "crash endpoint":
		e.crash(f.duration)
	case "crash host":
		h.crash(f.duration)
	case "pause host":
		h.pausedUntil = sim.now + f.duration
	case "isolate data centre":
		sim.blockDataCentre(f.hostIndex, true, true, f.duration)
	case "block inbound":
		sim.blockDataCentre(f.hostIndex, true, false, f.duration)
	case "block outbound":
		sim.blockDataCentre(f.hostIndex, false, true, f.duration)
	case "block queries":
		sim.blockLink(string(h.id), string(e.id), f.duration)
	case "block responses":
		sim.blockLink(string(e.id), string(h.id), f.duration)
	case "stall connection":
		h.stalled[e.id] = true
	case "replication lag":
		e.lagging = true
		sim.scheduleAfter(f.duration, func() { e.lagging = false })
	case "delay messages":
		sim.longDelayPercent = 20
		sim.scheduleAfter(f.duration, func() { sim.longDelayPercent = 0 })
	case "two owners":
		sim.assignSecondOwner(e.id, f.duration)
	case "planned change":
		sim.plannedChange(e.id)
	case "planned change with two owners":
		sim.plannedChangeWithTwoOwners(e.id, f.duration)
	case "stale specification":
		h.acceptsSpecAt = sim.now + f.duration
	case "set change":
		sets := [][]types.Endpoint{{"e1", "e2", "e4"}, {"e2", "e3", "e4"}, {"e1", "e2", "e3"}, {"e1", "e2", "e3", "e4"}}
		sim.changeSet(sets[f.endpointIndex], f.duration/4)
	}
}

func (sim *simulation) plannedChange(to types.Endpoint) {
	if h := sim.primaryHost(); h != nil {
		h.stepMachine(failover.PlannedChange{To: to})
	}
}

// plannedChangeWithTwoOwners gives the primary a second owner, h4, that receives no
// responses from the endpoints. One of the two owners then starts a planned change.
func (sim *simulation) plannedChangeWithTwoOwners(to types.Endpoint, d time.Duration) {
	h := sim.primaryHost()
	if h == nil {
		return
	}
	sim.assignSecondOwner(h.machine.View().Primary, d)
	sim.scheduleAfter(d/4, func() {
		for _, e := range sim.endpoints {
			sim.blockLink("h4", string(e.id), d)
		}
		sim.plannedChange(to)
	})
}

// assignSecondOwner makes host h4 an owner of the endpoint in addition to its owner,
// for a time. Host h2 receives the change after half of the time, other hosts never.
func (sim *simulation) assignSecondOwner(e types.Endpoint, d time.Duration) {
	owners := maps.Clone(defaultOwners)
	owners[e] = "h4"
	sim.host("h4").setOwners(owners)
	sim.scheduleAfter(d/2, func() { sim.hosts[1].setOwners(owners) })
	sim.scheduleAfter(d, func() {
		sim.host("h4").setOwners(defaultOwners)
		sim.hosts[1].setOwners(defaultOwners)
	})
}

// TestInvariantsUnderRandomFaults checks the invariants of the machines under random
// schedules of faults. The flag -rapid.checks sets the number of schedules and
// -rapid.seed selects other ones.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		sim.reportsAuthorityIdle = rapid.Bool().Draw(t, "reports authority idle")
		sim.slowWritePercent = rapid.IntRange(0, 40).Draw(t, "slow writes")
		sim.lossPercent = rapid.IntRange(0, 3).Draw(t, "loss")
		sim.duplicatePercent = rapid.IntRange(0, 5).Draw(t, "duplicates")
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 6).Draw(t, "faults")
		for _, f := range faults {
			sim.scheduleAt(f.startsAt, func() { sim.injectFault(f) })
		}
		sim.scheduleWrites(25*time.Millisecond, faultPhaseLength+recoveryPhaseLength)
		sim.runUntil(faultPhaseLength + recoveryPhaseLength)
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
		sim.checkRecovered(t)
	})
}

// checkRecovered checks that a write was acknowledged in the last second.
func (sim *simulation) checkRecovered(t *rapid.T) {
	acks := sim.history.acks
	if len(acks) == 0 || acks[len(acks)-1].time < sim.now-time.Second {
		t.Fatalf("no write acknowledged in the last second of %v", sim.now)
	}
}
