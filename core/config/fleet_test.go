package config_test

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"baobabfield.example/core/config"
	"baobabfield.example/core/membership"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// fleet simulates the membership machines and the distributors of many hosts with
// a fake platform in virtual time.
type fleet struct {
	now                  types.Time
	random               random.Source
	queue                deliveries
	seq                  int
	hosts                []*host
	hostsByGossipAddress map[string]*host
	hostsByName          map[types.Host]*host
	dataCentreCount      int
	rackCount            int
	platform             *fakePlatform
	// isPartitioned reports whether hosts of two data centres cannot reach each
	// other. Nil means that all hosts reach each other.
	isPartitioned func(a, b types.DataCentre) bool
	// lossPercent and duplicatePercent are the percentages of messages that are lost
	// and duplicated.
	lossPercent, duplicatePercent int
	startCount                    membership.Incarnation
	// staticPeers is set if the hosts get the list of all hosts and run no gossip.
	staticPeers     bool
	totalCost       cost
	revertedObjects []string
}

// cost is the network traffic and CPU time of all hosts.
type cost struct {
	gossipBytes, gossipMessages int
	configBytes, configMessages int
	cpu                         time.Duration
}

// host is one simulated host.
type host struct {
	index       int
	self        membership.Member
	membership  *membership.Machine
	distributor *config.Distributor
	wakeAt      types.Time
	up          bool
	readyAt     types.Time
	// watching is set while the host watches the platform.
	watching  bool
	versions  map[config.Key]config.Version
	sentBytes int
}

// delivery is an event for a host at a time. A nil event is a timer tick. Without a
// host, the event is a function to call.
type delivery struct {
	at    types.Time
	seq   int
	to    *host
	event any
}

type deliveries []delivery

func (q deliveries) Len() int      { return len(q) }
func (q deliveries) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveries) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q deliveries) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}

func (q *deliveries) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newFleet(seed uint64, count, dcs int) *fleet {
	f := &fleet{
		now:                  types.Time(time.Second),
		random:               random.New(seed),
		hostsByGossipAddress: map[string]*host{},
		hostsByName:          map[types.Host]*host{},
		dataCentreCount:      dcs,
		rackCount:            10,
	}
	f.platform = &fakePlatform{fleet: f, objects: map[config.Key]config.Object{}, reachable: allReachable}
	for i := range count {
		h := &host{index: i}
		f.hosts = append(f.hosts, h)
	}
	return f
}

func allReachable(types.DataCentre) bool { return true }

func dataCentreName(i int) types.DataCentre { return types.DataCentre(fmt.Sprintf("dc-%02d", i)) }

// startHost starts a host. A running host is replaced by a new incarnation without
// state.
func (f *fleet) startHost(i int) {
	f.startCount++
	old := f.hosts[i]
	old.up = false
	address := fmt.Sprintf("10.%d.%d.%d:7946", i/62500, i/250%250, i%250)
	h := &host{index: i, up: true, versions: map[config.Key]config.Version{}, wakeAt: f.now}
	h.self = membership.Member{
		Host:          types.Host(fmt.Sprintf("host-%04d", i)),
		DataCentre:    dataCentreName(i % f.dataCentreCount),
		MeshAddress:   fmt.Sprintf("10.%d.%d.%d:7947", i/62500, i/250%250, i%250),
		GossipAddress: address,
		Incarnation:   1000 + f.startCount,
	}
	h.membership = membership.New(membership.Config{Self: h.self, Seed: f.random.Uint64()})
	h.distributor = config.NewDistributor(config.Settings{
		Host: h.self.Host, DataCentre: h.self.DataCentre, Seed: f.random.Uint64(),
	})
	f.hosts[i] = h
	f.hostsByGossipAddress[address] = h
	f.hostsByName[h.self.Host] = h
	if f.staticPeers {
		f.dispatch(h, nil)
		return
	}
	var seeds []string
	for range 3 {
		j := f.random.IntN(len(f.hosts))
		seeds = append(seeds, fmt.Sprintf("10.%d.%d.%d:7946", j/62500, j/250%250, j%250))
	}
	f.dispatch(h, membership.Join{Seeds: seeds})
	f.dispatch(h, f.platform.hostList())
	f.dispatch(h, nil)
}

func (f *fleet) startAll() {
	for i := range f.hosts {
		f.startHost(i)
	}
	if !f.staticPeers {
		return
	}
	all := f.allPeers()
	for _, h := range f.hosts {
		f.dispatch(h, all)
	}
}

func (f *fleet) allPeers() config.Peers {
	p := config.Peers{Groups: make([]config.PeerGroup, f.dataCentreCount)}
	for _, h := range f.hosts {
		g := &p.Groups[h.index%f.dataCentreCount]
		g.DataCentre = h.self.DataCentre
		g.Hosts = append(g.Hosts, h.self.Host)
	}
	return p
}

// stopHost stops a host without a leave message.
func (f *fleet) stopHost(i int) { f.hosts[i].up = false }

// schedule adds an event for a host to the queue.
func (f *fleet) schedule(t types.Time, h *host, event any) {
	f.seq++
	heap.Push(&f.queue, delivery{at: t, seq: f.seq, to: h, event: event})
}

// run processes events and advances the virtual time by d.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(delivery)
		f.now = next.at
		if next.to == nil {
			next.event.(func())()
			continue
		}
		if next.to.up {
			f.dispatch(next.to, next.event)
		}
	}
	f.now = end
}

// dispatch applies an event to the state machine of its type.
func (f *fleet) dispatch(h *host, event any) {
	startedAt := time.Now()
	var gossip []membership.Effect
	var conf []config.Effect
	switch event := event.(type) {
	case nil:
		if f.now.Before(h.wakeAt) {
			return
		}
		if !f.staticPeers {
			gossip = h.membership.Step(f.now, membership.Tick{})
		}
		conf = h.distributor.Step(f.now, config.Tick{})
	case membership.Event:
		gossip = h.membership.Step(f.now, event)
	case config.Event:
		conf = h.distributor.Step(f.now, event)
	}
	wake := h.distributor.NextWake()
	if !f.staticPeers {
		wake = min(wake, h.membership.NextWake())
	}
	f.totalCost.cpu += time.Since(startedAt)
	f.handleGossipEffects(h, gossip)
	f.handleConfigEffects(h, conf)
	if h.wakeAt = max(wake, f.now.Add(time.Millisecond)); h.up {
		f.schedule(h.wakeAt, h, nil)
	}
}

func (f *fleet) handleGossipEffects(h *host, effects []membership.Effect) {
	for _, eff := range effects {
		switch eff := eff.(type) {
		case membership.Send:
			size := gossipSize(eff.Message)
			f.totalCost.gossipBytes += size
			f.totalCost.gossipMessages++
			h.sentBytes += size
			f.deliver(h, f.hostsByGossipAddress[eff.Address], eff.Message)
		case membership.Changed:
			f.dispatch(h, peersOf(eff.Snapshot))
		}
	}
}

// peersOf converts a membership snapshot to the distributor's event.
func peersOf(s membership.Snapshot) config.Peers {
	var p config.Peers
	for _, dc := range s.DataCentres() {
		p.Groups = append(p.Groups, config.PeerGroup{DataCentre: dc, Hosts: s.Live(dc)})
	}
	return p
}

func (f *fleet) handleConfigEffects(h *host, effects []config.Effect) {
	for _, eff := range effects {
		switch eff := eff.(type) {
		case config.Send:
			size := configSize(eff.Body)
			f.totalCost.configBytes += size
			f.totalCost.configMessages++
			h.sentBytes += size
			f.deliver(h, f.hostsByName[eff.To], config.PeerMessage{From: h.self.Host, Body: eff.Body})
		case config.ListPlatform:
			f.platform.list(h)
		case config.WatchPlatform:
			f.platform.watch(h, eff.After)
		case config.StopWatch:
			h.watching = false
		case config.Changed:
			f.checkChanges(h, eff)
		}
	}
}

// checkChanges records objects that reverted to a lower version.
func (f *fleet) checkChanges(h *host, c config.Changed) {
	for _, o := range c.Objects {
		if o.Version <= h.versions[o.Key] {
			f.revertedObjects = append(f.revertedObjects, fmt.Sprintf("%s on %s", o.Key, h.self.Host))
		}
		h.versions[o.Key] = o.Version
	}
	if c.Snapshot.Complete() && h.readyAt == 0 {
		h.readyAt = f.now
	}
}

// deliver schedules a message unless it is lost or the hosts are partitioned.
func (f *fleet) deliver(from, to *host, event any) {
	if to == nil || !to.up || f.random.IntN(100) < f.lossPercent {
		return
	}
	if f.isPartitioned != nil && f.isPartitioned(from.self.DataCentre, to.self.DataCentre) {
		return
	}
	copies := 1
	if f.random.IntN(100) < f.duplicatePercent {
		copies = 2
	}
	for range copies {
		delay := time.Duration(300+f.random.IntN(1000)) * time.Microsecond
		f.schedule(f.now.Add(delay), to, event)
	}
}

// countLagging returns the number of running, accepted hosts on which the object has
// a lower version.
func (f *fleet) countLagging(k config.Key, v config.Version, accept func(*host) bool) int {
	n := 0
	for _, h := range f.hosts {
		if h.up && accept(h) && h.versions[k] < v {
			n++
		}
	}
	return n
}

func anyHost(*host) bool { return true }

func inDataCentres(dcs ...types.DataCentre) func(*host) bool {
	return func(h *host) bool { return slices.Contains(dcs, h.self.DataCentre) }
}

// countUnready returns the number of running hosts without the complete
// configuration.
func (f *fleet) countUnready() int {
	n := 0
	for _, h := range f.hosts {
		if h.up && h.readyAt == 0 {
			n++
		}
	}
	return n
}

// runUntil advances the time until the condition holds, by at most limit, and
// returns the elapsed time.
func (f *fleet) runUntil(limit time.Duration, holds func() bool) time.Duration {
	startedAt := f.now
	for !holds() && f.now.Sub(startedAt) < limit {
		f.run(10 * time.Millisecond)
	}
	return f.now.Sub(startedAt)
}

// fakePlatform simulates the platform's object API with faults.
type fakePlatform struct {
	fleet   *fleet
	objects map[config.Key]config.Object
	version config.Version
	// history holds every version, for stale reads.
	history   []config.Object
	reachable func(types.DataCentre) bool
	// readLag is the number of versions by which lists are stale.
	readLag                         config.Version
	listCount, watchCount, putCount int
}

const platformDelay = 5 * time.Millisecond

// platformTimeout is the time after which a request to an unreachable platform
// fails.
const platformTimeout = time.Second

func (p *fakePlatform) hostList() membership.PlatformHosts {
	var list membership.PlatformHosts
	for _, h := range p.fleet.hosts {
		if h.up {
			list.Hosts = append(list.Hosts, membership.PlatformHost{
				Host: h.self.Host, DataCentre: h.self.DataCentre,
				MeshAddress: h.self.MeshAddress, GossipAddress: h.self.GossipAddress,
			})
		}
	}
	return list
}

// store writes an object and sends it to the watching hosts.
func (p *fakePlatform) store(o config.Object) config.Object {
	p.putCount++
	p.version++
	o.Version = p.version
	p.objects[o.Key] = o
	p.history = append(p.history, o)
	for _, h := range p.fleet.hosts {
		if h.up && h.watching && p.reachable(h.self.DataCentre) {
			p.reply(h, config.PlatformObjects{Objects: []config.Object{o}})
		}
	}
	return o
}

func (p *fakePlatform) reply(h *host, ev config.Event) {
	p.fleet.schedule(p.fleet.now.Add(platformDelay), h, ev)
}

func (p *fakePlatform) replyFailure(h *host) {
	p.fleet.schedule(p.fleet.now.Add(platformTimeout), h, config.PlatformFailed{})
}

func (p *fakePlatform) list(h *host) {
	p.listCount++
	if !p.reachable(h.self.DataCentre) {
		p.replyFailure(h)
		return
	}
	revision := p.version - min(p.readLag, p.version)
	state := map[config.Key]config.Object{}
	for _, o := range p.history[:revision] {
		state[o.Key] = o
	}
	ev := config.PlatformObjects{FullList: true, Version: revision}
	for _, o := range p.history[:revision] {
		if state[o.Key].Version == o.Version && !o.Deleted() {
			ev.Objects = append(ev.Objects, o)
		}
	}
	p.reply(h, ev)
}

func (p *fakePlatform) watch(h *host, after config.Version) {
	p.watchCount++
	if !p.reachable(h.self.DataCentre) {
		p.replyFailure(h)
		return
	}
	h.watching = true
	if after < p.version {
		p.reply(h, config.PlatformObjects{Objects: slices.Clone(p.history[after:])})
	}
}

// setReachable sets from which data centres the platform can be reached. Watches
// from the others fail.
func (p *fakePlatform) setReachable(reachable func(types.DataCentre) bool) {
	p.reachable = reachable
	for _, h := range p.fleet.hosts {
		if h.up && h.watching && !reachable(h.self.DataCentre) {
			h.watching = false
			p.replyFailure(h)
		}
	}
}

// Estimated sizes in bytes of messages, with the headers of the transports.
const (
	datagramHeader = 28 + 32
	streamHeader   = 52 + 12
	memberBytes    = 30
	versionBytes   = 10
)

func gossipSize(m membership.Message) int {
	size := datagramHeader + memberSize(m.From) + 8
	members := func(list []membership.Member) {
		for _, u := range list {
			size += memberSize(u)
		}
	}
	switch body := m.Body.(type) {
	case membership.Ping:
		members(body.Updates)
	case membership.Ack:
		members(body.Updates)
	case membership.PingReq:
		size += len(body.Target) + len(body.Address)
	case membership.Digest:
		for _, g := range body.DataCentres {
			size += len(g.DataCentre) + 13
		}
	case membership.Buckets:
		for _, g := range body.DataCentres {
			size += len(g.DataCentre) + 6 + 4*len(g.Hashes)
		}
	case membership.Summaries:
		size += len(body.DataCentre) + 6
		for _, b := range body.Buckets {
			size += 6 + 4*len(b.Hashes)
		}
	case membership.Members:
		members(body.Members)
	}
	return size
}

func memberSize(m membership.Member) int {
	return len(m.Host) + len(m.DataCentre) + len(m.MeshAddress) + len(m.GossipAddress) + 16
}

func configSize(b config.PeerBody) int {
	size := streamHeader
	switch b := b.(type) {
	case config.Push:
		for _, o := range b.Objects {
			size += objectSize(o)
		}
	case config.Digest:
		size += 11
	case config.Buckets:
		size += 8 * len(b.Hashes)
	case config.Versions:
		size += len(b.Buckets)
		for _, v := range b.Versions {
			size += len(v.Key.Name) + versionBytes
		}
	case config.Fetch:
		for _, k := range b.Keys {
			size += len(k.Name) + 4
		}
	}
	return size
}

func objectSize(o config.Object) int {
	size := len(o.Key.Name) + versionBytes
	for _, op := range o.Operations {
		size += len(op) + 2
	}
	if s, ok := o.Body.(config.ServiceObject); ok {
		for _, db := range s.Spec.Databases {
			size += len(db.ID) + 8
			for _, e := range db.Endpoints {
				size += len(e.ID) + len(e.DataCentre) + len(e.Address) + 10
			}
		}
	}
	return size + 30
}

// testService returns a service with three databases of three endpoints each.
func testService(i int) config.ServiceObject {
	spec := types.ServiceSpec{
		Name: types.Service(fmt.Sprintf("service-%04d", i)), Durability: types.DurabilityReplicated,
		Slots: 3, Connections: 50,
	}
	for d := range 3 {
		db := types.DatabaseSpec{ID: types.Database(fmt.Sprintf("s%04d-db-%d", i, d)), EndpointSet: 1}
		for e := range 3 {
			db.Endpoints = append(db.Endpoints, types.EndpointSpec{
				ID:         types.Endpoint(fmt.Sprintf("s%04d-db-%d-%d", i, d, e)),
				DataCentre: dataCentreName(e),
				Address:    fmt.Sprintf("10.20.%d.%d:5432", i%250, d*3+e),
			})
		}
		spec.Databases = append(spec.Databases, db)
	}
	return config.ServiceObject{Spec: spec}
}

// storeServices stores the given number of services.
func (p *fakePlatform) storeServices(services int) {
	for i := range services {
		body := testService(i)
		p.store(config.Object{Key: body.Key(), Body: body, Operations: []config.OperationID{"plan/p0001"}})
	}
}

// storeChange stores a new version of service 0.
func (p *fakePlatform) storeChange() config.Object {
	body := testService(0)
	body.Spec.Slots = 1 + int(p.version%9)
	return p.store(config.Object{Key: body.Key(), Body: body, Operations: []config.OperationID{"plan/p0001", "plan/p0002"}})
}
