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
	// silenceDelay is the time after which a question to a dead endpoint fails.
	silenceDelay = 250 * time.Millisecond
	// quietTime is reported by fenced endpoints, which have answered no other host.
	quietTime = time.Second
)

// instance is a database instance as far as the failover machines see it.
type instance struct {
	term    types.Term
	primary bool
	last    types.LogPoint
	dead    bool
}

// databaseWorld runs the failover machines of one database's owners in virtual
// time, each on a host of its own.
type databaseWorld struct {
	now       types.Time
	hosts     []types.Host
	machines  map[types.Host]*failover.Machine
	wakes     map[types.Host]types.Time
	instances map[types.Endpoint]*instance
	due       []timedEvent
	// questions, bytes and busy add up the work of all machines.
	questions, bytes int
	busy             time.Duration
}

// timedEvent is an event on its way to a machine.
type timedEvent struct {
	at    types.Time
	host  types.Host
	event failover.Event
}

func newDatabaseWorld(spec types.DatabaseSpec) *databaseWorld {
	w := &databaseWorld{
		now:       types.Time(time.Second),
		machines:  map[types.Host]*failover.Machine{},
		wakes:     map[types.Host]types.Time{},
		instances: map[types.Endpoint]*instance{},
	}
	owners := map[types.Endpoint]types.Host{}
	term := types.MakeTerm(spec.EndpointSet, 1)
	for i, e := range spec.Endpoints {
		owners[e.ID] = hostName(i)
		last := types.LogPoint{Term: term, Position: 1000}
		w.instances[e.ID] = &instance{term: term, primary: i == 0, last: last}
	}
	for i := range spec.Endpoints {
		host := hostName(i)
		cfg := failover.Config{Host: host, Database: spec, Owners: owners, Seed: seed + uint64(i)}
		w.hosts = append(w.hosts, host)
		w.machines[host] = failover.New(cfg, w.now)
		w.wakes[host] = w.now
	}
	return w
}

func (w *databaseWorld) later(host types.Host, event failover.Event, delay time.Duration) {
	w.due = append(w.due, timedEvent{at: w.now.Add(delay), host: host, event: event})
}

// run advances the virtual time until done, at most by limit.
func (w *databaseWorld) run(limit time.Duration, done func() bool) time.Duration {
	start := w.now
	for w.now.Sub(start) < limit && !done() {
		w.now = w.now.Add(time.Millisecond)
		w.deliver()
		for _, host := range w.hosts {
			at, waits := w.wakes[host]
			if waits && !w.now.Before(at) {
				delete(w.wakes, host)
				w.step(host, failover.Tick{})
			}
		}
	}
	return w.now.Sub(start)
}

func (w *databaseWorld) deliver() {
	due := w.due
	w.due = nil
	for _, d := range due {
		if d.at.After(w.now) {
			w.due = append(w.due, d)
			continue
		}
		w.step(d.host, d.event)
	}
}

func (w *databaseWorld) step(host types.Host, event failover.Event) {
	start := time.Now()
	effects := w.machines[host].Step(w.now, event)
	w.busy += time.Since(start)
	for _, effect := range effects {
		w.perform(host, effect)
	}
}

// ask counts a command to an endpoint and delivers its answer.
func (w *databaseWorld) ask(host types.Host, e types.Endpoint, silence, answer failover.Event) {
	w.questions++
	w.bytes += exchangeBytes
	if w.instances[e].dead {
		w.later(host, silence, silenceDelay)
		return
	}
	w.later(host, answer, 2*localDelay)
}

func (w *databaseWorld) perform(host types.Host, effect failover.Effect) {
	switch c := effect.(type) {
	case failover.ScheduleTick:
		w.wakes[host] = c.Time
	case failover.SendSuspicion:
		w.bytes += headerBytesTCP + encodedSize(c)
		w.later(c.Host, failover.PeerSuspicion{From: host, Suspicion: c.Suspicion}, remoteDelay)
	case failover.HoldWrites:
		if c.Hold {
			w.later(host, failover.WritesDrained{}, localDelay)
		}
	case failover.QueryStatus:
		answer := failover.StatusResponse{RequestID: c.RequestID, Endpoint: c.Endpoint, Status: w.instances[c.Endpoint].status()}
		w.ask(host, c.Endpoint, failover.NoResponse{RequestID: c.RequestID, Endpoint: c.Endpoint}, answer)
	case failover.Fence:
		w.ask(host, c.Endpoint, failover.NoResponse{RequestID: c.RequestID, Endpoint: c.Endpoint}, w.fence(c))
	case failover.Promote:
		w.ask(host, c.Endpoint, failover.NoResponse{RequestID: c.RequestID, Endpoint: c.Endpoint}, w.promote(c))
	case failover.Follow:
		w.ask(host, c.Endpoint, failover.NoResponse{RequestID: c.RequestID, Endpoint: c.Endpoint}, w.follow(c))
	}
}

func (i *instance) status() failover.EndpointStatus {
	s := failover.EndpointStatus{
		Role: failover.RoleReplica, Term: i.term, LastLogPoint: i.last,
		TermStarts: []types.TermStart{{Term: types.MakeTerm(1, 1)}},
	}
	if i.primary {
		s.Role = failover.RolePrimary
		s.ReplicatedPosition = i.last.Position
	}
	return s
}

func (w *databaseWorld) fence(c failover.Fence) failover.Event {
	i := w.instances[c.Endpoint]
	granted := !i.dead && c.Term > i.term
	if granted {
		i.term = c.Term
		i.primary = false
	}
	return failover.FenceResponse{
		RequestID: c.RequestID, Endpoint: c.Endpoint, Granted: granted, Term: i.term, LastLogPoint: i.last,
		AuthorityIdleKnown: true, AuthorityIdle: quietTime,
	}
}

func (w *databaseWorld) promote(c failover.Promote) failover.Event {
	i := w.instances[c.Endpoint]
	done := !i.dead && c.Term == i.term
	i.primary = i.primary || done
	return failover.PromoteResponse{RequestID: c.RequestID, Endpoint: c.Endpoint, Done: done, Term: i.term, LastLogPoint: i.last}
}

func (w *databaseWorld) follow(c failover.Follow) failover.Event {
	i := w.instances[c.Endpoint]
	done := !i.dead && c.Term >= i.term && !i.primary
	if done {
		i.term = c.Term
	}
	return failover.FollowResponse{RequestID: c.RequestID, Endpoint: c.Endpoint, Done: done, Term: i.term}
}

// hasPrimary reports whether the instance that is the primary of the highest
// term lives and its owner sees it as such.
func (w *databaseWorld) hasPrimary() bool {
	for _, m := range w.machines {
		view := m.View()
		i, known := w.instances[view.Primary]
		if known && !i.dead && i.primary && view.Term == i.term && w.machines[view.Owner] == m {
			return true
		}
	}
	return false
}

func never() bool { return false }

// measureOwners measures the watching of the endpoints that a host owns.
func measureOwners(f fleet) []Row {
	w := newDatabaseWorld(f.database(0))
	w.run(5*time.Second, never)
	w.questions, w.bytes, w.busy = 0, 0, 0
	const window = 30 * time.Second
	w.run(window, never)
	perMachine := 1 / (window.Seconds() * float64(len(w.machines)))
	mean, most := f.ownedEndpoints()
	machineHeap, queueHeap := ownerHeap(f)
	row := Row{
		Fleet:     f.name,
		Role:      "owner",
		Hosts:     f.hosts,
		Messages:  2 * float64(w.questions) * perMachine * float64(most),
		Bytes:     float64(w.bytes) * perMachine * float64(most),
		Core:      w.busy.Seconds() * perMachine * float64(most),
		Memory:    (machineHeap + queueHeap) * most,
		Mechanism: "rendezvous hashing; an owner watches the endpoints of its databases",
		Note: fmt.Sprintf("the row shows the busiest host, with %d endpoints; the mean is %.1f, with %s/s",
			most, mean, formatBytes(float64(w.bytes)*perMachine*mean)),
	}
	standBy := Row{
		Fleet: f.name, Role: "stand-by", Hosts: f.hosts,
		Mechanism: "computed from the membership; holds nothing until it becomes the owner",
		Note:      fmt.Sprintf("the owners of all endpoints are computed in %v", f.ownerTable().Round(10*time.Microsecond)),
	}
	return []Row{row, standBy}
}

// ownedEndpoints returns the mean and the largest number of endpoints of a host.
func (f fleet) ownedEndpoints() (mean float64, most int) {
	owned := map[types.Host]int{}
	total := 0
	for n := range f.databases {
		for _, e := range f.database(n).Endpoints {
			owner, _ := routing.OwnerAndStandby(e.ID, f.live(e.DataCentre))
			owned[owner]++
			total++
			most = max(most, owned[owner])
		}
	}
	return float64(total) / float64(f.hosts), most
}

// live returns the hosts of a data centre.
func (f fleet) live(dc types.DataCentre) []types.Host {
	for centre := range f.centres {
		if centreName(centre) == dc {
			return f.hostsIn(centre)
		}
	}
	return nil
}

// ownerTable returns the time to compute the owners of all endpoints.
func (f fleet) ownerTable() time.Duration {
	live := map[types.DataCentre][]types.Host{}
	for centre := range f.centres {
		live[centreName(centre)] = f.hostsIn(centre)
	}
	var databases []types.DatabaseSpec
	for n := range f.databases {
		databases = append(databases, f.database(n))
	}
	start := time.Now()
	for _, database := range databases {
		for _, e := range database.Endpoints {
			routing.OwnerAndStandby(e.ID, live[e.DataCentre])
		}
	}
	return time.Since(start)
}

// ownerHeap returns the heap of a failover machine and of an endpoint's queue.
func ownerHeap(f fleet) (machine, queue int) {
	const copies = 64
	machines := heapOf(func() any {
		var all []*failover.Machine
		for n := range copies {
			spec := f.database(n)
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
	queues := heapOf(func() any {
		var all []*admission.Queue
		for range copies {
			all = append(all, admission.New(admission.Config{Slots: 3, Connections: 50}, 0))
		}
		return all
	})
	return machines / copies, queues / copies
}
