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
	// platformResponseDelay is the time until the platform's response arrives. The
	// platform is in another data centre.
	platformResponseDelay = 5*time.Millisecond + remoteLatency
	// watchStartTime is long enough for all relays to start their watches.
	watchStartTime = 15 * time.Second
)

// configFleet is a fleet of configuration distributors with a simulated platform.
type configFleet struct {
	fleet       fleet
	network     *network
	hostIndexes map[types.Host]int
	platform    *simulatedPlatform
	peerGroups  []config.PeerGroup
}

// simulatedPlatform is the object store of the platform.
type simulatedPlatform struct {
	network *network
	objects []config.Object
	version config.Version
	// watchedVersions holds the highest version that each watching host has received.
	watchedVersions map[int]config.Version
	// listCount counts the requests for all objects. listsPerSecond counts them for
	// each second of virtual time.
	listCount      int
	listsPerSecond map[int]int
	// unreachableFrom reports whether the platform is unreachable from a data centre.
	unreachableFrom func(centre int) bool
}

func (p *simulatedPlatform) listObjects(host int) {
	p.listCount++
	p.listsPerSecond[int(time.Duration(p.network.now)/time.Second)]++
	if p.unreachableFrom(p.network.hostCentres[host]) {
		p.network.schedule(host, config.PlatformFailed{}, platformResponseDelay)
		return
	}
	p.network.schedule(host, config.PlatformObjects{Objects: slices.Clone(p.objects), FullList: true, Version: p.version}, platformResponseDelay)
}

func (p *simulatedPlatform) startWatch(host int, after config.Version) {
	if p.unreachableFrom(p.network.hostCentres[host]) {
		p.network.schedule(host, config.PlatformFailed{}, platformResponseDelay)
		return
	}
	p.watchedVersions[host] = after
	p.sendNewObjects(host)
}

// sendNewObjects sends a watching host the objects that it has not received yet.
func (p *simulatedPlatform) sendNewObjects(host int) {
	var newObjects []config.Object
	for _, object := range p.objects {
		if object.Version > p.watchedVersions[host] {
			newObjects = append(newObjects, object)
		}
	}
	if len(newObjects) > 0 && !p.unreachableFrom(p.network.hostCentres[host]) {
		p.watchedVersions[host] = p.version
		p.network.schedule(host, config.PlatformObjects{Objects: newObjects}, platformResponseDelay)
	}
}

// changeObject stores a new version of one object.
func (p *simulatedPlatform) changeObject(n int) {
	p.version++
	i := n % len(p.objects)
	p.objects[i].Version = p.version
	p.objects[i].Operations = []config.OperationID{config.OperationID(fmt.Sprintf("plan/c-%d", n))}
	for _, host := range slices.Sorted(maps.Keys(p.watchedVersions)) {
		p.sendNewObjects(host)
	}
}

// failWatches ends the watches of the hosts that cannot reach the platform.
func (p *simulatedPlatform) failWatches() {
	for _, host := range slices.Sorted(maps.Keys(p.watchedVersions)) {
		if p.unreachableFrom(p.network.hostCentres[host]) {
			delete(p.watchedVersions, host)
			p.network.schedule(host, config.PlatformFailed{}, platformResponseDelay)
		}
	}
}

// configMachine is the configuration distributor of one host.
type configMachine struct {
	hostIndex   int
	distributor *config.Distributor
	fleet       *configFleet
}

func (m *configMachine) step(now types.Time, message any) []delivery {
	event, ok := message.(config.Event)
	if !ok {
		event = config.Tick{}
	}
	var out []delivery
	for _, effect := range m.distributor.Step(now, event) {
		switch effect := effect.(type) {
		case config.Send:
			body := config.PeerMessage{From: hostName(m.hostIndex), Body: effect.Body}
			out = append(out, delivery{to: m.fleet.hostIndexes[effect.To], message: body})
		case config.ListPlatform:
			m.fleet.platform.listObjects(m.hostIndex)
		case config.WatchPlatform:
			m.fleet.platform.startWatch(m.hostIndex, effect.After)
		case config.StopWatch:
			delete(m.fleet.platform.watchedVersions, m.hostIndex)
		}
	}
	return out
}

func (m *configMachine) deadline() types.Time { return m.distributor.NextWake() }

// newConfigFleet starts all hosts of a fleet at once. The hosts have no configuration.
func newConfigFleet(f fleet) *configFleet {
	nw := newNetwork(f, headerBytesTCP, 1)
	objects := f.configObjects()
	c := &configFleet{fleet: f, network: nw, hostIndexes: f.hostIndexes(), platform: &simulatedPlatform{
		network: nw, objects: objects, version: config.Version(len(objects)),
		watchedVersions: map[int]config.Version{}, listsPerSecond: map[int]int{},
		unreachableFrom: func(int) bool { return false },
	}}
	for centre := range f.centres {
		c.peerGroups = append(c.peerGroups, config.PeerGroup{DataCentre: centreName(centre), Hosts: f.hostsIn(centre)})
	}
	for i := range f.hosts {
		c.startHost(i)
	}
	return c
}

// startHost starts a host without configuration. It replaces the host if it runs.
func (c *configFleet) startHost(i int) {
	settings := config.Settings{Host: hostName(i), DataCentre: centreName(i % c.fleet.centres), Seed: randomSeed + uint64(i)}
	c.network.machines[i] = &configMachine{hostIndex: i, distributor: config.NewDistributor(settings), fleet: c}
	c.network.stepAndSend(i, config.Peers{Groups: c.peerGroups})
}

// upToDate reports whether all hosts in the included data centres apply the platform's
// newest configuration.
func (c *configFleet) upToDate(includes func(centre int) bool) bool {
	for i, machine := range c.network.machines {
		if machine == nil || !includes(i%c.fleet.centres) {
			continue
		}
		snapshot := machine.(*configMachine).distributor.Snapshot()
		if !snapshot.Complete() || snapshot.Version() != c.platform.version {
			return false
		}
	}
	return true
}

// measureRollout changes an object and returns the time until all hosts apply it.
func (c *configFleet) measureRollout(n int) time.Duration {
	c.platform.changeObject(n)
	return c.network.advanceUntil(time.Minute, func() bool { return c.upToDate(allCentres) })
}

// measureConfig measures the distribution of the configuration in the steady state and
// the time of a rollout.
func measureConfig(f fleet) ([]Row, Event) {
	c := newConfigFleet(f)
	c.network.advanceUntil(5*time.Minute, func() bool { return c.upToDate(allCentres) })
	c.network.advance(watchStartTime)
	c.network.resetUsage()
	const window = 30 * time.Second
	c.network.advance(window)
	rows := roleRows(f, c.network, "configuration", "configuration relay", window)
	changes := c.measureChangeCost()
	heap := configHeapBytes(f)
	for i := range rows {
		rows[i].addChangeCost(changes[i])
		rows[i].MemoryBytes = heap
	}
	rows[0].Mechanism = "digests to random peers"
	rows[1].Mechanism = "two relays for each data centre watch and push"
	rows[1].PlatformReadsPerSecond = float64(len(c.platform.watchedVersions))
	slowest := c.measureSlowestRollout()
	return rows, Event{
		Name:      fmt.Sprintf("change of configuration, %d hosts", f.hosts),
		Result:    fmt.Sprintf("in force on all hosts after %v", slowest.Round(10*time.Millisecond)),
		Budget:    formatBudgetResult(slowest <= rolloutBudget, "4 s"),
		Mechanism: "watch of two relays, push to the data centre, digests as repair",
	}
}

// measureChangeCost returns the cost for ordinary hosts and for relays while one change
// happens in each second.
func (c *configFleet) measureChangeCost() []Row {
	const count = 10
	const spacing = time.Second
	c.network.resetUsage()
	for n := range count {
		c.platform.changeObject(n)
		c.network.advance(spacing)
	}
	return roleRows(c.fleet, c.network, "", "", count*spacing)
}

// addChangeCost adds the mean cost of a day's changes to a row of the steady state.
// duringChanges is the row measured while one change happened in each second.
func (r *Row) addChangeCost(duringChanges Row) {
	const changesPerSecond = float64(configChangesPerDay) / secondsPerDay
	r.MessagesPerSecond += max(duringChanges.MessagesPerSecond-r.MessagesPerSecond, 0) * changesPerSecond
	r.BytesPerSecond += max(duringChanges.BytesPerSecond-r.BytesPerSecond, 0) * changesPerSecond
	r.CoreShare += max(duringChanges.CoreShare-r.CoreShare, 0) * changesPerSecond
}

// measureSlowestRollout returns the longest time of several rollouts.
func (c *configFleet) measureSlowestRollout() time.Duration {
	const count = 10
	slowest := time.Duration(0)
	for n := range count {
		slowest = max(slowest, c.measureRollout(n))
	}
	return slowest
}

// configHeapBytes returns the heap size of one host's configuration with its snapshot.
func configHeapBytes(f fleet) int {
	const copies = 4
	total := measureHeapBytes(func() any {
		var stores []*config.Store
		for range copies {
			store := config.NewStore()
			for _, object := range f.configObjects() {
				store.Apply(object)
			}
			store.Snapshot()
			stores = append(stores, store)
		}
		return stores
	})
	return total / copies
}

// formatBudgetResult returns the text of a kept or missed budget.
func formatBudgetResult(kept bool, budget string) string {
	if kept {
		return "kept: " + budget
	}
	return "MISSED: " + budget
}
