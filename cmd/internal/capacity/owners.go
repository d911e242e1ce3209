package capacity

import (
	"fmt"
	"time"

	"baobabfield.example/core/admission"
	"baobabfield.example/core/failover"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

const (
	// noResponseDelay is the time after which a command to a stopped endpoint fails.
	noResponseDelay = 250 * time.Millisecond
	// reportedAuthorityIdle is the value of FenceResponse.AuthorityIdle: the time since an
	// endpoint received a query that renews the authority of another host than the sender
	// of the fence.
	reportedAuthorityIdle = time.Second
)

// simulatedInstance holds the state of a database instance that the failover machines
// query and change.
type simulatedInstance struct {
	term         types.Term
	primary      bool
	lastLogPoint types.LogPoint
	stopped      bool
}

// databaseSimulation runs the failover machines of one database's owners in virtual time.
// Each machine is on another host.
type databaseSimulation struct {
	now           types.Time
	hosts         []types.Host
	machines      map[types.Host]*failover.Machine
	nextTicks     map[types.Host]types.Time
	instances     map[types.Endpoint]*simulatedInstance
	pendingEvents []timedEvent
	// commandCount, messageBytes and coreTime are sums over all machines.
	commandCount, messageBytes int
	cpuTime                    time.Duration
}

// timedEvent is an event that a machine receives at a time.
type timedEvent struct {
	at    types.Time
	host  types.Host
	event failover.Event
}

func newDatabaseSimulation(spec types.DatabaseSpec) *databaseSimulation {
	sim := &databaseSimulation{
		now:       types.Time(time.Second),
		machines:  map[types.Host]*failover.Machine{},
		nextTicks: map[types.Host]types.Time{},
		instances: map[types.Endpoint]*simulatedInstance{},
	}
	owners := map[types.Endpoint]types.Host{}
	term := types.MakeTerm(spec.EndpointSet, 1)
	for i, e := range spec.Endpoints {
		owners[e.ID] = hostName(i)
		logPoint := types.LogPoint{Term: term, Position: 1000}
		sim.instances[e.ID] = &simulatedInstance{term: term, primary: i == 0, lastLogPoint: logPoint}
	}
	for i := range spec.Endpoints {
		host := hostName(i)
		cfg := failover.Config{Host: host, Database: spec, Owners: owners, Seed: randomSeed + uint64(i)}
		sim.hosts = append(sim.hosts, host)
		sim.machines[host] = failover.New(cfg, sim.now)
		sim.nextTicks[host] = sim.now
	}
	return sim
}

func (sim *databaseSimulation) schedule(host types.Host, event failover.Event, delay time.Duration) {
	sim.pendingEvents = append(sim.pendingEvents, timedEvent{at: sim.now.Add(delay), host: host, event: event})
}

// advanceUntil advances the virtual time until done returns true, at most by limit. It
// returns the elapsed virtual time.
func (sim *databaseSimulation) advanceUntil(limit time.Duration, done func() bool) time.Duration {
	start := sim.now
	for sim.now.Sub(start) < limit && !done() {
		sim.now = sim.now.Add(time.Millisecond)
		sim.deliverDueEvents()
		for _, host := range sim.hosts {
			at, scheduled := sim.nextTicks[host]
			if scheduled && !sim.now.Before(at) {
				delete(sim.nextTicks, host)
				sim.step(host, failover.Tick{})
			}
		}
	}
	return sim.now.Sub(start)
}

func (sim *databaseSimulation) deliverDueEvents() {
	pending := sim.pendingEvents
	sim.pendingEvents = nil
	for _, event := range pending {
		if event.at.After(sim.now) {
			sim.pendingEvents = append(sim.pendingEvents, event)
			continue
		}
		sim.step(event.host, event.event)
	}
}

func (sim *databaseSimulation) step(host types.Host, event failover.Event) {
	start := time.Now()
	effects := sim.machines[host].Step(sim.now, event)
	sim.cpuTime += time.Since(start)
	for _, effect := range effects {
		sim.performEffect(host, effect)
	}
}

// sendCommand counts a command to an endpoint and schedules its response. If the endpoint
// is stopped, it schedules noResponse.
func (sim *databaseSimulation) sendCommand(host types.Host, endpoint types.Endpoint, noResponse, response failover.Event) {
	sim.commandCount++
	sim.messageBytes += statusExchangeBytes
	if sim.instances[endpoint].stopped {
		sim.schedule(host, noResponse, noResponseDelay)
		return
	}
	sim.schedule(host, response, 2*localLatency)
}

func (sim *databaseSimulation) performEffect(host types.Host, effect failover.Effect) {
	switch c := effect.(type) {
	case failover.ScheduleTick:
		sim.nextTicks[host] = c.Time
	case failover.SendSuspicion:
		sim.messageBytes += headerBytesTCP + encodedSize(c)
		sim.schedule(c.Host, failover.PeerSuspicion{From: host, Suspicion: c.Suspicion}, remoteLatency)
	case failover.HoldWrites:
		if c.Hold {
			sim.schedule(host, failover.WritesDrained{}, localLatency)
		}
	case failover.QueryStatus:
		response := failover.StatusResponse{RequestID: c.RequestID, Endpoint: c.Endpoint, Status: sim.instances[c.Endpoint].status()}
		sim.sendCommand(host, c.Endpoint, failover.NoResponse{RequestID: c.RequestID, Endpoint: c.Endpoint}, response)
	case failover.Fence:
		sim.sendCommand(host, c.Endpoint, failover.NoResponse{RequestID: c.RequestID, Endpoint: c.Endpoint}, sim.fence(c))
	case failover.Promote:
		sim.sendCommand(host, c.Endpoint, failover.NoResponse{RequestID: c.RequestID, Endpoint: c.Endpoint}, sim.promote(c))
	case failover.Follow:
		sim.sendCommand(host, c.Endpoint, failover.NoResponse{RequestID: c.RequestID, Endpoint: c.Endpoint}, sim.follow(c))
	}
}

func (i *simulatedInstance) status() failover.EndpointStatus {
	s := failover.EndpointStatus{
		Role: failover.RoleReplica, Term: i.term, LastLogPoint: i.lastLogPoint,
		TermStarts: []types.TermStart{{Term: types.MakeTerm(1, 1)}},
	}
	if i.primary {
		s.Role = failover.RolePrimary
		s.ReplicatedPosition = i.lastLogPoint.Position
	}
	return s
}

func (sim *databaseSimulation) fence(c failover.Fence) failover.Event {
	instance := sim.instances[c.Endpoint]
	granted := !instance.stopped && c.Term > instance.term
	if granted {
		instance.term = c.Term
		instance.primary = false
	}
	return failover.FenceResponse{
		RequestID: c.RequestID, Endpoint: c.Endpoint, Granted: granted, Term: instance.term, LastLogPoint: instance.lastLogPoint,
		AuthorityIdleKnown: true, AuthorityIdle: reportedAuthorityIdle,
	}
}

func (sim *databaseSimulation) promote(c failover.Promote) failover.Event {
	instance := sim.instances[c.Endpoint]
	done := !instance.stopped && c.Term == instance.term
	instance.primary = instance.primary || done
	return failover.PromoteResponse{RequestID: c.RequestID, Endpoint: c.Endpoint, Done: done, Term: instance.term, LastLogPoint: instance.lastLogPoint}
}

func (sim *databaseSimulation) follow(c failover.Follow) failover.Event {
	instance := sim.instances[c.Endpoint]
	done := !instance.stopped && c.Term >= instance.term && !instance.primary
	if done {
		instance.term = c.Term
	}
	return failover.FollowResponse{RequestID: c.RequestID, Endpoint: c.Endpoint, Done: done, Term: instance.term}
}

// hasPrimary reports whether a running instance is the primary, and whether the machine
// of its owner has that primary and term in its view.
func (sim *databaseSimulation) hasPrimary() bool {
	for _, m := range sim.machines {
		view := m.View()
		instance, known := sim.instances[view.Primary]
		if known && !instance.stopped && instance.primary && view.Term == instance.term && sim.machines[view.Owner] == m {
			return true
		}
	}
	return false
}

func never() bool { return false }

// measureOwners measures the cost of the endpoints that the busiest owner watches, and
// the computation of owners and standbys.
func measureOwners(f fleet) []Row {
	sim := newDatabaseSimulation(f.databaseSpec(0))
	sim.advanceUntil(5*time.Second, never)
	sim.commandCount, sim.messageBytes, sim.cpuTime = 0, 0, 0
	const window = 30 * time.Second
	sim.advanceUntil(window, never)
	perMachine := 1 / (window.Seconds() * float64(len(sim.machines)))
	mean, busiest := f.ownedEndpoints()
	machineHeap, queueHeap := ownerHeapBytes(f)
	owner := Row{
		Fleet:             f.name,
		Role:              "owner",
		Hosts:             f.hosts,
		MessagesPerSecond: 2 * float64(sim.commandCount) * perMachine * float64(busiest),
		BytesPerSecond:    float64(sim.messageBytes) * perMachine * float64(busiest),
		CoreShare:         sim.cpuTime.Seconds() * perMachine * float64(busiest),
		MemoryBytes:       (machineHeap + queueHeap) * busiest,
		Mechanism:         "rendezvous hashing; an owner watches the endpoints of its databases",
		Note: fmt.Sprintf("the row shows the busiest host, with %d endpoints; the mean is %.1f, with %s/s",
			busiest, mean, formatBytes(float64(sim.messageBytes)*perMachine*mean)),
	}
	standby := Row{
		Fleet: f.name, Role: "stand-by", Hosts: f.hosts,
		Mechanism: "computed from the membership; holds nothing until it becomes the owner",
		Note:      fmt.Sprintf("the owners of all endpoints are computed in %v", f.measureOwnerComputation().Round(10*time.Microsecond)),
	}
	return []Row{owner, standby}
}

// ownedEndpoints returns the mean and the largest number of endpoints that a host owns.
func (f fleet) ownedEndpoints() (mean float64, busiest int) {
	owned := map[types.Host]int{}
	total := 0
	for n := range f.databases {
		for _, e := range f.databaseSpec(n).Endpoints {
			owner, _ := routing.OwnerAndStandby(e.ID, f.hostsInDataCentre(e.DataCentre))
			owned[owner]++
			total++
			busiest = max(busiest, owned[owner])
		}
	}
	return float64(total) / float64(f.hosts), busiest
}

// hostsInDataCentre returns the hosts of a data centre.
func (f fleet) hostsInDataCentre(dc types.DataCentre) []types.Host {
	for centre := range f.centres {
		if centreName(centre) == dc {
			return f.hostsIn(centre)
		}
	}
	return nil
}

// measureOwnerComputation returns the time to compute the owners and standbys of all
// endpoints.
func (f fleet) measureOwnerComputation() time.Duration {
	live := map[types.DataCentre][]types.Host{}
	for centre := range f.centres {
		live[centreName(centre)] = f.hostsIn(centre)
	}
	var databases []types.DatabaseSpec
	for n := range f.databases {
		databases = append(databases, f.databaseSpec(n))
	}
	start := time.Now()
	for _, database := range databases {
		for _, e := range database.Endpoints {
			routing.OwnerAndStandby(e.ID, live[e.DataCentre])
		}
	}
	return time.Since(start)
}

// ownerHeapBytes returns the heap sizes of a failover machine and of an endpoint's queue.
func ownerHeapBytes(f fleet) (machine, queue int) {
	const copies = 64
	machines := measureHeapBytes(func() any {
		var all []*failover.Machine
		for n := range copies {
			spec := f.databaseSpec(n)
			owners := map[types.Endpoint]types.Host{}
			for i, e := range spec.Endpoints {
				owners[e.ID] = hostName(i)
			}
			m := failover.New(failover.Config{Host: hostName(0), Database: spec, Owners: owners}, 0)
			m.Step(0, failover.Tick{})
			all = append(all, m)
		}
		return all
	})
	queues := measureHeapBytes(func() any {
		var all []*admission.Queue
		for range copies {
			all = append(all, admission.New(admission.Config{Slots: 3, Connections: 50}, 0))
		}
		return all
	})
	return machines / copies, queues / copies
}
