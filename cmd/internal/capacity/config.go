package capacity

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"baobabfield.example/core/config"
	"baobabfield.example/core/types"
)

const (
	// platformDelay is the time of the platform's answer from another data centre.
	platformDelay = 5*time.Millisecond + remoteDelay
	// settleTime lets the relays start their watches.
	settleTime = 15 * time.Second
)

// configFleet is a fleet of configuration distributors with a platform.
type configFleet struct {
	fleet    fleet
	bus      *bus
	index    map[types.Host]int
	platform *platform
	groups   []config.PeerGroup
}

// platform is the platform's object store.
type platform struct {
	bus     *bus
	objects []config.Object
	version config.Version
	// watches holds, for each watching host, the version up to which it knows the objects.
	watches map[int]config.Version
	// lists counts the whole lists, bySecond those of each second.
	lists    int
	bySecond map[int]int
	// down reports whether a data centre cannot reach the platform.
	down func(centre int) bool
}

func (p *platform) list(host int) {
	p.lists++
	p.bySecond[int(time.Duration(p.bus.now)/time.Second)]++
	if p.down(p.bus.centres[host]) {
		p.bus.post(host, config.PlatformFailed{}, platformDelay)
		return
	}
	p.bus.post(host, config.PlatformObjects{Objects: slices.Clone(p.objects), FullList: true, Revision: p.version}, platformDelay)
}

func (p *platform) watch(host int, after config.Version) {
	if p.down(p.bus.centres[host]) {
		p.bus.post(host, config.PlatformFailed{}, platformDelay)
		return
	}
	p.watches[host] = after
	p.tell(host)
}

// tell sends a watching host the objects that it does not know.
func (p *platform) tell(host int) {
	var fresh []config.Object
	for _, object := range p.objects {
		if object.Version > p.watches[host] {
			fresh = append(fresh, object)
		}
	}
	if len(fresh) > 0 && !p.down(p.bus.centres[host]) {
		p.watches[host] = p.version
		p.bus.post(host, config.PlatformObjects{Objects: fresh}, platformDelay)
	}
}

// change stores a new version of one object.
func (p *platform) change(n int) {
	p.version++
	i := n % len(p.objects)
	p.objects[i].Version = p.version
	p.objects[i].Operations = []config.OperationID{config.OperationID(fmt.Sprintf("plan/c-%d", n))}
	for _, host := range slices.Sorted(maps.Keys(p.watches)) {
		p.tell(host)
	}
}

// breakWatches ends the watches of the data centres that cannot reach the platform.
func (p *platform) breakWatches() {
	for _, host := range slices.Sorted(maps.Keys(p.watches)) {
		if p.down(p.bus.centres[host]) {
			delete(p.watches, host)
			p.bus.post(host, config.PlatformFailed{}, platformDelay)
		}
	}
}

// configPeer is the distributor of one host.
type configPeer struct {
	number      int
	distributor *config.Distributor
	fleet       *configFleet
}

func (p *configPeer) step(now types.Time, message any) []delivery {
	event, ok := message.(config.Event)
	if !ok {
		event = config.Tick{}
	}
	var out []delivery
	for _, effect := range p.distributor.Step(now, event) {
		switch effect := effect.(type) {
		case config.Send:
			body := config.PeerMessage{From: hostName(p.number), Body: effect.Body}
			out = append(out, delivery{to: p.fleet.index[effect.To], message: body})
		case config.ListPlatform:
			p.fleet.platform.list(p.number)
		case config.WatchPlatform:
			p.fleet.platform.watch(p.number, effect.After)
		case config.StopWatch:
			delete(p.fleet.platform.watches, p.number)
		}
	}
	return out
}

func (p *configPeer) deadline() types.Time { return p.distributor.NextWake() }

// newConfigFleet starts all hosts of a fleet at once, without configuration.
func newConfigFleet(f fleet) *configFleet {
	b := newBus(f, headerBytesTCP, 1)
	objects := f.objects()
	c := &configFleet{fleet: f, bus: b, index: f.index(), platform: &platform{
		bus: b, objects: objects, version: config.Version(len(objects)),
		watches: map[int]config.Version{}, bySecond: map[int]int{},
		down: func(int) bool { return false },
	}}
	for centre := range f.centres {
		c.groups = append(c.groups, config.PeerGroup{DataCentre: centreName(centre), Hosts: f.hostsIn(centre)})
	}
	for i := range f.hosts {
		c.start(i)
	}
	return c
}

// start starts or replaces a host.
func (c *configFleet) start(i int) {
	settings := config.Settings{Host: hostName(i), DataCentre: centreName(i % c.fleet.centres), Seed: seed + uint64(i)}
	c.bus.peers[i] = &configPeer{number: i, distributor: config.NewDistributor(settings), fleet: c}
	c.bus.apply(i, config.Peers{Groups: c.groups})
}

// current reports whether the hosts in the data centres that observes accepts
// have the platform's newest configuration in force.
func (c *configFleet) current(observes func(centre int) bool) bool {
	for i, p := range c.bus.peers {
		if p == nil || !observes(i%c.fleet.centres) {
			continue
		}
		snapshot := p.(*configPeer).distributor.Snapshot()
		if !snapshot.Complete() || snapshot.Version() != c.platform.version {
			return false
		}
	}
	return true
}

// rollout changes an object and returns the time until it is in force.
func (c *configFleet) rollout(n int) time.Duration {
	c.platform.change(n)
	return c.bus.runUntil(time.Minute, func() bool { return c.current(everywhere) })
}

// measureConfig measures the steady state of the configuration's distribution.
func measureConfig(f fleet) ([]Row, Event) {
	c := newConfigFleet(f)
	c.bus.runUntil(5*time.Minute, func() bool { return c.current(everywhere) })
	c.bus.run(settleTime)
	c.bus.reset()
	const window = 30 * time.Second
	c.bus.run(window)
	rows := roleRows(f, c.bus, "configuration", "configuration relay", window)
	changes := c.measureChanges()
	heap := configHeap(f)
	for i := range rows {
		rows[i].addChanges(changes[i])
		rows[i].Memory = heap
	}
	rows[0].Mechanism = "digests to random peers"
	rows[1].Mechanism = "two relays for each data centre watch and push"
	rows[1].Reads = float64(len(c.platform.watches))
	slowest := c.slowestRollout()
	return rows, Event{
		Name:      fmt.Sprintf("change of configuration, %d hosts", f.hosts),
		Result:    fmt.Sprintf("in force on all hosts after %v", slowest.Round(10*time.Millisecond)),
		Budget:    verdict(slowest <= rolloutBudget, "4 s"),
		Mechanism: "watch of two relays, push to the data centre, digests as repair",
	}
}

// measureChanges returns the cost of one change for ordinary hosts and relays.
func (c *configFleet) measureChanges() []Row {
	const count = 10
	const spacing = time.Second
	c.bus.reset()
	for n := range count {
		c.platform.change(n)
		c.bus.run(spacing)
	}
	return roleRows(c.fleet, c.bus, "", "", count*spacing)
}

// addChanges adds the cost of a day's changes, given the row measured while one
// change happened in each second.
func (r *Row) addChanges(during Row) {
	const perSecond = float64(changesPerDay) / secondsPerDay
	r.Messages += max(during.Messages-r.Messages, 0) * perSecond
	r.Bytes += max(during.Bytes-r.Bytes, 0) * perSecond
	r.Core += max(during.Core-r.Core, 0) * perSecond
}

// slowestRollout returns the longest of several rollouts.
func (c *configFleet) slowestRollout() time.Duration {
	const count = 10
	slowest := time.Duration(0)
	for n := range count {
		slowest = max(slowest, c.rollout(n))
	}
	return slowest
}

// configHeap returns the heap of one host's configuration with its snapshot.
func configHeap(f fleet) int {
	const copies = 4
	total := heapOf(func() any {
		var stores []*config.Store
		for range copies {
			store := config.NewStore()
			for _, object := range f.objects() {
				store.Apply(object)
			}
			store.Snapshot()
			stores = append(stores, store)
		}
		return stores
	})
	return total / copies
}

// verdict says whether a budget is kept.
func verdict(kept bool, budget string) string {
	if kept {
		return "kept: " + budget
	}
	return "MISSED: " + budget
}
