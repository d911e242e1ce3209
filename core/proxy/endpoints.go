package proxy

import (
	"baobabfield.example/core/catalog"
	"baobabfield.example/core/types"
)

// endpointChanged takes an endpoint's entry.
func (m *Machine) endpointChanged(e catalog.Endpoint, revision uint64) {
	old, known := m.cat.Endpoint(e.ID)
	before, _ := m.cat.PrimaryOf(e.Service)
	m.cat.SetEndpoint(e)
	moved := known && (old.Address != e.Address || old.Service != e.Service || old.DataCentre != e.DataCentre)
	reborn := known && old.StartedUnixMs != e.StartedUnixMs
	if reborn {
		m.mayHaveRestarted(e.ID, true)
	}
	if moved || reborn {
		m.disown(e.ID, types.ReasonBroken)
		m.dropControl(e.ID)
		delete(m.owners, e.ID)
	}
	m.urgent = true
	if !known || old.Draining != e.Draining || old.ClaimsPrimary != e.ClaimsPrimary || moved || reborn {
		m.log(Info, "endpoint changed", f("endpoint", e.ID), f("service", e.Service), f("draining", e.Draining),
			f("claims_primary", e.ClaimsPrimary), f("born", e.StartedUnixMs), f("revision", revision))
	}
	if o := m.owned[e.ID]; o != nil {
		o.pool.Configure(m.poolConfig(e))
		if e.Draining && !old.Draining {
			m.drainReplica(o, e)
		}
	}
	if after, _ := m.cat.PrimaryOf(e.Service); after != before {
		m.primaryChanged(e.Service)
	}
}

// drainReplica refuses what waits at a replica that leaves; a primary goes on
// until it is replaced.
func (m *Machine) drainReplica(o *owned, e catalog.Endpoint) {
	if primary, _ := m.cat.PrimaryOf(e.Service); primary != e.ID {
		o.pool.Drain(m.now)
	}
}
