package proxy

import (
	"cmp"
	"slices"
	"time"

	"baobabfield.example/core/feed"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

const (
	// defaultConfigBound and defaultLeavingBound apply if the settings give none.
	defaultConfigBound  = 3 * time.Second
	defaultLeavingBound = 7 * time.Second
	// configAgePercent and endpointAgePercent are the ages at which the configuration and the
	// endpoints are read again, as parts of their bounds. The rest is for the staggering of
	// the hosts, the read itself, and the spreading of a change.
	configAgePercent   = 27
	endpointAgePercent = 28
	// leavingWorkPercent is the part of LeavingBound for which a primary that leaves still gets new
	// work, counted from when this host learned of it.
	leavingWorkPercent = 60
	// leadershipAge and hostsAge are those of the other kinds. A change of primary also shows
	// in the endpoints' own records, and hosts that start or stop are also noticed by their
	// connections.
	leadershipAge = 4 * time.Second
	hostsAge      = 15 * time.Second
	// firstStagger is the time that the second host waits for the first one, which may be a
	// tick late. nextStagger is added for each further host.
	firstStagger = 300 * time.Millisecond
	nextStagger  = 150 * time.Millisecond
	// maxStagger keeps the age of a configuration below 3 s even if all links to other hosts
	// drop messages without an error.
	maxStagger = 1200 * time.Millisecond
	// refreshRetryInterval is the time after which an unanswered read is repeated.
	refreshRetryInterval = time.Second
	// urgentRefreshInterval is the minimum time between reads that a decision waits for.
	urgentRefreshInterval = 100 * time.Millisecond
	// failedReadPenalty is the time after a failed read during which a host reads last.
	failedReadPenalty = 5 * time.Second
	// initialListDelay is the time that a new process gives its first lists.
	initialListDelay = 400 * time.Millisecond
	// configWatchDelay is the time after which a new process without a configuration watches the
	// store whatever its place. Until then the hosts that watch send it the configuration: when a
	// whole fleet starts, each watching host costs eight calls.
	configWatchDelay = 2 * time.Second
	// totalWatchers is the number of hosts that watch the store and notify the others of their
	// data centres, at least minWatchers in each one. Each watch causes load at the store, but
	// a single host that fails or is cut off must not delay changes for its data centre.
	totalWatchers = 9
	minWatchers   = 2
)

// refreshInterval returns the age at which a kind of object is read again from the store. A
// broken watch can deliver nothing for many seconds before its connection ends, so the absence
// of changes does not prove that there are none. The first host of a data centre in hash order
// reads and notifies the others. Each of the others reads by itself if it is not notified.
func (m *Machine) refreshInterval(k feed.Kind) time.Duration {
	switch k {
	case KindConfig:
		return m.configBound() * configAgePercent / 100
	case KindEndpoints:
		return cmp.Or(m.settings.LeavingBound, defaultLeavingBound) * endpointAgePercent / 100
	case KindLeadership:
		return leadershipAge
	}
	return hostsAge
}

// ReadStore reads the current objects of a kind from the store.
type ReadStore struct {
	Kind feed.Kind
	// RequestedAt identifies the read of the kind.
	RequestedAt types.Time
}

// WatchStore starts or ends the watches of the store.
type WatchStore struct{ On bool }

// StoreReadResult carries all objects of a kind at some time after RequestedAt, which is that of
// the ReadStore. Failed is set if the store did not respond.
type StoreReadResult struct {
	Changes     feed.Changes
	RequestedAt types.Time
	Failed      bool
}

func (ReadStore) isEffect()      {}
func (WatchStore) isEffect()     {}
func (StoreReadResult) isEvent() {}

// refreshState describes how current the host's copy of the store is.
type refreshState struct {
	// currentAt holds, by kind, the time from which the age of the known objects counts: when
	// this host requested its last successful read, or when another host's notice of one
	// arrived. readAt holds the time at which this host last requested a read, or at which
	// another host's notice of a failed one arrived.
	currentAt, readAt map[feed.Kind]types.Time
	// ownReadAt holds, by kind, when this host requested its last successful read.
	// pendingReads holds the times at which it requested the reads without a result.
	ownReadAt    map[feed.Kind]types.Time
	pendingReads map[feed.Kind][]types.Time
	// readFailedAt is the time of the host's last failed read; zero after a successful one.
	readFailedAt types.Time
	startedAt    types.Time
	watching     bool
}

func newRefreshState() refreshState {
	return refreshState{
		currentAt: map[feed.Kind]types.Time{}, readAt: map[feed.Kind]types.Time{},
		ownReadAt: map[feed.Kind]types.Time{}, pendingReads: map[feed.Kind][]types.Time{},
	}
}

// isReading reports whether a read that was requested at a time or later has no result yet.
func (r *refreshState) isReading(k feed.Kind, since types.Time) bool {
	pending := r.pendingReads[k]
	return len(pending) > 0 && !pending[len(pending)-1].Before(since)
}

// endRead removes a pending read.
func (r *refreshState) endRead(k feed.Kind, requestedAt types.Time) {
	r.pendingReads[k] = slices.DeleteFunc(r.pendingReads[k], func(at types.Time) bool { return at == requestedAt })
}

// requestRead reads a kind from the store.
func (m *Machine) requestRead(k feed.Kind) {
	m.refresh.readAt[k] = m.now
	m.refresh.pendingReads[k] = append(m.refresh.pendingReads[k], m.now)
	m.emit(ReadStore{Kind: k, RequestedAt: m.now})
}

// readOrder is a host's place among the hosts that read and watch the store.
type readOrder struct {
	// rank is the number of usable hosts of the data centre that precede this host. watchers
	// is the number of hosts of the data centre that watch.
	rank, watchers int
}

// readOrder returns this host's place. It is computed again after a change of the hosts.
func (m *Machine) readOrder() readOrder {
	if m.cachedReadOrder != nil {
		return *m.cachedReadOrder
	}
	out := readOrder{}
	ownHash := random.Hash(0, string(m.settings.Host))
	dataCentres := map[types.DataCentre]bool{m.settings.DataCentre: true}
	for _, h := range m.catalog.Hosts() {
		dataCentres[h.DataCentre] = true
		if h.DataCentre == m.settings.DataCentre && h.ID != m.settings.Host && m.isUsable(h) && random.Hash(0, string(h.ID)) > ownHash {
			out.rank++
		}
	}
	out.watchers = max(minWatchers, (totalWatchers+len(dataCentres)-1)/len(dataCentres))
	m.cachedReadOrder = &out
	return out
}

// tickRefresh reads the kinds that are out of date, and starts or ends the watches.
func (m *Machine) tickRefresh() {
	r := &m.refresh
	if r.startedAt == 0 {
		r.startedAt = m.now
	}
	if m.now.Sub(r.startedAt) < initialListDelay {
		return
	}
	order := m.readOrder()
	noConfig := m.catalog.ConfigVersion() == 0
	lacksConfig := noConfig && m.now.Sub(r.startedAt) >= configWatchDelay
	if on := (lacksConfig || order.rank < order.watchers) && !m.stop.begun; on != r.watching {
		r.watching = on
		m.log(Info, "store watch changed", field("on", on), field("rank", order.rank))
		m.emit(WatchStore{On: on})
	}
	if noConfig {
		return
	}
	stagger := m.stagger(order.rank)
	for _, k := range Kinds {
		due := m.now.Sub(r.currentAt[k]) >= m.refreshInterval(k)+stagger || (k == KindEndpoints && m.isListNeeded(stagger))
		if due && len(r.pendingReads[k]) == 0 && m.now.Sub(r.readAt[k]) >= refreshRetryInterval+stagger {
			m.requestRead(k)
		}
	}
}

// isListNeeded reports whether a list of the endpoints decides whether missing ones are removed, or
// whether this process knows all.
func (m *Machine) isListNeeded(stagger time.Duration) bool {
	at, needed := m.catalog.ListNeededAt()
	if first := m.missing.firstListAt.Add(firstListGrace); !m.missing.confirmed && m.missing.firstListAt != 0 && (!needed || first.Before(at)) {
		at, needed = first, true
	}
	return needed && m.refresh.currentAt[KindEndpoints].Before(at) && !m.now.Before(at.Add(stagger))
}

// stagger returns how long a host of a given rank waits for the hosts that precede it.
func (m *Machine) stagger(rank int) time.Duration {
	switch {
	case isRecent(m.now, m.refresh.readFailedAt, failedReadPenalty):
		return maxStagger
	case rank == 0:
		return 0
	}
	return min(firstStagger+time.Duration(rank-1)*nextStagger, maxStagger)
}

// handleStoreRead applies the result of a read and notifies the other hosts of the data
// centre. They are notified of failures too, so that they do not all query a store that is
// unavailable.
func (m *Machine) handleStoreRead(ev StoreReadResult) {
	k := ev.Changes.Kind
	requestedAt := ev.RequestedAt
	m.refresh.endRead(k, requestedAt)
	notice := Digest{NoReply: true}
	if ev.Failed {
		m.refresh.readFailedAt = m.now
		notice.ReadFailed = k
	} else {
		m.refresh.readFailedAt = 0
		m.refresh.currentAt[k] = max(m.refresh.currentAt[k], requestedAt)
		m.refresh.ownReadAt[k] = max(m.refresh.ownReadAt[k], requestedAt)
		m.applyChanges(ev.Changes)
		if k == KindLeadership {
			m.noteClaimFree(requestedAt)
		}
		notice.JustRead = k
	}
	notice.Revisions = m.revisions()
	for _, h := range m.otherHosts(m.settings.DataCentre) {
		m.sendToHost(h, notice)
	}
}

// noteReadByPeer records that another host has just read a kind from the store, or that its
// read has failed. If this host lacks a revision that was read, its own objects are current
// only once it has received that revision.
func (m *Machine) noteReadByPeer(d *Digest) {
	if gap := m.gossip.gaps[d.JustRead]; gap != nil {
		gap.readByPeerAt = m.now
	} else if d.JustRead != "" {
		m.refresh.currentAt[d.JustRead] = m.now
	}
	if d.ReadFailed != "" {
		m.refresh.readAt[d.ReadFailed] = m.now
	}
}

// currencyFields describe how current the host's objects of a kind are: the time since they
// were last known to be current, and the newer revision that another host advertises.
func (m *Machine) currencyFields(k feed.Kind) []Field {
	var fields []Field
	if at, ok := m.refresh.currentAt[k]; ok {
		fields = append(fields, field("age", m.now.Sub(at)))
	}
	if gap := m.gossip.gaps[k]; gap != nil {
		fields = append(fields, field("missing_revision", gap.revision.Number()), field("missing_for", m.now.Sub(gap.since)))
	}
	return fields
}
