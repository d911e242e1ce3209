package failover_test

import (
	"slices"
	"testing"
	"time"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
)

const (
	gapRuns             = 12
	faultTime           = 3 * time.Second
	writeInterval       = 2 * time.Millisecond
	maxUnplannedGap     = 3 * time.Second
	maxPlannedGap       = time.Second
	steadyStateTime     = 20 * time.Second
	queryBytes          = 78  // the query "SELECT * FROM baobab_status()" with TCP and IP headers
	responseBytes       = 340 // RowDescription, DataRow, CommandComplete and ReadyForQuery with headers
	messagesPerQuery    = 2
	maxQueriesPerSecond = 30 // per host, with three endpoints
)

// gapParts holds the length of a gap in acknowledged writes and of its consecutive
// parts.
type gapParts struct {
	total, detect, fence, wait, promote, resume time.Duration
}

// measureOneGap runs a failover after a fault and returns the gap in acknowledged
// writes.
func measureOneGap(t *testing.T, seed int, reportsIdle bool, injectFault func(sim *simulation, primary *fakeHost)) gapParts {
	t.Helper()
	sim := newSimulation(uint64(seed))
	sim.reportsAuthorityIdle = reportsIdle
	start := faultTime + time.Duration(seed)*failover.DefaultAuthorityWindow/4/gapRuns
	sim.scheduleWrites(writeInterval, start+maxUnplannedGap)
	sim.scheduleAt(start, func() {
		h := sim.primaryHost()
		if h == nil {
			t.Fatalf("seed %d: no host may send writes at %v, before the fault", seed, start)
		}
		injectFault(sim, h)
	})
	sim.runUntil(start + maxUnplannedGap + time.Second)
	if sim.violation != "" {
		t.Fatal(sim.violation)
	}
	return sim.gapPartsAfter(start)
}

// gapPartsAfter returns the longest gap in acknowledged writes that ends after start.
// Its parts come from the notes of the hosts.
func (sim *simulation) gapPartsAfter(start time.Duration) gapParts {
	gapStart, gapEnd := start, start
	for i, a := range sim.history.acks {
		if i > 0 && a.time > start && a.time-sim.history.acks[i-1].time > gapEnd-gapStart {
			gapStart, gapEnd = sim.history.acks[i-1].time, a.time
		}
	}
	parts := gapParts{total: gapEnd - gapStart}
	campaign, fenced, promoted, promotionSent := gapStart, gapStart, gapStart, gapStart
	for _, h := range sim.hosts {
		campaign = max(campaign, h.noteTimeAfter(start, failover.NoteCampaign))
		fenced = max(fenced, h.noteTimeAfter(start, failover.NoteFenced))
		promoted = max(promoted, h.noteTimeAfter(start, failover.NotePromoted))
		promotionSent = max(promotionSent, h.lastPromotionAt)
	}
	parts.detect, parts.fence, parts.wait = campaign-gapStart, fenced-campaign, promotionSent-fenced
	parts.promote, parts.resume = promoted-promotionSent, gapEnd-promoted
	return parts
}

func (h *fakeHost) noteTimeAfter(start time.Duration, kind failover.NoteKind) time.Duration {
	for _, n := range h.notes {
		if n.at >= start && n.note.Kind == kind {
			return n.at
		}
	}
	return 0
}

// measureGaps logs the median parts and the longest gap of gapRuns failovers, and
// checks that no gap exceeds the bound.
func measureGaps(t *testing.T, cause string, reportsIdle bool, bound time.Duration, injectFault func(sim *simulation, primary *fakeHost)) {
	t.Helper()
	var gaps []gapParts
	for seed := range gapRuns {
		gaps = append(gaps, measureOneGap(t, seed, reportsIdle, injectFault))
	}
	median := func(value func(gapParts) time.Duration) time.Duration {
		var durations []time.Duration
		for _, g := range gaps {
			durations = append(durations, value(g))
		}
		slices.Sort(durations)
		return durations[len(durations)/2].Round(time.Millisecond)
	}
	longest := slices.MaxFunc(gaps, func(a, b gapParts) int { return int(a.total - b.total) }).total
	// The columns are those of measureGapsByCause.
	t.Logf("%-18s | %6v | %6v | %6v | %6v | %6v | %6v | %6v", cause, median(func(g gapParts) time.Duration { return g.detect }),
		median(func(g gapParts) time.Duration { return g.fence }), median(func(g gapParts) time.Duration { return g.wait }),
		median(func(g gapParts) time.Duration { return g.promote }), median(func(g gapParts) time.Duration { return g.resume }),
		median(func(g gapParts) time.Duration { return g.total }), longest.Round(time.Millisecond))
	if longest > bound {
		t.Errorf("%s: a gap of %v exceeds %v", cause, longest, bound)
	}
}

// TestWriteGap checks the length of the gap in acknowledged writes for each cause,
// with endpoints that report FenceResponse.AuthorityIdle and with ones that do not.
// The flag -v prints the tables.
func TestWriteGap(t *testing.T) {
	for _, reportsIdle := range []bool{false, true} {
		t.Logf("endpoints report the idle time of authority: %v", reportsIdle)
		measureGapsByCause(t, reportsIdle)
	}
}

func measureGapsByCause(t *testing.T, reportsIdle bool) {
	t.Helper()
	t.Logf("%-18s | detect |  fence |   wait | promote | resume | median | longest", "cause")
	measureGaps(t, "kill", reportsIdle, maxUnplannedGap, func(sim *simulation, h *fakeHost) {
		sim.endpoint(h.machine.View().Primary).crash(time.Minute)
	})
	measureGaps(t, "cut off", reportsIdle, maxUnplannedGap, func(sim *simulation, h *fakeHost) {
		sim.blockDataCentre(int(h.id[1]-'1'), true, true, time.Minute)
	})
	measureGaps(t, "silent connection", reportsIdle, maxUnplannedGap, func(sim *simulation, h *fakeHost) {
		for _, other := range sim.hosts {
			other.stalled[h.machine.View().Primary] = true
		}
	})
	measureGaps(t, "planned", reportsIdle, maxPlannedGap, func(sim *simulation, h *fakeHost) {
		to := types.Endpoint("e1")
		if h.machine.View().Primary == to {
			to = "e2"
		}
		h.stepMachine(failover.PlannedChange{To: to})
	})
}

// TestStatusQueryCost checks the rate of status queries of each owner without faults.
func TestStatusQueryCost(t *testing.T) {
	sim := newSimulation(1)
	sim.runUntil(faultTime)
	before := map[types.Host]int{}
	for _, h := range sim.hosts {
		before[h.id] = h.commandsSent
	}
	sim.runUntil(faultTime + steadyStateTime)
	for _, h := range sim.hosts {
		perSecond := float64(h.commandsSent-before[h.id]) / steadyStateTime.Seconds()
		t.Logf("%s: %5.1f messages/s, %6.0f bytes/s, primary %v", h.id, messagesPerQuery*perSecond,
			perSecond*(queryBytes+responseBytes), h == sim.primaryHost())
		if perSecond > maxQueriesPerSecond {
			t.Errorf("%s sends %.1f queries per second, more than %d", h.id, perSecond, maxQueriesPerSecond)
		}
	}
}
