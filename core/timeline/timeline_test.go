package timeline

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baobabfield.example/core/types"
)

func newEvent(host types.Host, n uint64, cause EventID) Event {
	return Event{ID: EventID{Host: host, Counter: n}, Host: host, Stamp: Stamp{Wall: int64(n)}, Cause: cause}
}

func TestStampsRespectCausality(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var clocks [3]Clock
		var last [3]Stamp
		wall := int64(1e18)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			skew := rapid.Int64Range(-1e9, 1e9).Draw(t, "skew")
			sent := clocks[from].Now(wall + skew)
			if !last[from].Less(sent) {
				t.Fatalf("stamp %v does not follow %v", sent, last[from])
			}
			last[from] = sent
			if !clocks[to].Observe(sent) {
				t.Fatalf("stamp %v was refused", sent)
			}
			received := clocks[to].Now(wall)
			if !sent.Less(received) {
				t.Fatalf("receipt %v does not follow sending %v", received, sent)
			}
			last[to] = received
		}
	})
}

func TestFarAheadStampIsIgnored(t *testing.T) {
	is := is.New(t)
	var c Clock
	now := c.Now(1e18)
	is.True(!c.Observe(Stamp{Wall: 2e18}))
	is.True(c.Now(1e18).Wall == now.Wall)
}

func TestRingKeepsNewestEvents(t *testing.T) {
	is := is.New(t)
	r := NewRing(3)
	for n := range uint64(5) {
		r.Add(newEvent("a", n, EventID{}))
	}
	got := r.Events()
	is.Equal(len(got), 3)
	is.Equal(got[0].ID.Counter, uint64(2))
	is.Equal(got[2].ID.Counter, uint64(4))
	is.Equal(r.Dropped(), uint64(2))
	is.Equal(len(Filter{Since: Stamp{Wall: 3}, Limit: 1}.Select(got)), 1)
}

func TestCausalTreeHoldsCausesAndEffects(t *testing.T) {
	is := is.New(t)
	root := newEvent("a", 1, EventID{})
	middle := newEvent("b", 2, root.ID)
	leaf := newEvent("c", 3, middle.ID)
	side := newEvent("a", 4, root.ID)
	other := newEvent("c", 5, EventID{})
	merged := Merge([]Event{root, side}, []Event{middle}, []Event{leaf, other, leaf})
	is.Equal(len(merged), 5) // the repeated event appears once
	nodes := CausalTree(merged, leaf.ID)
	want := []EventID{root.ID, middle.ID, leaf.ID, side.ID}
	is.Equal(len(nodes), len(want))
	for i, s := range nodes {
		is.Equal(s.Event.ID, want[i])
	}
	is.Equal(nodes[2].Depth, 2)
	is.Equal(CausalTree(merged, EventID{Host: "z"}), nil)
}

func TestCausalTreeEndsOnCycle(t *testing.T) {
	is := is.New(t)
	a := newEvent("a", 1, EventID{Host: "b", Counter: 2})
	b := newEvent("b", 2, a.ID)
	is.Equal(len(CausalTree([]Event{a, b}, a.ID)), 2)
}

// TestMain sets a fixed seed for the property tests.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
