package proxy

import (
	"baobabfield.example/core/lead"
	"baobabfield.example/core/types"
)

// An owner that has not heard of a planned change may use the old primary for reads until its lease
// ends. The campaign waits for that, unless the old primary has no connection any more but the
// campaign's own. So this host closes its connections, and asks the other hosts to do the same.

// ReleasePrimary asks the receiver to use an endpoint, which has stepped down from being the primary
// in a term, no more, and to close its connections to it.
type ReleasePrimary struct {
	Service  types.Service
	Endpoint types.Endpoint
	Term     types.Term
}

func (ReleasePrimary) isMessage() {}

// releaseOldPrimary closes the idle connections to an old primary that has stepped down, and queries
// it again once the last one is closed.
func (m *Machine) releaseOldPrimary(o *ownedEndpoint) {
	c := m.serviceFor(o.service).failover.campaign
	if c == nil || c.OldPrimary != o.id || !c.IsOldPrimaryInUse(m.now) || o.pool.ConnectionCount() == 0 {
		return
	}
	o.pool.CloseIdle(m.now)
	if o.pool.ConnectionCount() == 0 {
		m.enqueueCommand(lead.Command{Endpoint: o.id, Op: lead.OpQueryStatus}, purposeCampaign)
	}
}

// requestRelease asks the other hosts to release an old primary that reports more connections than
// those of this host.
func (m *Machine) requestRelease(s *serviceState, st lead.Status) {
	fs := &s.failover
	own := 1
	if o := m.owned[fs.campaign.OldPrimary]; o != nil {
		m.releaseOldPrimary(o)
		own += o.pool.ConnectionCount()
	}
	if fs.releaseRequested || (st.Connections != 0 && st.Connections <= own) {
		return
	}
	fs.releaseRequested = true
	m.log(Info, "old primary is still connected", field("service", s.name), field("endpoint", fs.campaign.OldPrimary), field("connections", st.Connections), field("own", own))
	for _, id := range m.otherHosts("") {
		if h, ok := m.catalog.Host(id); ok && h.AuthorityRules >= lead.PrimaryLeaseRules {
			m.sendToHost(id, ReleasePrimary{Service: s.name, Endpoint: fs.campaign.OldPrimary, Term: st.Term})
		}
	}
}

// handleReleasePrimary gives up an endpoint that has stepped down, unless it is known to have become
// the primary of a later term.
func (m *Machine) handleReleasePrimary(from types.Host, msg ReleasePrimary) {
	o := m.owned[msg.Endpoint]
	if o != nil && o.primaryTerm > msg.Term {
		return
	}
	if o != nil {
		if o.authority != nil {
			m.fenceAuthority(o, "endpoint has stepped down for "+string(from))
		}
		o.pool.CloseIdle(m.now)
		m.retryWaitingExecutions(o)
	}
	if m.serviceFor(msg.Service).failover.campaign == nil {
		m.removeControl(msg.Endpoint)
	}
}
