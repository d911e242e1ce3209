package config_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baobabfield.example/core/config"
	"baobabfield.example/core/types"
)

// The targets for a change to be in force on all reachable hosts.
const (
	inForceSmall = 2 * time.Second
	inForceLarge = 4 * time.Second
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "25", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// readyFleet returns a fleet of three data centres that has settled.
func readyFleet(seed uint64, count, services int) *fleet {
	f := newFleet(seed, count, 3)
	f.platform.fill(services)
	f.startAll()
	f.run(20 * time.Second)
	return f
}

func TestChangeIsInForceOnAllHosts(t *testing.T) {
	is := is.New(t)
	f := readyFleet(1, 21, 5)
	is.Equal(f.unready(), 0)
	for range 20 {
		o := f.platform.change()
		took := f.until(10*time.Second, func() bool { return f.lagging(o.Key, o.Version, anyHost) == 0 })
		is.True(took <= inForceSmall)
		f.run(300 * time.Millisecond)
	}
	is.Equal(len(f.reverted), 0)
}

func TestOnlyRelaysWatchThePlatform(t *testing.T) {
	is := is.New(t)
	f := readyFleet(2, 21, 5)
	watching := 0
	for _, h := range f.hosts {
		if h.watching {
			watching++
		}
	}
	is.Equal(watching, 6)
	is.True(f.platform.lists <= 8)
}

func TestDataCentreWithoutPlatformFollows(t *testing.T) {
	is := is.New(t)
	f := readyFleet(3, 21, 5)
	f.platform.lose(func(dc types.DataCentre) bool { return dc == dataCentre(1) })
	f.run(5 * time.Second)
	o := f.platform.change()
	took := f.until(10*time.Second, func() bool { return f.lagging(o.Key, o.Version, anyHost) == 0 })
	is.True(took <= inForceSmall)
}

func TestHostsAreReplacedWhileThePlatformIsDown(t *testing.T) {
	is := is.New(t)
	f := readyFleet(4, 21, 5)
	nowhere := func(types.DataCentre) bool { return false }
	f.platform.lose(nowhere)
	for i := range 21 {
		f.start(i)
		f.run(4 * time.Minute)
	}
	is.Equal(f.unready(), 0) // every replacement has the configuration
	f.platform.lose(everywhere)
	f.run(5 * time.Second)
	o := f.platform.change()
	took := f.until(10*time.Second, func() bool { return f.lagging(o.Key, o.Version, anyHost) == 0 })
	is.True(took <= inForceSmall)
	is.Equal(len(f.reverted), 0)
}

func TestNewRelayDoesNotRepeatTheConfiguration(t *testing.T) {
	is := is.New(t)
	hosts := []types.Host{"a", "b", "c", "d"}
	body := service(0)
	push := config.Push{Objects: []config.Object{{Key: body.Key(), Version: 1, Body: body}}}
	for _, h := range hosts {
		d := config.NewDistributor(config.Settings{Host: h, DataCentre: "dc", Seed: 1})
		d.Step(1, config.Peers{Groups: []config.PeerGroup{{DataCentre: "dc", Hosts: hosts}}})
		for _, eff := range d.Step(2, config.PeerMessage{From: "elsewhere", Body: push}) {
			_, sent := eff.(config.Send)
			is.True(!sent)
		}
	}
}

func TestNewHostServesOnlyWithConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, 6, 1)
	f.platform.lose(func(types.DataCentre) bool { return false })
	f.platform.fill(3)
	f.startAll()
	f.run(time.Minute)
	is.Equal(f.unready(), 6)
	f.platform.lose(everywhere)
	f.run(6 * time.Second)
	is.Equal(f.unready(), 0)
}

func TestDeletionReachesHostsThatMissedIt(t *testing.T) {
	is := is.New(t)
	f := readyFleet(6, 9, 5)
	f.cut = func(a, b types.DataCentre) bool { return a != b && (a == dataCentre(2) || b == dataCentre(2)) }
	f.platform.lose(func(dc types.DataCentre) bool { return dc != dataCentre(2) })
	tombstone := f.platform.store(config.Object{Key: service(1).Key()})
	f.run(30 * time.Minute)
	is.Equal(f.lagging(tombstone.Key, tombstone.Version, in(dataCentre(0), dataCentre(1))), 0)
	is.Equal(f.lagging(tombstone.Key, tombstone.Version, in(dataCentre(2))), 3)
	f.cut = nil
	f.platform.lose(everywhere)
	f.run(20 * time.Second)
	is.Equal(f.lagging(tombstone.Key, tombstone.Version, anyHost), 0)
	is.Equal(len(f.reverted), 0)
	for _, h := range f.hosts {
		_, found := h.conf.Snapshot().Service("service-0001")
		is.True(!found)
	}
}

func TestLargeFleetIsInForceInTime(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 2600, 18)
	f.known = true
	f.platform.fill(20)
	f.startAll()
	f.run(10 * time.Second)
	is.Equal(f.unready(), 0)
	f.loss = 2
	f.platform.lose(func(dc types.DataCentre) bool { return dc < dataCentre(3) })
	f.run(2 * time.Second)
	o := f.platform.change()
	took := f.until(10*time.Second, func() bool { return f.lagging(o.Key, o.Version, anyHost) == 0 })
	t.Logf("in force after %v", took)
	is.True(took <= inForceLarge)
	is.Equal(len(f.reverted), 0)
}

// Whatever is lost, duplicated, cut off, restarted or read stale, no host goes back
// to a lower version, and a change is in force in time where hosts reach each other.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 21, 3)
		f.platform.fill(4)
		f.startAll()
		f.run(15 * time.Second)
		f.loss = rapid.IntRange(0, 10).Draw(t, "loss")
		f.twice = rapid.IntRange(0, 10).Draw(t, "twice")
		f.platform.stale = config.Version(rapid.IntRange(0, 3).Draw(t, "stale"))
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			disturb(t, f)
		}
		f.loss, f.cut, f.platform.stale = 0, nil, 0
		f.platform.lose(everywhere)
		f.run(40 * time.Second)
		o := f.platform.change()
		took := f.until(10*time.Second, func() bool { return f.lagging(o.Key, o.Version, anyHost) == 0 })
		if took > inForceSmall {
			t.Fatalf("the change took %v", took)
		}
		if len(f.reverted) > 0 {
			t.Fatalf("reverted: %v", f.reverted)
		}
		digest := f.hosts[0].conf.Snapshot().Digest()
		for _, h := range f.hosts {
			if h.up && h.conf.Snapshot().Digest() != digest {
				t.Fatalf("%s has another configuration", h.self.Host)
			}
		}
	})
}

func disturb(t *rapid.T, f *fleet) {
	dc := dataCentre(rapid.IntRange(0, 2).Draw(t, "data centre"))
	i := rapid.IntRange(0, 20).Draw(t, "host")
	switch rapid.SampledFrom([]string{"change", "delete", "restart", "cut", "platform", "heal"}).Draw(t, "step") {
	case "change":
		f.platform.change()
	case "delete":
		f.platform.store(config.Object{Key: service(i % 4).Key()})
	case "restart":
		f.start(i)
	case "cut":
		f.cut = func(a, b types.DataCentre) bool { return a != b && (a == dc || b == dc) }
	case "platform":
		f.platform.lose(func(other types.DataCentre) bool { return other != dc })
	case "heal":
		f.cut = nil
		f.platform.lose(everywhere)
	}
	f.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "milliseconds")) * time.Millisecond)
}

// A change that a reachable part of the fleet can learn is in force there in time,
// also with messages lost.
func TestChangeIsInForceWithLoss(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			f := readyFleet(100+seed, 21, 4)
			f.loss = 5
			f.cut = func(a, b types.DataCentre) bool { return a != b && (a == dataCentre(2) || b == dataCentre(2)) }
			f.platform.lose(func(dc types.DataCentre) bool { return dc == dataCentre(0) })
			f.run(10 * time.Second)
			o := f.platform.change()
			reachable := in(dataCentre(0), dataCentre(1))
			took := f.until(10*time.Second, func() bool { return f.lagging(o.Key, o.Version, reachable) == 0 })
			is.True(took <= inForceSmall)
		})
	}
}
