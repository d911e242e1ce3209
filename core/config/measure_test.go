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
	measuredHosts = flag.Int("measure", 0, "number of hosts of TestMeasure; 0 skips it")
	measuredApart = flag.Duration("apart", time.Minute, "how long the regions of TestMeasure are apart")
)

// hostsPerDataCentre is the size that sets the number of data centres: 3 for 21
// hosts, 18 for 2,600.
const (
	hostsPerDataCentre = 144
	leastDataCentres   = 3
)

// measurement prints one line of the table of docs/CONTROL.md for each scenario.
type measurement struct {
	t *testing.T
	f *fleet
}

// phase runs a scenario and prints what it cost for each host and second.
func (m measurement) phase(name string, run func() string) {
	f := m.f
	f.cost = cost{}
	for _, h := range f.hosts {
		h.traffic = 0
	}
	calls := f.platform.lists + f.platform.watches
	began := f.now
	result := run()
	seconds := f.now.Sub(began).Seconds()
	most := 0
	for _, h := range f.hosts {
		most = max(most, h.traffic)
	}
	per := float64(len(f.hosts)) * seconds
	m.t.Logf("| %d | %s | %.0f | %.0f | %.0f | %.1f | %.3f | %.1f | %s |", len(f.hosts), name,
		float64(f.cost.gossipBytes)/per, float64(f.cost.confBytes)/per, float64(most)/seconds,
		float64(f.cost.gossipMessages+f.cost.confMessages)/per,
		100*f.cost.cpu.Seconds()/per,
		float64(f.platform.lists+f.platform.watches-calls)/seconds, result)
}

func (m measurement) idle(d time.Duration) func() string {
	return func() string {
		m.f.run(d)
		return fmt.Sprintf("%.0f s", d.Seconds())
	}
}

// inForce changes an object and returns how long it took to be in force where
// accept says.
func (m measurement) inForce(accept func(*host) bool) time.Duration {
	o := m.f.platform.change()
	return m.f.until(30*time.Second, func() bool { return m.f.lagging(o.Key, o.Version, accept) == 0 })
}

func (m measurement) changes() string {
	var worst time.Duration
	for range 5 {
		worst = max(worst, m.inForce(anyHost))
		m.f.run(time.Second)
	}
	return fmt.Sprintf("in force within %v", worst)
}

func (m measurement) startAll() string {
	m.f.startAll()
	took := m.f.until(2*time.Minute, func() bool { return m.f.unready() == 0 })
	return fmt.Sprintf("all ready after %v", took)
}

// lose stops the hosts that the filter accepts and waits until their data centres'
// other hosts, or those of all data centres, know.
func (m measurement) lose(accept func(*host) bool) string {
	var lost []types.Host
	for i, h := range m.f.hosts {
		if accept(h) {
			lost = append(lost, h.self.Host)
			m.f.stop(i)
		}
	}
	m.f.run(20 * time.Second)
	worst := m.inForce(anyHost)
	for i, h := range m.f.hosts {
		if !h.up {
			m.f.start(i)
		}
	}
	ready := m.f.until(time.Minute, func() bool { return m.f.unready() == 0 })
	m.f.run(10 * time.Second)
	return fmt.Sprintf("%d hosts lost; a change meanwhile in force within %v; back and ready after %v", len(lost), worst, ready)
}

func (m measurement) replace(n int) func() string {
	return func() string {
		var worst time.Duration
		for range n {
			m.f.start(m.f.random.IntN(len(m.f.hosts)))
			worst = max(worst, m.f.until(time.Minute, func() bool { return m.f.unready() == 0 }))
			m.f.run(time.Second)
		}
		return fmt.Sprintf("%d replaced, each ready within %v", n, worst)
	}
}

// apart cuts the data centres into two halves; one of them has the platform.
func (m measurement) apart(d time.Duration, changes int) func() string {
	return func() string {
		f := m.f
		first := func(dc types.DataCentre) bool { return dc < dataCentre(f.dcs/2+1) }
		f.cut = func(a, b types.DataCentre) bool { return first(a) != first(b) }
		f.platform.lose(first)
		var o config.Object
		for range changes {
			o = f.platform.change()
			f.start(f.random.IntN(len(f.hosts)))
			f.run(d / time.Duration(changes))
		}
		f.cut = nil
		f.platform.lose(everywhere)
		took := f.until(time.Minute, func() bool { return f.lagging(o.Key, o.Version, anyHost) == 0 })
		f.run(10 * time.Second)
		return fmt.Sprintf("%v apart with %d changes and replacements; equal %v after rejoining", d, changes, took)
	}
}

// TestMeasure prints what membership and configuration cost:
//
//	go test ./config -run TestMeasure -v -timeout 60m -measure 2600
func TestMeasure(t *testing.T) {
	if *measuredHosts == 0 {
		t.Skip("-measure is not set")
	}
	count := *measuredHosts
	dcs := max(leastDataCentres, count/hostsPerDataCentre)
	m := measurement{t: t, f: newFleet(1, count, dcs)}
	m.f.platform.fill(max(count*1000/2600, 2))
	t.Log("| hosts | scenario | gossip B/s | config B/s | busiest host B/s | messages/s | CPU % | platform calls/s | result |")
	m.phase("every host starts at once", m.startAll)
	m.phase("settling", m.idle(30*time.Second))
	m.phase("steady", m.idle(20*time.Second))
	m.phase("5 changes", m.changes)
	m.phase("10 replacements", m.replace(10))
	rack := m.f.racks
	m.phase("rack lost", func() string {
		return m.lose(func(h *host) bool { return h.self.DataCentre == dataCentre(1) && h.index/dcs%rack == 0 })
	})
	m.phase("data centre lost", func() string { return m.lose(in(dataCentre(2))) })
	m.phase("regions apart", m.apart(*measuredApart, 10))
}

// TestMeasureMemory prints the size of the state of one host:
//
//	go test ./config -run TestMeasureMemory -v -measure 2600
func TestMeasureMemory(t *testing.T) {
	if *measuredHosts == 0 {
		t.Skip("-measure is not set")
	}
	count := *measuredHosts
	services := max(count*1000/2600, 2)
	before := heapInUse()
	machine := membership.New(membership.Config{Self: measuredMember(0), Seed: 1})
	for i := range count {
		list := membership.Members{Members: []membership.Member{measuredMember(i)}}
		machine.Step(types.Time(i+1), membership.Message{From: measuredMember(1), Body: list})
	}
	machine.Step(types.Time(time.Second), membership.Tick{})
	snapshot := machine.Snapshot()
	members := heapInUse() - before
	runtime.KeepAlive(machine)

	before = heapInUse()
	objects := config.NewStore()
	for i := range services {
		body := service(i)
		objects.Apply(config.Object{Key: body.Key(), Version: config.Version(i + 1), Body: body})
	}
	view := objects.Snapshot()
	stored := heapInUse() - before
	runtime.KeepAlive(objects)

	before = heapInUse()
	tracker := config.NewUseTracker("host", measuredUses)
	for i := range measuredUses {
		key := config.UseKey{Service: "service", Feature: "feature", Caller: fmt.Sprintf("10.1.%d.%d", i/250, i%250)}
		tracker.Record(int64(i), key, false)
	}
	uses := heapInUse() - before
	runtime.KeepAlive(tracker)
	t.Logf("state of one host: %d members %d KB, %d services %d KB, %d uses %d KB",
		len(snapshot.Members()), members/1024, len(view.Services()), stored/1024, measuredUses, uses/1024)
}

// measuredUses is the number of entries of the measured tracker of uses.
const measuredUses = 4096

func measuredMember(i int) membership.Member {
	return membership.Member{
		Host: types.Host(fmt.Sprintf("host-%04d", i)), DataCentre: dataCentre(i % 18),
		MeshAddress:   fmt.Sprintf("10.0.%d.%d:7947", i/250, i%250),
		GossipAddress: fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250),
		Incarnation:   1,
	}
}

func heapInUse() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
