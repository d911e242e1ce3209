package proxy

import (
	"cmp"
	"slices"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/limits"
	"baobabfield.example/core/locality"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// ExplainRequest describes a request that is not sent.
type ExplainRequest struct {
	Database  types.Database
	Workspace types.Workspace
	// Writes is set for a statement that writes, or a transaction that may.
	Writes bool
}

// Explanation says where a host would send a request now, and why.
type Explanation struct {
	// Refused says why the request would be refused at once or wait; empty if it would be sent.
	Refused string
	Route   catalog.Route
	// NeedsPrimary is set if no replica may serve the request.
	NeedsPrimary bool
	Candidates   []ExplainedEndpoint
	// Endpoint and Owner are those that the request would be sent to. Reason says why a read leaves
	// the data centre, and Share is the part of the route's reads that leave it, from 0 to 1.
	Endpoint types.Endpoint
	Owner    types.Host
	Reason   string
	Share    float64
	// HasLimit is set if the workspace has a limit. Limit is its state on this host, which counts
	// the requests for the endpoints that it owns.
	HasLimit bool
	Limit    limits.Decision
}

// ExplainedEndpoint is an endpoint of the request's service.
type ExplainedEndpoint struct {
	ID         types.Endpoint
	DataCentre types.DataCentre
	Owner      types.Host
	IsPrimary  bool
	// RuledOut says why the endpoint may not serve the request; empty if it may.
	RuledOut string
	// Cost, FaultCost and Preference are those of locality.Candidate, for reads.
	Cost, FaultCost, Preference time.Duration
	// InFlight is the number of this host's requests at the endpoint, Load the number that its owner
	// reported last.
	InFlight, Load int
	// ServiceTime is the mean of recent reads; 0 if there are none.
	ServiceTime time.Duration
}

// Explain returns where a request would go now. It sends nothing and changes no decision.
func (m *Machine) Explain(now types.Time, req ExplainRequest) Explanation {
	m.now = max(now, m.now)
	out := Explanation{}
	route, ok := m.catalog.Route(req.Database)
	if !ok {
		_, out.Refused = m.denial(statement.CodeNoDatabase, "the configuration has no such database")
		return out
	}
	out.Route = route
	out.NeedsPrimary = req.Writes || route.Consistency == catalog.ConsistencyPrimary
	out.Limit, out.HasLimit = m.limits.machine.Describe(m.now, req.Workspace)
	if reason := m.notReadyReason(); reason != "" {
		out.Refused = reason
	}
	if m.catalog.HasWorkspaces() && !route.Public && !m.isWorkspace(req.Workspace) {
		out.Refused = "the configuration has no such workspace"
	}
	primary, primaryKnown := m.catalog.PrimaryOf(route.Service)
	m.explainCandidates(&out, req, primary)
	if out.NeedsPrimary {
		switch {
		case !primaryKnown:
			out.Refused = "no primary is known"
		case !m.mayStartWork(primary):
			out.Refused = "the primary leaves, the request waits for its successor"
		default:
			out.Endpoint = primary
		}
	}
	if out.Endpoint == "" {
		if out.Refused == "" {
			out.Refused = "no endpoint may serve the request"
		}
		return out
	}
	out.Owner = m.ownerOf(out.Endpoint, nil)
	switch {
	case m.isBehindIsolation(out.Endpoint):
		out.Refused = "this host reaches no other data centre"
	case out.Owner == "":
		out.Refused = "no usable host can own the endpoint"
	}
	return out
}

func (m *Machine) isWorkspace(w types.Workspace) bool {
	return slices.ContainsFunc(m.catalog.Workspaces(), func(other catalog.Workspace) bool { return other.Name == w })
}

// explainCandidates describes the endpoints of the service, and selects one for a read. It works on
// a copy of the state of the route's reads.
func (m *Machine) explainCandidates(out *Explanation, req ExplainRequest, primary types.Endpoint) {
	endpoints := m.catalog.EndpointsOf(out.Route.Service)
	state := remoteReads{}
	if c := m.remoteReadsByRoute[req.Database]; c != nil {
		state = *c
	}
	r := &request{route: out.Route, due: m.now.Add(out.Route.TargetLatency)}
	read := m.describeRead(r, endpoints, &state)
	var choice locality.Choice
	for n := range endpoints {
		i := m.indexOfCandidate(n, len(endpoints))
		e := &endpoints[i]
		s := m.statsFor(e.ID)
		candidate := locality.Candidate{
			Index: i, Cost: m.readCost(e, e.ID == primary, &read), FaultCost: s.faultCost(m.now), Preference: m.affinityCost(e, req.Workspace),
		}
		explained := ExplainedEndpoint{
			ID: e.ID, DataCentre: e.DataCentre, Owner: m.ownerOf(e.ID, nil), IsPrimary: e.ID == primary,
			Cost: candidate.Cost, FaultCost: candidate.FaultCost, Preference: candidate.Preference,
			InFlight: s.InFlight, Load: s.Load(m.now, e.Slots, read.TypicalService), ServiceTime: s.ServiceTime(m.now),
		}
		switch {
		case out.NeedsPrimary && e.ID != primary:
			explained.RuledOut = "not the primary"
		case e.Leaving && !out.NeedsPrimary:
			explained.RuledOut = "leaving"
		case !out.NeedsPrimary:
			choice.Add(candidate, e.DataCentre == m.settings.DataCentre)
		}
		out.Candidates = append(out.Candidates, explained)
	}
	slices.SortFunc(out.Candidates, func(a, b ExplainedEndpoint) int { return cmp.Compare(a.ID, b.ID) })
	out.Share = state.share.Value()
	if out.NeedsPrimary {
		return
	}
	if i, reason, ok := choice.Decide(m.now, &state.share, m.remotePrice(), read.TypicalService); ok {
		out.Endpoint, out.Reason = endpoints[i].ID, reason.String()
	}
}
