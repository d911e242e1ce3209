package proxy

import (
	"maps"
	"slices"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/locality"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

// maxOwnersWithout bounds the lists of avoided hosts whose owners are cached.
const maxOwnersWithout = 32

// ownersWithout holds the owners of endpoints for a list of avoided hosts.
type ownersWithout struct {
	avoided []types.Host
	owners  map[types.Endpoint]types.Host
}

// cachedOwners returns the cache of owners for a list of avoided hosts.
func (m *Machine) cachedOwners(avoided []types.Host) map[types.Endpoint]types.Host {
	if len(avoided) == 0 {
		return m.ownerCache
	}
	for _, c := range m.ownersWithout {
		if slices.Equal(c.avoided, avoided) {
			return c.owners
		}
	}
	if len(m.ownersWithout) >= maxOwnersWithout {
		m.ownersWithout = nil
	}
	c := ownersWithout{avoided: slices.Clone(avoided), owners: map[types.Endpoint]types.Host{}}
	m.ownersWithout = append(m.ownersWithout, c)
	return c.owners
}

// ownerOf returns the host that owns an endpoint, or "" if there is none. The owner is one of the
// strong usable hosts of the endpoint's data centre, see locality.OwnerCandidates. Avoided hosts
// are left out.
func (m *Machine) ownerOf(id types.Endpoint, avoided []types.Host) types.Host {
	cache := m.cachedOwners(avoided)
	if h, ok := cache[id]; ok {
		return h
	}
	e, ok := m.catalog.Endpoint(id)
	if !ok {
		return ""
	}
	hosts := m.usableHosts(avoided)
	owners := m.ownersIn(e.DataCentre, hosts)
	owner := owners[id]
	if owner == "" {
		// The endpoint's service is not configured, so that it was not assigned with the others.
		owner, _ = routing.HighestWeightHosts(string(id), hostIDs(m.ownerCandidates(e.DataCentre, hosts)))
	}
	if owner == "" {
		return owner
	}
	cache[id] = owner
	maps.Copy(cache, owners)
	return owner
}

// ownersIn returns the owners of the endpoints of a data centre, given the usable hosts.
func (m *Machine) ownersIn(dc types.DataCentre, hosts []locality.Host) map[types.Endpoint]types.Host {
	var endpoints []types.Endpoint
	m.catalog.VisitEndpoints(func(e *catalog.Endpoint) {
		if e.DataCentre == dc {
			endpoints = append(endpoints, e.ID)
		}
	})
	candidates := m.ownerCandidates(dc, hosts)
	if m.allAssignWithBounds() {
		return locality.Owners(endpoints, candidates)
	}
	ids := hostIDs(candidates)
	owners := make(map[types.Endpoint]types.Host, len(endpoints))
	for _, id := range endpoints {
		if owner, _ := routing.HighestWeightHosts(string(id), ids); owner != "" {
			owners[id] = owner
		}
	}
	return owners
}

// ownerCandidates returns the hosts among which the endpoints of a data centre are divided.
func (m *Machine) ownerCandidates(dc types.DataCentre, hosts []locality.Host) []locality.Host {
	if !m.allAssignWithBounds() {
		local := slices.DeleteFunc(slices.Clone(hosts), func(h locality.Host) bool { return h.DataCentre != dc })
		if len(local) == 0 {
			local = hosts
		}
		return locality.StrongHosts(local)
	}
	here, all := 0, 0
	m.catalog.VisitEndpoints(func(e *catalog.Endpoint) {
		all++
		if e.DataCentre == dc {
			here++
		}
	})
	return locality.OwnerCandidates(dc, hosts, here, all)
}

// allAssignWithBounds reports whether all hosts are of builds that assign owners with bounded
// loads. An earlier build would find other owners, and two owners could open more connections to
// an endpoint than it accepts. The bounds were introduced together with WorkspaceRules.
func (m *Machine) allAssignWithBounds() bool {
	for _, h := range m.catalog.Hosts() {
		if h.WorkspaceRules < catalog.WorkspaceRules && !h.Leaving {
			return false
		}
	}
	return true
}

// usableHosts returns the hosts that can own endpoints, as far as this host knows.
func (m *Machine) usableHosts(avoided []types.Host) []locality.Host {
	var out []locality.Host
	for _, h := range m.catalog.Hosts() {
		if m.isUsable(h) && m.keepsWorkspacesApart(&h) && !slices.Contains(avoided, h.ID) {
			out = append(out, locality.Host{ID: h.ID, DataCentre: h.DataCentre, Power: h.CPUMillicores})
		}
	}
	return out
}

func hostIDs(hosts []locality.Host) []types.Host {
	out := make([]types.Host, len(hosts))
	for i, h := range hosts {
		out[i] = h.ID
	}
	return out
}

// keepsWorkspacesApart reports whether a host can own endpoints in the present configuration.
func (m *Machine) keepsWorkspacesApart(h *catalog.Host) bool {
	return !m.catalog.HasWorkspaces() || h.WorkspaceRules >= catalog.WorkspaceRules
}

// clearOwnerCache drops what is cached of the order of the hosts.
func (m *Machine) clearOwnerCache() {
	clear(m.ownerCache)
	m.ownersWithout = nil
	m.cachedReadOrder = nil
	m.limits.hostsChanged = true
}
