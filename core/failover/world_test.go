package failover_test

import (
	"container/heap"
	"fmt"
	"time"

	"baobabfield.example/core/types"
)

// action is something that happens at a time of the simulated world.
type action struct {
	at  time.Duration
	seq int
	do  func()
}

type actionHeap []action

func (h actionHeap) Len() int      { return len(h) }
func (h actionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h actionHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h *actionHeap) Push(x any) { *h = append(*h, x.(action)) }
func (h *actionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// world is a database with its endpoints, the hosts that own them, and the
// network between them, in virtual time.
type world struct {
	now       time.Duration
	seq       int
	queue     actionHeap
	rng       uint64
	endpoints []*fakeEndpoint
	hosts     []*fakeHost
	spec      types.DatabaseSpec
	sets      map[uint32][]types.Endpoint
	// blocked holds the pairs "from>to" whose messages vanish.
	blocked            map[string]bool
	lossPct, dupPct    int
	delayMin, delayMax time.Duration
	spikePct, slowPct  int
	nextWrite          int
	// queueing says that a write that no host takes is offered again.
	queueing bool
	// knowsQuiet says that endpoints report the time since other hosts asked.
	knowsQuiet bool
	truth      truth
	violation  string
}

var homes = map[types.Endpoint]types.Host{"e1": "h1", "e2": "h2", "e3": "h3", "e4": "h1"}

func newWorld(seed uint64) *world {
	w := &world{
		rng: seed, blocked: map[string]bool{}, sets: map[uint32][]types.Endpoint{},
		delayMin: 500 * time.Microsecond, delayMax: 2 * time.Millisecond,
		truth: newTruth(), knowsQuiet: true,
	}
	w.spec = types.DatabaseSpec{ID: "db", EndpointSet: 1, Endpoints: specsOf("e1", "e2", "e3")}
	w.sets[1] = []types.Endpoint{"e1", "e2", "e3"}
	for _, id := range []types.Endpoint{"e1", "e2", "e3", "e4"} {
		w.endpoints = append(w.endpoints, newFakeEndpoint(w, id))
	}
	for i, id := range []types.Host{"h1", "h2", "h3", "h4"} {
		h := &fakeHost{w: w, id: id, up: true, owners: homes, spec: w.spec, rate: 996 + int64(w.below(9)), offset: time.Duration(i) * time.Hour}
		w.hosts = append(w.hosts, h)
		h.start()
	}
	return w
}

func specsOf(ids ...types.Endpoint) []types.EndpointSpec {
	var specs []types.EndpointSpec
	for _, id := range ids {
		specs = append(specs, types.EndpointSpec{ID: id})
	}
	return specs
}

func (w *world) below(n int) int {
	w.rng += 0x9e3779b97f4a7c15
	x := (w.rng ^ w.rng>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return int((x ^ x>>31) % uint64(n))
}

func (w *world) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, action{at: max(t, w.now), seq: w.seq, do: do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// run performs the actions up to the time, or to the first violation.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.violation == "" {
		a := heap.Pop(&w.queue).(action)
		w.now = a.at
		a.do()
	}
	w.now = until
}

// fail records the first violation of an invariant.
func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// send delivers a message after a delay, perhaps twice, late or never.
func (w *world) send(from, to string, deliver func()) {
	if w.blocked[from+">"+to] || w.below(100) < w.lossPct {
		return
	}
	w.after(w.delay(), deliver)
	if w.below(100) < w.dupPct {
		w.after(w.delay(), deliver)
	}
}

func (w *world) delay() time.Duration {
	if w.below(100) < w.spikePct {
		return time.Duration(w.below(1500)) * time.Millisecond
	}
	return w.delayMin + time.Duration(w.below(int(w.delayMax-w.delayMin)+1))
}

// slow returns the time between a write and its result.
func (w *world) slow() time.Duration {
	if w.below(100) < w.slowPct {
		return time.Duration(w.below(1200)) * time.Millisecond
	}
	return 0
}

func (w *world) linked(a, b string) bool { return !w.blocked[a+">"+b] && !w.blocked[b+">"+a] }

func (w *world) endpoint(id types.Endpoint) *fakeEndpoint {
	for _, e := range w.endpoints {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *world) host(id types.Host) *fakeHost {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// changeSet gives the hosts a new endpoint set, one after another.
func (w *world) changeSet(ids []types.Endpoint, apart time.Duration) {
	if len(w.spec.PreviousEndpoints) > 0 {
		return
	}
	w.spec = types.DatabaseSpec{ID: "db", EndpointSet: w.spec.EndpointSet + 1, Endpoints: specsOf(ids...), PreviousEndpoints: w.spec.Endpoints}
	w.sets[w.spec.EndpointSet] = ids
	w.publish(apart)
}

// setComplete removes the previous endpoints from the configuration.
func (w *world) setComplete(set uint32) {
	if w.spec.EndpointSet == set && len(w.spec.PreviousEndpoints) > 0 {
		w.spec.PreviousEndpoints = nil
		w.publish(100 * time.Millisecond)
	}
}

func (w *world) publish(apart time.Duration) {
	spec := w.spec
	for i, h := range w.hosts {
		w.after(time.Duration(i)*apart, func() { h.configure(spec) })
	}
}

// primaryHost returns the first host that may send writes now.
func (w *world) primaryHost() *fakeHost {
	for _, h := range w.hosts {
		if h.up && !h.paused() && h.m.MaySend(h.clock(), h.m.View().Term) {
			return h
		}
	}
	return nil
}
