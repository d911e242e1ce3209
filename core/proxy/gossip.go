package proxy

import (
	"slices"
	"time"

	"baobabfield.example/core/feed"
	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

const (
	// digestPeers is the number of hosts that are told of news.
	digestPeers = 4
	// digestDelay gathers news before they are told.
	digestDelay = 60 * time.Millisecond
	// behindDelay is the time that the host's own watch has before the host that
	// knows more is asked.
	behindDelay = 60 * time.Millisecond
	// askRepeat is the time after which another host is asked where the first has not
	// answered: it may be sending the same to a whole data centre on a narrow link.
	askRepeat = 700 * time.Millisecond
	// maxTellers is the number of hosts that are remembered to know a revision.
	maxTellers = 4
	// exchangeEvery is the time between two comparisons with a random host, which
	// find what the spreading of news has missed.
	exchangeEvery = 700 * time.Millisecond
	// farExchange is the number of comparisons of which one goes to a host of
	// another data centre, where bytes are dear.
	farExchange = 4
)

// gossip spreads which versions of the platform's objects exist, so that a host
// without the store learns of them from another one.
type gossip struct {
	newest map[feed.Kind]uint64
	tellAt types.Time
	behind map[feed.Kind]*lag
	// comparedAt is the time of the last comparison.
	comparedAt types.Time
}

// lag is a revision that other hosts know and this one does not.
type lag struct {
	revision uint64
	// tellers are hosts that know it.
	tellers []types.Host
	since   types.Time
	// asked is the host that was asked last, at askedAt; empty for none.
	asked   types.Host
	askedAt types.Time
}

// due reports whether it is time to ask.
func (l *lag) due(now types.Time) bool {
	if l.asked == "" {
		return now.Sub(l.since) >= behindDelay
	}
	return now.Sub(l.askedAt) >= askRepeat
}

// toldBy notes that a host knows a revision.
func (l *lag) toldBy(h types.Host, revision uint64) {
	if revision > l.revision {
		l.revision, l.tellers = revision, nil
	}
	if revision == l.revision && len(l.tellers) < maxTellers && !slices.Contains(l.tellers, h) {
		l.tellers = append(l.tellers, h)
	}
}

// lost forgets a host that cannot be asked.
func (l *lag) lost(h types.Host) {
	l.tellers = removeHost(l.tellers, h)
	if l.asked == h {
		l.asked = ""
	}
}

func (g *gossip) due() bool { return g.tellAt != 0 || len(g.behind) > 0 }

// changes applies news from the store or from another host.
func (m *Machine) changes(c feed.Changes) {
	news := m.mirror.Apply(c)
	for _, o := range news {
		m.apply(o)
		m.gossip.newest[o.Kind] = max(m.gossip.newest[o.Kind], o.Revision)
	}
	if len(news) > 0 && m.gossip.tellAt == 0 {
		m.gossip.tellAt = m.now.Add(digestDelay)
	}
	if l, ok := m.gossip.behind[c.Kind]; ok && m.gossip.newest[c.Kind] >= l.revision {
		delete(m.gossip.behind, c.Kind)
	}
}

// apply takes one object into the catalog.
func (m *Machine) apply(o feed.Object) {
	if o.Deleted {
		m.deleted(o)
		return
	}
	change, err := m.set.Decoder.Decode(o)
	if err != nil {
		m.log(Warn, "object not usable", f("kind", string(o.Kind)), f("name", o.Name), f("revision", o.Revision), f("error", err.Error()))
		// What the object described before no longer holds.
		m.deleted(o)
		return
	}
	switch {
	case change.Config != nil:
		if m.cat.SetConfig(*change.Config) {
			m.log(Info, "configuration in force", f("version", change.Config.Version), f("revision", o.Revision), f("routes", len(change.Config.Routes)))
			m.configChanged()
		}
	case change.Endpoint != nil:
		m.endpointChanged(*change.Endpoint, o.Revision)
	case change.Host != nil:
		m.cat.SetHost(*change.Host)
		m.ownersChanged()
		m.retryParked(true)
	case change.Leadership != nil:
		l := *change.Leadership
		l.Revision = o.Revision
		m.leadershipChanged(l)
	}
}

func (m *Machine) deleted(o feed.Object) {
	switch o.Kind {
	case KindEndpoints:
		m.cat.ScheduleEndpointRemoval(m.now, types.Endpoint(o.Name))
	case KindHosts:
		m.cat.RemoveHost(types.Host(o.Name))
		m.ownersChanged()
	}
}

// configChanged brings limits up to date; sessions see a new route with their
// next transaction.
func (m *Machine) configChanged() {
	for _, o := range ordered(m.owned) {
		if e, ok := m.cat.Endpoint(o.id); ok {
			o.pool.Configure(m.poolConfig(e))
		}
	}
}

// tickGossip tells other hosts of news, and asks for what this one lacks.
func (m *Machine) tickGossip() {
	g := &m.gossip
	if g.tellAt != 0 && !m.now.Before(g.tellAt) {
		g.tellAt = 0
		m.tellDigest()
	}
	if m.now.Sub(g.comparedAt) >= exchangeEvery {
		g.comparedAt = m.now
		m.compare()
	}
	m.askBehind()
}

// askBehind asks others for the kinds in which this host is behind.
func (m *Machine) askBehind() {
	questions := map[types.Host][]Revision{}
	for _, k := range Kinds {
		l := m.gossip.behind[k]
		if l == nil || !l.due(m.now) {
			continue
		}
		teller, ok := m.chooseTeller(l)
		if !ok {
			// A later digest names somebody else.
			delete(m.gossip.behind, k)
			continue
		}
		l.asked, l.askedAt = teller, m.now
		m.log(Debug, "objects asked of another host", f("peer", teller), f("kind", string(k)), f("revision", l.revision))
		questions[teller] = append(questions[teller], Revision{Kind: k, Revision: m.gossip.newest[k]})
	}
	for teller, since := range ordered(questions) {
		m.send(teller, AskChanges{Since: since})
	}
}

// chooseTeller picks one of the hosts that know more: of this data centre where there
// is one, since bytes between data centres are dear, and not the one asked last.
func (m *Machine) chooseTeller(l *lag) (types.Host, bool) {
	var near, far []types.Host
	for _, h := range l.tellers {
		host, ok := m.cat.Host(h)
		switch {
		case !ok || (h == l.asked && len(l.tellers) > 1):
		case host.DataCentre == m.set.DataCentre:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	if len(near) == 0 {
		near = far
	}
	picked := random.Pick(&m.rng, near, 1)
	if len(picked) == 0 {
		return "", false
	}
	return picked[0], true
}

// tellerLost asks somebody else for what a lost host was to send.
func (m *Machine) tellerLost(h types.Host) {
	for _, l := range m.gossip.behind {
		l.lost(h)
	}
}

// tellDigest tells a few hosts what this one knows; a host that watches the store
// tells its whole data centre.
func (m *Machine) tellDigest() {
	told := map[types.Host]bool{}
	if m.refresh.watching {
		for _, h := range m.otherHosts(m.set.DataCentre) {
			told[h] = true
			m.send(h, Digest{Revisions: m.revisions(), Answer: true})
		}
	}
	for _, h := range random.Pick(&m.rng, m.otherHosts(""), digestPeers) {
		if !told[h] {
			m.send(h, Digest{Revisions: m.revisions()})
		}
	}
}

// compare sends what this host knows to a random host, which answers if it knows
// more.
func (m *Machine) compare() {
	dc := m.set.DataCentre
	if m.rng.Below(farExchange) == 0 {
		dc = ""
	}
	others := m.otherHosts(dc)
	if len(others) == 0 {
		others = m.otherHosts("")
	}
	for _, h := range random.Pick(&m.rng, others, 1) {
		m.send(h, Digest{Revisions: m.revisions()})
	}
}

// otherHosts returns the usable hosts of a data centre, or of all, but this one.
func (m *Machine) otherHosts(dc types.DataCentre) []types.Host {
	var out []types.Host
	for _, h := range m.cat.Hosts() {
		if h.ID != m.set.Host && m.usable(h) && (dc == "" || h.DataCentre == dc) {
			out = append(out, h.ID)
		}
	}
	return out
}

// revisions returns the newest revision of each kind that this host has seen.
func (m *Machine) revisions() []Revision {
	out := make([]Revision, 0, len(Kinds))
	for _, k := range Kinds {
		out = append(out, Revision{Kind: k, Revision: m.gossip.newest[k]})
	}
	return out
}

// digest compares what another host knows with what this one knows.
func (m *Machine) digest(from types.Host, d Digest) {
	m.toldOfRead(&d)
	told := map[feed.Kind]uint64{}
	for _, r := range d.Revisions {
		told[r.Kind] = r.Revision
		if r.Revision <= m.gossip.newest[r.Kind] {
			continue
		}
		l := m.gossip.behind[r.Kind]
		if l == nil {
			l = &lag{since: m.now}
			m.gossip.behind[r.Kind] = l
		}
		l.toldBy(from, r.Revision)
	}
	if d.Answer {
		return
	}
	for _, r := range m.revisions() {
		if r.Revision > told[r.Kind] {
			m.send(from, Digest{Revisions: m.revisions(), Answer: true})
			return
		}
	}
}

// changesAsked sends another host what it lacks.
func (m *Machine) changesAsked(from types.Host, q AskChanges) {
	var out Changes
	for _, r := range q.Since {
		if c := m.mirror.Since(r.Kind, r.Revision); len(c.Objects) > 0 || c.AsOf > r.Revision {
			out.Kinds = append(out.Kinds, c)
		}
	}
	if len(out.Kinds) > 0 {
		m.send(from, out)
	}
}
