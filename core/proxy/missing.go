package proxy

import (
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// The record of an endpoint expires if the endpoint cannot renew it, for instance while the store is
// down. So a missing record does not show that the endpoint has ended. Until the catalog has removed
// it, the endpoint counts in authorities and campaigns, which query it at its last address. A process
// that starts meanwhile cannot know of it from the store, and asks the other hosts.

const (
	// firstListGrace is the time from the first list of endpoints within which the records that
	// expired before are back. It is that of package catalog.
	firstListGrace = catalog.RemovalGracePeriod
	// missingQueryInterval is the time after which unanswered hosts are queried again, and
	// missingQueryFanout the number of hosts that are queried at once.
	missingQueryInterval = 200 * time.Millisecond
	missingQueryFanout   = 2
)

// MissingEndpointsRequest asks for the endpoints without a record that the receiver knows. The sender
// has started a short time ago.
type MissingEndpointsRequest struct{}

// MissingEndpointsResponse is the reply of a host that knows all endpoints, see
// Machine.knowsAllEndpoints. Other hosts do not reply.
type MissingEndpointsResponse struct{ Endpoints []MissingEndpoint }

// MissingEndpoint is an endpoint without a record.
type MissingEndpoint struct {
	Endpoint catalog.Endpoint
	// MissingFor is the time for which the record has been missing.
	MissingFor time.Duration
}

func (MissingEndpointsRequest) isMessage()  {}
func (MissingEndpointsResponse) isMessage() {}

// missingState describes whether this host's list of endpoints is complete.
type missingState struct {
	// firstListAt is when this process received its first list of endpoints; zero before.
	firstListAt types.Time
	// confirmed is set once the list is complete.
	confirmed bool
	queriedAt types.Time
}

// knowsAllEndpoints reports whether this host knows all endpoints that may run. A process that has
// just started lacks those whose records had expired before.
func (m *Machine) knowsAllEndpoints() bool { return m.missing.confirmed }

// tickMissing asks other hosts for missing endpoints after the start of the process. Without a reply
// the list counts as complete after firstListGrace.
func (m *Machine) tickMissing() {
	s := &m.missing
	if s.confirmed || s.firstListAt == 0 {
		return
	}
	if !m.refresh.currentAt[KindEndpoints].Before(s.firstListAt.Add(firstListGrace)) {
		s.confirmed = true
		m.log(Info, "list of endpoints complete", field("reason", "time since the first list"))
		return
	}
	if s.queriedAt != 0 && m.now.Sub(s.queriedAt) < missingQueryInterval {
		return
	}
	s.queriedAt = m.now
	var others []types.Host
	for _, id := range m.otherHosts("") {
		if h, ok := m.catalog.Host(id); ok && h.AuthorityRules >= lead.MissingEndpointRules {
			others = append(others, id)
		}
	}
	for _, id := range random.Sample(&m.rng, others, missingQueryFanout) {
		m.sendToHost(id, MissingEndpointsRequest{})
	}
}

func (m *Machine) handleMissingEndpointsRequest(from types.Host) {
	if !m.knowsAllEndpoints() {
		return
	}
	var out MissingEndpointsResponse
	for _, e := range m.catalog.MissingEndpoints() {
		out.Endpoints = append(out.Endpoints, MissingEndpoint{Endpoint: e.Endpoint, MissingFor: m.now.Sub(e.Since)})
	}
	m.sendToHost(from, out)
}

func (m *Machine) handleMissingEndpointsResponse(from types.Host, resp MissingEndpointsResponse) {
	s := &m.missing
	if s.confirmed || s.firstListAt == 0 {
		return
	}
	for _, e := range resp.Endpoints {
		m.catalog.AddMissing(e.Endpoint, m.now.Add(-e.MissingFor))
	}
	s.confirmed = true
	m.clearOwnerCache()
	m.log(Info, "list of endpoints complete", field("reason", "reply of another host"), field("peer", from), field("missing", len(resp.Endpoints)))
}

// removeGoneEndpoints removes the endpoints that have ended.
func (m *Machine) removeGoneEndpoints() {
	listedAt := m.refresh.currentAt[KindEndpoints]
	for _, id := range m.catalog.RemoveGoneEndpoints(listedAt) {
		m.log(Info, "endpoint removed", field("endpoint", id))
		m.dropEndpoint(id)
		m.clearOwnerCache()
	}
	for _, e := range m.catalog.RemoveLostCopies(listedAt) {
		m.log(Warn, "endpoint lost", field("endpoint", e.ID), field("service", e.Service), field("reason", "its record has been missing for too long"))
		m.incrementCounter("baobab_copies_lost_total")
		m.serviceFor(e.Service).failover.copyLostAt = m.now
		m.removeControl(e.ID)
	}
}
