package proxy

import (
	"time"

	"baobabfield.example/core/lead"
	"baobabfield.example/core/types"
)

// restartWindow is how long a restarted endpoint does not count as confirming an authority.
// After its restart it no longer holds the term for which it was paused, while the campaign
// that paused it may still be running.
const restartWindow = 5 * time.Second

// restartRecord is a restart of an endpoint, or a sign of one.
type restartRecord struct {
	at types.Time
	// certain is set if a dial failed with Absent set or the endpoint has a new start time.
	// Otherwise only a connection has broken, which a restart may have caused.
	certain bool
}

// restartedRecently reports whether an endpoint may have restarted within restartWindow.
// After a broken connection this holds until the endpoint's record shows the same start time
// as before. The record must come from a read of this host that was requested after the
// present control connection was opened at openedAt: the endpoint may have restarted between
// an earlier read and the new connection, and another host's notice does not tell when its
// read was requested. It does not count while another host knows newer endpoint records.
func (m *Machine) restartedRecently(id types.Endpoint, openedAt types.Time) bool {
	r, ok := m.restarts[id]
	if !ok || m.now.Sub(r.at) >= restartWindow {
		return false
	}
	_, stale := m.gossip.gaps[KindEndpoints]
	return r.certain || stale || m.refresh.ownReadAt[KindEndpoints].Before(max(r.at, openedAt))
}

// isClaimFreeSinceRestart reports whether an endpoint is the primary of an authority, and no campaign was in
// progress when this host read the leadership record after it had connected to the restarted process. No
// campaign has made that process step down then, and its replicas still have to confirm it.
func (m *Machine) isClaimFreeSinceRestart(o *ownedEndpoint, id types.Endpoint, openedAt types.Time, st lead.Status) bool {
	return id == o.id && st.Primary && !m.serviceFor(o.service).claimFreeAt.Before(max(m.restarts[id].at, openedAt))
}

// notePossibleRestart records that an endpoint has restarted or may have restarted.
func (m *Machine) notePossibleRestart(id types.Endpoint, certain bool) {
	if old, ok := m.restarts[id]; ok && old.certain && m.now.Sub(old.at) < restartWindow && !certain {
		return
	}
	m.restarts[id] = restartRecord{at: m.now, certain: certain}
}

// checkPossibleRestarts reads the endpoint records if an endpoint that may have restarted is
// connected again.
func (m *Machine) checkPossibleRestarts() {
	if m.now.Sub(m.refresh.readAt[KindEndpoints]) < urgentRefreshInterval {
		return
	}
	for id, r := range m.restarts {
		c := m.controlConns[id]
		if r.certain || m.now.Sub(r.at) >= restartWindow || c == nil || !c.ready || m.refresh.isReading(KindEndpoints, c.openedAt) {
			continue
		}
		if m.refresh.ownReadAt[KindEndpoints].Before(max(r.at, c.openedAt)) {
			m.requestRead(KindEndpoints)
			return
		}
	}
}
