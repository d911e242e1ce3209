package proxy

import (
	"slices"
	"time"

	"baobabfield.example/core/feed"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

const (
	// digestFanout is the number of random hosts that a change is advertised to.
	digestFanout = 4
	// digestDelay batches changes before they are advertised.
	digestDelay = 60 * time.Millisecond
	// fetchDelay gives the host's own watch time to deliver a revision before the host fetches
	// it from another host.
	fetchDelay = 60 * time.Millisecond
	// fetchRetryInterval is the time after which an unanswered fetch is sent to another host.
	// The first host may be sending the same objects to its whole data centre over a slow
	// link.
	fetchRetryInterval = 700 * time.Millisecond
	// maxSources limits the hosts that are remembered as sources of a revision.
	maxSources = 4
	// exchangeInterval is the time between two anti-entropy exchanges with a random host. They
	// repair what advertisements have missed.
	exchangeInterval = 700 * time.Millisecond
	// remoteExchangeOneIn makes one in this many exchanges go to a host of another data
	// centre, where traffic is expensive.
	remoteExchangeOneIn = 4
)

// gossipState is the state of the gossip between hosts about the revisions of the platform's
// objects. It lets a host without access to the store receive changes from other hosts.
type gossipState struct {
	advertiseAt types.Time
	gaps        map[feed.Kind]*revisionGap
	// exchangedAt is the time of the last anti-entropy exchange.
	exchangedAt types.Time
}

// revisionGap is a revision of a kind that other hosts know and this host lacks.
type revisionGap struct {
	revision types.Revision
	// sources are hosts that know the revision.
	sources []types.Host
	since   types.Time
	// requestedFrom is the host that the revision was last requested from, at requestedAt;
	// empty for none.
	requestedFrom types.Host
	requestedAt   types.Time
	// searchedAt is when other sources were last searched for; zero for never.
	searchedAt types.Time
	// readByPeerAt is when the last notice of another host's read of the kind arrived.
	readByPeerAt types.Time
}

// fetchDue reports whether the revision should be requested now.
func (g *revisionGap) fetchDue(now types.Time) bool {
	if g.requestedFrom == "" {
		return now.Sub(g.since) >= fetchDelay
	}
	return now.Sub(g.requestedAt) >= fetchRetryInterval
}

// addSource records that a host knows a revision.
func (g *revisionGap) addSource(h types.Host, revision types.Revision) {
	if revision > g.revision {
		g.revision, g.sources = revision, nil
	}
	if revision == g.revision && len(g.sources) < maxSources && !slices.Contains(g.sources, h) {
		g.sources = append(g.sources, h)
	}
}

// removeSource removes a disconnected host. If the request in flight was sent to it, the
// revision is due to be requested from another source.
func (g *revisionGap) removeSource(h types.Host) {
	g.sources = removeHost(g.sources, h)
	if g.requestedFrom == h {
		g.requestedFrom = ""
	}
}

func (g *gossipState) hasPendingWork() bool { return g.advertiseAt != 0 || len(g.gaps) > 0 }

// applyChanges applies objects received from the store or from another host.
func (m *Machine) applyChanges(c feed.Changes) {
	m.noteEra(c.AsOf)
	changed := m.mirror.Apply(c)
	if c.Full && c.Kind == KindEndpoints && m.missing.firstListAt == 0 {
		m.missing.firstListAt = m.now
	}
	for _, o := range changed {
		m.applyObject(o)
	}
	if c.Full && c.Kind == KindLeadership {
		m.noteMissingLeadership(c.AsOf)
	}
	if len(changed) > 0 && m.gossip.advertiseAt == 0 {
		m.gossip.advertiseAt = m.now.Add(digestDelay)
	}
	if gap, ok := m.gossip.gaps[c.Kind]; ok && m.mirror.Newest(c.Kind) >= gap.revision {
		m.refresh.currentAt[c.Kind] = max(m.refresh.currentAt[c.Kind], gap.readByPeerAt)
		delete(m.gossip.gaps, c.Kind)
	}
}

// applyObject applies one object to the catalog.
func (m *Machine) applyObject(o feed.Object) {
	if o.Deleted {
		m.applyDeletion(o)
		return
	}
	if o.Kind == KindEndpoints && len(o.Data) > maxEndpointRecordBytes {
		o.Data = nil // as other hosts receive it
	}
	change, err := m.settings.Decoder.Decode(o)
	if err != nil {
		m.log(Warn, "object not usable", field("kind", string(o.Kind)), field("name", o.Name), field("revision", o.Revision.Number()), field("error", err.Error()))
		// The earlier revision of an endpoint or a host is no longer valid either.
		m.applyDeletion(o)
		return
	}
	switch {
	case change.Config != nil:
		if m.catalog.SetConfig(*change.Config) {
			m.log(Info, "configuration in force", field("version", change.Config.Version), field("revision", o.Revision.Number()), field("era", o.Revision.Era()), field("routes", len(change.Config.Routes)))
			m.updatePoolLimits()
			m.configureLimits()
			m.clearOwnerCache()
			m.closeWithdrawnSessions()
		}
	case change.Endpoint != nil:
		m.applyEndpoint(*change.Endpoint, o.Revision)
	case change.Host != nil:
		if change.Host.ID == m.settings.Host {
			m.checkOwnRecord(o.Revision, change.Host)
		}
		h := *change.Host
		h.Revision = o.Revision
		m.catalog.SetHost(h)
		m.clearOwnerCache()
		m.retryDeferred(true)
	case change.Leadership != nil:
		l := *change.Leadership
		l.Revision = o.Revision
		m.applyLeadership(l)
	}
}

// applyDeletion applies the deletion of an endpoint or a host. If the configuration or a
// leadership record is deleted, its last version stays in force.
func (m *Machine) applyDeletion(o feed.Object) {
	switch o.Kind {
	case KindEndpoints:
		m.catalog.NoteMissing(m.now, types.Endpoint(o.Name))
	case KindHosts:
		if types.Host(o.Name) == m.settings.Host {
			m.checkOwnRecord(o.Revision, nil)
			return
		}
		m.catalog.RemoveHost(types.Host(o.Name))
		m.clearOwnerCache()
	}
}

// updatePoolLimits applies a new configuration to the pools. Sessions use a changed route from
// their next transaction, or their next statement outside one.
func (m *Machine) updatePoolLimits() {
	for _, o := range ordered(m.owned) {
		if e, ok := m.catalog.Endpoint(o.id); ok {
			o.pool.Configure(m.poolConfig(e))
		}
	}
}

// tickGossip advertises changes and requests missing ones.
func (m *Machine) tickGossip() {
	g := &m.gossip
	if g.advertiseAt != 0 && !m.now.Before(g.advertiseAt) {
		g.advertiseAt = 0
		m.advertiseRevisions()
	}
	if m.now.Sub(g.exchangedAt) >= exchangeInterval {
		g.exchangedAt = m.now
		m.exchangeDigest()
	}
	m.requestMissingChanges()
}

// requestMissingChanges requests the kinds of which this host lacks a known revision.
func (m *Machine) requestMissingChanges() {
	requests := map[types.Host][]Revision{}
	for _, k := range Kinds {
		gap := m.gossip.gaps[k]
		if gap == nil || !gap.fetchDue(m.now) {
			continue
		}
		source, ok := m.chooseSource(gap)
		if !ok {
			// A later digest will name another source.
			delete(m.gossip.gaps, k)
			continue
		}
		if source == gap.requestedFrom && m.now.Sub(gap.requestedAt) < 2*fetchRetryInterval {
			m.searchSources(gap)
			continue
		}
		gap.requestedFrom, gap.requestedAt = source, m.now
		m.log(Debug, "objects asked of another host", field("peer", source), field("kind", string(k)), field("revision", gap.revision.Number()))
		requests[source] = append(requests[source], Revision{Kind: k, Revision: m.mirror.Newest(k)})
	}
	for host, since := range ordered(requests) {
		m.sendToHost(host, ChangesRequest{Since: since})
	}
}

// searchSources asks a few hosts of this data centre whether they know a revision, if its only
// known source is slow to answer. A second request would add to what that host has to send.
func (m *Machine) searchSources(gap *revisionGap) {
	if gap.searchedAt != 0 && m.now.Sub(gap.searchedAt) < fetchRetryInterval {
		return
	}
	gap.searchedAt = m.now
	for _, h := range random.Sample(&m.rng, m.otherHosts(m.settings.DataCentre), digestFanout) {
		if h != gap.requestedFrom {
			m.sendToHost(h, Digest{Revisions: m.revisions()})
		}
	}
}

// chooseSource picks a random source, if possible not the one of the last request. Sources in
// this data centre are preferred, since traffic between data centres is expensive.
func (m *Machine) chooseSource(gap *revisionGap) (types.Host, bool) {
	var local, remote []types.Host
	for _, h := range gap.sources {
		host, ok := m.catalog.Host(h)
		switch {
		case !ok || (h == gap.requestedFrom && len(gap.sources) > 1):
		case host.DataCentre == m.settings.DataCentre:
			local = append(local, h)
		default:
			remote = append(remote, h)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	picked := random.Sample(&m.rng, local, 1)
	if len(picked) == 0 {
		return "", false
	}
	return picked[0], true
}

// removeGossipSource removes a disconnected host from the sources of missing revisions.
func (m *Machine) removeGossipSource(h types.Host) {
	for _, gap := range m.gossip.gaps {
		gap.removeSource(h)
	}
}

// advertiseRevisions sends a digest to a few random hosts. A host that watches the store also
// sends it to all hosts of its data centre.
func (m *Machine) advertiseRevisions() {
	sentTo := map[types.Host]bool{}
	if m.refresh.watching {
		for _, h := range m.otherHosts(m.settings.DataCentre) {
			sentTo[h] = true
			m.sendToHost(h, Digest{Revisions: m.revisions(), NoReply: true})
		}
	}
	for _, h := range random.Sample(&m.rng, m.otherHosts(""), digestFanout) {
		if !sentTo[h] {
			m.sendToHost(h, Digest{Revisions: m.revisions()})
		}
	}
}

// exchangeDigest sends a digest to a random host, which replies if it knows newer revisions.
func (m *Machine) exchangeDigest() {
	dc := m.settings.DataCentre
	if m.rng.IntN(remoteExchangeOneIn) == 0 {
		dc = ""
	}
	candidates := m.otherHosts(dc)
	if len(candidates) == 0 {
		candidates = m.otherHosts("")
	}
	for _, h := range random.Sample(&m.rng, candidates, 1) {
		m.sendToHost(h, Digest{Revisions: m.revisions()})
	}
}

// otherHosts returns the other usable hosts of a data centre, or of all data centres if dc is
// empty.
func (m *Machine) otherHosts(dc types.DataCentre) []types.Host {
	var out []types.Host
	for _, h := range m.catalog.Hosts() {
		if h.ID != m.settings.Host && m.isUsable(h) && (dc == "" || h.DataCentre == dc) {
			out = append(out, h.ID)
		}
	}
	return out
}

// revisions returns the newest revision of each kind that this host has seen.
func (m *Machine) revisions() []Revision {
	out := make([]Revision, 0, len(Kinds))
	for _, k := range Kinds {
		out = append(out, Revision{Kind: k, Revision: m.mirror.Newest(k)})
	}
	return out
}

// handleGossip handles a message about the store's objects.
func (m *Machine) handleGossip(from types.Host, msg Message) {
	switch msg := msg.(type) {
	case Digest:
		m.handleDigest(from, msg)
	case ChangesRequest:
		m.handleChangesRequest(from, msg)
	case ChangesResponse:
		for _, c := range msg.Kinds {
			m.applyChanges(c)
		}
	}
}

// handleDigest records the revisions that this host lacks and another host knows. It replies
// with a digest if the other host lacks revisions.
func (m *Machine) handleDigest(from types.Host, d Digest) {
	theirs := map[feed.Kind]types.Revision{}
	for _, r := range d.Revisions {
		if !slices.Contains(Kinds, r.Kind) {
			// A host of another version may know more kinds.
			continue
		}
		theirs[r.Kind] = r.Revision
		if r.Revision <= m.mirror.Newest(r.Kind) {
			continue
		}
		gap := m.gossip.gaps[r.Kind]
		if gap == nil {
			gap = &revisionGap{since: m.now}
			m.gossip.gaps[r.Kind] = gap
		}
		gap.addSource(from, r.Revision)
	}
	m.noteReadByPeer(&d)
	if d.NoReply {
		return
	}
	for _, r := range m.revisions() {
		if r.Revision > theirs[r.Kind] {
			m.sendToHost(from, Digest{Revisions: m.revisions(), NoReply: true})
			return
		}
	}
}

// maxEndpointRecordBytes is the size above which the record of an endpoint is not usable. Other writers
// may store large ones, of which a few would make a message that cannot be sent.
const maxEndpointRecordBytes = 64 << 10

// handleChangesRequest sends another host the objects that it lacks, each kind in a message of its own: one
// that is too large to be sent does not hold up the others.
func (m *Machine) handleChangesRequest(from types.Host, req ChangesRequest) {
	for _, r := range req.Since {
		c := m.mirror.Since(r.Kind, r.Revision)
		if len(c.Objects) == 0 && c.AsOf <= r.Revision {
			continue
		}
		for i := range c.Objects {
			if o := &c.Objects[i]; c.Kind == KindEndpoints && len(o.Data) > maxEndpointRecordBytes {
				o.Data = nil
			}
		}
		m.sendToHost(from, ChangesResponse{Kinds: []feed.Changes{c}})
	}
}
