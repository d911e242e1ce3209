package proxy

import (
	"time"

	"baobabfield.example/core/types"
)

const (
	// sessionMoveDelay is the time from the isolation of a host until it closes its idle
	// sessions. The platform checks the readiness once a second and routes new connections
	// elsewhere after two failures.
	sessionMoveDelay = 2 * time.Second
	// sessionMovePeriod is the time over which the idle sessions are closed, so that their
	// callers do not reconnect all at once.
	sessionMovePeriod = 400 * time.Millisecond
)

// An isolated host reaches none of the other data centres that hold endpoints: its primaries
// have lost their replicas, and its replicas soon become too stale. So is a host that reaches no
// other host at all, even if endpoints answer it: their owners are elsewhere. Its callers are better
// served elsewhere, so it is not ready, refuses at once what another data centre would have to
// run, and closes its sessions between two operations.

// tickIsolation probes silent data centres and determines whether this host is isolated.
func (m *Machine) tickIsolation() {
	others, unreachable, onlyHostsSilent := 0, 0, 0
	ownHoldsEndpoints := false
	for _, dc := range m.catalog.EndpointDataCentres() {
		if dc == m.settings.DataCentre {
			ownHoldsEndpoints = true
			continue
		}
		others++
		m.probeDataCentre(dc)
		m.checkUnreachable(dc)
		if m.isUnreachable(dc) {
			unreachable++
			if m.reachesEndpoints(dc) {
				onlyHostsSilent++
			}
		}
	}
	if unreachable == others && onlyHostsSilent > 0 && !m.isCutFromOwnDataCentre() {
		// The hosts elsewhere do not run, and those of this data centre own all endpoints.
		unreachable -= onlyHostsSilent
	}
	// With a single other data centre, neither side can tell which of them is cut off.
	decidable := others >= 2 || (others == 1 && !ownHoldsEndpoints)
	m.setIsolated(decidable && unreachable == others)
	if m.mustMoveSessions() {
		m.closeIdleSessions(m.isolatedSince.Add(sessionMoveDelay + sessionMovePeriod))
	}
}

// isCutFromOwnDataCentre reports whether this host reaches no other host of its data centre
// either, and probes them.
func (m *Machine) isCutFromOwnDataCentre() bool {
	m.probeDataCentre(m.settings.DataCentre)
	m.checkUnreachable(m.settings.DataCentre)
	return m.isUnreachable(m.settings.DataCentre)
}

// setIsolated records the beginning or the end of the isolation.
func (m *Machine) setIsolated(isolated bool) {
	switch {
	case isolated && m.isolatedSince == 0:
		m.isolatedSince = m.now
		m.releaseRemoteEndpoints()
		m.log(Warn, "host isolated", field("data_centre", m.settings.DataCentre), field("sessions", len(m.sessions)))
	case !isolated && m.isolatedSince != 0:
		m.log(Warn, "host no longer isolated", field("data_centre", m.settings.DataCentre), field("isolated_for", m.now.Sub(m.isolatedSince)))
		m.isolatedSince = 0
	}
}

// mustMoveSessions reports whether sessions are closed between two operations.
func (m *Machine) mustMoveSessions() bool {
	return m.isolatedSince != 0 && m.now.Sub(m.isolatedSince) >= sessionMoveDelay
}

// releaseRemoteEndpoints gives up the endpoints of other data centres, which this host has
// come to own while it noticed its isolation. Their unanswered commands must not count against
// them once they can be reached again.
func (m *Machine) releaseRemoteEndpoints() {
	for id := range ordered(m.owned) {
		if m.isBehindIsolation(id) {
			m.releaseEndpoint(id, types.ReasonUnreachable)
		}
	}
	for id := range ordered(m.controlConns) {
		if m.isBehindIsolation(id) {
			m.removeControl(id)
		}
	}
}

// isBehindIsolation reports whether this host is isolated from an endpoint.
func (m *Machine) isBehindIsolation(id types.Endpoint) bool {
	e, ok := m.catalog.Endpoint(id)
	return ok && m.isolatedSince != 0 && e.DataCentre != m.settings.DataCentre
}
