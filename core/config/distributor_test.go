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

// The time limits for a change to reach all reachable hosts.
const (
	maxDelaySmall = 2 * time.Second
	maxDelayLarge = 4 * time.Second
)

// TestMain sets a fixed seed for the property tests.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "25", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// newReadyFleet returns a fleet in three data centres whose hosts have started and
// hold the configuration.
func newReadyFleet(seed uint64, count, services int) *fleet {
	f := newFleet(seed, count, 3)
	f.platform.storeServices(services)
	f.startAll()
	f.run(20 * time.Second)
	return f
}

func TestChangeReachesAllHosts(t *testing.T) {
	is := is.New(t)
	f := newReadyFleet(1, 21, 5)
	is.Equal(f.countUnready(), 0)
	for range 20 {
		o := f.platform.storeChange()
		took := f.runUntil(10*time.Second, func() bool { return f.countLagging(o.Key, o.Version, anyHost) == 0 })
		is.True(took <= maxDelaySmall)
		f.run(300 * time.Millisecond)
	}
	is.Equal(len(f.revertedObjects), 0)
}

func TestOnlyRelaysWatchThePlatform(t *testing.T) {
	is := is.New(t)
	f := newReadyFleet(2, 21, 5)
	watching := 0
	for _, h := range f.hosts {
		if h.watching {
			watching++
		}
	}
	is.Equal(watching, 6)
	is.True(f.platform.listCount <= 8)
}

func TestDataCentreWithoutPlatformReceivesChanges(t *testing.T) {
	is := is.New(t)
	f := newReadyFleet(3, 21, 5)
	f.platform.setReachable(func(dc types.DataCentre) bool { return dc == dataCentreName(1) })
	f.run(5 * time.Second)
	o := f.platform.storeChange()
	took := f.runUntil(10*time.Second, func() bool { return f.countLagging(o.Key, o.Version, anyHost) == 0 })
	is.True(took <= maxDelaySmall)
}

func TestHostsStartWhilePlatformIsDown(t *testing.T) {
	is := is.New(t)
	f := newReadyFleet(4, 21, 5)
	noneReachable := func(types.DataCentre) bool { return false }
	f.platform.setReachable(noneReachable)
	for i := range 21 {
		f.startHost(i)
		f.run(4 * time.Minute)
	}
	is.Equal(f.countUnready(), 0) // every replacement has the configuration
	f.platform.setReachable(allReachable)
	f.run(5 * time.Second)
	o := f.platform.storeChange()
	took := f.runUntil(10*time.Second, func() bool { return f.countLagging(o.Key, o.Version, anyHost) == 0 })
	is.True(took <= maxDelaySmall)
	is.Equal(len(f.revertedObjects), 0)
}

func TestIncompleteRelayForwardsNothing(t *testing.T) {
	is := is.New(t)
	hosts := []types.Host{"a", "b", "c", "d"}
	body := testService(0)
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

func TestHostIsNotReadyWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, 6, 1)
	f.platform.setReachable(func(types.DataCentre) bool { return false })
	f.platform.storeServices(3)
	f.startAll()
	f.run(time.Minute)
	is.Equal(f.countUnready(), 6)
	f.platform.setReachable(allReachable)
	f.run(6 * time.Second)
	is.Equal(f.countUnready(), 0)
}

func TestDeletionReachesHostsThatMissedIt(t *testing.T) {
	is := is.New(t)
	f := newReadyFleet(6, 9, 5)
	f.isPartitioned = func(a, b types.DataCentre) bool { return a != b && (a == dataCentreName(2) || b == dataCentreName(2)) }
	f.platform.setReachable(func(dc types.DataCentre) bool { return dc != dataCentreName(2) })
	tombstone := f.platform.store(config.Object{Key: testService(1).Key()})
	f.run(30 * time.Minute)
	is.Equal(f.countLagging(tombstone.Key, tombstone.Version, inDataCentres(dataCentreName(0), dataCentreName(1))), 0)
	is.Equal(f.countLagging(tombstone.Key, tombstone.Version, inDataCentres(dataCentreName(2))), 3)
	f.isPartitioned = nil
	f.platform.setReachable(allReachable)
	f.run(20 * time.Second)
	is.Equal(f.countLagging(tombstone.Key, tombstone.Version, anyHost), 0)
	is.Equal(len(f.revertedObjects), 0)
	for _, h := range f.hosts {
		_, found := h.distributor.Snapshot().Service("service-0001")
		is.True(!found)
	}
}

func TestChangeReachesLargeFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, 2600, 18)
	f.staticPeers = true
	f.platform.storeServices(20)
	f.startAll()
	f.run(10 * time.Second)
	is.Equal(f.countUnready(), 0)
	f.lossPercent = 2
	f.platform.setReachable(func(dc types.DataCentre) bool { return dc < dataCentreName(3) })
	f.run(2 * time.Second)
	o := f.platform.storeChange()
	took := f.runUntil(10*time.Second, func() bool { return f.countLagging(o.Key, o.Version, anyHost) == 0 })
	t.Logf("in force after %v", took)
	is.True(took <= maxDelayLarge)
	is.Equal(len(f.revertedObjects), 0)
}

// TestConfigurationNeverReverts checks that no host reverts to a lower version under
// message loss, duplication, partitions, restarts and stale reads of the platform.
// After the faults have ended, a change reaches all hosts within maxDelaySmall and all
// configurations are equal.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 21, 3)
		f.platform.storeServices(4)
		f.startAll()
		f.run(15 * time.Second)
		f.lossPercent = rapid.IntRange(0, 10).Draw(t, "loss")
		f.duplicatePercent = rapid.IntRange(0, 10).Draw(t, "duplicates")
		f.platform.readLag = config.Version(rapid.IntRange(0, 3).Draw(t, "read lag"))
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			injectFault(t, f)
		}
		f.lossPercent, f.isPartitioned, f.platform.readLag = 0, nil, 0
		f.platform.setReachable(allReachable)
		f.run(40 * time.Second)
		o := f.platform.storeChange()
		took := f.runUntil(10*time.Second, func() bool { return f.countLagging(o.Key, o.Version, anyHost) == 0 })
		if took > maxDelaySmall {
			t.Fatalf("the change reached all hosts after %v, want at most %v", took, maxDelaySmall)
		}
		if len(f.revertedObjects) > 0 {
			t.Fatalf("objects reverted to a lower version: %v", f.revertedObjects)
		}
		digest := f.hosts[0].distributor.Snapshot().Digest()
		for _, h := range f.hosts {
			if h.up && h.distributor.Snapshot().Digest() != digest {
				t.Fatalf("the configuration of %s differs from that of %s", h.self.Host, f.hosts[0].self.Host)
			}
		}
	})
}

// injectFault changes the configuration, or starts or ends a random fault, and
// advances the time.
func injectFault(t *rapid.T, f *fleet) {
	dc := dataCentreName(rapid.IntRange(0, 2).Draw(t, "data centre"))
	i := rapid.IntRange(0, 20).Draw(t, "host")
	switch rapid.SampledFrom([]string{"change", "delete", "restart", "partition", "platform unreachable", "end faults"}).Draw(t, "step") {
	case "change":
		f.platform.storeChange()
	case "delete":
		f.platform.store(config.Object{Key: testService(i % 4).Key()})
	case "restart":
		f.startHost(i)
	case "partition":
		f.isPartitioned = func(a, b types.DataCentre) bool { return a != b && (a == dc || b == dc) }
	case "platform unreachable":
		f.platform.setReachable(func(other types.DataCentre) bool { return other != dc })
	case "end faults":
		f.isPartitioned = nil
		f.platform.setReachable(allReachable)
	}
	f.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "milliseconds")) * time.Millisecond)
}

// TestChangeReachesHostsDespiteMessageLoss checks that a change reaches two data centres
// at a message loss of 5 %. Only one of them reaches the platform, and a third data
// centre is partitioned from both.
func TestChangeReachesHostsDespiteMessageLoss(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			f := newReadyFleet(100+seed, 21, 4)
			f.lossPercent = 5
			f.isPartitioned = func(a, b types.DataCentre) bool { return a != b && (a == dataCentreName(2) || b == dataCentreName(2)) }
			f.platform.setReachable(func(dc types.DataCentre) bool { return dc == dataCentreName(0) })
			f.run(10 * time.Second)
			o := f.platform.storeChange()
			reachable := inDataCentres(dataCentreName(0), dataCentreName(1))
			took := f.runUntil(10*time.Second, func() bool { return f.countLagging(o.Key, o.Version, reachable) == 0 })
			is.True(took <= maxDelaySmall)
		})
	}
}
