package capacity

import (
	"time"

	"baobabfield.example/core/membership"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

// memberSeeds is the number of hosts that a starting host contacts.
const memberSeeds = 3

// memberWorkers is the number of goroutines that step membership machines.
const memberWorkers = 4

// members is a fleet of membership machines.
type members struct {
	fleet fleet
	bus   *bus
	// byAddress numbers the hosts by their gossip address.
	byAddress   map[string]int
	incarnation membership.Incarnation
}

// memberPeer is the membership machine of one host.
type memberPeer struct {
	machine   *membership.Machine
	byAddress map[string]int
	// silent counts the data centres that the machine has reported as silent.
	silent int
}

func (p *memberPeer) step(now types.Time, message any) []delivery {
	event, ok := message.(membership.Event)
	if !ok {
		event = membership.Tick{}
	}
	var out []delivery
	for _, effect := range p.machine.Step(now, event) {
		switch effect := effect.(type) {
		case membership.Send:
			if to, known := p.byAddress[effect.Address]; known {
				out = append(out, delivery{to: to, message: effect.Message})
			}
		case membership.Note:
			if effect.Kind == membership.NoteDataCentreUnreachable {
				p.silent++
			}
		}
	}
	return out
}

func (p *memberPeer) deadline() types.Time { return p.machine.NextWake() }

// newMembers starts all hosts of a fleet at once.
func newMembers(f fleet) *members {
	m := &members{fleet: f, bus: newBus(f, headerBytesUDP, memberWorkers), byAddress: map[string]int{}}
	for i := range f.hosts {
		m.byAddress[address(i, 7002)] = i
	}
	for i := range f.hosts {
		m.start(i)
	}
	return m
}

// start starts or replaces a host.
func (m *members) start(i int) {
	m.incarnation++
	self := membership.Member{
		Host:          hostName(i),
		DataCentre:    centreName(i % m.fleet.centres),
		MeshAddress:   address(i, 7001),
		GossipAddress: address(i, 7002),
		Incarnation:   m.incarnation,
	}
	machine := membership.New(membership.Config{Self: self, Seed: seed + uint64(m.incarnation)})
	m.bus.peers[i] = &memberPeer{machine: machine, byAddress: m.byAddress}
	var seeds []string
	for k := range memberSeeds {
		seeds = append(seeds, address(k, 7002))
	}
	m.bus.apply(i, membership.Join{Seeds: seeds})
}

// stop ends a host without notice.
func (m *members) stop(i int) { m.bus.peers[i] = nil }

func (m *members) machine(i int) *membership.Machine {
	p, ok := m.bus.peers[i].(*memberPeer)
	if !ok {
		return nil
	}
	return p.machine
}

// running returns the number of running hosts of each data centre.
func (m *members) running() []int {
	running := make([]int, m.fleet.centres)
	for i, p := range m.bus.peers {
		if p != nil {
			running[m.bus.centres[i]]++
		}
	}
	return running
}

// agreed reports whether each running host in the data centres that observes
// accepts sees exactly the running hosts of all data centres.
func (m *members) agreed(observes func(centre int) bool) bool {
	running := m.running()
	for i, centre := range m.bus.centres {
		machine := m.machine(i)
		if machine != nil && observes(centre) && !sees(machine, running) {
			return false
		}
	}
	return true
}

// sees reports whether a machine sees as many hosts in each data centre as run there.
func sees(machine *membership.Machine, running []int) bool {
	snapshot := machine.Snapshot()
	for centre, count := range running {
		if len(snapshot.Live(centreName(centre))) != count {
			return false
		}
	}
	return true
}

// allAgreed reports whether each running host sees exactly the running hosts.
func (m *members) allAgreed() bool { return m.agreed(everywhere) }

func everywhere(int) bool { return true }

// relays marks the hosts that exchange members or configuration with other data
// centres.
func (f fleet) relays() []bool {
	relays := make([]bool, f.hosts)
	index := f.index()
	for centre := range f.centres {
		first, second := routing.HighestWeightHosts("relay/"+string(centreName(centre)), f.hostsIn(centre))
		relays[index[first]] = true
		relays[index[second]] = true
	}
	return relays
}

// load is the traffic of a fleet over some time.
type load struct {
	passed time.Duration
	// mean and peak are the bytes that hosts sent and received in a second, on
	// average over all hosts and seconds, and at the busiest host in its worst second.
	mean, peak float64
	// core is the mean share of a core.
	core float64
}

// loadUntil runs until done, at most for limit, and measures the traffic.
func (m *members) loadUntil(limit time.Duration, done func() bool) load {
	var total load
	seconds := 0.0
	for total.passed < limit && (total.passed == 0 || !done()) {
		m.bus.reset()
		m.bus.run(time.Second)
		total.passed += time.Second
		row := meanRow(m.fleet, m.bus, "", time.Second, func(int) bool { return true })
		total.mean += row.Bytes
		total.core += row.Core
		total.peak = max(total.peak, busiest(m.bus))
		seconds++
	}
	total.mean /= seconds
	total.core /= seconds
	return total
}

// busiest returns the most bytes that one host sent and received.
func busiest(b *bus) float64 {
	most := 0
	for _, meter := range b.meters {
		most = max(most, meter.sentBytes+meter.receivedBytes)
	}
	return float64(most)
}

// settle runs until the traffic of a start has ended.
func (m *members) settle() load {
	const quiet = 2 << 10
	const limit = 10 * time.Minute
	return m.loadUntil(limit, func() bool {
		row := meanRow(m.fleet, m.bus, "", time.Second, func(int) bool { return true })
		return row.Bytes < quiet
	})
}

// measureSteady measures a fleet in which nothing changes.
func (m *members) measureSteady() []Row {
	const window = 30 * time.Second
	m.bus.reset()
	m.bus.run(window)
	rows := roleRows(m.fleet, m.bus, "membership peer", "membership relay", window)
	heap := memberHeap(m.fleet)
	for i := range rows {
		rows[i].Memory = heap
	}
	rows[0].Mechanism = "probes of random peers, piggybacked changes"
	rows[1].Mechanism = "two relays for each data centre compare digests"
	return rows
}

// memberHeap returns the heap of one machine that knows the whole fleet.
func memberHeap(f fleet) int {
	const copies = 4
	hosts := make([]membership.PlatformHost, 0, f.hosts)
	for i := range f.hosts {
		hosts = append(hosts, membership.PlatformHost{
			Host: hostName(i), DataCentre: centreName(i % f.centres),
			MeshAddress: address(i, 7001), GossipAddress: address(i, 7002),
		})
	}
	total := heapOf(func() any {
		var machines []*membership.Machine
		for k := range copies {
			self := membership.Member{Host: hostName(k), DataCentre: centreName(k), Incarnation: 1}
			machine := membership.New(membership.Config{Self: self, Seed: seed})
			machine.Step(0, membership.PlatformHosts{Hosts: hosts})
			machines = append(machines, machine)
		}
		return machines
	})
	return total / copies
}
