package capacity

import (
	"fmt"
	"time"
)

const (
	hostsPerRack = 20
	// replacedHostCount is the number of replacements over which the cost is averaged.
	replacedHostCount = 10
	// partitionTime is the duration of a network partition between regions.
	partitionTime = time.Hour
	// shortPartitionTime replaces partitionTime at the largest fleet, because the
	// simulation of an hour takes too long there.
	shortPartitionTime = 5 * time.Minute
	// maxHostsFullPartition is the largest number of hosts for which partitionTime is
	// simulated.
	maxHostsFullPartition = 1000
)

// measureMembership measures membership in the steady state, after a simultaneous start
// and after the loss of hosts.
func measureMembership(f fleet, reportProgress ProgressFunc) ([]Row, []Event) {
	members := newMemberFleet(f)
	agreement := members.measureUntil(5*time.Minute, members.allHostsAgree)
	reportProgress("%s: hosts agree after %v", f.name, agreement.elapsed)
	settling := members.measureUntilQuiet()
	reportProgress("%s: at rest after %v", f.name, settling.elapsed)
	rows := members.measureSteadyState()
	events := []Event{members.startEvent(agreement, settling), members.measureRackLoss()}
	members.measureUntilQuiet()
	events = append(events, members.measureReplacement(rows[0].BytesPerSecond), members.measureDataCentreLoss())
	return rows, events
}

func (m *memberFleet) hostCountText() string { return fmt.Sprintf("%d hosts", m.fleet.hosts) }

func (m *memberFleet) startEvent(agreement, settling trafficLoad) Event {
	return Event{
		Name: "every host starts at once: membership, " + m.hostCountText(),
		Result: fmt.Sprintf("hosts agree after %v; %s/s a host until then, %s in the worst second of one host, %s of a core; then %s/s for %v",
			agreement.elapsed, formatBytes(agreement.meanBytesPerSecond), formatBytes(agreement.peakBytesPerSecond), formatShare(agreement.coreShare),
			formatBytes(settling.meanBytesPerSecond), settling.elapsed),
		Budget:    formatTrafficBudgetResult(max(agreement.meanBytesPerSecond, settling.meanBytesPerSecond)),
		Mechanism: "three seeds, digests by bucket, piggybacked changes of at most 1,100 bytes a message",
	}
}

// measureRackLoss stops several hosts of one data centre at once. It measures the time
// until no running host of the data centre, and then of the fleet, lists them as live.
func (m *memberFleet) measureRackLoss() Event {
	for k := range min(hostsPerRack, m.fleet.hosts/m.fleet.centres/2) {
		m.stopHost(k*m.fleet.centres + 1)
	}
	const centre = 1
	inDataCentre := m.measureUntil(2*time.Minute, func() bool { return m.hostsAgree(func(c int) bool { return c == centre }) })
	fleetWide := m.measureUntil(2*time.Minute, m.allHostsAgree)
	return Event{
		Name: "a rack is lost: membership, " + m.hostCountText(),
		Result: fmt.Sprintf("known in the data centre after %v, everywhere after %v; %s/s a host",
			inDataCentre.elapsed, inDataCentre.elapsed+fleetWide.elapsed, formatBytes(max(inDataCentre.meanBytesPerSecond, fleetWide.meanBytesPerSecond))),
		Budget:    formatTrafficBudgetResult(max(inDataCentre.meanBytesPerSecond, fleetWide.meanBytesPerSecond)),
		Mechanism: "probes, indirect probes, suspicion; relays between data centres",
	}
}

// measureReplacement stops hosts one by one, and starts a new host in place of each.
// steadyBytesPerSecond is the mean traffic of one host in the steady state.
func (m *memberFleet) measureReplacement(steadyBytesPerSecond float64) Event {
	const spacing = 5 * time.Second
	m.network.resetUsage()
	for k := range replacedHostCount {
		i := 2 + k*m.fleet.centres%m.fleet.hosts
		m.stopHost(i % m.fleet.hosts)
		m.network.advance(spacing)
		m.startHost(i % m.fleet.hosts)
	}
	during := meanRow(m.fleet, m.network, "", replacedHostCount*spacing, allHosts)
	const replacementsPerSecond = float64(replacedHostsPerDay) / secondsPerDay
	bytesPerReplacement := max(during.BytesPerSecond-steadyBytesPerSecond, 0) * spacing.Seconds()
	return Event{
		Name: fmt.Sprintf("hosts are replaced, one in %v: membership, %s", spacing, m.hostCountText()),
		Result: fmt.Sprintf("%s/s a host meanwhile; at 860 a day a mean of %s/s more than at rest",
			formatBytes(during.BytesPerSecond), formatBytes(bytesPerReplacement*replacementsPerSecond)),
		Budget:    formatTrafficBudgetResult(during.BytesPerSecond),
		Mechanism: "piggybacked changes",
	}
}

// measureDataCentreLoss stops all hosts of one data centre at once and measures the time
// until all other data centres have reported it as unreachable.
func (m *memberFleet) measureDataCentreLoss() Event {
	centre := m.fleet.centres - 1
	for i := centre; i < m.fleet.hosts; i += m.fleet.centres {
		m.stopHost(i)
	}
	load := m.measureUntil(5*time.Minute, m.unreachableReported)
	return Event{
		Name:      "a data centre is lost: membership, " + m.hostCountText(),
		Result:    fmt.Sprintf("a relay of each other data centre reports it after at most %v; %s/s a host", load.elapsed, formatBytes(load.meanBytesPerSecond)),
		Budget:    formatTrafficBudgetResult(load.meanBytesPerSecond),
		Mechanism: "relays that get no answer",
	}
}

// unreachableReported reports whether, in all data centres but one, a host has reported
// another data centre as unreachable.
func (m *memberFleet) unreachableReported() bool {
	reported := map[int]bool{}
	for i, machine := range m.network.machines {
		if member, ok := machine.(*memberMachine); ok && member.unreachableReports > 0 {
			reported[m.network.hostCentres[i]] = true
		}
	}
	return len(reported) >= m.fleet.centres-1
}

func allHosts(int) bool { return true }

// measureConfigEvents measures the distribution of the configuration after a simultaneous
// start of all hosts, after a network partition and during an outage of the platform.
func measureConfigEvents(f fleet) []Event {
	return []Event{measureConfigStart(f), measureRegionPartition(f), measurePlatformOutage(f)}
}

// measureConfigStart starts all hosts at once and measures the load on the platform.
func measureConfigStart(f fleet) Event {
	c := newConfigFleet(f)
	elapsed := c.network.advanceUntil(5*time.Minute, func() bool { return c.upToDate(allCentres) })
	maxLists := 0
	for _, lists := range c.platform.listsPerSecond {
		maxLists = max(maxLists, lists)
	}
	return Event{
		Name: fmt.Sprintf("every host starts at once: configuration, %d hosts, %d databases", f.hosts, f.databases),
		Result: fmt.Sprintf("complete everywhere after %v; the platform is listed %d times, %d in the worst second",
			elapsed.Round(10*time.Millisecond), c.platform.listCount, maxLists),
		Budget:    formatBudgetResult(maxLists <= platformReadBudget, "2,000 platform reads a second"),
		Mechanism: "only relays list the platform, the others fetch from peers",
	}
}

// measureRegionPartition separates the data centres of one region from the others and
// from the platform while the configuration changes. It measures the time until the
// region has the changes after the partition ends.
func measureRegionPartition(f fleet) Event {
	duration := partitionTime
	if f.hosts > maxHostsFullPartition {
		duration = shortPartitionTime
	}
	c := newConfigFleet(f)
	c.network.advanceUntil(5*time.Minute, func() bool { return c.upToDate(allCentres) })
	c.network.advance(watchStartTime)
	inRegion := func(centre int) bool { return centre%8 == 0 }
	c.network.disconnected = func(a, b int) bool { return inRegion(a) != inRegion(b) }
	c.platform.unreachableFrom = inRegion
	c.platform.failWatches()
	changes := configChangesPerDay / 24
	for n := range changes {
		c.platform.changeObject(n)
		c.network.advance(duration / time.Duration(changes))
	}
	othersUpToDate := c.upToDate(func(centre int) bool { return !inRegion(centre) })
	c.network.disconnected = func(int, int) bool { return false }
	c.platform.unreachableFrom = func(int) bool { return false }
	c.network.resetUsage()
	recovery := c.network.advanceUntil(5*time.Minute, func() bool { return c.upToDate(allCentres) })
	maxBytes := maxHostBytes(c.network)
	result := fmt.Sprintf("%d changes meanwhile; after %v apart the region has them %v after rejoining, with at most %s at one host",
		changes, duration, recovery.Round(10*time.Millisecond), formatBytes(maxBytes))
	if !othersUpToDate {
		result += "; the other regions did not have all changes"
	}
	return Event{
		Name:      fmt.Sprintf("regions apart: configuration, %d hosts", f.hosts),
		Result:    result,
		Budget:    formatBudgetResult(recovery <= rolloutBudget, "4 s"),
		Mechanism: "digests between relays, watches made again",
	}
}

// measurePlatformOutage replaces hosts while the platform is unreachable from all data
// centres.
func measurePlatformOutage(f fleet) Event {
	c := newConfigFleet(f)
	c.network.advanceUntil(5*time.Minute, func() bool { return c.upToDate(allCentres) })
	c.network.advance(watchStartTime)
	c.platform.unreachableFrom = allCentres
	c.platform.failWatches()
	c.platform.listCount = 0
	c.network.resetUsage()
	for k := range replacedHostCount {
		c.startHost((k*c.fleet.centres + k) % f.hosts)
	}
	elapsed := c.network.advanceUntil(5*time.Minute, func() bool { return c.upToDate(allCentres) })
	c.network.advance(time.Minute)
	return Event{
		Name: fmt.Sprintf("the platform is down while %d hosts are replaced, %d hosts", replacedHostCount, f.hosts),
		Result: fmt.Sprintf("the new hosts are complete after %v; the platform gets %.1f calls a second",
			elapsed.Round(10*time.Millisecond), float64(c.platform.listCount)/(elapsed+time.Minute).Seconds()),
		Budget:    formatBudgetResult(c.upToDate(allCentres), "a new host serves without the platform"),
		Mechanism: "new hosts fetch from peers; relays repeat with growing delays",
	}
}

// measurePrimaryLoss stops the primary of a database in several simulations, in each at
// another time, and measures the longest time until a new primary is in place.
func measurePrimaryLoss(f fleet) Event {
	const rounds = 20
	longest := time.Duration(0)
	for n := range rounds {
		spec := f.databaseSpec(n % f.databases)
		sim := newDatabaseSimulation(spec)
		sim.advanceUntil(5*time.Second+time.Duration(n)*37*time.Millisecond, never)
		sim.instances[spec.Endpoints[0].ID].stopped = true
		longest = max(longest, sim.advanceUntil(time.Minute, sim.hasPrimary))
	}
	return Event{
		Name:      fmt.Sprintf("a primary is lost, %d times, %d databases", rounds, f.databases),
		Result:    fmt.Sprintf("a new primary after at most %v", longest),
		Budget:    formatBudgetResult(longest <= primaryChangeBudget, "20 s"),
		Mechanism: "suspicion at a majority, fence, wait for W, promotion",
	}
}

func formatTrafficBudgetResult(bytesPerSecond float64) string {
	if bytesPerSecond <= trafficBudgetBytesPerSecond {
		return "kept: 10 KB/s a host"
	}
	return fmt.Sprintf("MISSED: 10 KB/s a host, by a factor of %.1f", bytesPerSecond/trafficBudgetBytesPerSecond)
}
