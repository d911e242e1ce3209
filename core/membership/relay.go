package membership

import (
	"slices"
	"time"

	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

// Timing of the exchange between data centres.
const (
	relayInterval = time.Second
	// minUnreachableTimeout is the shortest time without a message after which a data
	// centre counts as unreachable.
	minUnreachableTimeout = 15 * time.Second
	// exchangesPerRandomContact is the mean number of exchanges among which one goes to a
	// random host of the other data centre, since its known relays may all be dead.
	exchangesPerRandomContact = 4
)

// relay is the state of the exchange between data centres.
type relay struct {
	nextAt types.Time
	// pending lists the changed hosts of this data centre that are still to be sent to
	// the other data centres.
	pending []types.Host
	// nextDigestIndex selects the data centre that is sent a digest next.
	nextDigestIndex int
	links           []link
}

// link records when this relay last received a message from another data centre.
type link struct {
	dc            types.DataCentre
	lastContactAt types.Time
	unreachable   bool
}

// queueForRelays queues a changed host of this data centre for the other data centres.
func (m *Machine) queueForRelays(u Member) {
	if u.DataCentre != m.self.DataCentre || slices.Contains(m.relay.pending, u.Host) {
		return
	}
	m.relay.pending = append(m.relay.pending, u.Host)
}

// relayChanges sends the changes of this data centre to each other one. One of the
// others, in turn, is also sent a digest. Hosts that are not relays drop the changes.
func (m *Machine) relayChanges(now types.Time) {
	r := &m.relay
	if now.Before(r.nextAt) {
		return
	}
	r.nextAt = now.Add(relayInterval)
	pending := r.pending
	r.pending = nil
	if !m.isRelay() {
		r.links = nil
		return
	}
	others := m.otherDataCentres()
	if len(others) == 0 {
		return
	}
	for _, dc := range others {
		m.checkReachability(now, dc)
		m.sendChanges(dc, pending)
	}
	r.nextDigestIndex = (r.nextDigestIndex + 1) % len(others)
	m.sendToHost(m.pickContact(others[r.nextDigestIndex]), m.makeDigest())
}

// isRelay reports whether this host is one of its data centre's relays.
func (m *Machine) isRelay() bool {
	first, second := m.relaysOf(m.self.DataCentre)
	return m.self.Host == first || m.self.Host == second
}

// relaysOf returns the relays of a data centre.
func (m *Machine) relaysOf(dc types.DataCentre) (first, second types.Host) {
	return routing.HighestWeightHosts("relay/"+string(dc), m.table.liveHostsIn(dc))
}

func (m *Machine) otherDataCentres() []types.DataCentre {
	others := slices.Sorted(slices.Values(m.table.dataCentres))
	return slices.DeleteFunc(others, func(dc types.DataCentre) bool { return dc == m.self.DataCentre })
}

// sendChanges sends changes to a host of a data centre, in as many messages as needed.
func (m *Machine) sendChanges(dc types.DataCentre, changes []types.Host) {
	to := m.pickContact(dc)
	var batch []Member
	available := m.availableBodyBytes()
	for _, h := range changes {
		member, known := m.table.get(h)
		if !known {
			continue
		}
		if memberSizeBytes(member) > available {
			m.sendToHost(to, Ping{Updates: batch})
			batch, available = nil, m.availableBodyBytes()
		}
		batch = append(batch, member)
		available -= memberSizeBytes(member)
	}
	if len(batch) > 0 {
		m.sendToHost(to, Ping{Updates: batch})
	}
}

// pickContact returns the host of another data centre to send to, usually one of its
// relays.
func (m *Machine) pickContact(dc types.DataCentre) types.Host {
	first, second := m.relaysOf(dc)
	if first == "" || m.random.IntN(exchangesPerRandomContact) == 0 {
		return m.pickRandomHost(dc)
	}
	if second != "" && m.random.IntN(2) == 0 {
		return second
	}
	return first
}

// pickRandomHost returns any host of a data centre, dead ones included.
func (m *Machine) pickRandomHost(dc types.DataCentre) types.Host {
	candidates := m.table.selectRecords(dc, func(record) bool { return true })
	if len(candidates) == 0 {
		return ""
	}
	return types.Host(m.table.records[candidates[m.random.IntN(len(candidates))]].host())
}

// checkReachability adds a note if this relay no longer receives messages from the data
// centre.
func (m *Machine) checkReachability(now types.Time, dc types.DataCentre) {
	l := m.ensureLink(now, dc)
	if !l.unreachable && now.Sub(l.lastContactAt) > m.unreachableTimeout() {
		l.unreachable = true
		m.emitNote(NoteDataCentreUnreachable, Member{DataCentre: dc})
	}
}

// unreachableTimeout returns the time without a message after which a data centre
// counts as unreachable. It grows with the number of data centres, since digests are
// sent to them in turn.
func (m *Machine) unreachableTimeout() time.Duration {
	return max(minUnreachableTimeout, 3*relayInterval*time.Duration(len(m.table.dataCentres)))
}

// markReachable records a message from another data centre. Only relays keep links.
func (m *Machine) markReachable(now types.Time, dc types.DataCentre) {
	i := slices.IndexFunc(m.relay.links, func(l link) bool { return l.dc == dc })
	if i < 0 {
		return
	}
	l := &m.relay.links[i]
	l.lastContactAt = now
	if l.unreachable {
		l.unreachable = false
		m.emitNote(NoteDataCentreReachable, Member{DataCentre: dc})
	}
}

// ensureLink returns the link of a data centre, and adds it if there is none.
func (m *Machine) ensureLink(now types.Time, dc types.DataCentre) *link {
	r := &m.relay
	i := slices.IndexFunc(r.links, func(l link) bool { return l.dc == dc })
	if i < 0 {
		r.links = append(r.links, link{dc: dc, lastContactAt: now})
		i = len(r.links) - 1
	}
	return &r.links[i]
}
