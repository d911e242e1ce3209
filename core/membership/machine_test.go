package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baobabfield.example/core/types"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestHostsDiscoverEachOther(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1)
	n.startAll(21, 3)
	n.run(10 * time.Second)
	is.Equal(n.countDifferences(anyObserver), 0)
}

func TestDeadHostIsDetectedAndRejoins(t *testing.T) {
	is := is.New(t)
	n := newNetwork(2)
	n.startAll(21, 3)
	n.run(10 * time.Second)
	n.hosts["10.0.0.7:7946"] = nil
	n.run(8 * time.Second)
	is.Equal(n.countDifferences(inDataCentre("dc-01")), 0) // hosts of its own data centre
	n.run(5 * time.Second)
	is.Equal(n.countDifferences(anyObserver), 0) // hosts of all data centres
	n.start(7, 3, "10.0.0.0:7946")
	n.run(10 * time.Second)
	is.Equal(n.countDifferences(anyObserver), 0)
}

func TestLeavingHostIsNotLive(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3)
	n.startAll(21, 3)
	n.run(10 * time.Second)
	n.apply("10.0.0.4:7946", Leave{})
	n.run(3 * time.Second)
	is.Equal(n.countDifferences(inDataCentre("dc-01")), 0)
	member, _ := n.hosts["10.0.0.1:7946"].Snapshot().Member("host-0004")
	is.Equal(member.State, Leaving) // known, but not live
	n.hosts["10.0.0.4:7946"] = nil
	n.run(12 * time.Second)
	member, _ = n.hosts["10.0.0.1:7946"].Snapshot().Member("host-0004")
	is.Equal(member.State, Dead)
}

func TestHostRefutesSuspicion(t *testing.T) {
	is := is.New(t)
	self := Member{Host: "a", DataCentre: "dc", GossipAddress: "a:1", Incarnation: 5}
	m := New(Config{Self: self, Seed: 1})
	suspected := self
	suspected.State = Suspect
	from := Member{Host: "b", DataCentre: "dc", GossipAddress: "b:1", Incarnation: 3}
	m.Step(1, Message{From: from, Body: Ping{Seq: 1, Updates: []Member{suspected}}})
	member, _ := m.Snapshot().Member("a")
	is.Equal(member.Incarnation, Incarnation(6))
	is.Equal(member.State, Alive)
}

func TestDeadHostRejoinsOnlyWithHigherIncarnation(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: Member{Host: "a", DataCentre: "dc", Incarnation: 1}, Seed: 1})
	from := Member{Host: "b", DataCentre: "dc", GossipAddress: "b:1", Incarnation: 3}
	applyUpdate := func(inc Incarnation, s State) State {
		u := Member{Host: "c", DataCentre: "dc", Incarnation: inc, State: s}
		m.Step(1, Message{From: from, Body: Ping{Updates: []Member{u}}})
		about, _ := m.Snapshot().Member("c")
		return about.State
	}
	is.Equal(applyUpdate(4, Dead), Dead)
	is.Equal(applyUpdate(4, Alive), Dead)
	is.Equal(applyUpdate(3, Alive), Dead)
	m.Step(2, PlatformHosts{Hosts: []PlatformHost{{Host: "c", DataCentre: "dc"}}})
	is.Equal(applyUpdate(0, Alive), Dead) // the platform's list changes nothing
	is.Equal(applyUpdate(5, Alive), Alive)
}

func TestPlatformListAddsContactsOnly(t *testing.T) {
	is := is.New(t)
	n := newNetwork(4)
	a := n.start(0, 1)
	n.start(1, 1)
	platformHosts := []PlatformHost{
		{Host: "host-0001", DataCentre: "dc-00", GossipAddress: "10.0.0.1:7946"},
		{Host: "host-stale", DataCentre: "dc-00", GossipAddress: "10.9.9.9:7946"},
	}
	n.apply(a, PlatformHosts{Hosts: platformHosts})
	is.Equal(n.hosts[a].Snapshot().Live("dc-00"), []types.Host{"host-0000"})
	n.run(10 * time.Second)
	is.Equal(n.countDifferences(anyObserver), 0)
}

func TestPausedProcessDeclaresNoHostDead(t *testing.T) {
	is := is.New(t)
	n := newNetwork(5)
	n.startAll(6, 1)
	n.run(10 * time.Second)
	m := n.hosts["10.0.0.3:7946"]
	for _, eff := range m.Step(n.now.Add(time.Minute), Tick{}) {
		note, ok := eff.(Note)
		is.True(!ok || note.Kind != NoteDead)
	}
}

// TestViewsConvergeAfterFaults checks that all views agree within a minute after
// partitions, message loss, stops and restarts have ended.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		n.lossPercent = rapid.IntRange(0, 15).Draw(t, "loss")
		n.duplicatePercent = rapid.IntRange(0, 10).Draw(t, "duplicates")
		n.startAll(12, 3)
		n.run(5 * time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			injectFault(t, n)
		}
		n.isPartitioned, n.lossPercent = nil, 0
		n.run(60 * time.Second)
		if wrong := n.countDifferences(anyObserver); wrong != 0 {
			t.Fatalf("%d wrong views after the faults", wrong)
		}
	})
}

// injectFault stops or restarts a host, or partitions a data centre from the others,
// and runs the network for a while.
func injectFault(t *rapid.T, n *network) {
	i := rapid.IntRange(0, 11).Draw(t, "host")
	address := fmt.Sprintf("10.0.0.%d:7946", i)
	switch rapid.SampledFrom([]string{"stop", "restart", "partition"}).Draw(t, "fault") {
	case "stop":
		n.hosts[address] = nil
	case "restart":
		n.start(i, 3, "10.0.0.1:7946", "10.0.0.5:7946", "10.0.0.9:7946")
	case "partition":
		dc := types.DataCentre(fmt.Sprintf("dc-%02d", i%3))
		n.isPartitioned = func(a, b types.DataCentre) bool { return a != b && (a == dc || b == dc) }
	}
	n.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
}

// The Ack that a host sent to an earlier process of another one must not answer a probe of a dead
// host by the next process, whose settings and seed are the same.
func TestAckForEarlierProcessMatchesNoProbe(t *testing.T) {
	is := is.New(t)
	probesOf := func(incarnation Incarnation) map[uint64]bool {
		m := New(Config{Self: Member{Host: "h1", DataCentre: "a", GossipAddress: "10.0.0.1:7946", Incarnation: incarnation}, Seed: 7})
		peer := Member{Host: "h2", DataCentre: "a", GossipAddress: "10.0.0.2:7946", Incarnation: 1, State: Alive}
		seqs := map[uint64]bool{}
		for now := types.Time(time.Second); now.Before(types.Time(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
			// The peer answers nothing, but its state reaches the host by other messages.
			peer.Incarnation++
			effects := append(m.Step(now, Message{From: peer, Body: Digest{}}), m.Step(now, Tick{})...)
			for _, e := range effects {
				if s, ok := e.(Send); ok {
					if ping, ok := s.Message.Body.(Ping); ok {
						seqs[ping.Seq] = true
					}
				}
			}
		}
		return seqs
	}
	first, second := probesOf(1000), probesOf(1001)
	is.True(len(first) > 5 && len(second) > 5)
	for seq := range second {
		is.True(!first[seq])
	}
}
