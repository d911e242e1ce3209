package membership

import (
	"slices"
	"time"

	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

// Timing of the exchange between data centres.
const (
	relayPeriod = time.Second
	// silenceLimit is the time without an answer after which a data centre counts
	// as silent.
	silenceLimit = 15 * time.Second
	// strayContact is the share, one in so many, of exchanges that go to any host of
	// the other data centre, since its relays may be gone.
	strayContact = 4
)

// relay is the state of the exchange between data centres.
type relay struct {
	next types.Time
	// pending lists the changes of the own data centre for the other ones.
	pending []types.Host
	// turn selects the data centre whose digest is compared next.
	turn  int
	links []link
}

// link is what is known about the reachability of a data centre.
type link struct {
	dc     types.DataCentre
	heard  types.Time
	silent bool
}

// relayLater keeps a change of the own data centre for the other ones.
func (m *Machine) relayLater(u Member) {
	if u.DataCentre != m.self.DataCentre || slices.Contains(m.relay.pending, u.Host) {
		return
	}
	m.relay.pending = append(m.relay.pending, u.Host)
}

// relayChanges sends the changes of the own data centre to the relays of the other
// ones, and compares the digest with one of them.
func (m *Machine) relayChanges(now types.Time) {
	r := &m.relay
	if now.Before(r.next) {
		return
	}
	r.next = now.Add(relayPeriod)
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
		m.checkSilence(now, dc)
		m.sendChanges(dc, pending)
	}
	r.turn = (r.turn + 1) % len(others)
	m.send(m.contactIn(others[r.turn]), m.digest())
}

// isRelay reports whether this host is one of its data centre's relays.
func (m *Machine) isRelay() bool {
	first, second := m.relaysOf(m.self.DataCentre)
	return m.self.Host == first || m.self.Host == second
}

// relaysOf returns the relays of a data centre.
func (m *Machine) relaysOf(dc types.DataCentre) (first, second types.Host) {
	return routing.HighestWeightHosts("relay/"+string(dc), m.table.liveIn(dc))
}

func (m *Machine) otherDataCentres() []types.DataCentre {
	others := slices.Sorted(slices.Values(m.table.groups))
	return slices.DeleteFunc(others, func(dc types.DataCentre) bool { return dc == m.self.DataCentre })
}

// sendChanges sends changes to a relay of a data centre, in as many messages as needed.
func (m *Machine) sendChanges(dc types.DataCentre, changes []types.Host) {
	to := m.contactIn(dc)
	var batch []Member
	room := m.room()
	for _, h := range changes {
		about, known := m.table.get(h)
		if !known {
			continue
		}
		if memberSize(about) > room {
			m.send(to, Ping{Updates: batch})
			batch, room = nil, m.room()
		}
		batch = append(batch, about)
		room -= memberSize(about)
	}
	if len(batch) > 0 {
		m.send(to, Ping{Updates: batch})
	}
}

// contactIn returns a host to talk to in another data centre.
func (m *Machine) contactIn(dc types.DataCentre) types.Host {
	first, second := m.relaysOf(dc)
	if first == "" || m.random.Below(strayContact) == 0 {
		return m.strayIn(dc)
	}
	if second != "" && m.random.Below(2) == 0 {
		return second
	}
	return first
}

// strayIn returns any host of a data centre, dead ones included.
func (m *Machine) strayIn(dc types.DataCentre) types.Host {
	all := m.table.selectIn(dc, func(record) bool { return true })
	if len(all) == 0 {
		return ""
	}
	return types.Host(m.table.records[all[m.random.Below(len(all))]].host())
}

// checkSilence reports a data centre that stopped answering this relay.
func (m *Machine) checkSilence(now types.Time, dc types.DataCentre) {
	l := m.link(now, dc)
	if !l.silent && now.Sub(l.heard) > m.silenceAfter() {
		l.silent = true
		m.note(NoteDataCentreSilent, Member{DataCentre: dc})
	}
}

// silenceAfter allows for each data centre's turn in the exchange.
func (m *Machine) silenceAfter() time.Duration {
	return max(silenceLimit, 3*relayPeriod*time.Duration(len(m.table.groups)))
}

// heardFrom notes a message from another data centre. Only relays have links.
func (m *Machine) heardFrom(now types.Time, dc types.DataCentre) {
	i := slices.IndexFunc(m.relay.links, func(l link) bool { return l.dc == dc })
	if i < 0 {
		return
	}
	l := &m.relay.links[i]
	l.heard = now
	if l.silent {
		l.silent = false
		m.note(NoteDataCentreBack, Member{DataCentre: dc})
	}
}

// link returns the entry of a data centre and adds it if it is new.
func (m *Machine) link(now types.Time, dc types.DataCentre) *link {
	r := &m.relay
	i := slices.IndexFunc(r.links, func(l link) bool { return l.dc == dc })
	if i < 0 {
		r.links = append(r.links, link{dc: dc, heard: now})
		i = len(r.links) - 1
	}
	return &r.links[i]
}
