package proxy

import (
	"cmp"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/types"
)

// applyEndpoint applies an endpoint's record from the store.
func (m *Machine) applyEndpoint(e catalog.Endpoint, revision types.Revision) {
	old, known := m.catalog.Endpoint(e.ID)
	// An endpoint that has announced its end does not come back under the same start time. A
	// record without the announcement is from before it, for instance from a restored store.
	e.Leaving = e.Leaving || (known && old.Leaving && old.StartedUnixMs == e.StartedUnixMs)
	before, _ := m.catalog.PrimaryOf(e.Service)
	m.catalog.SetEndpoint(e)
	m.noteLeaving(&e, &old)
	moved := known && (old.Address != e.Address || old.Service != e.Service || old.DataCentre != e.DataCentre)
	restarted := known && old.StartedUnixMs != e.StartedUnixMs
	if restarted {
		m.notePossibleRestart(e.ID, true)
	}
	if moved || restarted {
		m.releaseEndpoint(e.ID, types.ReasonBroken)
		m.removeControl(e.ID)
	}
	if !known || moved {
		// The owner of an endpoint depends on the other endpoints of its data centre.
		m.clearOwnerCache()
	}
	m.tickRequested = true
	if !known || old.Leaving != e.Leaving || old.ClaimsPrimary != e.ClaimsPrimary || moved || restarted {
		m.log(Info, "endpoint changed", field("endpoint", e.ID), field("service", e.Service), field("draining", e.Leaving),
			field("claims_primary", e.ClaimsPrimary), field("born", e.StartedUnixMs), field("revision", revision.Number()))
	}
	m.applyEndpointToPool(&old, e)
	if after, _ := m.catalog.PrimaryOf(e.Service); after != before {
		m.handlePrimaryChange(e.Service)
	}
}

// applyEndpointToPool applies a changed record to the pool of an owned endpoint.
func (m *Machine) applyEndpointToPool(old *catalog.Endpoint, e catalog.Endpoint) {
	o := m.owned[e.ID]
	if o == nil {
		return
	}
	o.pool.Configure(m.poolConfig(e))
	if e.Leaving && !old.Leaving {
		m.drainReplica(o, e)
	}
}

// noteLeaving records since when an endpoint leaves. old is the record before; zero if none is known.
func (m *Machine) noteLeaving(e, old *catalog.Endpoint) {
	_, noted := m.leavingSince[e.ID]
	switch {
	case !e.Leaving:
		delete(m.leavingSince, e.ID)
	case !noted || old.StartedUnixMs != e.StartedUnixMs:
		m.leavingSince[e.ID] = m.now
		if !m.knowsAllEndpoints() {
			m.leavingSince[e.ID] = m.now.Add(-initialLeavingAge)
		}
	}
}

// initialLeavingAge is added to the time for which an endpoint has left, as far as a process knows that has
// just started: the endpoint has announced it before.
const initialLeavingAge = 500 * time.Millisecond

// mayStartWork reports whether a primary may get new work. One that leaves goes on until it is
// replaced, but only for a part of the bound: other hosts may have learned earlier that it leaves.
func (m *Machine) mayStartWork(primary types.Endpoint) bool {
	since, leaves := m.leavingSince[primary]
	return !leaves || m.now.Sub(since) < cmp.Or(m.settings.LeavingBound, defaultLeavingBound)*leavingWorkPercent/100
}

// drainReplica refuses the queued requests of a replica that leaves. A leaving primary
// continues to serve until it is replaced.
func (m *Machine) drainReplica(o *ownedEndpoint, e catalog.Endpoint) {
	if primary, _ := m.catalog.PrimaryOf(e.Service); primary != e.ID {
		o.pool.Drain(m.now)
	}
}
