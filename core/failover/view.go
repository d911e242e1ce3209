package failover

import (
	"slices"
	"time"

	"baobabfield.example/core/session"
	"baobabfield.example/core/types"
)

// EndpointView is what a machine knows of one endpoint.
type EndpointView struct {
	ID           types.Endpoint
	Role         Role
	Term         types.Term
	LastLogPoint types.LogPoint
	TermStarts   []types.TermStart
	// Reachable says that the endpoint answers in time.
	Reachable bool
	// FreshAt is a time at which the endpoint's log contained everything that
	// the primary had made visible, valid only if FreshKnown.
	FreshAt    types.Time
	FreshKnown bool
}

// Staleness returns a bound on the age of the endpoint's data. The second result is
// false if no bound is known.
func (v EndpointView) Staleness(now types.Time) (time.Duration, bool) {
	return now.Sub(v.FreshAt), v.FreshKnown
}

// View is what a machine knows of a database.
type View struct {
	Term types.Term
	// Primary is empty while the primary of Term is not known.
	Primary types.Endpoint
	// Owner is the host that owns the primary.
	Owner     types.Host
	Suspected bool
	// Endpoints is sorted by ID.
	Endpoints []EndpointView
}

// View returns what the machine knows of the database.
func (m *Machine) View() View {
	v := View{Term: m.term, Primary: m.primary, Owner: m.owners[m.primary], Suspected: m.suspicion.selfSuspects}
	for _, e := range m.allEndpoints {
		v.Endpoints = append(v.Endpoints, m.endpointView(e))
	}
	return v
}

func (m *Machine) endpointView(e types.Endpoint) EndpointView {
	ep := m.endpoints[e]
	return EndpointView{
		ID:           e,
		Role:         ep.status.Role,
		Term:         ep.status.Term,
		LastLogPoint: ep.status.LastLogPoint,
		TermStarts:   slices.Clone(ep.status.TermStarts),
		Reachable:    ep.reachable(m.now, m.cfg.ResponseTimeout),
		FreshAt:      ep.freshAt,
		FreshKnown:   ep.freshKnown,
	}
}

// reportedView is the part of a view whose change is reported.
type reportedView struct {
	term      types.Term
	primary   types.Endpoint
	owner     types.Host
	suspected bool
	endpoints []reportedEndpoint
}

type reportedEndpoint struct {
	id        types.Endpoint
	role      Role
	reachable bool
}

func (m *Machine) reportView() {
	r := reportedView{term: m.term, primary: m.primary, owner: m.owners[m.primary], suspected: m.suspicion.selfSuspects}
	for _, e := range m.allEndpoints {
		ep := m.endpoints[e]
		r.endpoints = append(r.endpoints, reportedEndpoint{
			id: e, role: ep.status.Role, reachable: ep.reachable(m.now, m.cfg.ResponseTimeout),
		})
	}
	if r.equal(m.lastReportedView) {
		return
	}
	m.lastReportedView = r
	m.emit(ViewChanged{View: m.View()})
}

func (r reportedView) equal(o reportedView) bool {
	return r.term == o.term && r.primary == o.primary && r.owner == o.owner &&
		r.suspected == o.suspected && slices.Equal(r.endpoints, o.endpoints)
}

// maxPrimarySamples bounds the number of marks kept.
const maxPrimarySamples = 64

// primarySample is the primary's last entry in an answer to a question sent at a time.
type primarySample struct {
	sentAt       types.Time
	lastLogPoint types.LogPoint
}

// updateFreshness updates the bound on the age of the endpoint's data.
func (m *Machine) updateFreshness(e types.Endpoint, ep *endpointState) {
	if ep.status.Term != m.term || m.primary == "" {
		return
	}
	if e == m.primary {
		m.addPrimarySample(primarySample{sentAt: ep.statusQuerySentAt, lastLogPoint: ep.status.LastLogPoint})
	}
	confirmed, ok := m.termConfirmedAt()
	if !ok {
		return
	}
	for _, sample := range slices.Backward(m.primarySamples) {
		if session.Eligible(sample.lastLogPoint, ep.status.LastLogPoint, ep.status.TermStarts) == session.Covered {
			ep.advanceFreshAt(min(sample.sentAt, confirmed))
			return
		}
	}
}

func (ep *endpointState) advanceFreshAt(at types.Time) {
	if !ep.freshKnown || ep.freshAt < at {
		ep.freshAt = at
		ep.freshKnown = true
	}
}

// addPrimarySample keeps the mark. When there are too many it drops every second one.
func (m *Machine) addPrimarySample(sample primarySample) {
	m.primarySamples = append(m.primarySamples, sample)
	if len(m.primarySamples) <= maxPrimarySamples {
		return
	}
	kept := m.primarySamples[:0]
	for i, old := range m.primarySamples {
		if i%2 == 0 {
			kept = append(kept, old)
		}
	}
	m.primarySamples = kept
}
