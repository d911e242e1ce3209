package failover_test

import (
	"container/heap"
	"fmt"
	"time"

	"baobabfield.example/core/types"
)

// action is a function that the simulation calls at a time. Actions of the same time
// run in the order of seq.
type action struct {
	at  time.Duration
	seq int
	run func()
}

type actionHeap []action

func (h actionHeap) Len() int      { return len(h) }
func (h actionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h actionHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h *actionHeap) Push(x any) { *h = append(*h, x.(action)) }
func (h *actionHeap) Pop() any {
	actions := *h
	last := actions[len(actions)-1]
	*h = actions[:len(actions)-1]
	return last
}

// simulation runs a database with its endpoints, the hosts that own them, and the
// network between them in virtual time.
type simulation struct {
	now       time.Duration
	lastSeq   int
	actions   actionHeap
	rng       uint64
	endpoints []*fakeEndpoint
	hosts     []*fakeHost
	spec      types.DatabaseSpec
	sets      map[uint32][]types.Endpoint
	// blockedLinks holds the pairs "from>to" whose messages are dropped.
	blockedLinks                       map[string]bool
	lossPercent, duplicatePercent      int
	delayMin, delayMax                 time.Duration
	longDelayPercent, slowWritePercent int
	lastWriteID                        int
	// retriesRejected is true if a write that no host accepts is submitted again.
	retriesRejected bool
	// reportsAuthorityIdle is true if endpoints report FenceResponse.AuthorityIdle.
	reportsAuthorityIdle bool
	history              history
	violation            string
}

var defaultOwners = map[types.Endpoint]types.Host{"e1": "h1", "e2": "h2", "e3": "h3", "e4": "h1"}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rng: seed, blockedLinks: map[string]bool{}, sets: map[uint32][]types.Endpoint{},
		delayMin: 500 * time.Microsecond, delayMax: 2 * time.Millisecond,
		history: newHistory(), reportsAuthorityIdle: true,
	}
	sim.spec = types.DatabaseSpec{ID: "db", EndpointSet: 1, Endpoints: endpointSpecs("e1", "e2", "e3")}
	sim.sets[1] = []types.Endpoint{"e1", "e2", "e3"}
	for _, id := range []types.Endpoint{"e1", "e2", "e3", "e4"} {
		sim.endpoints = append(sim.endpoints, newFakeEndpoint(sim, id))
	}
	for i, id := range []types.Host{"h1", "h2", "h3", "h4"} {
		h := &fakeHost{sim: sim, id: id, up: true, owners: defaultOwners, spec: sim.spec, clockRate: 996 + int64(sim.randomBelow(9)), clockOffset: time.Duration(i) * time.Hour}
		sim.hosts = append(sim.hosts, h)
		h.start()
	}
	return sim
}

func endpointSpecs(ids ...types.Endpoint) []types.EndpointSpec {
	var specs []types.EndpointSpec
	for _, id := range ids {
		specs = append(specs, types.EndpointSpec{ID: id})
	}
	return specs
}

func (sim *simulation) randomBelow(n int) int {
	sim.rng += 0x9e3779b97f4a7c15
	x := (sim.rng ^ sim.rng>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return int((x ^ x>>31) % uint64(n))
}

func (sim *simulation) scheduleAt(t time.Duration, do func()) {
	sim.lastSeq++
	heap.Push(&sim.actions, action{at: max(t, sim.now), seq: sim.lastSeq, run: do})
}

func (sim *simulation) scheduleAfter(d time.Duration, do func()) { sim.scheduleAt(sim.now+d, do) }

// runUntil runs the actions up to the time, or until the first violation of an
// invariant.
func (sim *simulation) runUntil(until time.Duration) {
	for len(sim.actions) > 0 && sim.actions[0].at <= until && sim.violation == "" {
		a := heap.Pop(&sim.actions).(action)
		sim.now = a.at
		a.run()
	}
	sim.now = until
}

// recordViolation records the first violation of an invariant.
func (sim *simulation) recordViolation(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("at %v: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

// send delivers a message after a delay. According to the settings it may drop or
// duplicate the message.
func (sim *simulation) send(from, to string, deliver func()) {
	if sim.blockedLinks[from+">"+to] || sim.randomBelow(100) < sim.lossPercent {
		return
	}
	sim.scheduleAfter(sim.messageDelay(), deliver)
	if sim.randomBelow(100) < sim.duplicatePercent {
		sim.scheduleAfter(sim.messageDelay(), deliver)
	}
}

func (sim *simulation) messageDelay() time.Duration {
	if sim.randomBelow(100) < sim.longDelayPercent {
		return time.Duration(sim.randomBelow(1500)) * time.Millisecond
	}
	return sim.delayMin + time.Duration(sim.randomBelow(int(sim.delayMax-sim.delayMin)+1))
}

// writeDelay returns the time between a write and its result.
func (sim *simulation) writeDelay() time.Duration {
	if sim.randomBelow(100) < sim.slowWritePercent {
		return time.Duration(sim.randomBelow(1200)) * time.Millisecond
	}
	return 0
}

func (sim *simulation) connected(a, b string) bool {
	return !sim.blockedLinks[a+">"+b] && !sim.blockedLinks[b+">"+a]
}

func (sim *simulation) endpoint(id types.Endpoint) *fakeEndpoint {
	for _, e := range sim.endpoints {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (sim *simulation) host(id types.Host) *fakeHost {
	for _, h := range sim.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// changeSet publishes a new endpoint set. It does nothing while a set change is
// in progress.
func (sim *simulation) changeSet(ids []types.Endpoint, interval time.Duration) {
	if len(sim.spec.PreviousEndpoints) > 0 {
		return
	}
	sim.spec = types.DatabaseSpec{ID: "db", EndpointSet: sim.spec.EndpointSet + 1, Endpoints: endpointSpecs(ids...), PreviousEndpoints: sim.spec.Endpoints}
	sim.sets[sim.spec.EndpointSet] = ids
	sim.publishSpec(interval)
}

// setComplete removes the previous endpoints from the specification.
func (sim *simulation) setComplete(set uint32) {
	if sim.spec.EndpointSet == set && len(sim.spec.PreviousEndpoints) > 0 {
		sim.spec.PreviousEndpoints = nil
		sim.publishSpec(100 * time.Millisecond)
	}
}

// publishSpec sends the specification to the hosts, one after another at the interval.
func (sim *simulation) publishSpec(interval time.Duration) {
	spec := sim.spec
	for i, h := range sim.hosts {
		sim.scheduleAfter(time.Duration(i)*interval, func() { h.updateSpec(spec) })
	}
}

// primaryHost returns the first host that may send writes now.
func (sim *simulation) primaryHost() *fakeHost {
	for _, h := range sim.hosts {
		if h.up && !h.paused() && h.machine.MaySendWrite(h.localTime(), h.machine.View().Term) {
			return h
		}
	}
	return nil
}
