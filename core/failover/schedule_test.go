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
	fixedSeed   = "1"
	fixedChecks = "150"
	faultPhase  = 4 * time.Second
	healPhase   = 8 * time.Second
)

// TestMain sets the seed and the number of schedules, which the command line
// can override.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": fixedSeed, "rapid.checks": fixedChecks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fault is one disturbance of a schedule.
type fault struct {
	kind     string
	a, b     int
	at, last time.Duration
}

var faultKinds = []string{
	"kill endpoint", "crash host", "pause host", "cut off", "cut in", "cut out", "one-way",
	"lose answers", "silent connection", "lag", "late messages", "two owners", "planned change", "set change", "change between owners", "old configuration",
}

func drawFault(t *rapid.T) fault {
	return fault{
		kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		a:    rapid.IntRange(0, 2).Draw(t, "a"),
		b:    rapid.IntRange(0, 3).Draw(t, "b"),
		at:   time.Duration(rapid.IntRange(1000, 3000).Draw(t, "at")) * time.Millisecond,
		last: time.Duration(rapid.IntRange(50, 2000).Draw(t, "last")) * time.Millisecond,
	}
}

// cut blocks messages between one data centre and the others.
func (w *world) cut(dc int, in, out bool, d time.Duration) {
	inside := func(i int) bool { return i%3 == dc }
	for i := range 4 {
		for j := range 4 {
			if inside(i) == inside(j) {
				continue
			}
			for _, from := range []string{fmt.Sprint("h", i+1), fmt.Sprint("e", i+1)} {
				for _, to := range []string{fmt.Sprint("h", j+1), fmt.Sprint("e", j+1)} {
					if (inside(i) && out) || (inside(j) && in) {
						w.block(from, to, d)
					}
				}
			}
		}
	}
}

func (w *world) block(from, to string, d time.Duration) {
	w.blocked[from+">"+to] = true
	w.after(d, func() { delete(w.blocked, from+">"+to) })
}

func (w *world) inject(f fault) {
	h, e := w.hosts[f.a], w.endpoints[f.b]
	switch f.kind {
	case "kill endpoint":
		e.crash(f.last)
	case "crash host":
		h.crash(f.last)
	case "pause host":
		h.pausedUntil = w.now + f.last
	case "cut off":
		w.cut(f.a, true, true, f.last)
	case "cut in":
		w.cut(f.a, true, false, f.last)
	case "cut out":
		w.cut(f.a, false, true, f.last)
	case "one-way":
		w.block(string(h.id), string(e.id), f.last)
	case "lose answers":
		w.block(string(e.id), string(h.id), f.last)
	case "silent connection":
		h.silent[e.id] = true
	case "lag":
		e.lagging = true
		w.after(f.last, func() { e.lagging = false })
	case "late messages":
		w.spikePct = 20
		w.after(f.last, func() { w.spikePct = 0 })
	case "two owners":
		w.disagree(e.id, f.last)
	case "planned change":
		w.plannedChange(e.id)
	case "change between owners":
		w.changeBetweenOwners(e.id, f.last)
	case "old configuration":
		h.configuredAt = w.now + f.last
	case "set change":
		sets := [][]types.Endpoint{{"e1", "e2", "e4"}, {"e2", "e3", "e4"}, {"e1", "e2", "e3"}, {"e1", "e2", "e3", "e4"}}
		w.changeSet(sets[f.b], f.last/4)
	}
}

func (w *world) plannedChange(to types.Endpoint) {
	if h := w.primaryHost(); h != nil {
		h.step(failover.PlannedChange{To: to})
	}
}

// changeBetweenOwners lets one of two owners of the primary change it while the
// other receives no answers from the endpoints.
func (w *world) changeBetweenOwners(to types.Endpoint, d time.Duration) {
	h := w.primaryHost()
	if h == nil {
		return
	}
	w.disagree(h.m.View().Primary, d)
	w.after(d/4, func() {
		for _, e := range w.endpoints {
			w.block("h4", string(e.id), d)
		}
		w.plannedChange(to)
	})
}

// disagree lets host h4 act as an owner beside the old one for a time.
func (w *world) disagree(e types.Endpoint, d time.Duration) {
	changed := maps.Clone(homes)
	changed[e] = "h4"
	w.host("h4").setOwners(changed)
	w.after(d/2, func() { w.hosts[1].setOwners(changed) })
	w.after(d, func() {
		w.host("h4").setOwners(homes)
		w.hosts[1].setOwners(homes)
	})
}

// TestSchedules runs random faults against the machines. Run more schedules
// with -rapid.checks and other ones with -rapid.seed.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.knowsQuiet = rapid.Bool().Draw(t, "knows quiet")
		w.slowPct = rapid.IntRange(0, 40).Draw(t, "slow")
		w.lossPct = rapid.IntRange(0, 3).Draw(t, "loss")
		w.dupPct = rapid.IntRange(0, 5).Draw(t, "duplicates")
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 6).Draw(t, "faults")
		for _, f := range faults {
			w.at(f.at, func() { w.inject(f) })
		}
		w.load(25*time.Millisecond, faultPhase+healPhase)
		w.run(faultPhase + healPhase)
		if w.violation != "" {
			t.Fatal(w.violation)
		}
		w.checkHealed(t)
	})
}

// checkHealed checks that writes were acknowledged again after the last fault.
func (w *world) checkHealed(t *rapid.T) {
	acks := w.truth.acks
	if len(acks) == 0 || acks[len(acks)-1].time < w.now-time.Second {
		t.Fatalf("no write acknowledged in the last second of %v", w.now)
	}
}
