package proxy

import (
	"slices"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

const (
	// loadMemory is how long an endpoint's reported load is believed.
	loadMemory = 400 * time.Millisecond
	// perLoad is the assumed wait behind one request per slot.
	perLoad = 18 * time.Millisecond
	// remoteCost is what a way to another data centre weighs against waiting:
	// bytes between data centres are the dearest part of a request.
	remoteCost = 70 * time.Millisecond
	// primaryCost keeps reads off the primary, which alone can serve the writes.
	primaryCost = 15 * time.Millisecond
	// behindCost keeps reads off a replica that has just been behind.
	behindCost = 400 * time.Millisecond
	// behindMemory is how long that is believed.
	behindMemory = 300 * time.Millisecond
	// failedCost keeps reads off an endpoint that has just failed a request.
	failedCost = 3 * time.Second
	// failedMemory is how long that is believed.
	failedMemory = time.Second
)

// place is what an entry knows of an endpoint.
type place struct {
	// outstanding counts this host's own requests there.
	outstanding int
	load        int
	loadAt      types.Time
	behindAt    types.Time
	failedAt    types.Time
}

func (m *Machine) placeOf(e types.Endpoint) *place {
	p := m.places[e]
	if p == nil {
		p = &place{}
		m.places[e] = p
	}
	return p
}

// observe learns from a result.
func (p *place) observe(now types.Time, d Done) {
	p.load, p.loadAt = d.Load, now
	switch {
	case d.Reason == types.ReasonNone && d.Reply.Code == 0:
		p.failedAt = 0
	case d.Reason == types.ReasonBehind || d.Reply.Code.NotRun():
		p.behindAt = now
	case d.Reason != types.ReasonLate && d.Reason != types.ReasonQueueFull:
		p.failedAt = now
	}
}

// recent reports whether at is set and less than d ago.
func recent(now, at types.Time, d time.Duration) bool { return at != 0 && now.Sub(at) < d }

// cost weighs an endpoint for a read, as a time.
func (m *Machine) cost(e *catalog.Endpoint, primary bool) time.Duration {
	p := m.placeOf(e.ID)
	load := p.outstanding
	if recent(m.now, p.loadAt, loadMemory) {
		load = max(load, p.load)
	}
	cost := perLoad * time.Duration(load) / time.Duration(max(e.Slots, 1))
	if e.DataCentre != m.set.DataCentre {
		cost += remoteCost
	}
	if primary {
		cost += primaryCost
	}
	if recent(m.now, p.behindAt, behindMemory) {
		cost += behindCost
	}
	if recent(m.now, p.failedAt, failedMemory) {
		cost += failedCost
	}
	return cost
}

// place chooses the endpoint and the owner for a request. It returns why there
// is none, or ReasonNone.
func (m *Machine) place(r *request) types.Reason {
	primary, known := m.cat.PrimaryOf(r.route.Service)
	r.primary = r.needsPrimary
	if r.needsPrimary {
		if !known {
			r.endpoint, r.host = "", ""
			return types.ReasonNoMajority
		}
		r.endpoint = primary
		return m.placeAtOwner(r)
	}
	best := -1
	var bestCost time.Duration
	endpoints := m.cat.EndpointsOf(r.route.Service)
	for i := range endpoints {
		e := &endpoints[i]
		if e.Draining || slices.Contains(r.excluded, e.ID) {
			continue
		}
		cost := m.cost(e, e.ID == primary)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		r.endpoint, r.host = "", ""
		return types.ReasonNoMajority
	}
	r.endpoint = endpoints[best].ID
	// A read of any age is served at the primary as if it had to be current.
	r.primary = r.endpoint == primary
	return m.placeAtOwner(r)
}

func (m *Machine) placeAtOwner(r *request) types.Reason {
	r.host = m.ownerOf(r.endpoint, r.avoided)
	if r.host == "" {
		return types.ReasonUnreachable
	}
	return types.ReasonNone
}

// allExcluded reports whether no endpoint is left for a read.
func (m *Machine) allExcluded(r *request) bool {
	for _, e := range m.cat.EndpointsOf(r.route.Service) {
		if !e.Draining && !slices.Contains(r.excluded, e.ID) {
			return false
		}
	}
	return true
}

// ownerOf returns the host that owns an endpoint: by rendezvous hashing one of
// the usable hosts of its data centre, or of all where that has none. Avoided
// hosts are left out while there are others.
func (m *Machine) ownerOf(id types.Endpoint, avoided []types.Host) types.Host {
	if len(avoided) == 0 {
		if h, ok := m.owners[id]; ok {
			return h
		}
	}
	e, ok := m.cat.Endpoint(id)
	if !ok {
		return ""
	}
	owner, _ := routing.HighestTwo(string(id), m.strongHosts(m.usableHosts(e.DataCentre, avoided)))
	if len(avoided) == 0 && owner != "" {
		m.owners[id] = owner
	}
	return owner
}

// strongHosts returns the hosts that have at least half of the strongest one's
// processor: an owner runs every statement of its endpoint, and on a weak host each
// of them waits for the processor.
func (m *Machine) strongHosts(hosts []types.Host) []types.Host {
	most := 0
	for _, id := range hosts {
		most = max(most, m.power(id))
	}
	var strong []types.Host
	for _, id := range hosts {
		if 2*m.power(id) >= most {
			strong = append(strong, id)
		}
	}
	return strong
}

func (m *Machine) power(id types.Host) int {
	h, _ := m.cat.Host(id)
	return h.CPUMillicores
}

// usableHosts returns the hosts of a data centre that can own endpoints.
func (m *Machine) usableHosts(dc types.DataCentre, avoided []types.Host) []types.Host {
	var near, all []types.Host
	for _, h := range m.cat.Hosts() {
		if !m.usable(h) || slices.Contains(avoided, h.ID) {
			continue
		}
		all = append(all, h.ID)
		if h.DataCentre == dc {
			near = append(near, h.ID)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// ownersChanged forgets the cached owners.
func (m *Machine) ownersChanged() { clear(m.owners) }
