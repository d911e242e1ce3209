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

// TestMain sets the seed and the number of schedules, which the command line
// can override.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": defaultSeed, "rapid.checks": defaultChecks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fault is one disturbance of a schedule.
type fault struct {
	kind                     string
	hostIndex, endpointIndex int
	startsAt, duration       time.Duration
}

var faultKinds = []string{
	"kill endpoint", "crash host", "pause host", "cut off", "cut in", "cut out", "one-way",
	"lose answers", "silent connection", "lag", "late messages", "two owners", "planned change", "set change", "change between owners", "old configuration",
}

func drawFault(t *rapid.T) fault {
	return fault{
		kind:          rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		hostIndex:     rapid.IntRange(0, 2).Draw(t, "a"),
		endpointIndex: rapid.IntRange(0, 3).Draw(t, "b"),
		startsAt:      time.Duration(rapid.IntRange(1000, 3000).Draw(t, "at")) * time.Millisecond,
		duration:      time.Duration(rapid.IntRange(50, 2000).Draw(t, "last")) * time.Millisecond,
	}
}

// blockDataCentre blocks messages between one data centre and the others.
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
	case "kill endpoint":
		e.crash(f.duration)
	case "crash host":
		h.crash(f.duration)
	case "pause host":
		h.pausedUntil = sim.now + f.duration
	case "cut off":
		sim.blockDataCentre(f.hostIndex, true, true, f.duration)
	case "cut in":
		sim.blockDataCentre(f.hostIndex, true, false, f.duration)
	case "cut out":
		sim.blockDataCentre(f.hostIndex, false, true, f.duration)
	case "one-way":
		sim.blockLink(string(h.id), string(e.id), f.duration)
	case "lose answers":
		sim.blockLink(string(e.id), string(h.id), f.duration)
	case "silent connection":
		h.stalled[e.id] = true
	case "lag":
		e.lagging = true
		sim.scheduleAfter(f.duration, func() { e.lagging = false })
	case "late messages":
		sim.longDelayPct = 20
		sim.scheduleAfter(f.duration, func() { sim.longDelayPct = 0 })
	case "two owners":
		sim.assignSecondOwner(e.id, f.duration)
	case "planned change":
		sim.plannedChange(e.id)
	case "change between owners":
		sim.plannedChangeWithTwoOwners(e.id, f.duration)
	case "old configuration":
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

// plannedChangeWithTwoOwners lets one of two owners of the primary change it while the
// other receives no answers from the endpoints.
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

// assignSecondOwner lets host h4 act as an owner beside the old one for a time.
func (sim *simulation) assignSecondOwner(e types.Endpoint, d time.Duration) {
	changed := maps.Clone(defaultOwners)
	changed[e] = "h4"
	sim.host("h4").setOwners(changed)
	sim.scheduleAfter(d/2, func() { sim.hosts[1].setOwners(changed) })
	sim.scheduleAfter(d, func() {
		sim.host("h4").setOwners(defaultOwners)
		sim.hosts[1].setOwners(defaultOwners)
	})
}

// TestInvariantsUnderRandomFaults runs random faults against the machines. Run more schedules
// with -rapid.checks and other ones with -rapid.seed.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		sim.reportsAuthorityIdle = rapid.Bool().Draw(t, "knows quiet")
		sim.slowWritePct = rapid.IntRange(0, 40).Draw(t, "slow")
		sim.lossPct = rapid.IntRange(0, 3).Draw(t, "loss")
		sim.dupPct = rapid.IntRange(0, 5).Draw(t, "duplicates")
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

// checkRecovered checks that writes were acknowledged again after the last fault.
func (sim *simulation) checkRecovered(t *rapid.T) {
	acks := sim.history.acks
	if len(acks) == 0 || acks[len(acks)-1].time < sim.now-time.Second {
		t.Fatalf("no write acknowledged in the last second of %v", sim.now)
	}
}
