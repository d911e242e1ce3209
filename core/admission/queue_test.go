package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baobabfield.example/core/types"
)

const ms = types.Time(time.Millisecond)

func newQueue() *Queue {
	return New(Config{Slots: 2, Connections: 10, InitialServiceTime: 5 * time.Millisecond}, 0)
}

func submit(id types.RequestID, rank types.Rank) Event {
	return Event{Kind: EventSubmit, ID: id, Rank: rank, Feature: "f"}
}

func finish(id types.RequestID) Event {
	return Event{Kind: EventFinish, ID: id, Completed: true, ServiceTime: 5 * time.Millisecond}
}

// requestIDs returns the request IDs of the effects of a kind.
func requestIDs(effects []Effect, kind EffectKind) []types.RequestID {
	var out []types.RequestID
	for _, e := range effects {
		if e.Kind == kind {
			out = append(out, e.ID)
		}
	}
	return out
}

func TestUrgentRequestsStartFirst(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	q.Step(0, submit(1, "background"))
	q.Step(0, submit(2, "background"))
	q.Step(0, submit(3, "normal"))
	q.Step(0, submit(4, "urgent"))
	is.Equal(q.SlotsInUse(), 2)
	is.Equal(q.Depth("normal"), 1)
	is.Equal(requestIDs(q.Step(ms, finish(1)), EffectStart), []types.RequestID{4})
	is.Equal(requestIDs(q.Step(ms, finish(2)), EffectStart), []types.RequestID{3})
}

func TestCancelDropsQueuedRequestsOnly(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	for id := range types.RequestID(3) {
		q.Step(0, submit(id+1, "normal"))
	}
	q.Step(0, Event{Kind: EventCancel, ID: 1})
	is.Equal(q.SlotsInUse(), 2) // started requests continue
	q.Step(0, Event{Kind: EventCancel, ID: 3})
	is.Equal(q.Depth("normal"), 0)
	is.Equal(len(q.Step(ms, finish(1))), 0)
}

func TestHeldWritesStartAfterRelease(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	q.Step(0, Event{Kind: EventHoldWrites})
	write := submit(1, "urgent")
	write.Write = true
	is.Equal(len(q.Step(0, write)), 0)
	is.Equal(requestIDs(q.Step(0, submit(2, "urgent")), EffectStart), []types.RequestID{2}) // reads are not held
	late := types.Time(3 * time.Second)
	is.Equal(requestIDs(q.Step(late, Event{Kind: EventTick}), EffectRefuse), nil) // held writes are not refused for missing the target
	is.Equal(requestIDs(q.Step(late, Event{Kind: EventReleaseWrites}), EffectStart), []types.RequestID{1})
}

func TestReadsStartWhileWritesAreHeld(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	q.Step(0, Event{Kind: EventHoldWrites})
	for id := types.RequestID(1); id <= 100; id++ {
		write := submit(id, "urgent")
		write.Write = true
		is.Equal(len(q.Step(0, write)), 0)
	}
	for id := types.RequestID(101); id <= 110; id++ {
		is.Equal(requestIDs(q.Step(0, submit(id, "urgent")), EffectStart), []types.RequestID{id})
		q.Step(0, finish(id))
	}
}

func TestHeldWritesAreRefusedAfterDeadline(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	q.Step(0, Event{Kind: EventHoldWrites})
	write := submit(1, "urgent")
	write.Write, write.Deadline = true, 200*ms
	q.Step(0, write)
	effects := q.Step(300*ms, Event{Kind: EventTick})
	is.Equal(effects[0], Effect{Kind: EffectRefuse, ID: 1, Reason: types.ReasonLate})
}

func TestDrainRefusesQueuedAndNewRequests(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	for id := range types.RequestID(3) {
		q.Step(0, submit(id+1, "normal"))
	}
	is.Equal(q.Step(0, Event{Kind: EventDrain}), []Effect{{Kind: EffectRefuse, ID: 3, Reason: types.ReasonLeaving}})
	is.Equal(q.Step(0, submit(4, "urgent")), []Effect{{Kind: EffectRefuse, ID: 4, Reason: types.ReasonLeaving}})
	is.Equal(q.SlotsInUse(), 2) // started requests continue
	q.Step(ms, finish(1))
	q.Step(ms, finish(2))
	is.Equal(q.SlotsInUse(), 0)
}

func TestFullQueueRefusesRequests(t *testing.T) {
	is := is.New(t)
	q := New(Config{Slots: 1, Connections: 10, QueueLimit: 4}, 0)
	refused := 0
	for id := range types.RequestID(10) {
		for _, e := range q.Step(0, submit(id+1, "background")) {
			if e.Kind == EffectRefuse {
				is.Equal(e.Reason, types.ReasonQueueFull)
				refused++
			}
		}
	}
	is.Equal(q.Depth("background"), 2) // a flow may queue no more requests than there are free places
	is.Equal(refused, 7)
}

func TestRequestsThatWouldEndLateAreRefused(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	old := submit(1, "urgent")
	old.Age = 99 * time.Millisecond
	is.Equal(q.Step(0, old), []Effect{{Kind: EffectRefuse, ID: 1, Reason: types.ReasonLate}})
	short := submit(2, "background")
	short.Deadline = ms
	is.Equal(q.Step(0, short), []Effect{{Kind: EffectRefuse, ID: 2, Reason: types.ReasonLate}})
}

func TestReconfigureKeepsQueuedRequests(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	for id := range types.RequestID(4) {
		q.Step(0, submit(id+1, "normal"))
	}
	ranks := []types.RankSpec{
		{Name: "first", Target: time.Second, Worth: 2, Order: 0},
		{Name: "second", Target: time.Second, Worth: 1, Order: 1},
	}
	effects, err := q.Reconfigure(0, Config{Ranks: ranks, Slots: 3, Connections: 10})
	is.NoErr(err)
	is.Equal(requestIDs(effects, EffectStart), []types.RequestID{3}) // uses the third slot
	is.Equal(q.Depth("second"), 1)
	is.Equal(requestIDs(q.Step(ms, finish(1)), EffectStart), []types.RequestID{4})
	_, err = q.Reconfigure(0, Config{Slots: 0})
	is.True(err != nil)
}

func TestSlowEndpointReducesSlots(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	now := types.Time(0)
	serve := func(n int, service time.Duration) {
		for range n {
			now = now.Add(10 * time.Millisecond)
			q.seq++
			id := types.RequestID(1000 + q.seq)
			q.Step(now, submit(id, "normal"))
			q.Step(now, Event{Kind: EventFinish, ID: id, Completed: true, ServiceTime: service})
		}
	}
	serve(100, 5*time.Millisecond)
	is.Equal(q.Slots(), 2)
	serve(100, 50*time.Millisecond)
	is.Equal(q.Slots(), 1)
	serve(300, 5*time.Millisecond)
	is.Equal(q.Slots(), 2)
}

// TestRefusedRankIsProbedAgain guards against a rank that stays refused after a slow
// endpoint has recovered. Refused requests give no samples, so the service time estimate
// would stay high.
func TestRefusedRankIsProbedAgain(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	now := types.Time(0)
	served := func(service time.Duration) (n int) {
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			q.seq++
			id := types.RequestID(q.seq + 1<<32)
			if len(requestIDs(q.Step(now, submit(id, "urgent")), EffectStart)) > 0 {
				n++
				q.Step(now, Event{Kind: EventFinish, ID: id, Completed: true, ServiceTime: service})
			}
		}
		return n
	}
	is.Equal(served(5*time.Millisecond), 1000)
	n := served(300 * time.Millisecond)
	is.True(n > 0 && n < 100)                 // occasional probes
	is.True(served(5*time.Millisecond) > 900) // recovered
}

func TestCheckRejectsInvalidConfig(t *testing.T) {
	is := is.New(t)
	rank := types.RankSpec{Name: "a", Target: time.Second, Worth: 1}
	for _, c := range []Config{
		{Slots: 0, Connections: 10},
		{Slots: 9, Connections: 10}, // the owner's share is 8
		{Slots: 1, Connections: 10, QueueLimit: -1},
		{Slots: 1, Connections: 10, Ranks: []types.RankSpec{rank, rank}},
		{Slots: 1, Connections: 10, Ranks: []types.RankSpec{{Name: "a", Worth: 1}}},
		{Slots: 1, Connections: 10, Ranks: []types.RankSpec{{Name: "a", Target: 1}}},
		{Slots: 1, Connections: 10, Ranks: []types.RankSpec{{Name: "a", Target: 1, Worth: 1, Floor: 100}}},
	} {
		is.True(c.Check() != nil)
	}
	is.NoErr(Config{Slots: 3, Connections: 50}.Check())
}

func TestSplitConnectionsSumsToTotal(t *testing.T) {
	is := is.New(t)
	for total := range 200 {
		owner, standby := SplitConnections(total)
		is.Equal(owner+standby, total)
		is.True(total < 2 || standby > 0)
	}
	is.Equal(ConnectionLimit(0, 50, 0), 10)                         // just taken over
	is.Equal(ConnectionLimit(types.Time(TakeoverDelay), 50, 0), 40) // after the takeover delay
}

// TestQueueInvariants checks with random events that the slots in use never exceed the
// limit and that each request starts or is refused at most once.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Slots: 2, Connections: 10, QueueLimit: 8, FlowLimit: 3}, 0)
		now := types.Time(0)
		next := types.RequestID(0)
		queued, started := map[types.RequestID]bool{}, map[types.RequestID]bool{}
		apply := func(ev Event) {
			for _, e := range q.Step(now, ev) {
				if e.Kind != EffectStart && e.Kind != EffectRefuse {
					continue
				}
				if !queued[e.ID] {
					t.Fatalf("request %d is not queued", e.ID)
				}
				delete(queued, e.ID)
				if e.Kind == EffectStart {
					started[e.ID] = true
				}
			}
			if len(started) != q.SlotsInUse() || len(started) > 2 {
				t.Fatalf("%d requests are started, but %d slots are in use", len(started), q.SlotsInUse())
			}
			depth := q.Depth("urgent") + q.Depth("normal") + q.Depth("background")
			if depth != len(queued) {
				t.Fatalf("depth is %d, but %d requests are queued", depth, len(queued))
			}
		}
		pick := func(m map[types.RequestID]bool) types.RequestID {
			for id := types.RequestID(1); id <= next; id++ {
				if m[id] && rapid.Bool().Draw(t, "pick") {
					return id
				}
			}
			return 0
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				apply(Event{Kind: EventTick})
			case 1:
				apply(Event{Kind: EventHoldWrites})
			case 2:
				apply(Event{Kind: EventReleaseWrites})
			case 3:
				id := pick(queued)
				delete(queued, id)
				apply(Event{Kind: EventCancel, ID: id})
			case 4, 5:
				id := pick(started)
				if id == 0 {
					continue
				}
				delete(started, id)
				apply(Event{Kind: EventFinish, ID: id, Completed: true, ServiceTime: 20 * time.Millisecond})
			default:
				next++
				queued[next] = true
				apply(Event{
					Kind: EventSubmit, ID: next,
					Rank:    rapid.SampledFrom([]types.Rank{"urgent", "normal", "background"}).Draw(t, "rank"),
					Feature: rapid.SampledFrom([]types.Feature{"", "a", "b", "c"}).Draw(t, "feature"),
					Write:   rapid.Bool().Draw(t, "write"),
				})
			}
		}
	})
}

func TestGateAdmitsShareOfLevel(t *testing.T) {
	is := is.New(t)
	g := NewGate(1)
	count := func(f types.Feature) (n int) {
		for range 1000 {
			if g.Admit(0, "normal", f, "", "e") {
				n++
			}
		}
		return n
	}
	is.Equal(count("a"), 1000)
	g.SetLevel(0, "e", LevelNotice{Rank: "normal", Feature: "a", Level: LevelFull / 4})
	n := count("a")
	is.True(n >= 249 && n <= 251)
	is.Equal(count("b"), 1000) // the level of another feature does not apply
	g.SetLevel(0, "e", LevelNotice{Rank: "normal", Level: LevelFull / 2})
	n = count("b")
	is.True(n >= 499 && n <= 501)                                     // the level of the rank applies
	is.True(g.Admit(types.Time(time.Minute), "normal", "a", "", "e")) // the level has expired
}

func TestFeaturesWithinFairShareStartInOrder(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	for id, feature := range []types.Feature{"a", "a", "a", "a", "a", "b"} {
		ev := submit(types.RequestID(id+1), "normal")
		ev.Feature = feature
		q.Step(0, ev)
	}
	var order []types.RequestID
	for id := range types.RequestID(4) {
		order = append(order, requestIDs(q.Step(ms, finish(id+1)), EffectStart)...)
	}
	is.Equal(order, []types.RequestID{3, 4, 5, 6})
}

func TestFloodingFeatureIsLimited(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	now := types.Time(0)
	var levels []LevelNotice
	for id := types.RequestID(1); id < 4000; id++ {
		now = now.Add(200 * time.Microsecond)
		ev := submit(id, "normal")
		if id%20 == 0 {
			ev.Feature = "quiet"
		}
		for _, e := range q.Step(now, ev) {
			if e.Kind == EffectStart {
				q.Step(now, finish(e.ID)) // only until the slots are full
			}
		}
	}
	levels = q.Levels(levels)
	is.Equal(len(levels), 1)
	is.Equal(levels[0].Feature, types.Feature("f"))
}
