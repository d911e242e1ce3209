package failover_test

import (
	"slices"
	"testing"
	"time"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
)

const (
	gapRuns          = 12
	faultAt          = 3 * time.Second
	writeInterval    = 2 * time.Millisecond
	maxUnplannedGap  = 3 * time.Second
	maxPlannedGap    = time.Second
	watchedTime      = 20 * time.Second
	questionBytes    = 78  // Query "SELECT * FROM baobab_status()" with TCP and IP headers
	statusBytes      = 340 // RowDescription, DataRow, CommandComplete, ReadyForQuery, headers
	messagesPerCall  = 2
	maxCallsPerOwner = 30 // a second, with three endpoints
)

// gapSplit is one gap in writes and its parts, each ending where the next begins.
type gapSplit struct {
	total, detect, fence, wait, promote, resume time.Duration
}

// measureGap runs a failover and returns the gap in acknowledged writes.
func measureGap(t *testing.T, seed int, quiet bool, disturb func(w *world, primary *fakeHost)) gapSplit {
	t.Helper()
	w := newWorld(uint64(seed))
	w.knowsQuiet = quiet
	start := faultAt + time.Duration(seed)*failover.DefaultW/4/gapRuns
	w.load(writeInterval, start+maxUnplannedGap)
	w.at(start, func() {
		h := w.primaryHost()
		if h == nil {
			t.Fatal("no primary before the fault")
		}
		disturb(w, h)
	})
	w.run(start + maxUnplannedGap + time.Second)
	if w.violation != "" {
		t.Fatal(w.violation)
	}
	return w.split(start)
}

// split takes the parts of the gap after start from the notes of the hosts.
func (w *world) split(start time.Duration) gapSplit {
	first, last := start, start
	for i, a := range w.truth.acks {
		if i > 0 && a.time > start && a.time-w.truth.acks[i-1].time > last-first {
			first, last = w.truth.acks[i-1].time, a.time
		}
	}
	g := gapSplit{total: last - first}
	campaign, fenced, promoted, sent := first, first, first, first
	for _, h := range w.hosts {
		campaign = max(campaign, h.noteAfter(start, failover.NoteCampaign))
		fenced = max(fenced, h.noteAfter(start, failover.NoteFenced))
		promoted = max(promoted, h.noteAfter(start, failover.NotePromoted))
		sent = max(sent, h.promoting)
	}
	g.detect, g.fence, g.wait = campaign-first, fenced-campaign, sent-fenced
	g.promote, g.resume = promoted-sent, last-promoted
	return g
}

func (h *fakeHost) noteAfter(start time.Duration, kind failover.NoteKind) time.Duration {
	for _, n := range h.notes {
		if n.at >= start && n.note.Kind == kind {
			return n.at
		}
	}
	return 0
}

// report prints the medians and the longest gap of several runs, and checks the bound.
func report(t *testing.T, cause string, quiet bool, bound time.Duration, disturb func(w *world, primary *fakeHost)) {
	t.Helper()
	var gaps []gapSplit
	for seed := range gapRuns {
		gaps = append(gaps, measureGap(t, seed, quiet, disturb))
	}
	part := func(of func(gapSplit) time.Duration) time.Duration {
		var ds []time.Duration
		for _, g := range gaps {
			ds = append(ds, of(g))
		}
		slices.Sort(ds)
		return ds[len(ds)/2].Round(time.Millisecond)
	}
	longest := slices.MaxFunc(gaps, func(a, b gapSplit) int { return int(a.total - b.total) }).total
	t.Logf("%-18s | %6v | %6v | %6v | %6v | %6v | %6v | %6v", cause, part(func(g gapSplit) time.Duration { return g.detect }),
		part(func(g gapSplit) time.Duration { return g.fence }), part(func(g gapSplit) time.Duration { return g.wait }),
		part(func(g gapSplit) time.Duration { return g.promote }), part(func(g gapSplit) time.Duration { return g.resume }),
		part(func(g gapSplit) time.Duration { return g.total }), longest.Round(time.Millisecond))
	if longest > bound {
		t.Errorf("%s: a gap of %v exceeds %v", cause, longest, bound)
	}
}

// TestGap measures the gap in writes by cause, with endpoints that report
// FenceAnswer.Quiet and with ones that do not. Print the tables with -v.
func TestGap(t *testing.T) {
	for _, quiet := range []bool{false, true} {
		t.Logf("endpoints report quiet time: %v", quiet)
		reportAll(t, quiet)
	}
}

func reportAll(t *testing.T, quiet bool) {
	t.Helper()
	t.Logf("%-18s | detect |  fence |   wait | promote | resume | median | longest", "cause")
	report(t, "kill", quiet, maxUnplannedGap, func(w *world, h *fakeHost) {
		w.endpoint(h.m.View().Primary).crash(time.Minute)
	})
	report(t, "cut off", quiet, maxUnplannedGap, func(w *world, h *fakeHost) {
		w.cut(int(h.id[1]-'1'), true, true, time.Minute)
	})
	report(t, "silent connection", quiet, maxUnplannedGap, func(w *world, h *fakeHost) {
		for _, other := range w.hosts {
			other.silent[h.m.View().Primary] = true
		}
	})
	report(t, "planned", quiet, maxPlannedGap, func(w *world, h *fakeHost) {
		to := types.Endpoint("e1")
		if h.m.View().Primary == to {
			to = "e2"
		}
		h.step(failover.PlannedChange{To: to})
	})
}

// TestWatchingCost measures the questions of each owner while nothing fails.
func TestWatchingCost(t *testing.T) {
	w := newWorld(1)
	w.run(faultAt)
	before := map[types.Host]int{}
	for _, h := range w.hosts {
		before[h.id] = h.calls
	}
	w.run(faultAt + watchedTime)
	for _, h := range w.hosts {
		perSecond := float64(h.calls-before[h.id]) / watchedTime.Seconds()
		t.Logf("%s: %5.1f messages/s, %6.0f bytes/s, primary %v", h.id, messagesPerCall*perSecond,
			perSecond*(questionBytes+statusBytes), h == w.primaryHost())
		if perSecond > maxCallsPerOwner {
			t.Errorf("%s sends %.1f questions a second", h.id, perSecond)
		}
	}
}
