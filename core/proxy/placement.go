package proxy

import (
	"slices"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/locality"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

const (
	// primaryCost keeps reads off the primary, since only the primary can serve writes.
	primaryCost = 15 * time.Millisecond
	// laggingCost keeps reads off an endpoint that has recently lagged behind or refused to
	// run a statement.
	laggingCost = 400 * time.Millisecond
	// laggingValidity is how long laggingCost applies.
	laggingValidity = 300 * time.Millisecond
	// failedCost keeps reads off an endpoint that has recently failed a request.
	failedCost = 3 * time.Second
	// failureValidity is how long failedCost applies.
	failureValidity = time.Second
)

// endpointStats is what a frontend has observed of an endpoint.
type endpointStats struct {
	// Endpoint holds the load and the times.
	locality.Endpoint
	// laggedAt is when the endpoint last lagged behind or refused to run a statement. failedAt
	// is when it last failed a request; a success resets it. Both are zero for never.
	laggedAt types.Time
	failedAt types.Time
}

func (m *Machine) statsFor(e types.Endpoint) *endpointStats {
	s := m.stats[e]
	if s == nil {
		s = &endpointStats{}
		m.stats[e] = s
	}
	return s
}

// recordResult updates the statistics from a result.
func (s *endpointStats) recordResult(now types.Time, res ExecResult) {
	s.RecordLoad(now, res.Load)
	switch {
	case res.Reason == types.ReasonNone && res.Reply.Code == 0:
		s.failedAt = 0
	case res.Reason == types.ReasonBehind || res.Reply.Code.NotRun():
		s.laggedAt = now
	case res.Reason != types.ReasonLate && res.Reason != types.ReasonQueueFull:
		s.failedAt = now
	}
}

// recordRead updates the statistics of an endpoint from a read that it has run.
func (m *Machine) recordRead(r *request, s *endpointStats, res *ExecResult) {
	e, ok := m.catalog.Endpoint(r.endpoint)
	if !ok || r.needsPrimary || r.inTx() {
		return
	}
	s.RecordRead(m.now, locality.Sample{
		Rank: r.route.Rank, Slots: e.Slots,
		QueueTime: res.QueueTime, ServiceTime: res.ServiceTime, Elapsed: m.now.Sub(r.attemptedAt),
	})
}

// faultCost returns the cost of an endpoint's recent faults.
func (s *endpointStats) faultCost(now types.Time) time.Duration {
	var cost time.Duration
	if isRecent(now, s.laggedAt, laggingValidity) {
		cost += laggingCost
	}
	if isRecent(now, s.failedAt, failureValidity) {
		cost += failedCost
	}
	return cost
}

// isRecent reports whether at is set and less than d ago.
func isRecent(now, at types.Time, d time.Duration) bool { return at != 0 && now.Sub(at) < d }

// readCost returns the cost of an endpoint for a read, expressed as waiting time.
func (m *Machine) readCost(e *catalog.Endpoint, primary bool, read *locality.Read) time.Duration {
	s := m.statsFor(e.ID)
	isHome := e.DataCentre == m.settings.DataCentre
	cost := s.Cost(m.now, read, e.Slots, isHome) + s.faultCost(m.now)
	if !isHome {
		cost += m.remotePrice()
	}
	if primary {
		cost += primaryCost
	}
	return cost
}

// selectEndpoint selects the endpoint and the owner for a request. It returns ReasonNone, or
// the reason why there is none.
func (m *Machine) selectEndpoint(r *request) types.Reason {
	primary, known := m.catalog.PrimaryOf(r.route.Service)
	r.atPrimary, r.remoteReason = r.needsPrimary, locality.ReasonHome
	if r.needsPrimary {
		if !known {
			r.endpoint, r.host = "", ""
			return types.ReasonNoMajority
		}
		if !m.mayStartWork(primary) {
			r.endpoint, r.host = "", ""
			return types.ReasonLeaving
		}
		r.endpoint = primary
		return m.selectOwner(r)
	}
	best := m.selectReadEndpoint(r, primary)
	if best == nil {
		r.endpoint, r.host = "", ""
		return types.ReasonNoMajority
	}
	r.endpoint = best.ID
	// At the primary, a read is served with authority whatever staleness it accepts.
	r.atPrimary = r.endpoint == primary
	return m.selectOwner(r)
}

func (m *Machine) selectOwner(r *request) types.Reason {
	if m.isBehindIsolation(r.endpoint) {
		r.host = ""
		return types.ReasonUnreachable
	}
	r.host = m.ownerOf(r.endpoint, r.avoidedHosts)
	if r.host == "" {
		return types.ReasonUnreachable
	}
	return types.ReasonNone
}

// allEndpointsExcluded reports whether no endpoint is left for a read.
func (m *Machine) allEndpointsExcluded(r *request) bool {
	for _, e := range m.catalog.EndpointsOf(r.route.Service) {
		if !e.Leaving && !slices.Contains(r.excludedEndpoints, e.ID) {
			return false
		}
	}
	return true
}

// ownerOf returns the host that owns an endpoint, or "" if there is none. The owner is
// selected by rendezvous hashing among the usable hosts of the endpoint's data centre, or
// among all usable hosts if the data centre has none. Avoided hosts are left out.
func (m *Machine) ownerOf(id types.Endpoint, avoided []types.Host) types.Host {
	if len(avoided) == 0 {
		if h, ok := m.ownerCache[id]; ok {
			return h
		}
	}
	e, ok := m.catalog.Endpoint(id)
	if !ok {
		return ""
	}
	owner, _ := routing.HighestWeightHosts(string(id), m.hostsWithEnoughCPU(m.usableHosts(e.DataCentre, avoided)))
	if len(avoided) == 0 && owner != "" {
		m.ownerCache[id] = owner
	}
	return owner
}

// hostsWithEnoughCPU returns the hosts that have at least half the CPU capacity of the most
// powerful one. An owner runs all statements of its endpoint, and on a weak host they would
// queue for the CPU.
func (m *Machine) hostsWithEnoughCPU(hosts []types.Host) []types.Host {
	maxMillicores := 0
	for _, id := range hosts {
		maxMillicores = max(maxMillicores, m.cpuMillicoresOf(id))
	}
	var eligible []types.Host
	for _, id := range hosts {
		if 2*m.cpuMillicoresOf(id) >= maxMillicores {
			eligible = append(eligible, id)
		}
	}
	return eligible
}

func (m *Machine) cpuMillicoresOf(id types.Host) int {
	h, _ := m.catalog.Host(id)
	return h.CPUMillicores
}

// usableHosts returns the usable hosts of a data centre, or all usable hosts if it has none or
// dc is empty.
func (m *Machine) usableHosts(dc types.DataCentre, avoided []types.Host) []types.Host {
	var local, all []types.Host
	for _, h := range m.catalog.Hosts() {
		if !m.isUsable(h) || !m.keepsWorkspacesApart(&h) || slices.Contains(avoided, h.ID) {
			continue
		}
		all = append(all, h.ID)
		if h.DataCentre == dc {
			local = append(local, h.ID)
		}
	}
	if len(local) > 0 {
		return local
	}
	return all
}

// keepsWorkspacesApart reports whether a host can own endpoints in the present configuration.
func (m *Machine) keepsWorkspacesApart(h *catalog.Host) bool {
	return !m.catalog.HasWorkspaces() || h.WorkspaceRules >= catalog.WorkspaceRules
}

// clearOwnerCache drops what is cached of the order of the hosts.
func (m *Machine) clearOwnerCache() {
	clear(m.ownerCache)
	m.cachedReadOrder = nil
}
