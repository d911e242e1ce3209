package proxy

import (
	"time"

	"baobabfield.example/core/feed"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// refreshEvery is the age at which what is known of a kind of object is read again
// from the store. A watch can be deaf for many seconds before it is cut, so that
// silence is no proof that nothing has changed. The first host of a data centre by
// hash reads, and tells the others; each of them reads itself where it is not told.
var refreshEvery = map[feed.Kind]time.Duration{
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
	// refreshRepeat is the time after which an unanswered read is repeated.
	refreshRepeat = time.Second
	// refreshSoon is the time after which a read is repeated that something waits for.
	refreshSoon = 100 * time.Millisecond
	// failedStep is the time for which a host that could not read comes last.
	failedStep = 5 * time.Second
	// firstList is the time that a new process has for its first lists before it
	// watches for a configuration that does not exist yet.
	firstList = 400 * time.Millisecond
	// watchers is the number of hosts of a data centre that watch the store. The
	// others are told: each watch has a price.
	watchers = 3
)

// Refresh reads all objects of a kind from the store, as they are now.
type Refresh struct{ Kind feed.Kind }

// Watch starts or ends the watches of the store.
type Watch struct{ On bool }

// StoreRead brings all objects of a kind as they were when the host asked; Failed
// is set where the store gave no answer.
type StoreRead struct {
	Changes feed.Changes
	Failed  bool
}

func (Refresh) isEffect()  {}
func (Watch) isEffect()    {}
func (StoreRead) isEvent() {}

// refreshing is how fresh the host's view of the store is.
type refreshing struct {
	// freshAt are moments at which what is known was current, askedAt the times of
	// the host's own reads.
	freshAt, askedAt map[feed.Kind]types.Time
	// failedAt is the time of the host's last read without an answer.
	failedAt  types.Time
	startedAt types.Time
	watching  bool
}

func newRefreshing() refreshing {
	return refreshing{freshAt: map[feed.Kind]types.Time{}, askedAt: map[feed.Kind]types.Time{}}
}

// rank counts the usable hosts of the data centre that come before this one.
func (m *Machine) rank() int {
	own := random.Hash(0, string(m.set.Host))
	rank := 0
	for _, h := range m.otherHosts(m.set.DataCentre) {
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
	if m.now.Sub(r.startedAt) < firstList {
		return
	}
	rank := m.rank()
	unknown := m.cat.ConfigVersion() == 0
	if on := (unknown || rank < watchers) && !m.stop.begun; on != r.watching {
		r.watching = on
		m.log(Info, "store watched", f("on", on), f("rank", rank))
		m.emit(Watch{On: on})
	}
	if unknown {
		return
	}
	stagger := m.stagger(rank)
	for _, k := range Kinds {
		due := m.now.Sub(r.freshAt[k]) >= refreshEvery[k]+stagger
		if due && m.now.Sub(r.askedAt[k]) >= refreshRepeat+stagger {
			r.askedAt[k] = m.now
			m.emit(Refresh{Kind: k})
		}
	}
}

// stagger is how long a host of a rank waits for those before it.
func (m *Machine) stagger(rank int) time.Duration {
	switch {
	case recent(m.now, m.refresh.failedAt, failedStep):
		return maxStagger
	case rank == 0:
		return 0
	}
	return min(firstStagger+time.Duration(rank-1)*nextStagger, maxStagger)
}

// storeRead takes a read and tells the data centre's other hosts; also of one that
// has failed, so that they do not all ask a store that is away.
func (m *Machine) storeRead(ev StoreRead) {
	k := ev.Changes.Kind
	told := Digest{Answer: true}
	if ev.Failed {
		m.refresh.failedAt = m.now
		told.Tried = k
	} else {
		m.refresh.failedAt = 0
		m.refresh.freshAt[k] = max(m.refresh.freshAt[k], m.refresh.askedAt[k])
		m.changes(ev.Changes)
		told.Fresh = k
	}
	told.Revisions = m.revisions()
	for _, h := range m.otherHosts(m.set.DataCentre) {
		m.send(h, told)
	}
}

// toldOfRead notes that another host has just read a kind from the store, or tried.
func (m *Machine) toldOfRead(d *Digest) {
	if d.Fresh != "" {
		m.refresh.freshAt[d.Fresh] = m.now
	}
	if d.Tried != "" {
		m.refresh.askedAt[d.Tried] = m.now
	}
}
