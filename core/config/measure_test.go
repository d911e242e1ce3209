package config_test

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"baobabfield.example/core/config"
	"baobabfield.example/core/membership"
	"baobabfield.example/core/types"
)

var (
	measuredHosts     = flag.Int("measure", 0, "number of hosts of TestMeasure; 0 skips it")
	partitionDuration = flag.Duration("apart", time.Minute, "duration of the partition in TestMeasure")
)

// The number of data centres follows from the number of hosts: 3 for 21 hosts, 18 for
// 2,600 hosts.
const (
	hostsPerDataCentre = 144
	minDataCentres     = 3
)

// measurement prints one line of the table of docs/CONTROL.md for each scenario.
type measurement struct {
	t     *testing.T
	fleet *fleet
}

// runScenario runs a scenario and prints its cost per host and second.
func (m measurement) runScenario(name string, run func() string) {
	f := m.fleet
	f.totalCost = cost{}
	for _, h := range f.hosts {
		h.sentBytes = 0
	}
	calls := f.platform.listCount + f.platform.watchCount
	startedAt := f.now
	result := run()
	seconds := f.now.Sub(startedAt).Seconds()
	maxSentBytes := 0
	for _, h := range f.hosts {
		maxSentBytes = max(maxSentBytes, h.sentBytes)
	}
	hostSeconds := float64(len(f.hosts)) * seconds
	m.t.Logf("| %d | %s | %.0f | %.0f | %.0f | %.1f | %.3f | %.1f | %s |", len(f.hosts), name,
		float64(f.totalCost.gossipBytes)/hostSeconds, float64(f.totalCost.configBytes)/hostSeconds, float64(maxSentBytes)/seconds,
		float64(f.totalCost.gossipMessages+f.totalCost.configMessages)/hostSeconds,
		100*f.totalCost.cpu.Seconds()/hostSeconds,
		float64(f.platform.listCount+f.platform.watchCount-calls)/seconds, result)
}

func (m measurement) runFor(d time.Duration) func() string {
	return func() string {
		m.fleet.run(d)
		return fmt.Sprintf("%.0f s", d.Seconds())
	}
}

// timeToApply changes an object and returns the time until the change reached all
// accepted hosts.
func (m measurement) timeToApply(accept func(*host) bool) time.Duration {
	o := m.fleet.platform.storeChange()
	return m.fleet.runUntil(30*time.Second, func() bool { return m.fleet.countLagging(o.Key, o.Version, accept) == 0 })
}

func (m measurement) applyChanges() string {
	var worst time.Duration
	for range 5 {
		worst = max(worst, m.timeToApply(anyHost))
		m.fleet.run(time.Second)
	}
	return fmt.Sprintf("in force within %v", worst)
}

func (m measurement) startAll() string {
	m.fleet.startAll()
	took := m.fleet.runUntil(2*time.Minute, func() bool { return m.fleet.countUnready() == 0 })
	return fmt.Sprintf("all ready after %v", took)
}

// stopAndRestartHosts stops the accepted hosts, measures how fast a change reaches the
// others, and starts the stopped hosts again.
func (m measurement) stopAndRestartHosts(accept func(*host) bool) string {
	var stopped []types.Host
	for i, h := range m.fleet.hosts {
		if accept(h) {
			stopped = append(stopped, h.self.Host)
			m.fleet.stopHost(i)
		}
	}
	m.fleet.run(20 * time.Second)
	worst := m.timeToApply(anyHost)
	for i, h := range m.fleet.hosts {
		if !h.up {
			m.fleet.startHost(i)
		}
	}
	ready := m.fleet.runUntil(time.Minute, func() bool { return m.fleet.countUnready() == 0 })
	m.fleet.run(10 * time.Second)
	return fmt.Sprintf("%d hosts lost; a change meanwhile in force within %v; back and ready after %v", len(stopped), worst, ready)
}

func (m measurement) replaceHosts(n int) func() string {
	return func() string {
		var worst time.Duration
		for range n {
			m.fleet.startHost(m.fleet.random.IntN(len(m.fleet.hosts)))
			worst = max(worst, m.fleet.runUntil(time.Minute, func() bool { return m.fleet.countUnready() == 0 }))
			m.fleet.run(time.Second)
		}
		return fmt.Sprintf("%d replaced, each ready within %v", n, worst)
	}
}

// partition divides the data centres into two halves of which only the first reaches
// the platform. It then measures the time until all hosts have the latest change
// after the partition has ended.
func (m measurement) partition(d time.Duration, changes int) func() string {
	return func() string {
		f := m.fleet
		first := func(dc types.DataCentre) bool { return dc < dataCentreName(f.dataCentreCount/2+1) }
		f.isPartitioned = func(a, b types.DataCentre) bool { return first(a) != first(b) }
		f.platform.setReachable(first)
		var o config.Object
		for range changes {
			o = f.platform.storeChange()
			f.startHost(f.random.IntN(len(f.hosts)))
			f.run(d / time.Duration(changes))
		}
		f.isPartitioned = nil
		f.platform.setReachable(allReachable)
		took := f.runUntil(time.Minute, func() bool { return f.countLagging(o.Key, o.Version, anyHost) == 0 })
		f.run(10 * time.Second)
		return fmt.Sprintf("%v apart with %d changes and replacements; equal %v after rejoining", d, changes, took)
	}
}

// TestMeasure prints the cost of membership and configuration:
//
//	go test ./config -run TestMeasure -v -timeout 60m -measure 2600
func TestMeasure(t *testing.T) {
	if *measuredHosts == 0 {
		t.Skip("-measure is not set")
	}
	count := *measuredHosts
	dcs := max(minDataCentres, count/hostsPerDataCentre)
	m := measurement{t: t, fleet: newFleet(1, count, dcs)}
	m.fleet.platform.storeServices(max(count*1000/2600, 2))
	t.Log("| hosts | scenario | gossip B/s | config B/s | busiest host B/s | messages/s | CPU % | platform calls/s | result |")
	m.runScenario("every host starts at once", m.startAll)
	m.runScenario("settling", m.runFor(30*time.Second))
	m.runScenario("steady", m.runFor(20*time.Second))
	m.runScenario("5 changes", m.applyChanges)
	m.runScenario("10 replacements", m.replaceHosts(10))
	rack := m.fleet.rackCount
	m.runScenario("rack lost", func() string {
		return m.stopAndRestartHosts(func(h *host) bool { return h.self.DataCentre == dataCentreName(1) && h.index/dcs%rack == 0 })
	})
	m.runScenario("data centre lost", func() string { return m.stopAndRestartHosts(inDataCentres(dataCentreName(2))) })
	m.runScenario("regions apart", m.partition(*partitionDuration, 10))
}

// TestMeasureMemory prints the memory that the state of one host uses:
//
//	go test ./config -run TestMeasureMemory -v -measure 2600
func TestMeasureMemory(t *testing.T) {
	if *measuredHosts == 0 {
		t.Skip("-measure is not set")
	}
	count := *measuredHosts
	services := max(count*1000/2600, 2)
	before := heapBytesInUse()
	machine := membership.New(membership.Config{Self: measuredMember(0), Seed: 1})
	for i := range count {
		list := membership.Members{Members: []membership.Member{measuredMember(i)}}
		machine.Step(types.Time(i+1), membership.Message{From: measuredMember(1), Body: list})
	}
	machine.Step(types.Time(time.Second), membership.Tick{})
	snapshot := machine.Snapshot()
	members := heapBytesInUse() - before
	runtime.KeepAlive(machine)

	before = heapBytesInUse()
	objects := config.NewStore()
	for i := range services {
		body := testService(i)
		objects.Apply(config.Object{Key: body.Key(), Version: config.Version(i + 1), Body: body})
	}
	view := objects.Snapshot()
	stored := heapBytesInUse() - before
	runtime.KeepAlive(objects)

	before = heapBytesInUse()
	tracker := config.NewUseTracker("host", measuredUseCount)
	for i := range measuredUseCount {
		key := config.UseKey{Service: "service", Feature: "feature", Caller: fmt.Sprintf("10.1.%d.%d", i/250, i%250)}
		tracker.Record(int64(i), key, false)
	}
	uses := heapBytesInUse() - before
	runtime.KeepAlive(tracker)
	t.Logf("state of one host: %d members %d KB, %d services %d KB, %d uses %d KB",
		len(snapshot.Members()), members/1024, len(view.Services()), stored/1024, measuredUseCount, uses/1024)
}

// measuredUseCount is the number of entries of the measured use tracker.
const measuredUseCount = 4096

func measuredMember(i int) membership.Member {
	return membership.Member{
		Host: types.Host(fmt.Sprintf("host-%04d", i)), DataCentre: dataCentreName(i % 18),
		MeshAddress:   fmt.Sprintf("10.0.%d.%d:7947", i/250, i%250),
		GossipAddress: fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250),
		Incarnation:   1,
	}
}

func heapBytesInUse() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
