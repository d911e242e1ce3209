package proxy_test

import (
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/proxy"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// maxConfigDelay is the time in which an accepted configuration must be in force.
const maxConfigDelay = 3 * time.Second

// checkServesNewDatabase checks that every host accepts a session for the database that
// version 2 adds, within the timeout.
func (sim *simulation) checkServesNewDatabase(is *is.I, timeout time.Duration) {
	sim.t.Helper()
	for _, h := range sim.sortedHosts() {
		got := sim.callers.openSession(h.id, "new-db", "read")
		sim.runFor(timeout)
		is.True(got.ready)
	}
}

func TestConfigurationReachesHostsWithoutTheStore(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 12, 3)
	openAll(sim)
	sim.storeCut["h-b1"], sim.storeCut["h-c0"], sim.storeCut["h-c2"] = true, true, true
	sim.runFor(time.Second)
	sim.configureRoutes(2, "primary-db", "bounded-db", "own-db", "new-db")
	sim.runFor(maxConfigDelay)
	sim.checkServesNewDatabase(is, 200*time.Millisecond)
}

// The store is read as often as the bounds require, and watched by as many hosts in a fleet of
// many data centres as in one of three.
func TestReadsFollowTheBounds(t *testing.T) {
	is := is.New(t)
	readsIn := func(bound time.Duration) int {
		sim := newSimulation(t, 16, 4)
		for _, h := range sim.sortedHosts() {
			sim.killHost(h.id)
			h.configBound, h.leavingBound = bound, 2*bound
			sim.startHost(h.id, h.dc)
		}
		sim.runFor(2 * time.Second)
		before := sim.store.reads
		sim.runFor(30 * time.Second)
		return sim.store.reads - before
	}
	is.True(readsIn(6*time.Second)*10 < readsIn(3*time.Second)*7)
}

// Watches that deliver nothing must not delay a configuration: one host of each data centre
// reads it and notifies the others.
func TestConfigurationIsReadWhileWatchesAreSilent(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 13, 4)
	openAll(sim)
	sim.runFor(time.Second)
	sim.watchesSilent = true
	sim.configureRoutes(2, "primary-db", "bounded-db", "own-db", "new-db")
	sim.runFor(maxConfigDelay)
	sim.checkServesNewDatabase(is, 200*time.Millisecond)
}

// A host whose links have all silently failed must read the configuration itself in time.
func TestIsolatedHostReadsConfiguration(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 15, 7)
	sim.runFor(time.Second)
	sim.watchesSilent = true
	for _, h := range sim.sortedHosts() {
		for _, other := range sim.sortedHosts() {
			sim.cuts[[2]string{string(h.id), string(other.id)}] = h != other
		}
	}
	sim.configureRoutes(2, "primary-db", "bounded-db", "own-db", "new-db")
	sim.runFor(maxConfigDelay)
	sim.checkServesNewDatabase(is, 10*time.Millisecond)
}

// Guards against sending a large configuration to every host over one slow link. Hosts that
// have received it must pass it on.
func TestConfigurationSpreadsPastSlowLink(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 41, 8)
	sim.runFor(time.Second)
	sim.watchesSilent = true
	for _, h := range sim.sortedHosts() {
		sim.storeCut[h.id] = h.id != "h-a0"
	}
	sim.transferTime = map[types.Host]time.Duration{"h-a0": 250 * time.Millisecond}
	sim.configureRoutes(2, "primary-db", "bounded-db", "own-db", "new-db")
	sim.runFor(maxConfigDelay)
	sim.checkServesNewDatabase(is, 10*time.Millisecond)
}

// Guards against further reads of a large configuration while the first is being transferred,
// which would share a narrow link with it.
func TestReadIsNotRepeatedWhilePending(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 19, 2)
	sim.runFor(5 * time.Second)
	sim.store.delay = 4 * time.Second
	before := sim.store.reads
	sim.runFor(sim.store.delay)
	is.True(sim.store.reads-before <= len(sim.hosts)*len(proxy.Kinds))
}

// Guards against taking another host's read for one's own without what it has read.
func TestConfigurationThatCannotBeFetchedIsRead(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 17, 4)
	sim.runFor(time.Second)
	sim.watchesSilent = true
	sim.isLost = func(_ types.Host, msg proxy.Message) bool {
		_, ok := msg.(proxy.ChangesRequest)
		return ok
	}
	sim.configureRoutes(2, "primary-db", "bounded-db", "own-db", "new-db")
	sim.runFor(maxConfigDelay)
	sim.checkServesNewDatabase(is, 10*time.Millisecond)
}

// Guards against hosts that keep each other from reading by notices of their failed reads.
func TestConfigurationIsReadWhereFirstHostsCannotRead(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 18, 12)
	sim.runFor(time.Second)
	sim.watchesSilent, sim.store.failureDelay = true, 900*time.Millisecond
	for _, dc := range dataCentres {
		hosts := sim.hostsInReadOrder(dc)
		for _, h := range hosts[:len(hosts)/2] {
			sim.storeCut[h.id] = true
		}
	}
	sim.runFor(2 * time.Second)
	sim.configureRoutes(2, "primary-db", "bounded-db", "own-db", "new-db")
	sim.runFor(maxConfigDelay)
	sim.checkServesNewDatabase(is, 10*time.Millisecond)
}

// hostsInReadOrder returns the hosts of a data centre in the order in which they read the store.
func (sim *simulation) hostsInReadOrder(dc types.DataCentre) []*hostSim {
	var out []*hostSim
	for _, h := range sim.sortedHosts() {
		if h.dc == dc {
			out = append(out, h)
		}
	}
	sort.Slice(out, func(i, j int) bool { return random.Hash(0, string(out[i].id)) > random.Hash(0, string(out[j].id)) })
	return out
}

// Hosts that have learned of a deletion from lists of different revisions must not request it
// from each other again and again.
func TestDeletionIsNotRequestedAgain(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 20, 4)
	e := sim.addEndpoint("e-x", "b", false)
	sim.runFor(time.Second)
	sim.watchesSilent = true
	e.alive = false
	sim.cutDataCentre("b", true)
	for _, h := range sim.hostsInReadOrder("b") {
		sim.storeCut[h.id] = true
	}
	sim.store.remove(proxy.KindEndpoints, "e-x")
	for version := uint64(2); version < 30; version++ {
		sim.configure(version)
		sim.runFor(200 * time.Millisecond)
		clear(sim.storeCut)
	}
	sim.cutDataCentre("b", false)
	sim.runFor(10 * time.Second)
	requests := 0
	sim.isLost = func(_ types.Host, msg proxy.Message) bool {
		if r, ok := msg.(proxy.ChangesRequest); ok && r.Since[0].Kind == proxy.KindEndpoints {
			requests++
		}
		return false
	}
	sim.runFor(10 * time.Second)
	is.Equal(requests, 0)
}
