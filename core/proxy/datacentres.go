package proxy

import (
	"cmp"
	"slices"
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/lead"
	"baobabfield.example/core/locality"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

const (
	// silenceBeforeProbe is the time without a message from a data centre after which some of
	// its hosts are pinged. It is pingDelay while a reply of one of its hosts is pending.
	silenceBeforeProbe = 500 * time.Millisecond
	// probedHosts is the number of hosts that are pinged at a time.
	probedHosts = 2
	// earlyQueryDelay is the time without a reply to the first ping, many times a round trip,
	// after which the primaries of a data centre are queried as well.
	earlyQueryDelay = 100 * time.Millisecond
	// endpointQueryInterval is the time between two queries of an endpoint of a silent data
	// centre.
	endpointQueryInterval = time.Second
	// neverHeardTimeout replaces pingTimeout for a data centre that this process has never
	// received a message from, since all hosts may be starting.
	neverHeardTimeout = 2 * time.Second
)

// dataCentreState is what a host knows of its path to another data centre.
type dataCentreState struct {
	// heardAt is the time of the last message from the data centre. probedAt is the time of
	// the first ping since then and lastProbeAt that of the last one; zero without a ping.
	heardAt, probedAt, lastProbeAt types.Time
	// unreachable is set if pings have remained without any message.
	unreachable bool
	// primariesQueried is set once its primaries have been queried because of its silence.
	// endpointQueriedAt is the time of the last query of any endpoint because of it, and
	// endpointAnsweredAt that of the last answer of an endpoint; zero for never.
	primariesQueried                      bool
	endpointQueriedAt, endpointAnsweredAt types.Time
}

// dataCentreFor returns the state of a data centre and creates it on first use.
func (m *Machine) dataCentreFor(dc types.DataCentre) *dataCentreState {
	s := m.dataCentres[dc]
	if s == nil {
		s = &dataCentreState{}
		m.dataCentres[dc] = s
	}
	return s
}

// isUnreachable reports whether a data centre is unreachable.
func (m *Machine) isUnreachable(dc types.DataCentre) bool {
	s := m.dataCentres[dc]
	return s != nil && s.unreachable
}

// restartProbes ends the probes in progress and counts silence from now on.
func (m *Machine) restartProbes() {
	for _, s := range m.dataCentres {
		if s.heardAt != 0 {
			s.heardAt = m.now
		}
		s.probedAt, s.lastProbeAt, s.endpointQueriedAt, s.primariesQueried = 0, 0, 0, false
	}
}

// recordHeard records a message from a host.
func (m *Machine) recordHeard(id types.Host) {
	host, ok := m.catalog.Host(id)
	if !ok {
		return
	}
	s := m.dataCentreFor(host.DataCentre)
	wasUnreachable := s.unreachable
	*s = dataCentreState{heardAt: m.now}
	if wasUnreachable {
		m.log(Info, "data centre reachable again", field("data_centre", host.DataCentre), field("peer", id))
		m.clearOwnerCache()
		m.pingPreferredOwners(host.DataCentre)
	}
}

// checkUnreachable determines whether pings to a data centre have remained without any
// message. Its hosts are then not used, and the replies pending from them are given up.
func (m *Machine) checkUnreachable(dc types.DataCentre) {
	s := m.dataCentreFor(dc)
	if s.probedAt == 0 {
		return
	}
	if m.now.Sub(s.probedAt) >= earlyQueryDelay && !isRecent(m.now, s.endpointQueriedAt, endpointQueryInterval) {
		s.endpointQueriedAt = m.now
		m.queryAnyEndpointIn(dc)
	}
	if s.unreachable {
		return
	}
	if !s.primariesQueried && m.now.Sub(s.probedAt) >= earlyQueryDelay {
		s.primariesQueried = true
		m.queryPrimariesIn(dc)
	}
	limit := pingTimeout
	if s.heardAt == 0 {
		limit = neverHeardTimeout
	}
	if m.now.Sub(s.probedAt) <= limit {
		return
	}
	s.unreachable = true
	m.log(Warn, "data centre unreachable", field("data_centre", dc), field("silent", m.now.Sub(s.heardAt)))
	m.clearOwnerCache()
	for id, p := range ordered(m.peers) {
		if h, ok := m.catalog.Host(id); ok && h.DataCentre == dc && p.pendingReplies > 0 {
			m.emit(PeerClose{Host: id})
			m.markPeerDown(id)
		}
	}
}

// queryAnyEndpointIn queries an endpoint of a data centre whose hosts are silent. If it
// answers, the hosts do not run, and the path to the data centre works.
func (m *Machine) queryAnyEndpointIn(dc types.DataCentre) {
	var endpoints []types.Endpoint
	m.catalog.VisitEndpoints(func(e *catalog.Endpoint) {
		if e.DataCentre == dc {
			endpoints = append(endpoints, e.ID)
		}
	})
	for _, id := range random.Sample(&m.rng, endpoints, 1) {
		m.enqueueCommand(lead.Command{Endpoint: id, Op: lead.OpQueryStatus}, 0)
	}
}

// reachesEndpoints reports whether an endpoint of a data centre has answered recently.
func (m *Machine) reachesEndpoints(dc types.DataCentre) bool {
	return isRecent(m.now, m.dataCentreFor(dc).endpointAnsweredAt, 2*endpointQueryInterval)
}

// probeDataCentre pings some hosts of a data centre that has been silent.
func (m *Machine) probeDataCentre(dc types.DataCentre) {
	s := m.dataCentreFor(dc)
	if isRecent(m.now, s.heardAt, pingDelay) || isRecent(m.now, s.lastProbeAt, pingTimeout) {
		return
	}
	if isRecent(m.now, s.heardAt, silenceBeforeProbe) && !m.awaitsReplyOf(dc) {
		return
	}
	isRepeated := s.probedAt != 0
	targets := m.probeTargets(dc, isRepeated)
	if len(targets) == 0 {
		return
	}
	s.lastProbeAt = m.now
	if !isRepeated {
		s.probedAt = m.now
	}
	for _, h := range targets {
		m.sendToHost(h, Ping{})
	}
}

// stayingHosts returns the hosts of a data centre that are not leaving, whether or not they
// respond.
func (m *Machine) stayingHosts(dc types.DataCentre) []types.Host {
	var out []types.Host
	for _, h := range m.catalog.Hosts() {
		if h.DataCentre == dc && !h.Leaving {
			out = append(out, h.ID)
		}
	}
	return out
}

// probeTargets returns the hosts of a data centre to ping: those that have sent something last,
// to which a link exists, or any if these have not replied.
func (m *Machine) probeTargets(dc types.DataCentre, isRepeated bool) []types.Host {
	all := m.stayingHosts(dc)
	var known []types.Host
	for _, h := range all {
		if p := m.peers[h]; p != nil && !p.down && p.lastReceivedAt != 0 {
			known = append(known, h)
		}
	}
	if isRepeated || len(known) == 0 {
		return random.Sample(&m.rng, all, probedHosts)
	}
	slices.SortFunc(known, func(a, b types.Host) int {
		return cmp.Or(cmp.Compare(m.peers[b].lastReceivedAt, m.peers[a].lastReceivedAt), cmp.Compare(a, b))
	})
	return known[:min(len(known), probedHosts)]
}

// awaitsReplyOf reports whether a reply of a host of a data centre is pending.
func (m *Machine) awaitsReplyOf(dc types.DataCentre) bool {
	for id, p := range m.peers {
		if h, ok := m.catalog.Host(id); p.pendingReplies > 0 && ok && h.DataCentre == dc {
			return true
		}
	}
	return false
}

// pingPreferredOwners pings the hosts that own the endpoints of a data centre while all hosts
// are up. Until they are known to be up again this host would use other owners, which have no
// connections.
func (m *Machine) pingPreferredOwners(dc types.DataCentre) {
	var staying []locality.Host
	for _, h := range m.catalog.Hosts() {
		if !h.Leaving && m.keepsWorkspacesApart(&h) {
			staying = append(staying, locality.Host{ID: h.ID, DataCentre: h.DataCentre, Power: h.CPUMillicores})
		}
	}
	pinged := map[types.Host]bool{}
	for _, owner := range ordered(m.ownersIn(dc, staying)) {
		if p := m.peers[owner]; p != nil && p.down && !pinged[owner] {
			pinged[owner] = true
			m.sendToHost(owner, Ping{})
		}
	}
}
