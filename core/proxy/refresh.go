package proxy

import (
	"time"

	"baobabfield.example/core/feed"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// refreshIntervals is the age at which what is known of a kind of object is read again
// from the store. A watch can be deaf for many seconds before it is cut, so that
// silence is no proof that nothing has changed. The first host of a data centre by
// hash reads, and tells the others; each of them reads itself where it is not told.
var refreshIntervals = map[feed.Kind]time.Duration{
	// A configuration has to be in force within 3 s, and spreads within one.
	KindConfig: 800 * time.Millisecond,
	// An endpoint that leaves gets no new work after 7 s.
	KindEndpoints: 2 * time.Second,
	// A change of primary shows in the endpoints' own entries, too.
	KindLeadership: 4 * time.Second,
	// Hosts that come and go are noticed by their connections.
	KindHosts: 15 * time.Second,
}

const (
	// firstStagger is the time that the second host waits for the first, which may
	// be a tick late; nextStagger is that between each two further hosts.
	firstStagger = 300 * time.Millisecond
	nextStagger  = 150 * time.Millisecond
	// maxStagger keeps the age of a configuration below 3 s, also where nobody is
	// heard because links have gone silent.
	maxStagger = 1200 * time.Millisecond
	// refreshRetryInterval is the time after which an unanswered read is repeated.
	refreshRetryInterval = time.Second
	// urgentRefreshInterval is the time after which a read is repeated that something waits for.
	urgentRefreshInterval = 100 * time.Millisecond
	// failedReadPenalty is the time for which a host that could not read comes last.
	failedReadPenalty = 5 * time.Second
	// initialListDelay is the time that a new process has for its first lists before it
	// watches for a configuration that does not exist yet.
	initialListDelay = 400 * time.Millisecond
	// watchersPerDataCentre is the number of hosts of a data centre that watch the store. The
	// others are told: each watch has a price.
	watchersPerDataCentre = 3
)

// ReadStore reads all objects of a kind from the store, as they are now.
type ReadStore struct{ Kind feed.Kind }

// WatchStore starts or ends the watches of the store.
type WatchStore struct{ On bool }

// StoreReadResult brings all objects of a kind as they were when the host asked; Failed
// is set where the store gave no answer.
type StoreReadResult struct {
	Changes feed.Changes
	Failed  bool
}

func (ReadStore) isEffect()      {}
func (WatchStore) isEffect()     {}
func (StoreReadResult) isEvent() {}

// refreshState is how fresh the host's view of the store is.
type refreshState struct {
	// currentAt are moments at which what is known was current, readAt the times of
	// the host's own reads.
	currentAt, readAt map[feed.Kind]types.Time
	// readFailedAt is the time of the host's last read without an answer.
	readFailedAt types.Time
	startedAt    types.Time
	watching     bool
}

func newRefreshState() refreshState {
	return refreshState{currentAt: map[feed.Kind]types.Time{}, readAt: map[feed.Kind]types.Time{}}
}

// refreshRank counts the usable hosts of the data centre that come before this one.
func (m *Machine) refreshRank() int {
	own := random.Hash(0, string(m.settings.Host))
	rank := 0
	for _, h := range m.otherHosts(m.settings.DataCentre) {
		if random.Hash(0, string(h)) > own {
			rank++
		}
	}
	return rank
}

// tickRefresh reads what nobody has told to be fresh, and decides whether to watch.
func (m *Machine) tickRefresh() {
	r := &m.refresh
	if r.startedAt == 0 {
		r.startedAt = m.now
	}
	if m.now.Sub(r.startedAt) < initialListDelay {
		return
	}
	rank := m.refreshRank()
	unknown := m.catalog.Version() == 0
	if on := (unknown || rank < watchersPerDataCentre) && !m.stop.begun; on != r.watching {
		r.watching = on
		m.log(Info, "store watched", f("on", on), f("rank", rank))
		m.emit(WatchStore{On: on})
	}
	if unknown {
		return
	}
	stagger := m.stagger(rank)
	for _, k := range Kinds {
		due := m.now.Sub(r.currentAt[k]) >= refreshIntervals[k]+stagger
		if due && m.now.Sub(r.readAt[k]) >= refreshRetryInterval+stagger {
			r.readAt[k] = m.now
			m.emit(ReadStore{Kind: k})
		}
	}
}

// stagger is how long a host of a rank waits for those before it.
func (m *Machine) stagger(rank int) time.Duration {
	switch {
	case recent(m.now, m.refresh.readFailedAt, failedReadPenalty):
		return maxStagger
	case rank == 0:
		return 0
	}
	return min(firstStagger+time.Duration(rank-1)*nextStagger, maxStagger)
}

// handleStoreRead takes a read and tells the data centre's other hosts; also of one that
// has failed, so that they do not all ask a store that is away.
func (m *Machine) handleStoreRead(ev StoreReadResult) {
	k := ev.Changes.Kind
	notice := Digest{IsReply: true}
	if ev.Failed {
		m.refresh.readFailedAt = m.now
		notice.ReadFailed = k
	} else {
		m.refresh.readFailedAt = 0
		m.refresh.currentAt[k] = max(m.refresh.currentAt[k], m.refresh.readAt[k])
		m.applyChanges(ev.Changes)
		notice.JustRead = k
	}
	notice.Revisions = m.revisions()
	for _, h := range m.otherHosts(m.settings.DataCentre) {
		m.sendToHost(h, notice)
	}
}

// noteReadByPeer notes that another host has just read a kind from the store, or tried.
func (m *Machine) noteReadByPeer(d *Digest) {
	if d.JustRead != "" {
		m.refresh.currentAt[d.JustRead] = m.now
	}
	if d.ReadFailed != "" {
		m.refresh.readAt[d.ReadFailed] = m.now
	}
}
