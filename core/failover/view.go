package failover

import (
	"slices"
	"time"

	"baobabfield.example/core/session"
	"baobabfield.example/core/types"
)

// EndpointView is the state of one endpoint as known to a machine.
type EndpointView struct {
	ID           types.Endpoint
	Role         Role
	Term         types.Term
	LastLogPoint types.LogPoint
	TermStarts   []types.TermStart
	// Reachable is true if the endpoint responds in time.
	Reachable bool
	// FreshAt is a time at which the endpoint's log contained all entries that
	// were visible on the primary. It is valid only if FreshKnown is true.
	FreshAt    types.Time
	FreshKnown bool
}

// Staleness returns an upper bound of the staleness of the endpoint's data. The
// second result is false if no bound is known.
func (v EndpointView) Staleness(now types.Time) (time.Duration, bool) {
	return now.Sub(v.FreshAt), v.FreshKnown
}

// View is the state of a database as known to a machine.
type View struct {
	Term types.Term
	// Primary is empty while the primary of Term is unknown.
	Primary types.Endpoint
	// Owner is the host that owns the primary.
	Owner     types.Host
	Suspected bool
	// Endpoints is sorted by ID.
	Endpoints []EndpointView
}

// View returns the state of the database as known to the machine.
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

// reportedView holds the parts of a View whose changes cause ViewChanged.
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

// maxPrimarySamples limits the number of samples that a machine keeps.
const maxPrimarySamples = 64

// primarySample is the primary's last log point in the response to a query that was
// sent at sentAt.
type primarySample struct {
	sentAt       types.Time
	lastLogPoint types.LogPoint
}

// updateFreshness advances the time at which the endpoint's data is known to have
// been up to date. The latest primary sample that the endpoint's log contains gives
// that time, unless the term was confirmed only earlier.
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
		if session.CheckCoverage(sample.lastLogPoint, ep.status.LastLogPoint, ep.status.TermStarts) == session.Covered {
			ep.advanceFreshAt(min(sample.sentAt, confirmed))
			return
		}
	}
}

func (ep *endpointState) advanceFreshAt(freshAt types.Time) {
	if !ep.freshKnown || ep.freshAt < freshAt {
		ep.freshAt = freshAt
		ep.freshKnown = true
	}
}

// addPrimarySample stores the sample. At more than maxPrimarySamples it drops every
// second one, which keeps the whole time span at half the resolution.
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
