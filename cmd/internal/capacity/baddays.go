package capacity

import (
	"fmt"
	"time"
)

const (
	// rackSize is the number of hosts of a rack.
	rackSize = 20
	// replacements is the number of hosts replaced to measure one replacement.
	replacements = 10
	// hourApart is the time for which regions lose each other.
	hourApart = time.Hour
	// shortApart stands for it at the largest size, where an hour takes too long.
	shortApart = 5 * time.Minute
	// apartLimit is the number of hosts up to which the whole hour is run.
	apartLimit = 1000
)

// measureMembers measures membership in the steady state and on bad days.
func measureMembers(f fleet, note Note) ([]Row, []Event) {
	m := newMembers(f)
	started := m.loadUntil(5*time.Minute, m.allAgreed)
	note("%s: hosts agree after %v", f.name, started.passed)
	settled := m.settle()
	note("%s: at rest after %v", f.name, settled.passed)
	rows := m.measureSteady()
	events := []Event{m.startEvent(started, settled), m.loseRack()}
	m.settle()
	events = append(events, m.replaceHosts(rows[0].Bytes), m.loseCentre())
	return rows, events
}

func (m *members) size() string { return fmt.Sprintf("%d hosts", m.fleet.hosts) }

func (m *members) startEvent(started, settled load) Event {
	return Event{
		Name: "every host starts at once: membership, " + m.size(),
		Result: fmt.Sprintf("hosts agree after %v; %s/s a host until then, %s in the worst second of one host, %s of a core; then %s/s for %v",
			started.passed, formatBytes(started.mean), formatBytes(started.peak), formatShare(started.core),
			formatBytes(settled.mean), settled.passed),
		Budget:    trafficVerdict(max(started.mean, settled.mean)),
		Mechanism: "three seeds, digests by bucket, piggybacked changes of at most 1,100 bytes a message",
	}
}

// loseRack stops hosts of one data centre at once.
func (m *members) loseRack() Event {
	for k := range min(rackSize, m.fleet.hosts/m.fleet.centres/2) {
		m.stop(k*m.fleet.centres + 1)
	}
	const centre = 1
	own := m.loadUntil(2*time.Minute, func() bool { return m.agreed(func(c int) bool { return c == centre }) })
	all := m.loadUntil(2*time.Minute, m.allAgreed)
	return Event{
		Name: "a rack is lost: membership, " + m.size(),
		Result: fmt.Sprintf("known in the data centre after %v, everywhere after %v; %s/s a host",
			own.passed, own.passed+all.passed, formatBytes(max(own.mean, all.mean))),
		Budget:    trafficVerdict(max(own.mean, all.mean)),
		Mechanism: "probes, indirect probes, suspicion; relays between data centres",
	}
}

// replaceHosts stops hosts one by one and starts new ones in their place, while
// a host at rest sends and receives atRest bytes in a second.
func (m *members) replaceHosts(atRest float64) Event {
	const spacing = 5 * time.Second
	m.bus.reset()
	for k := range replacements {
		i := 2 + k*m.fleet.centres%m.fleet.hosts
		m.stop(i % m.fleet.hosts)
		m.bus.run(spacing)
		m.start(i % m.fleet.hosts)
	}
	during := meanRow(m.fleet, m.bus, "", replacements*spacing, everywhereHost)
	const perSecond = float64(replacedPerDay) / secondsPerDay
	each := max(during.Bytes-atRest, 0) * spacing.Seconds()
	return Event{
		Name: fmt.Sprintf("hosts are replaced, one in %v: membership, %s", spacing, m.size()),
		Result: fmt.Sprintf("%s/s a host meanwhile; at 860 a day a mean of %s/s more than at rest",
			formatBytes(during.Bytes), formatBytes(each*perSecond)),
		Budget:    trafficVerdict(during.Bytes),
		Mechanism: "piggybacked changes",
	}
}

// loseCentre stops all hosts of one data centre at once.
func (m *members) loseCentre() Event {
	lost := m.fleet.centres - 1
	for i := lost; i < m.fleet.hosts; i += m.fleet.centres {
		m.stop(i)
	}
	noticed := m.loadUntil(5*time.Minute, m.silenceNoticed)
	return Event{
		Name:      "a data centre is lost: membership, " + m.size(),
		Result:    fmt.Sprintf("a relay of each other data centre reports it after at most %v; %s/s a host", noticed.passed, formatBytes(noticed.mean)),
		Budget:    trafficVerdict(noticed.mean),
		Mechanism: "relays that get no answer",
	}
}

// silenceNoticed reports whether a relay of each data centre with hosts has
// reported a silent data centre.
func (m *members) silenceNoticed() bool {
	noticed := map[int]bool{}
	for i, p := range m.bus.peers {
		if member, ok := p.(*memberPeer); ok && member.silent > 0 {
			noticed[m.bus.centres[i]] = true
		}
	}
	return len(noticed) >= m.fleet.centres-1
}

func everywhereHost(int) bool { return true }

// measureConfigDays measures the configuration on bad days.
func measureConfigDays(f fleet) []Event {
	return []Event{startConfig(f), regionsApart(f), platformDown(f)}
}

func startConfig(f fleet) Event {
	c := newConfigFleet(f)
	passed := c.bus.runUntil(5*time.Minute, func() bool { return c.current(everywhere) })
	worst := 0
	for _, lists := range c.platform.bySecond {
		worst = max(worst, lists)
	}
	return Event{
		Name: fmt.Sprintf("every host starts at once: configuration, %d hosts, %d databases", f.hosts, f.databases),
		Result: fmt.Sprintf("complete everywhere after %v; the platform is listed %d times, %d in the worst second",
			passed.Round(10*time.Millisecond), c.platform.lists, worst),
		Budget:    verdict(worst <= platformReads, "2,000 platform reads a second"),
		Mechanism: "only relays list the platform, the others fetch from peers",
	}
}

// regionsApart cuts the data centres of one region from the others and from the
// platform while the configuration changes.
func regionsApart(f fleet) Event {
	apart := hourApart
	if f.hosts > apartLimit {
		apart = shortApart
	}
	c := newConfigFleet(f)
	c.bus.runUntil(5*time.Minute, func() bool { return c.current(everywhere) })
	c.bus.run(settleTime)
	inside := func(centre int) bool { return centre%8 == 0 }
	c.bus.cut = func(a, b int) bool { return inside(a) != inside(b) }
	c.platform.down = inside
	c.platform.breakWatches()
	changes := changesPerDay / 24
	for n := range changes {
		c.platform.change(n)
		c.bus.run(apart / time.Duration(changes))
	}
	kept := c.current(func(centre int) bool { return !inside(centre) })
	c.bus.cut = func(int, int) bool { return false }
	c.platform.down = func(int) bool { return false }
	c.bus.reset()
	rejoined := c.bus.runUntil(5*time.Minute, func() bool { return c.current(everywhere) })
	worst := busiest(c.bus)
	result := fmt.Sprintf("%d changes meanwhile; after %v apart the region has them %v after rejoining, with at most %s at one host",
		changes, apart, rejoined.Round(10*time.Millisecond), formatBytes(worst))
	if !kept {
		result += "; the other regions did not have all changes"
	}
	return Event{
		Name:      fmt.Sprintf("regions apart: configuration, %d hosts", f.hosts),
		Result:    result,
		Budget:    verdict(rejoined <= rolloutBudget, "4 s"),
		Mechanism: "digests between relays, watches made again",
	}
}

// platformDown replaces hosts while no data centre reaches the platform.
func platformDown(f fleet) Event {
	c := newConfigFleet(f)
	c.bus.runUntil(5*time.Minute, func() bool { return c.current(everywhere) })
	c.bus.run(settleTime)
	c.platform.down = everywhere
	c.platform.breakWatches()
	c.platform.lists = 0
	c.bus.reset()
	for k := range replacements {
		c.start((k*c.fleet.centres + k) % f.hosts)
	}
	passed := c.bus.runUntil(5*time.Minute, func() bool { return c.current(everywhere) })
	c.bus.run(time.Minute)
	return Event{
		Name: fmt.Sprintf("the platform is down while %d hosts are replaced, %d hosts", replacements, f.hosts),
		Result: fmt.Sprintf("the new hosts are complete after %v; the platform gets %.1f calls a second",
			passed.Round(10*time.Millisecond), float64(c.platform.lists)/(passed+time.Minute).Seconds()),
		Budget:    verdict(c.current(everywhere), "a new host serves without the platform"),
		Mechanism: "new hosts fetch from peers; relays repeat with growing delays",
	}
}

// losePrimary stops the primary of a database, several times with other seeds.
func losePrimary(f fleet) Event {
	const rounds = 20
	worst := time.Duration(0)
	for n := range rounds {
		spec := f.database(n % f.databases)
		w := newDatabaseWorld(spec)
		w.run(5*time.Second+time.Duration(n)*37*time.Millisecond, never)
		w.instances[spec.Endpoints[0].ID].dead = true
		worst = max(worst, w.run(time.Minute, w.hasPrimary))
	}
	return Event{
		Name:      fmt.Sprintf("a primary is lost, %d times, %d databases", rounds, f.databases),
		Result:    fmt.Sprintf("a new primary after at most %v", worst),
		Budget:    verdict(worst <= primaryBudget, "20 s"),
		Mechanism: "suspicion at a majority, fence, wait for W, promotion",
	}
}

func trafficVerdict(bytesPerSecond float64) string {
	if bytesPerSecond <= trafficBudget {
		return "kept: 10 KB/s a host"
	}
	return fmt.Sprintf("MISSED: 10 KB/s a host, by a factor of %.1f", bytesPerSecond/trafficBudget)
}
