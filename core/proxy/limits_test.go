package proxy_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

// newLimitedSimulation returns a simulation with two workspaces, each with its key, and the limit of
// one of them.
func newLimitedSimulation(t *testing.T, seed uint64, rate, burst float64) *simulation {
	sim := newSimulation(t, seed, 3)
	sim.configureWorkspaces(2, []catalog.Workspace{
		{Name: "limited", Keys: []string{"key-1"}, Rate: rate, Burst: burst},
		{Name: "small", Keys: []string{"key-2"}, Rate: 200, Burst: 200},
		{Name: "free", Keys: []string{"key-3"}},
	}, "primary-db", "bounded-db", "own-db")
	sim.runFor(maxConfigDelay)
	return sim
}

// openWorkspace opens sessions of all kinds of operations on all hosts.
func (sim *simulation) openWorkspace(key string, perHost int) []*callerSim {
	var out []*callerSim
	kinds := []string{"read", "write", "tx", "readtx"}
	for i, h := range sim.sortedHosts() {
		for j := range perHost {
			kind := kinds[(i+j)%len(kinds)]
			out = append(out, sim.callers.openSessionWithKey(h.id, "primary-db", kind, key))
		}
	}
	return out
}

// totals returns the times of the successful operations and the number of those that were refused
// for the limit.
func totals(sessions []*callerSim) (okAt []types.Time, limited int) {
	for _, s := range sessions {
		okAt = append(okAt, s.okAt...)
		limited += len(s.limitedAt)
	}
	slices.Sort(okAt)
	return okAt, limited
}

// checkLimit fails the test if more operations succeeded in 5 s than the limit allows.
func checkLimit(t *testing.T, okAt []types.Time, rate, burst float64) {
	t.Helper()
	bound := int((rate*5+burst)*1.1 + 20)
	for i := bound; i < len(okAt); i++ {
		if okAt[i].Sub(okAt[i-bound]) < 5*time.Second {
			t.Errorf("%d operations succeeded within %v, the limit allows %d in 5 s", bound+1, okAt[i].Sub(okAt[i-bound]), bound)
			return
		}
	}
}

// A workspace above its limit must be refused, without running the refused operations, and get about
// its limit. The others must be served as before.
func TestWorkspaceAboveItsLimitIsRefused(t *testing.T) {
	const rate, burst = 40, 10
	sim := newLimitedSimulation(t, 61, rate, burst)
	// There are as many connections as sessions, so that no session waits for one.
	above, small := sim.openWorkspace("key-1", 1), sim.openWorkspace("key-2", 1)
	sim.runFor(3 * time.Second)
	_, smallBefore := totals(small)
	sim.runFor(15 * time.Second)
	sim.reportViolations()
	okAt, refused := totals(above)
	checkLimit(t, okAt, rate, burst)
	if perSecond := len(okAt) / 18; refused < 100 || perSecond < rate*3/4 {
		t.Errorf("%d operations of the workspace above its limit were refused, %d a second succeeded", refused, perSecond)
	}
	if s := above[0]; !strings.Contains(s.lastLimited, "retry after") {
		t.Errorf("the refusal is %q", s.lastLimited)
	}
	smallOK, smallRefused := totals(small)
	t.Logf("above the limit: %d succeeded in 18 s, %d refused; below: %d and %d", len(okAt), refused, len(smallOK), smallRefused)
	if len(smallOK) < 1000 || smallRefused > smallBefore {
		t.Errorf("%d operations below the limit succeeded, %d were refused", len(smallOK), smallRefused-smallBefore)
	}
	sim.checkLimitLogs(t)
}

// checkLimitLogs checks that the refusals and the limited workspace appear in the logs, and no key.
func (sim *simulation) checkLimitLogs(t *testing.T) {
	t.Helper()
	events := map[string]int{}
	for _, h := range sim.sortedHosts() {
		for _, l := range h.logs {
			events[l.Event]++
			if text := fmt.Sprint(l.Fields); strings.Contains(text, "key-") {
				t.Errorf("the log line %q holds a key: %s", l.Event, text)
			}
		}
	}
	for _, event := range []string{"operation above the limit", "workspace above its limit", "limit allocator changed"} {
		if events[event] == 0 {
			t.Errorf("no log line %q", event)
		}
	}
}

// The limit must hold, and refused operations must not run, while allocators and owners are killed,
// suspended and partitioned.
func TestLimitHoldsWithFaults(t *testing.T) {
	const rate, burst = 40, 10
	for seed := uint64(62); seed < 66; seed++ {
		sim := newLimitedSimulation(t, seed, rate, burst)
		above := sim.openWorkspace("key-1", 3)
		for range 8 {
			injectFault(sim)
			sim.runFor(time.Duration(sim.rng.IntN(1500)) * time.Millisecond)
		}
		sim.heal()
		sim.runFor(5 * time.Second)
		sim.reportViolations()
		okAt, _ := totals(above)
		checkLimit(t, okAt, rate, burst)
		sim.expectRecentWriteOrRead(500 * time.Millisecond)
	}
}

// Without a limit, no message about limits is sent.
func TestNoLimitMessagesWithoutLimits(t *testing.T) {
	sim := newLimitedSimulation(t, 67, 0, 0)
	sim.configureWorkspaces(3, []catalog.Workspace{{Name: "free", Keys: []string{"key-3"}}}, "primary-db", "bounded-db", "own-db")
	sim.runFor(maxConfigDelay)
	sent := 0
	sim.isLost = func(_ types.Host, msg proxy.Message) bool {
		switch msg.(type) {
		case proxy.LimitReport, proxy.LimitGrant:
			sent++
		}
		return false
	}
	free := sim.openWorkspace("key-3", 2)
	sim.runFor(5 * time.Second)
	sim.reportViolations()
	if ok, refused := totals(free); len(ok) < 200 || refused > 0 {
		t.Errorf("%d operations succeeded, %d were refused", len(ok), refused)
	}
	if sent > 0 {
		t.Errorf("%d messages about limits were sent", sent)
	}
}

// Owners that are weaker than half of the most powerful host must have a share of the limits. They own
// the endpoints of a data centre without a strong host, and without a share they would refuse all
// operations while the strong hosts are cut off.
func TestWeakOwnersHaveShareOfLimits(t *testing.T) {
	const rate, burst = 40, 10
	sim := newSimulation(t, 68, 5)
	for _, h := range sim.sortedHosts() {
		h.cpuMillicores = 300
		if h.id == "h-a3" {
			h.cpuMillicores = 800
		}
		sim.killHost(h.id)
		sim.startHost(h.id, h.dc)
	}
	sim.configureWorkspaces(2, []catalog.Workspace{{Name: "limited", Keys: []string{"key-1"}, Rate: rate, Burst: burst}}, "primary-db", "bounded-db", "own-db")
	sim.runFor(10 * time.Second)
	owned := 0
	for _, e := range sim.hosts["h-b0"].machine.DebugState(sim.now).Services[0].Endpoints {
		if sim.hosts[e.Owner].cpuMillicores == 300 {
			owned++
		}
	}
	if owned != 2 {
		t.Fatalf("weak hosts own %d endpoints", owned)
	}
	var above []*callerSim
	for range 4 {
		above = append(above, sim.callers.openSessionWithKey("h-b0", "primary-db", "write", "key-1"))
	}
	sim.runFor(time.Second)
	sim.cutDataCentre("a", true)
	sim.runFor(8 * time.Second)
	before, _ := totals(above)
	sim.runFor(5 * time.Second)
	sim.reportViolations()
	okAt, refused := totals(above)
	checkLimit(t, okAt, rate, burst)
	if n := len(okAt) - len(before); n < rate {
		t.Errorf("%d operations succeeded in 5 s without the strong hosts, %d were refused", n, refused)
	}
}
