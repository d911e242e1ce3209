package membership

import (
	"math/bits"
	"slices"
	"time"

	"baobabfield.example/core/types"
)

// suspicionBase is the time that a suspect has to refute in a data centre of up
// to four hosts; it grows with the logarithm of their number.
const suspicionBase = 1500 * time.Millisecond

// suspicion is the time by which a host must refute, or is dead.
type suspicion struct {
	host        types.Host
	incarnation Incarnation
	deadline    types.Time
}

func (m *Machine) learnAll(now types.Time, updates []Member, spread bool) {
	for _, u := range updates {
		m.learn(now, u, spread)
	}
}

// learn takes a statement about a host if it supersedes what is known, and passes
// it on if spread is set.
func (m *Machine) learn(now types.Time, u Member, spread bool) {
	if u.Incarnation == 0 || u.Host == "" || u.State > Dead {
		return
	}
	if u.Host == m.self.Host {
		m.refute(u)
		return
	}
	old, known := m.table.get(u.Host)
	if known && !u.supersedes(old) {
		return
	}
	if !m.table.put(u) {
		return
	}
	m.changed = append(m.changed, u.Host)
	m.noteChange(old, known && old.Incarnation > 0, u)
	m.trackSuspicion(now, u)
	m.relayLater(u)
	if spread {
		m.gossip.add(u.Host, m.table.countIn(m.self.DataCentre))
	}
}

// noteChange reports the changes that belong on the time line.
func (m *Machine) noteChange(old Member, known bool, u Member) {
	switch {
	case u.State == Dead && (!known || old.State != Dead):
		m.note(NoteDead, u)
	case u.State == Leaving && (!known || old.State != Leaving):
		m.note(NoteLeaving, u)
	case u.State == Suspect && (!known || old.State != Suspect):
		m.note(NoteSuspected, u)
	case u.State == Alive && (!known || old.State == Dead):
		m.note(NoteJoined, u)
	case u.State == Alive && old.State == Suspect:
		m.note(NoteRefuted, u)
	}
}

// trackSuspicion starts, restarts or ends the suspicion of a host, and keeps its
// tombstone.
func (m *Machine) trackSuspicion(now types.Time, u Member) {
	m.clearSuspicion(u.Host)
	switch u.State {
	case Suspect:
		m.suspect(now, u)
	case Dead:
		m.tombstones = append(m.tombstones, tombstone{host: u.Host, since: now})
	case Alive, Leaving:
	}
}

// suspect starts the time that a host has to refute. Only hosts of its own data
// centre judge it.
func (m *Machine) suspect(now types.Time, u Member) {
	if u.DataCentre != m.self.DataCentre {
		return
	}
	m.suspicions = append(m.suspicions, suspicion{
		host:        u.Host,
		incarnation: u.Incarnation,
		deadline:    now.Add(m.suspicionTime()),
	})
}

func (m *Machine) suspicionTime() time.Duration {
	n := m.table.countIn(m.self.DataCentre)
	return suspicionBase * time.Duration(max(2, bits.Len(uint(n)))) / 2
}

func (m *Machine) clearSuspicion(h types.Host) {
	m.suspicions = slices.DeleteFunc(m.suspicions, func(s suspicion) bool { return s.host == h })
}

// expireSuspicions declares the hosts dead that did not refute in time.
func (m *Machine) expireSuspicions(now types.Time) {
	due := slices.Clone(m.suspicions)
	for _, s := range due {
		if now.Before(s.deadline) {
			continue
		}
		m.clearSuspicion(s.host)
		about, known := m.table.get(s.host)
		if !known || about.Incarnation != s.incarnation {
			continue
		}
		about.State = Dead
		m.learn(now, about, true)
	}
}

// refute answers a statement about this host that it did not make.
func (m *Machine) refute(u Member) {
	same := u.Incarnation == m.self.Incarnation && u.State <= m.self.State && u.State != Suspect
	if u.Incarnation < m.self.Incarnation || same {
		return
	}
	m.self.Incarnation = u.Incarnation + 1
	m.storeSelf()
	m.note(NoteRefuted, m.self)
	m.announceSelf()
}

// storeSelf records and spreads a change of this host.
func (m *Machine) storeSelf() {
	m.table.put(m.self)
	m.changed = append(m.changed, m.self.Host)
	m.relayLater(m.self)
	m.gossip.add(m.self.Host, m.table.countIn(m.self.DataCentre))
}
