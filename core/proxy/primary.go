package proxy

import (
	"time"

	"baobabfield.example/core/lead"
	"baobabfield.example/core/pool"
	"baobabfield.example/core/types"
)

const (
	// maxAuthorityWait is how long a statement waits for the authority to be confirmed, which
	// takes a few round trips. After a refusal the frontend decides how to continue.
	maxAuthorityWait = 250 * time.Millisecond
	// fencedRecheckInterval is the time after which the authority over a fenced primary is
	// requested anew.
	fencedRecheckInterval = 300 * time.Millisecond
	// claimFreeReadInterval is the time between two reads of the leadership records while they
	// show a campaign, or the store does not respond.
	claimFreeReadInterval = time.Second
	// trustQueryInterval is the least time between two queries of a primary's status for new
	// connections of workspaces. At the connection limit these are opened all the time.
	trustQueryInterval = 50 * time.Millisecond
)

// mayUsePrimary reports whether the authority permits an execution at the primary. Otherwise
// the execution has been kept waiting or refused.
func (m *Machine) mayUsePrimary(o *ownedEndpoint, ex *execution) bool {
	a := m.authorityFor(o)
	a.RecordUse(m.now)
	switch {
	case a.Fenced(), m.isBeingReplaced(o):
		m.finishExecution(o, ex, ExecResult{Reason: types.ReasonNotPrimary})
		return false
	case !a.Valid(m.now) && m.isCutFromMajority(o), !a.Valid(m.now) && !o.newWorkHeld && m.now.Sub(ex.arrivedAt) >= maxAuthorityWait:
		m.finishExecution(o, ex, ExecResult{Reason: types.ReasonNoAuthority})
		return false
	case o.newWorkHeld && !ex.continuesTx(), !a.Valid(m.now):
		o.waitingExecutions = append(o.waitingExecutions, ex)
		m.sendAuthorityQueries(o)
		return false
	}
	m.sendAuthorityQueries(o)
	m.trustConfirmedConns(o)
	return true
}

// isCutFromMajority reports whether this host is isolated from so many of a primary's replicas
// that the others cannot confirm it.
func (m *Machine) isCutFromMajority(o *ownedEndpoint) bool {
	if m.isolatedSince == 0 {
		return false
	}
	replicas := m.replicasOf(o)
	reachable := 0
	for _, id := range replicas {
		if !m.isBehindIsolation(id) {
			reachable++
		}
	}
	return reachable < (len(replicas)+1)/2
}

// trustConfirmedConns lets the pool of a primary use the connections that its authority
// covers.
func (m *Machine) trustConfirmedConns(o *ownedEndpoint) {
	if o.authority != nil && o.authority.Valid(m.now) {
		o.pool.TrustConnections(m.now, o.authority.ConfirmedSince())
	}
}

// confirmNewConn requests confirmations that cover a new connection to a primary. While the
// pool has a trusted connection for the same workspace this is not urgent: requests use that one
// until the periodic confirmations cover the new one. While it has one for another workspace, a
// status of the primary is enough, see pool.TrustConnections.
func (m *Machine) confirmNewConn(o *ownedEndpoint, id pool.ConnID) {
	switch {
	case !o.pool.HasTrustedConnection():
		m.reconfirmAuthority(o)
	case o.authority != nil && !o.pool.HasTrustedAlternative(id):
		o.trustQueryDue = true
		m.sendTrustQuery(o)
	}
}

// sendTrustQuery queries the status of a primary if connections of further workspaces are to be
// trusted.
func (m *Machine) sendTrustQuery(o *ownedEndpoint) {
	if !o.trustQueryDue || m.now.Sub(o.trustQueriedAt) < trustQueryInterval {
		return
	}
	o.trustQueryDue, o.trustQueriedAt = false, m.now
	m.enqueueCommand(lead.Command{Endpoint: o.id, Op: lead.OpQueryStatus}, purposeAuthority)
}

// reconfirmAuthority requests confirmations that cover the connections open now.
func (m *Machine) reconfirmAuthority(o *ownedEndpoint) {
	if o.authority != nil {
		o.authority.RequireConfirmedAfter(m.now)
		m.sendAuthorityQueries(o)
	}
}

// authorityFor returns the authority over an endpoint that is used as the primary. A fenced
// authority is replaced by a new one after fencedRecheckInterval.
func (m *Machine) authorityFor(o *ownedEndpoint) *lead.Authority {
	var fencedBy types.Endpoint
	if o.authority != nil && o.authority.Fenced() && m.now.Sub(o.fencedAt) >= fencedRecheckInterval {
		fencedBy = o.authority.FencedBy()
		o.authority = nil
	}
	if o.authority == nil {
		o.authority = lead.NewAuthority(o.id, m.replicasOf(o), m.knowsAllEndpoints())
		o.authority.RequireReplica(m.now, fencedBy)
		o.authority.RecordClaimFree(m.serviceFor(o.service).claimFreeAt)
	}
	return o.authority
}

// replicasOf returns the other endpoints of an endpoint's service, also those whose records may only
// have expired.
func (m *Machine) replicasOf(o *ownedEndpoint) []types.Endpoint {
	var out []types.Endpoint
	for _, e := range m.catalog.EndpointsOf(o.service) {
		if e.ID != o.id {
			out = append(out, e.ID)
		}
	}
	return out
}

// sendAuthorityQueries sends the status queries that the authority needs, and reads the
// leadership records if it has connections that the last read does not cover.
func (m *Machine) sendAuthorityQueries(o *ownedEndpoint) {
	for _, e := range o.authority.DueQueries(m.now) {
		m.enqueueCommand(lead.Command{Endpoint: e, Op: lead.OpQueryStatus}, purposeAuthority)
	}
	since, uncovered := o.authority.UncoveredSince(m.now)
	if !uncovered || m.refresh.isReading(KindLeadership, since) {
		return
	}
	readAt := m.refresh.readAt[KindLeadership]
	interval := claimFreeReadInterval
	switch isWaiting := !o.authority.Valid(m.now); {
	case !readAt.Before(since):
	case isWaiting && !m.knowsAllEndpoints():
		// The confirmations of all known replicas are not enough. A read before theirs does not
		// cover them.
		interval = 0
	case isWaiting || !m.knowsAllEndpoints():
		interval = urgentRefreshInterval
	}
	if m.now.Sub(readAt) >= interval {
		m.requestRead(KindLeadership)
	}
}

// noteClaimFree records which services had no campaign in progress when this host requested a
// read of the leadership records.
func (m *Machine) noteClaimFree(requestedAt types.Time) {
	for _, name := range m.catalog.Services() {
		if m.catalog.Leadership(name).CampaignOpen {
			continue
		}
		s := m.serviceFor(name)
		s.claimFreeAt = max(s.claimFreeAt, requestedAt)
		for _, o := range ordered(m.owned) {
			if o.service == name && o.authority != nil {
				o.authority.RecordClaimFree(requestedAt)
				m.trustConfirmedConns(o)
				m.retryWaitingExecutions(o)
			}
		}
	}
}

// mayAcknowledge reports whether the endpoint was certainly the primary when it committed.
func (m *Machine) mayAcknowledge(o *ownedEndpoint) bool {
	return o.authority != nil && o.authority.Valid(m.now) && !m.isBeingReplaced(o)
}

// isBeingReplaced reports whether the platform may have been requested to promote another
// endpoint of the service. Fenced replicas keep the endpoint from being confirmed, unless they
// have restarted.
func (m *Machine) isBeingReplaced(o *ownedEndpoint) bool {
	candidate := m.catalog.Leadership(o.service).Candidate
	return candidate != "" && candidate != o.id
}

func (m *Machine) fenceAuthority(o *ownedEndpoint, reason string) {
	if o.fencedAt == 0 || m.now.Sub(o.fencedAt) >= fencedRecheckInterval {
		m.log(Warn, "authority lost", field("endpoint", o.id), field("service", o.service), field("reason", reason))
		o.fencedAt = m.now
	}
	if o.fencedSince == 0 {
		o.fencedSince = m.now
	}
	o.authority.Fence()
}
