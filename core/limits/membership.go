package limits

import (
	"slices"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// holderHashSeed orders the hosts for the selection of holders. Allocators are ordered by the seeds
// that follow it.
const holderHashSeed = 1

// membership is what this host knows of the hosts that divide the limits.
type membership struct {
	hosts map[types.Host]memberState
	// firstListAt is the time of the first SetHosts.
	firstListAt types.Time
	// count is the number of eligible hosts; isHolder is set if this host is a holder.
	count    int
	isHolder bool
	// reportedCount is the highest number of eligible hosts that another host has reported. It
	// is valid until reportedUntil.
	reportedCount int
	reportedUntil types.Time
	// target is the static share without the delay of rises. shareLimits holds the lower ones of
	// the last shareRiseDelay.
	target      float64
	shareLimits []shareLimit
	// nextExpiry is when the next vanished host is removed; zero for none.
	nextExpiry types.Time
}

// memberState is the state of an eligible host. expiresAt is zero while its record exists.
type memberState struct {
	leaving   bool
	expiresAt types.Time
}

// shareLimit bounds the static share until a time.
type shareLimit struct {
	share float64
	until types.Time
}

// SetHosts replaces the known hosts.
func (m *Machine) SetHosts(now types.Time, hosts []Host) {
	m.start(now)
	known := make(map[types.Host]memberState, len(hosts))
	listed := make(map[types.Host]bool, len(hosts))
	var candidates []types.Host
	for _, h := range hosts {
		listed[h.ID] = true
		if !h.Eligible {
			continue
		}
		known[h.ID] = memberState{leaving: h.Leaving}
		if h.Usable {
			candidates = append(candidates, h.ID)
		}
	}
	for id, old := range m.membership.hosts {
		switch {
		case listed[id] || old.leaving:
		case old.expiresAt == 0:
			known[id] = memberState{expiresAt: now.Add(vanishedHostRetention)}
		case now.Before(old.expiresAt):
			known[id] = old
		}
	}
	if m.membership.hosts == nil {
		m.membership.firstListAt = now
	}
	m.membership.hosts = known
	m.countHolders()
	m.updateShare(now)
	for i := range m.groups {
		m.groups[i].setCandidates(candidates)
		m.selectAllocator(&m.groups[i], false)
	}
}

// countHolders determines the number of eligible hosts and whether this host is a holder.
func (m *Machine) countHolders() {
	ms := &m.membership
	ms.count, ms.isHolder, ms.nextExpiry = len(ms.hosts), false, 0
	rank := 0
	own := random.Hash(holderHashSeed, string(m.settings.Host))
	for id, state := range ms.hosts {
		if random.Hash(holderHashSeed, string(id)) > own {
			rank++
		}
		if state.expiresAt != 0 && (ms.nextExpiry == 0 || state.expiresAt.Before(ms.nextExpiry)) {
			ms.nextExpiry = state.expiresAt
		}
	}
	_, known := ms.hosts[m.settings.Host]
	ms.isHolder = known && rank < maxHolders
}

// expireHosts removes the vanished hosts whose retention has ended.
func (m *Machine) expireHosts(now types.Time) {
	ms := &m.membership
	if ms.nextExpiry == 0 || now.Before(ms.nextExpiry) {
		return
	}
	for id, state := range ms.hosts {
		if state.expiresAt != 0 && !now.Before(state.expiresAt) {
			delete(ms.hosts, id)
		}
	}
	m.countHolders()
}

// noteHostCount records the number of eligible hosts that another host knows. Hosts that have been
// added use their shares before all others have learned of them.
func (m *Machine) noteHostCount(now types.Time, n int) {
	ms := &m.membership
	if now.Before(ms.reportedUntil) && n < ms.reportedCount {
		return
	}
	if n <= ms.count {
		return
	}
	changed := n != ms.reportedCount || !now.Before(ms.reportedUntil)
	ms.reportedCount, ms.reportedUntil = n, now.Add(hostCountValidity)
	if changed {
		m.updateShare(now)
	}
}

// updateShare sets the static share. A lower one applies at once, a higher one after
// shareRiseDelay.
func (m *Machine) updateShare(now types.Time) {
	ms := &m.membership
	target := 0.0
	if ms.isHolder {
		target = 1 / float64(min(ms.count, maxHolders))
		if now.Before(ms.reportedUntil) && ms.reportedCount > ms.count {
			target *= float64(ms.count) / float64(ms.reportedCount)
		}
	}
	ms.shareLimits = slices.DeleteFunc(ms.shareLimits, func(l shareLimit) bool { return !now.Before(l.until) })
	// The first lists of the hosts may be incomplete, and no earlier share was in use.
	if ms.target < target && now.Sub(ms.firstListAt) >= startDelay {
		ms.shareLimits = append(ms.shareLimits, shareLimit{share: ms.target, until: now.Add(shareRiseDelay)})
	}
	ms.target = target
	share := target
	for _, l := range ms.shareLimits {
		share = min(share, l.share)
	}
	if share == m.share {
		return
	}
	for i := range m.groups {
		m.groups[i].advanceAll(m, now)
	}
	m.share = share
	for i := range m.groups {
		for _, b := range m.groups[i].buckets {
			b.clip(m, now)
		}
	}
}

// nextShareChange returns when the static share may change.
func (ms *membership) nextShareChange(now types.Time) (types.Time, bool) {
	var at types.Time
	consider := func(t types.Time) {
		if t != 0 && t.After(now) && (at == 0 || t.Before(at)) {
			at = t
		}
	}
	for _, l := range ms.shareLimits {
		consider(l.until)
	}
	consider(ms.reportedUntil)
	consider(ms.nextExpiry)
	return at, at != 0
}
