package proxy

import (
	"slices"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/locality"
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
	// way is the observed time of messages to the owner and back.
	way wayTime
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
	case res.Reason != types.ReasonLate && res.Reason != types.ReasonQueueFull && res.Reason != types.ReasonLimited:
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
