package proxy

import (
	"cmp"
	"slices"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/locality"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// remoteReadIdleTime is the time without a read in another data centre after which the reads of a
// route count as staying. It bounds the log to two lines in this time for each route.
const remoteReadIdleTime = 10 * time.Second

// remoteReads is the state of a route's reads that this frontend sends to other data centres.
type remoteReads struct {
	share    locality.Share
	baseline locality.Baseline
	// active is set from the first read that leaves until none has left for remoteReadIdleTime.
	// lastAt is the time of the last one, and reads their number since active was set.
	active bool
	lastAt types.Time
	reads  int
}

func (m *Machine) remoteReadsFor(db types.Database) *remoteReads {
	c := m.remoteReadsByRoute[db]
	if c == nil {
		const bits = 53 // the precision of a float64
		phase := float64(random.Hash(m.settings.Seed, string(db))>>(64-bits)) / (1 << bits)
		c = &remoteReads{share: locality.NewShare(phase)}
		m.remoteReadsByRoute[db] = c
	}
	return c
}

// remotePrice returns the price of a read in another data centre.
func (m *Machine) remotePrice() time.Duration {
	return cmp.Or(m.settings.RemotePrice, locality.DefaultPrice)
}

// selectReadEndpoint selects the endpoint for a read, or nil if there is none.
func (m *Machine) selectReadEndpoint(r *request, primary types.Endpoint) *catalog.Endpoint {
	endpoints := m.catalog.EndpointsOf(r.route.Service)
	if len(endpoints) == 0 {
		return nil
	}
	c := m.remoteReadsFor(r.route.Database)
	read := m.describeRead(r, endpoints, c)
	var choice locality.Choice
	for n := range endpoints {
		i := m.indexOfCandidate(n, len(endpoints))
		e := &endpoints[i]
		if e.Leaving || slices.Contains(r.excludedEndpoints, e.ID) {
			continue
		}
		choice.Add(locality.Candidate{
			Index: i, Cost: m.readCost(e, e.ID == primary, &read), FaultCost: m.statsFor(e.ID).faultCost(m.now),
			Preference: m.affinityCost(e, r.session.workspace),
		}, e.DataCentre == m.settings.DataCentre)
	}
	i, reason, ok := choice.Decide(m.now, &c.share, m.remotePrice(), read.TypicalService)
	if !ok {
		return nil
	}
	r.remoteReason = reason
	if reason != locality.ReasonHome {
		m.recordRemoteRead(c, r, reason)
	}
	return &endpoints[i]
}

// indexOfCandidate returns the index of the endpoint that is considered as the n-th of count. Of
// endpoints that cost the same, frontends prefer different ones.
func (m *Machine) indexOfCandidate(n, count int) int {
	return (int(m.settings.Seed%uint64(count)) + n) % count
}

// describeRead returns what the costs of the endpoints depend on.
func (m *Machine) describeRead(r *request, endpoints []catalog.Endpoint, c *remoteReads) locality.Read {
	read := locality.Read{Rank: r.route.Rank, Objective: r.due.Sub(m.now)}
	if read.Objective <= 0 {
		read.Objective = r.route.TargetLatency
	}
	var lowest time.Duration
	for i := range endpoints {
		if s := m.statsFor(endpoints[i].ID).ServiceTime(m.now); s > 0 && (lowest == 0 || s < lowest) {
			lowest = s
		}
	}
	read.TypicalService = c.baseline.Update(m.now, lowest)
	return read
}

// recordRemoteRead records that a read leaves the data centre.
func (m *Machine) recordRemoteRead(c *remoteReads, r *request, reason locality.Reason) {
	c.lastAt = m.now
	c.reads++
	if !c.active {
		c.active, c.reads = true, 1
		m.log(Info, "reads leave the data centre", field("database", r.route.Database), field("service", r.route.Service),
			field("reason", reason.String()), field("share", c.share.Value()))
	}
}

// countRemoteRead counts a read that another data centre has served.
func (m *Machine) countRemoteRead(r *request) {
	switch r.remoteReason {
	case locality.ReasonHome:
	case locality.ReasonWait:
		m.incrementCounter(`baobab_remote_reads_total{reason="wait"}`)
	case locality.ReasonFault:
		m.incrementCounter(`baobab_remote_reads_total{reason="fault"}`)
	case locality.ReasonPreference:
		m.incrementCounter(`baobab_remote_reads_total{reason="preference"}`)
	case locality.ReasonNoEndpoint:
		m.incrementCounter(`baobab_remote_reads_total{reason="no endpoint"}`)
	}
}

// tickRemoteReads notes the routes whose reads stay again, and forgets the state of routes
// that do not exist any more.
func (m *Machine) tickRemoteReads() {
	for db, c := range ordered(m.remoteReadsByRoute) {
		if c.active && m.now.Sub(c.lastAt) >= remoteReadIdleTime {
			c.active = false
			m.log(Info, "reads stay in the data centre", field("database", db), field("left", c.reads))
		}
		if _, ok := m.catalog.Route(db); !ok && !c.active {
			delete(m.remoteReadsByRoute, db)
		}
	}
}
