package limits_test

import (
	"fmt"
	"testing"
	"time"

	"baobabfield.example/core/limits"
	"baobabfield.example/core/random"
)

// A deployment without faults must refuse nearly nothing below the limit, also when the load moves
// to other hosts every second. All workspaces move all of their load then, which is the worst case.
func TestCalmFleetRefusesNearlyNothingBelowLimit(t *testing.T) {
	for _, c := range []struct {
		hosts, workspaces int
		total, load       float64
		moves             bool
		most              float64
	}{
		{hosts: 8, workspaces: 84, total: 1500, load: 0.62, most: 0.001},
		{hosts: 8, workspaces: 84, total: 1500, load: 0.88, most: 0.005},
		{hosts: 8, workspaces: 84, total: 1500, load: 0.62, moves: true, most: 0.001},
		{hosts: 8, workspaces: 84, total: 1500, load: 0.88, moves: true, most: 0.02},
		{hosts: 30, workspaces: 20, total: 1500, load: 0.88, moves: true, most: 0.02},
		{hosts: 134, workspaces: 10, total: 1500, load: 0.88, moves: true, most: 0.02},
	} {
		t.Run(fmt.Sprintf("%d-%d-%.2f-%v", c.hosts, c.workspaces, c.load, c.moves), func(t *testing.T) {
			f := newFleet(t, 1, c.hosts, zipfLimits(c.workspaces, c.total))
			f.generate(c.load)
			f.runFor(10 * time.Second)
			f.resetCounts()
			for range 20 {
				if c.moves {
					f.moveLoad()
				}
				f.runFor(time.Second)
			}
			got, ideal := f.refusedFraction()
			worst := f.checkBound(0)
			t.Logf("refused %.4f %%, one bucket would refuse %.4f %%; worst span %.2f of the bound; %d messages, %.1f entries each",
				100*got, 100*ideal, worst, f.messages, float64(f.entries)/float64(f.messages))
			if got > ideal+c.most {
				t.Errorf("refused %.4f of the operations, one bucket would refuse %.4f", got, ideal)
			}
		})
	}
}

// Nearly all operations below the limit must be admitted at once. An operation that waits for a
// single token waits for the next report, a round trip and the allocator's processor.
func TestCalmFleetAdmitsWithoutWait(t *testing.T) {
	for _, c := range []struct {
		hosts, owners, workspaces int
		moves                     bool
		most                      float64
	}{
		{hosts: 8, workspaces: 84, most: 0.03},
		{hosts: 8, workspaces: 84, moves: true, most: 0.06},
		{hosts: 134, owners: 24, workspaces: 84, most: 0.06},
	} {
		t.Run(fmt.Sprintf("%d-%d-%d-%v", c.hosts, c.owners, c.workspaces, c.moves), func(t *testing.T) {
			f := newFleet(t, 1, c.hosts, zipfLimits(c.workspaces, 1500))
			f.owners = c.owners
			f.generate(0.62)
			f.runFor(10 * time.Second)
			f.resetCounts()
			const seconds = 20
			for range seconds {
				if c.moves {
					f.moveLoad()
				}
				f.runFor(time.Second)
			}
			refused, ideal := f.refusedFraction()
			pending, mean, p99 := f.waits()
			t.Logf("pending %.2f %%, mean wait %v, 99th percentile %v; refused %.4f %%; per host and second %.1f messages with %.1f entries; worst span %.2f of the bound",
				100*pending, mean, p99, 100*refused, float64(f.messages)/float64(c.hosts)/seconds, float64(f.entries)/float64(c.hosts)/seconds, f.checkBound(0))
			if pending > c.most {
				t.Errorf("%.4f of the operations were pending", pending)
			}
			if refused > ideal+0.001 {
				t.Errorf("refused %.4f of the operations, one bucket would refuse %.4f", refused, ideal)
			}
		})
	}
}

// A workspace above its limit gets about its limit.
func TestOverloadedWorkspaceGetsItsLimit(t *testing.T) {
	f := newFleet(t, 2, 30, zipfLimits(10, 1000))
	f.generate(4)
	f.runFor(5 * time.Second)
	before := map[string]int{}
	for _, l := range f.limits {
		before[string(l.Workspace)] = len(f.workspaces[l.Workspace].ran)
	}
	const seconds = 20
	f.runFor(seconds * time.Second)
	f.checkBound(0)
	for _, l := range f.limits {
		rate := float64(len(f.workspaces[l.Workspace].ran)-before[string(l.Workspace)]) / seconds
		t.Logf("%s: limit %.1f, ran %.1f a second", l.Workspace, l.Rate, rate)
		if rate < 0.9*l.Rate {
			t.Errorf("%s ran %.1f operations a second, its limit is %.1f", l.Workspace, rate, l.Rate)
		}
	}
}

// The bound must hold in every span with faults of all kinds: partitions, killed and frozen hosts,
// lost, late and doubled messages, different opinions on the allocator, added and removed hosts, and
// limits that change.
func TestBoundHoldsWithFaults(t *testing.T) {
	for seed := uint64(1); seed <= 24; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := random.New(seed)
			hosts := 30 + rng.IntN(105)
			list := zipfLimits(8, 600)
			for i := range list {
				list[i].Burst *= rng.Float64() // a small burst leaves the least slack in the bound
			}
			f := newFleet(t, seed, hosts, list)
			f.generate(3)
			f.runFor(3 * time.Second)
			for range 25 {
				f.injectFaultOf(allFaults)
				f.runFor(time.Duration(f.rng.IntN(1500)) * time.Millisecond)
			}
			f.runFor(6 * time.Second)
			t.Logf("%d hosts, worst span %.2f of the bound", len(f.hosts), f.checkBound(2*time.Second))
		})
	}
}

const (
	faultsWithoutRestart = 7
	allFaults            = 10
)

// injectFaultOf causes or ends a random fault or change, one of the first n kinds.
func (f *fleet) injectFaultOf(n int) {
	h := f.hosts[f.rng.IntN(len(f.hosts))]
	if f.rng.IntN(2) == 0 && len(h.allocatorFor) > 0 {
		h = f.byID[h.allocatorFor[f.rng.IntN(4)]] // faults of allocators matter most
	}
	if h == nil || h.removed {
		return
	}
	switch f.rng.IntN(n) {
	case 0:
		f.partition()
	case 1:
		for _, other := range f.hosts {
			other.side = 0
		}
		f.updateHosts(time.Second)
	case 2:
		f.freeze(h, time.Duration(f.rng.IntN(3500))*time.Millisecond)
	case 7:
		if h.alive {
			f.kill(h)
			f.schedule(time.Duration(300+f.rng.IntN(3000))*time.Millisecond, func() { f.restart(h) })
		}
	case 4:
		f.lost, f.late, f.doubled = 0.3*f.rng.Float64(), 0.3*f.rng.Float64(), 0.3*f.rng.Float64()
	case 5:
		f.lost, f.late, f.doubled = 0, 0, 0
	case 6:
		for _, other := range f.hosts { // half of the hosts choose another allocator
			other.blind[h.id] = f.rng.IntN(2) == 0
		}
		f.updateHosts(time.Second)
	case 3:
		f.moveLoad()
	case 8:
		list := append([]limits.Limit(nil), f.limits...)
		for i := range list {
			factor := 0.5 + f.rng.Float64()
			list[i].Rate *= factor
			list[i].Burst *= factor
		}
		f.setLimits(list, 2*time.Second)
	case 9:
		for range 1 + f.rng.IntN(3) {
			f.start(f.addHost())
		}
		f.moveLoad()
		f.updateHosts(time.Second)
	}
}

// partition puts each host on one of two sides.
func (f *fleet) partition() {
	for _, h := range f.hosts {
		h.side = f.rng.IntN(2)
	}
	f.updateHosts(700 * time.Millisecond)
}

// All hosts restart at once, while loans of the earlier processes may still be in use.
func TestBoundHoldsWhenAllHostsRestart(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second} {
		f := newFleet(t, 7, 30, withBurst(zipfLimits(5, 1000), 0))
		f.generate(4)
		f.runFor(5 * time.Second)
		for _, h := range f.hosts {
			h.alive = false
		}
		f.runFor(pause)
		for _, h := range f.hosts {
			f.start(h)
		}
		f.runFor(6 * time.Second)
		t.Logf("worst span %.2f of the bound", f.checkBound(0))
	}
}

// Three quarters more hosts start at once. They must not add their shares to those of the others.
func TestBoundHoldsWhenManyHostsAreAdded(t *testing.T) {
	for _, hosts := range []int{30, 60, 134} {
		f := newFleet(t, 8, hosts, withBurst(zipfLimits(5, 1000), 0))
		f.generate(4)
		f.runFor(5 * time.Second)
		for range hosts * 3 / 4 {
			f.start(f.addHost())
		}
		f.moveLoad()
		f.updateHosts(3 * time.Second)
		f.runFor(12 * time.Second)
		for _, h := range f.hosts[:hosts*3/4] {
			h.removed, h.alive = true, false
		}
		f.updateHosts(3 * time.Second)
		f.runFor(12 * time.Second)
		t.Logf("%d hosts: worst span %.2f of the bound", hosts, f.checkBound(0))
	}
}

// A deployment without limits must send nothing, and admit everything.
func TestNothingIsSentWithoutLimits(t *testing.T) {
	f := newFleet(t, 9, 30, []limits.Limit{{Workspace: "free"}})
	f.workspaces["free"].limits[0].limit.Rate = 1e9
	for range 1000 {
		f.operate(f.workspaces["free"], f.hosts[f.rng.IntN(30)])
		f.runFor(10 * time.Millisecond)
	}
	if f.messages != 0 {
		t.Errorf("%d messages were sent", f.messages)
	}
	if n := f.workspaces["free"].refused; n != 0 {
		t.Errorf("%d operations were refused", n)
	}
}

// The retries of many refused operations must be spread, not come back together.
func TestRetriesAreSpread(t *testing.T) {
	f := newFleet(t, 10, 8, []limits.Limit{{Workspace: "w", Rate: 20, Burst: 20}})
	f.generate(0)
	f.runFor(5 * time.Second)
	w := f.workspaces["w"]
	for range 200 {
		f.operate(w, f.hosts[0])
	}
	f.runFor(time.Second)
	perSecond := map[time.Duration]int{}
	for _, d := range w.retryTimes {
		perSecond[d.Truncate(500*time.Millisecond)]++
	}
	if len(w.retryTimes) < 100 {
		t.Fatalf("only %d operations were refused", len(w.retryTimes))
	}
	for d, n := range perSecond {
		if n > len(w.retryTimes)/3 {
			t.Errorf("%d of %d retries come back within half a second after %v", n, len(w.retryTimes), d)
		}
	}
}

// At no time may the shares in use exceed the limit, or the tokens the depth, while hosts are frozen
// and partitioned, messages are lost, late and doubled, and hosts disagree on the allocator.
func TestSharesAddUpToTheLimit(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := random.New(seed)
			list := append(zipfLimits(2, 2000), limits.Limit{Workspace: "s0", Rate: 20}, limits.Limit{Workspace: "s1", Rate: 2, Burst: 2})
			f := newFleet(t, seed, 30+rng.IntN(60), list)
			f.skew = 40
			f.generate(0.3 + 2*f.rng.Float64())
			e := f.watchExcess()
			f.runFor(3 * time.Second)
			for range 20 {
				f.injectFaultOf(faultsWithoutRestart)
				f.runFor(time.Duration(f.rng.IntN(1000)) * time.Millisecond)
			}
			t.Logf("%d hosts, highest sum of shares %.6f, of tokens %.6f", len(f.hosts), e.share, e.tokens)
			if e.share > 1+1e-6 || e.tokens > 1+1e-6 {
				t.Errorf("the shares add up to %.6f, the tokens to %.6f of the depth", e.share, e.tokens)
			}
		})
	}
}

// Holders that restart together have forgotten their loans, which an allocator that goes on may still use.
// What the hosts use beyond the limit until the loans have expired must stay below what the bound
// allows in a span.
func TestRestartOfHoldersExceedsTheLimitBriefly(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		f := newFleet(t, seed, 134, zipfLimits(1, 5000)) // enough for shares on most hosts
		f.generate(3)
		f.runFor(5 * time.Second)
		e := f.watchExcess()
		restarted := 0
		for _, h := range f.hosts {
			isAllocator := h.id == f.hosts[0].allocatorFor[limits.GroupOf("w0")]
			if h.machine.IsHolder() && (!isAllocator || seed%2 == 0) {
				f.start(h)
				restarted++
			}
		}
		f.runFor(5 * time.Second)
		t.Logf("%d holders restarted: %.3f s of the rate beyond the limit", restarted, e.seconds)
		if restarted < 63 || e.seconds > 0.45 {
			t.Errorf("%d holders restarted, %.3f s of the rate beyond the limit", restarted, e.seconds)
		}
	}
}
