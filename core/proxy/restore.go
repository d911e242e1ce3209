package proxy

import (
	"time"

	"baobabfield.example/core/catalog"
	"baobabfield.example/core/feed"
	"baobabfield.example/core/types"
)

// After the store was restored from an older copy, this host's record may be missing or
// outdated, and leadership records may be older than what the hosts know. Hosts write these
// records again. The operator and the endpoints do the same with theirs.

// restoreState is what this host knows about restores of the store.
type restoreState struct {
	// era is the latest known era of the store; firstEra is the first known one.
	era, firstEra uint64
	known         bool
	// ownRecordSeen is set once the store was seen to hold this process's record, and ownRecordWrittenAt
	// is when this host has last written it again for another reason than a restore.
	ownRecordSeen      bool
	ownRecordWrittenAt types.Time
	// recordStoredIn is the era in which this host has last written its record again.
	recordStoredIn uint64
	// rewrittenAt holds, by service, when this host has last written a known leadership record
	// that the store may lack.
	rewrittenAt map[types.Service]types.Time
}

// noteEra records the era of a revision of the store.
func (m *Machine) noteEra(r types.Revision) {
	s := &m.restore
	switch {
	case !s.known:
		s.known, s.era, s.firstEra = true, r.Era(), r.Era()
	case r.Era() > s.era:
		m.log(Warn, "store restored", field("era", r.Era()), field("revision", r.Number()), field("previous_era", s.era))
		s.era = r.Era()
	}
}

// ownRecordInterval is the minimum time between two writes of this host's record after late writes of
// an earlier process.
const ownRecordInterval = time.Second

// checkOwnRecord writes this host's record again if a restored store does not have it, or has
// an earlier one, or if the store has carried out a write of an earlier process late. A nil record is
// one that does not exist.
func (m *Machine) checkOwnRecord(r types.Revision, record *catalog.Host) {
	s := &m.restore
	isOwn := record != nil && record.StartedUnixMs == m.settings.StartedUnixMs
	if isOwn {
		s.ownRecordSeen = true
	} else if record != nil && s.ownRecordSeen && !isRecent(m.now, s.ownRecordWrittenAt, ownRecordInterval) {
		s.ownRecordWrittenAt = m.now
		m.log(Info, "host record written again", field("reason", "late write of an earlier process"), field("leaving", m.stop.begun))
		m.emit(StoreHostRecord{Leaving: m.stop.begun})
		return
	}
	if r.Era() == s.firstEra || s.recordStoredIn == r.Era() {
		return
	}
	if !isOwn || record.Leaving != m.stop.begun {
		s.recordStoredIn = r.Era()
		m.log(Info, "host record written again", field("era", r.Era()), field("leaving", m.stop.begun))
		m.emit(StoreHostRecord{Leaving: m.stop.begun})
	}
}

// noteMissingLeadership records that the store has no record of the services whose records are
// of an earlier era than a full list. Claims have to create them.
func (m *Machine) noteMissingLeadership(listed types.Revision) {
	for _, name := range m.catalog.Services() {
		if known := m.catalog.Leadership(name).Revision; known != 0 && known.Era() < listed.Era() {
			m.applyLeadership(catalog.Leadership{Service: name, Revision: types.EraStart(listed.Era())})
		}
	}
}

// rewriteLeadership writes the known leadership record of a service again if the store holds
// an earlier one. Only the owner of the primary does so.
func (m *Machine) rewriteLeadership(s *serviceState) {
	if !m.catalog.IsLeadershipLost(s.name) || s.failover.campaign != nil {
		return
	}
	record := m.catalog.Leadership(s.name)
	if primary, _ := m.catalog.PrimaryOf(s.name); m.owned[primary] == nil || record.Revision.Era() != m.restore.era {
		return
	}
	if at, ok := m.restore.rewrittenAt[s.name]; ok && m.now.Sub(at) < claimRetryInterval {
		return
	}
	m.restore.rewrittenAt[s.name] = m.now
	m.log(Info, "leadership record written again", field("service", s.name), field("token", record.FencingToken), field("era", record.Revision.Era()))
	m.writeLeadership(record)
}

// requestUrgentRead reads a kind that a decision waits for, unless a read is pending.
func (m *Machine) requestUrgentRead(k feed.Kind) {
	if m.now.Sub(m.refresh.readAt[k]) >= urgentRefreshInterval && !m.refresh.isReading(k, m.refresh.readAt[k]) {
		m.requestRead(k)
	}
}
