package capacity

import (
	"time"

	"baobabfield.example/core/membership"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

// seedHostCount is the number of hosts that a starting host contacts to join.
const seedHostCount = 3

// membershipWorkers is the number of goroutines that step the membership machines.
const membershipWorkers = 4

// memberFleet is a fleet of membership machines.
type memberFleet struct {
	fleet   fleet
	network *network
	// hostIndexes maps the hosts' gossip addresses to their indexes.
	hostIndexes map[string]int
	incarnation membership.Incarnation
}

// memberMachine is the membership machine of one host.
type memberMachine struct {
	machine     *membership.Machine
	hostIndexes map[string]int
	// unreachableReports counts the data centres that the machine has reported as
	// unreachable.
	unreachableReports int
}

func (m *memberMachine) step(now types.Time, message any) []delivery {
	event, ok := message.(membership.Event)
	if !ok {
		event = membership.Tick{}
	}
	var out []delivery
	for _, effect := range m.machine.Step(now, event) {
		switch effect := effect.(type) {
		case membership.Send:
			if to, known := m.hostIndexes[effect.Address]; known {
				out = append(out, delivery{to: to, message: effect.Message})
			}
		case membership.Note:
			if effect.Kind == membership.NoteDataCentreUnreachable {
				m.unreachableReports++
			}
		}
	}
	return out
}

func (m *memberMachine) deadline() types.Time { return m.machine.NextWake() }

// newMemberFleet starts all hosts of a fleet at once.
func newMemberFleet(f fleet) *memberFleet {
	m := &memberFleet{fleet: f, network: newNetwork(f, headerBytesUDP, membershipWorkers), hostIndexes: map[string]int{}}
	for i := range f.hosts {
		m.hostIndexes[syntheticAddress(i, 7002)] = i
	}
	for i := range f.hosts {
		m.startHost(i)
	}
	return m
}

// startHost starts a host with a new incarnation. It replaces the host if it runs.
func (m *memberFleet) startHost(i int) {
	m.incarnation++
	self := membership.Member{
		Host:          hostName(i),
		DataCentre:    centreName(i % m.fleet.centres),
		MeshAddress:   syntheticAddress(i, 7001),
		GossipAddress: syntheticAddress(i, 7002),
		Incarnation:   m.incarnation,
	}
	machine := membership.New(membership.Config{Self: self, Seed: randomSeed + uint64(m.incarnation)})
	m.network.machines[i] = &memberMachine{machine: machine, hostIndexes: m.hostIndexes}
	var seeds []string
	for k := range seedHostCount {
		seeds = append(seeds, syntheticAddress(k, 7002))
	}
	m.network.stepAndSend(i, membership.Join{Seeds: seeds})
}

// stopHost ends a host at once, without a leave message.
func (m *memberFleet) stopHost(i int) { m.network.machines[i] = nil }

func (m *memberFleet) membershipOf(i int) *membership.Machine {
	machine, ok := m.network.machines[i].(*memberMachine)
	if !ok {
		return nil
	}
	return machine.machine
}

// runningPerCentre returns the number of running hosts of each data centre.
func (m *memberFleet) runningPerCentre() []int {
	running := make([]int, m.fleet.centres)
	for i, machine := range m.network.machines {
		if machine != nil {
			running[m.network.hostCentres[i]]++
		}
	}
	return running
}

// hostsAgree reports whether each running host in the included data centres lists as live
// exactly as many hosts of each data centre as run there.
func (m *memberFleet) hostsAgree(includes func(centre int) bool) bool {
	running := m.runningPerCentre()
	for i, centre := range m.network.hostCentres {
		machine := m.membershipOf(i)
		if machine != nil && includes(centre) && !seesRunningHosts(machine, running) {
			return false
		}
	}
	return true
}

// seesRunningHosts reports whether a machine lists as live as many hosts of each data
// centre as run there.
func seesRunningHosts(machine *membership.Machine, running []int) bool {
	snapshot := machine.Snapshot()
	for centre, count := range running {
		if len(snapshot.Live(centreName(centre))) != count {
			return false
		}
	}
	return true
}

// allHostsAgree reports whether the condition of hostsAgree holds in all data centres.
func (m *memberFleet) allHostsAgree() bool { return m.hostsAgree(allCentres) }

func allCentres(int) bool { return true }

// relayHosts reports for each host whether it is a relay. Relays exchange membership and
// configuration with other data centres.
func (f fleet) relayHosts() []bool {
	relays := make([]bool, f.hosts)
	indexes := f.hostIndexes()
	for centre := range f.centres {
		first, second := routing.HighestWeightHosts("relay/"+string(centreName(centre)), f.hostsIn(centre))
		relays[indexes[first]] = true
		relays[indexes[second]] = true
	}
	return relays
}

// trafficLoad is the traffic of a fleet during an interval of virtual time.
type trafficLoad struct {
	elapsed time.Duration
	// meanBytesPerSecond is the traffic, sent and received, averaged over all hosts and
	// seconds. peakBytesPerSecond is the highest traffic of one host in one second.
	meanBytesPerSecond, peakBytesPerSecond float64
	// coreShare is the mean share of a CPU core that one host uses.
	coreShare float64
}

// measureUntil measures the traffic until done returns true, for at least one second and
// at most limit.
func (m *memberFleet) measureUntil(limit time.Duration, done func() bool) trafficLoad {
	var total trafficLoad
	seconds := 0.0
	for total.elapsed < limit && (total.elapsed == 0 || !done()) {
		m.network.resetUsage()
		m.network.advance(time.Second)
		total.elapsed += time.Second
		row := meanRow(m.fleet, m.network, "", time.Second, func(int) bool { return true })
		total.meanBytesPerSecond += row.BytesPerSecond
		total.coreShare += row.CoreShare
		total.peakBytesPerSecond = max(total.peakBytesPerSecond, maxHostBytes(m.network))
		seconds++
	}
	total.meanBytesPerSecond /= seconds
	total.coreShare /= seconds
	return total
}

// maxHostBytes returns the highest number of bytes sent and received by one host.
func maxHostBytes(nw *network) float64 {
	highest := 0
	for _, usage := range nw.usage {
		highest = max(highest, usage.sentBytes+usage.receivedBytes)
	}
	return float64(highest)
}

// measureUntilQuiet measures the traffic until the mean traffic of a host is below
// quietBytesPerSecond, for at most ten minutes. Above it, the hosts still exchange the
// changes of a start or of a loss.
func (m *memberFleet) measureUntilQuiet() trafficLoad {
	const quietBytesPerSecond = 2 << 10
	const limit = 10 * time.Minute
	return m.measureUntil(limit, func() bool {
		row := meanRow(m.fleet, m.network, "", time.Second, func(int) bool { return true })
		return row.BytesPerSecond < quietBytesPerSecond
	})
}

// measureSteadyState measures a fleet without changes of membership.
func (m *memberFleet) measureSteadyState() []Row {
	const window = 30 * time.Second
	m.network.resetUsage()
	m.network.advance(window)
	rows := roleRows(m.fleet, m.network, "membership peer", "membership relay", window)
	heap := memberHeapBytes(m.fleet)
	for i := range rows {
		rows[i].MemoryBytes = heap
	}
	rows[0].Mechanism = "probes of random peers, piggybacked changes"
	rows[1].Mechanism = "two relays for each data centre compare digests"
	return rows
}

// memberHeapBytes returns the heap size of one machine that holds the whole fleet.
func memberHeapBytes(f fleet) int {
	const copies = 4
	hosts := make([]membership.PlatformHost, 0, f.hosts)
	for i := range f.hosts {
		hosts = append(hosts, membership.PlatformHost{
			Host: hostName(i), DataCentre: centreName(i % f.centres),
			MeshAddress: syntheticAddress(i, 7001), GossipAddress: syntheticAddress(i, 7002),
		})
	}
	total := measureHeapBytes(func() any {
		var machines []*membership.Machine
		for k := range copies {
			self := membership.Member{Host: hostName(k), DataCentre: centreName(k), Incarnation: 1}
			machine := membership.New(membership.Config{Self: self, Seed: randomSeed})
			machine.Step(0, membership.PlatformHosts{Hosts: hosts})
			machines = append(machines, machine)
		}
		return machines
	})
	return total / copies
}
