package proxy_test

import (
	"container/heap"
	"fmt"
	"slices"
	"sort"
	"testing"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// The world plays hosts, endpoints, the platform's store and callers in virtual
// time. Every run of a seed is the same.

const (
	localDelay  = 300 * time.Microsecond
	remoteDelay = time.Millisecond
	storeDelay  = 4 * time.Millisecond
	promoteTime = 600 * time.Millisecond
	// maxOrders is the number of orders of a host in a second: a host spends at most 10 KB
	// a second on control, and an order takes some 200 bytes both ways.
	maxOrders = 50
	// maxTicks is the number of ticks at one moment that shows a host that spins.
	maxTicks = 100
	// worldStart is the first moment, so that no time is zero.
	worldStart = types.Time(time.Second)
)

// moment is something that happens at a time.
type moment struct {
	at  types.Time
	seq int
	do  func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at < m[j].at || (m[i].at == m[j].at && m[i].seq < m[j].seq)
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

// world is one run.
type world struct {
	t         *testing.T
	now       types.Time
	seq       int
	agenda    moments
	rng       random.Source
	hosts     map[types.Host]*hostSim
	endpoints map[types.Endpoint]*endpointSim
	store     *storeSim
	// cut reports whether nothing passes between two data centres or hosts.
	cuts map[[2]string]bool
	// storeCut are the hosts that the store does not serve.
	storeCut map[types.Host]bool
	deaf     bool
	// refusing is set where cuts answer connections with refusals.
	refusing bool
	faults   []string
	callers  *callers
	// narrow is the time that each answer with objects takes on a host's link, one
	// after the other; busy is when the link is free again.
	narrow map[types.Host]time.Duration
	busy   map[types.Host]types.Time
	// promoteTime is the platform's time for a promotion.
	promoteTime time.Duration
	// verbose prints the hosts' log lines and the faults as they come.
	verbose bool
}

// hostSim is one host; incarnation changes with each start.
type hostSim struct {
	id          types.Host
	dc          types.DataCentre
	machine     *proxy.Machine
	incarnation int
	alive       bool
	frozen      bool
	waiting     []func()
	wake        types.Time
	// tickedAt and ticks count the ticks at one moment.
	tickedAt types.Time
	ticks    int
	// ordersAt is the second in which orders were sent.
	ordersAt types.Time
	orders   int
	exited   bool
	power    int
	conns    map[uint64]*connSim
	lines    []proxy.Log
}

var dataCentres = []types.DataCentre{"a", "b", "c"}

const testService = types.Service("ramp-logs")

// newWorld returns three data centres with some hosts and one endpoint each; the
// endpoint of the first is the primary.
func newWorld(t *testing.T, seed uint64, hostsEach int) *world {
	w := &world{
		t: t, now: worldStart, rng: random.New(seed), hosts: map[types.Host]*hostSim{},
		endpoints: map[types.Endpoint]*endpointSim{}, cuts: map[[2]string]bool{}, storeCut: map[types.Host]bool{},
		promoteTime: promoteTime, busy: map[types.Host]types.Time{},
	}
	w.store = newStore(w)
	for i, dc := range dataCentres {
		w.addEndpoint(types.Endpoint("e-"+string(dc)), dc, i == 0)
	}
	w.configure(1, 3*time.Second)
	for _, dc := range dataCentres {
		for i := range hostsEach {
			w.startHost(types.Host(fmt.Sprintf("h-%s%d", dc, i)), dc)
		}
	}
	w.callers = newCallers(w)
	w.run(time.Second)
	w.callers.lastWrite = w.now
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, moment{at: w.now.Add(d), seq: w.seq, do: do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		m := heap.Pop(&w.agenda).(moment)
		w.now = m.at
		m.do()
	}
	w.now = end
}

func (w *world) fault(format string, args ...any) {
	if w.verbose && len(w.faults) < 3 {
		fmt.Printf("%8.4f FAULT %s\n", w.now.Sub(worldStart).Seconds(), fmt.Sprintf(format, args...))
	}
	w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now.Sub(worldStart))+fmt.Sprintf(format, args...))
}

// check fails the test for every promise that was broken.
func (w *world) check() {
	w.t.Helper()
	for i, f := range w.faults {
		if i == 10 {
			w.t.Errorf("and %d more", len(w.faults)-i)
			return
		}
		w.t.Error(f)
	}
}

// configure stores a version of the configuration.
func (w *world) configure(version uint64, txIdle time.Duration) {
	w.configureRoutes(version, txIdle, "primary-db", "bounded-db", "own-db")
}

func (w *world) configureRoutes(version uint64, txIdle time.Duration, databases ...types.Database) {
	cfg := catalog.Config{Version: version, TxIdleTimeout: txIdle, Services: []catalog.Service{{Name: testService, MaxConnections: 40}}}
	for i, db := range databases {
		cfg.Routes = append(cfg.Routes, catalog.Route{
			Database: db, Service: testService, Consistency: catalog.Consistency(i % 3), MaxStaleness: 1500 * time.Millisecond,
			StatementTimeout: 800 * time.Millisecond, TargetLatency: 250 * time.Millisecond, Rank: i % 3,
		})
	}
	w.store.put(proxy.KindConfig, "main", proxy.Change{Config: &cfg})
}

// startHost starts a host, also one that has run before.
func (w *world) startHost(id types.Host, dc types.DataCentre) {
	h := w.hosts[id]
	if h == nil {
		h = &hostSim{id: id, dc: dc}
		w.hosts[id] = h
	}
	h.incarnation++
	w.store.watchers = slices.DeleteFunc(w.store.watchers, func(x *hostSim) bool { return x == h })
	h.alive, h.exited, h.frozen = true, false, false
	h.conns = map[uint64]*connSim{}
	h.machine = proxy.New(proxy.Settings{
		Host: id, DataCentre: dc, MeshAddress: string(id), Started: int64(h.incarnation), Power: h.power, Seed: random.Hash(uint64(h.incarnation), string(id)), Decoder: w.store,
	})
	record := catalog.Host{ID: id, DataCentre: dc, MeshAddress: string(id), StartedUnixMs: int64(h.incarnation), CPUMillicores: h.power}
	w.store.put(proxy.KindHosts, string(id), proxy.Change{Host: &record})
	w.store.list(h)
	w.tick(h)
}

// killHost ends a host at once; others see their connections break.
func (w *world) killHost(id types.Host) {
	h := w.hosts[id]
	h.alive = false
	h.incarnation++
	for _, c := range h.sortedConns() {
		w.breakConn(c)
	}
	for _, other := range w.sortedHosts() {
		if other != h && other.alive && !w.isCut(h.id, h.dc, string(other.id), other.dc) {
			w.give(other, proxy.PeerLost{Host: id})
			w.give(other, proxy.PeerClosed{Host: id})
		}
	}
	if w.callers != nil {
		w.callers.hostGone(h)
	}
}

func (w *world) sortedHosts() []*hostSim {
	out := make([]*hostSim, 0, len(w.hosts))
	for _, h := range w.hosts {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// cutCentre cuts a data centre off from the others, in both directions.
func (w *world) cutCentre(dc types.DataCentre, on bool) {
	for _, other := range dataCentres {
		if other != dc {
			w.cuts[[2]string{string(dc), string(other)}] = on
			w.cuts[[2]string{string(other), string(dc)}] = on
		}
	}
}

func (w *world) isCut(a types.Host, aDC types.DataCentre, b string, bDC types.DataCentre) bool {
	return w.cuts[[2]string{string(aDC), string(bDC)}] || w.cuts[[2]string{string(a), b}] || w.cuts[[2]string{b, string(a)}]
}

func delayBetween(a, b types.DataCentre) time.Duration {
	if a == b {
		return localDelay
	}
	return remoteDelay
}

// give hands an event to a host's machine and carries out its effects.
func (w *world) give(h *hostSim, ev proxy.Event) {
	if !h.alive || h.exited {
		return
	}
	if h.frozen {
		h.waiting = append(h.waiting, func() { w.give(h, ev) })
		return
	}
	for _, e := range h.machine.Step(w.now, ev) {
		w.apply(h, e)
	}
	w.schedule(h)
}

// tick gives a host the ticks that it asks for.
func (w *world) tick(h *hostSim) {
	h.wake = 0
	if h.tickedAt != w.now {
		h.tickedAt, h.ticks = w.now, 0
	}
	if h.ticks++; h.ticks > maxTicks {
		w.t.Fatalf("host %s asks for a tick again and again at %v", h.id, w.now.Sub(worldStart))
	}
	w.give(h, proxy.Tick{})
}

// schedule asks for the next tick.
func (w *world) schedule(h *hostSim) {
	at := max(h.machine.NextWake(), w.now)
	if h.wake != 0 && h.wake <= at {
		return
	}
	h.wake = at
	incarnation := h.incarnation
	w.after(at.Sub(w.now), func() {
		if h.incarnation == incarnation && h.wake == at {
			w.tick(h)
		}
	})
}

// freeze stops a host's process; events wait for it.
func (w *world) freeze(id types.Host, on bool) {
	h := w.hosts[id]
	h.frozen = on
	if on {
		return
	}
	waiting := h.waiting
	h.waiting = nil
	for _, do := range waiting {
		do()
	}
	if h.alive && !h.exited {
		w.tick(h)
	}
}

// apply carries out one effect.
func (w *world) apply(h *hostSim, e proxy.Effect) {
	switch e := e.(type) {
	case proxy.PeerSend:
		w.sendPeer(h, e)
	case proxy.EndpointDial:
		w.dial(h, e)
	case proxy.EndpointSend:
		w.command(h, e)
	case proxy.EndpointOrder:
		w.order(h, e)
	case proxy.EndpointClose:
		if c := h.conns[uint64(e.Conn)]; c != nil {
			delete(h.conns, uint64(e.Conn))
			c.close()
		}
	case proxy.Claim:
		w.store.claim(h, e)
	case proxy.Promote:
		w.promote(h, e)
	case proxy.Refresh:
		w.store.read(h, e.Kind)
	case proxy.Watch:
		w.store.watching(h, e.On)
	case proxy.Announce:
		record := catalog.Host{ID: h.id, DataCentre: h.dc, MeshAddress: string(h.id), StartedUnixMs: int64(h.incarnation), Leaving: true}
		w.store.put(proxy.KindHosts, string(h.id), proxy.Change{Host: &record})
	case proxy.Exit:
		h.exited = true
		w.killHost(h.id)
	case proxy.Log:
		h.lines = append(h.lines, e)
		if w.verbose && e.Event != "request" && e.Event != "statement ended without an answer" && e.Level > proxy.Debug {
			fmt.Printf("%8.4f %s %s %v\n", w.now.Sub(worldStart).Seconds(), h.id, e.Event, e.Fields)
		}
	case proxy.CallerReady, proxy.CallerReply, proxy.CallerClose:
		w.callers.effect(h, e)
	}
}

func (w *world) sendPeer(h *hostSim, e proxy.PeerSend) {
	to := w.hosts[e.Host]
	if to == nil || w.isCut(h.id, h.dc, string(to.id), to.dc) {
		return
	}
	incarnation := h.incarnation
	delay := delayBetween(h.dc, to.dc)
	if _, ok := e.Message.(proxy.Changes); ok {
		w.busy[h.id] = max(w.busy[h.id], w.now).Add(w.narrow[h.id])
		delay += w.busy[h.id].Sub(w.now)
	}
	w.after(delay, func() {
		switch {
		case w.isCut(h.id, h.dc, string(to.id), to.dc):
		case to.alive:
			w.give(to, proxy.PeerMessage{From: h.id, Message: e.Message})
		case h.incarnation == incarnation:
			w.give(h, proxy.PeerLost{Host: to.id})
		}
	})
}

// storeSim is the platform's store. It decodes objects by their names in a table.
type storeSim struct {
	w        *world
	revision uint64
	mirror   *feed.Mirror
	current  map[string]feed.Object
	values   map[string]proxy.Change
	watchers []*hostSim
	down     bool
	// delay is the time of a call's way to the store, and of its answer's way back.
	delay time.Duration
}

func newStore(w *world) *storeSim {
	return &storeSim{w: w, revision: 10, delay: storeDelay, mirror: feed.New(), current: map[string]feed.Object{}, values: map[string]proxy.Change{}}
}

// Decode returns the value of an object.
func (s *storeSim) Decode(o feed.Object) (proxy.Change, error) { return s.values[string(o.Data)], nil }

func (s *storeSim) serves(h *hostSim) bool { return !s.down && !s.w.storeCut[h.id] }

// put stores an object and tells the watchers.
func (s *storeSim) put(k feed.Kind, name string, value proxy.Change) uint64 {
	s.revision++
	key := fmt.Sprintf("%s/%s/%d", k, name, s.revision)
	if value.Leadership != nil {
		l := *value.Leadership
		l.Revision = s.revision
		value.Leadership = &l
	}
	s.values[key] = value
	s.publish(feed.Object{Kind: k, Name: name, Revision: s.revision, Data: []byte(key)})
	return s.revision
}

func (s *storeSim) remove(k feed.Kind, name string) {
	s.revision++
	s.publish(feed.Object{Kind: k, Name: name, Revision: s.revision, Deleted: true})
}

func (s *storeSim) publish(o feed.Object) {
	s.mirror.Apply(feed.Changes{Kind: o.Kind, AsOf: s.revision, Objects: []feed.Object{o}})
	if o.Deleted {
		delete(s.current, string(o.Kind)+"/"+o.Name)
	} else {
		s.current[string(o.Kind)+"/"+o.Name] = o
	}
	if s.w.deaf {
		return
	}
	changes := feed.Changes{Kind: o.Kind, AsOf: s.revision, Objects: []feed.Object{o}}
	for _, h := range s.watchers {
		s.w.after(s.delay, func() {
			if s.serves(h) {
				s.w.give(h, proxy.StoreChanges{Changes: changes})
			}
		})
	}
}

// list gives a host what there is.
func (s *storeSim) list(h *hostSim) {
	for _, k := range proxy.Kinds {
		s.refresh(h, k)
	}
}

// watching adds or removes a watcher.
func (s *storeSim) watching(h *hostSim, on bool) {
	if on {
		s.watchers = append(s.watchers, h)
		s.list(h)
		return
	}
	s.watchers = slices.DeleteFunc(s.watchers, func(x *hostSim) bool { return x == h })
}

// refresh gives a watcher all objects of a kind.
func (s *storeSim) refresh(h *hostSim, k feed.Kind) {
	s.answer(h, k, func(c feed.Changes) proxy.Event { return proxy.StoreChanges{Changes: c} })
}

// read answers a host's own question for all objects of a kind.
func (s *storeSim) read(h *hostSim, k feed.Kind) {
	s.answer(h, k, func(c feed.Changes) proxy.Event { return proxy.StoreRead{Changes: c} })
}

func (s *storeSim) answer(h *hostSim, k feed.Kind, event func(feed.Changes) proxy.Event) {
	incarnation := h.incarnation
	s.w.after(s.delay, func() {
		if h.incarnation != incarnation {
			return
		}
		if !s.serves(h) {
			if _, ok := event(feed.Changes{}).(proxy.StoreRead); ok {
				s.w.give(h, proxy.StoreRead{Changes: feed.Changes{Kind: k}, Failed: true})
			}
			return
		}
		changes := feed.Changes{Kind: k, AsOf: s.revision, Full: true}
		for _, o := range s.current {
			if o.Kind == k {
				changes.Objects = append(changes.Objects, o)
			}
		}
		sort.Slice(changes.Objects, func(i, j int) bool { return changes.Objects[i].Name < changes.Objects[j].Name })
		s.w.give(h, event(changes))
	})
}

// claim updates a service's record if its revision still holds.
func (s *storeSim) claim(h *hostSim, c proxy.Claim) {
	incarnation := h.incarnation
	s.w.after(s.delay, func() {
		answer := proxy.ClaimAnswered{Service: c.Record.Service}
		if s.serves(h) {
			current := catalog.Leadership{Service: c.Record.Service}
			if o, ok := s.current[string(proxy.KindLeadership)+"/"+string(c.Record.Service)]; ok {
				current = *s.values[string(o.Data)].Leadership
			}
			if current.Revision == c.Record.Revision {
				current = c.Record
				current.Revision = s.put(proxy.KindLeadership, string(c.Record.Service), proxy.Change{Leadership: &c.Record})
				answer.Won = true
			}
			answer.Known, answer.Current = true, current
		}
		s.w.after(s.delay, func() {
			if h.incarnation == incarnation {
				s.w.give(h, answer)
			}
		})
	})
}
