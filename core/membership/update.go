package membership

import (
	"math/bits"
	"slices"
	"time"

	"baobabfield.example/core/types"
)

// baseSuspicionTimeout is the time that a suspect has to refute in a data centre of up
// to three hosts. It grows with the logarithm of their number.
const baseSuspicionTimeout = 1500 * time.Millisecond

// suspicion is a host that is declared dead unless it refutes by the deadline.
type suspicion struct {
	host        types.Host
	incarnation Incarnation
	deadline    types.Time
}

func (m *Machine) applyUpdates(now types.Time, updates []Member, propagate bool) {
	for _, u := range updates {
		m.applyUpdate(now, u, propagate)
	}
}

// applyUpdate applies a host's description if it supersedes the known one. It also
// piggybacks the description on later messages if propagate is set.
func (m *Machine) applyUpdate(now types.Time, u Member, propagate bool) {
	if u.Incarnation == 0 || u.Host == "" || u.State > Dead {
		return
	}
	if u.Host == m.self.Host {
		m.refuteUpdate(u)
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
	m.emitStateNote(old, known && old.Incarnation > 0, u)
	m.updateSuspicion(now, u)
	m.queueForRelays(u)
	if propagate {
		m.gossip.enqueue(u.Host, m.table.countLiveIn(m.self.DataCentre))
	}
}

// emitStateNote reports the change of a host's state for the time line.
func (m *Machine) emitStateNote(old Member, known bool, u Member) {
	switch {
	case u.State == Dead && (!known || old.State != Dead):
		m.emitNote(NoteDead, u)
	case u.State == Leaving && (!known || old.State != Leaving):
		m.emitNote(NoteLeaving, u)
	case u.State == Suspect && (!known || old.State != Suspect):
		m.emitNote(NoteSuspected, u)
	case u.State == Alive && (!known || old.State == Dead):
		m.emitNote(NoteJoined, u)
	case u.State == Alive && old.State == Suspect:
		m.emitNote(NoteRefuted, u)
	}
}

// updateSuspicion starts, restarts or ends the suspicion of a host, and adds a
// tombstone for a dead one.
func (m *Machine) updateSuspicion(now types.Time, u Member) {
	m.clearSuspicion(u.Host)
	switch u.State {
	case Suspect:
		m.startSuspicion(now, u)
	case Dead:
		m.tombstones = append(m.tombstones, tombstone{host: u.Host, since: now})
	case Alive, Leaving:
	}
}

// startSuspicion sets the deadline by which a host has to refute. It ignores hosts of
// other data centres, which only hosts of their own data centre declare dead.
func (m *Machine) startSuspicion(now types.Time, u Member) {
	if u.DataCentre != m.self.DataCentre {
		return
	}
	m.suspicions = append(m.suspicions, suspicion{
		host:        u.Host,
		incarnation: u.Incarnation,
		deadline:    now.Add(m.suspicionTimeout()),
	})
}

// suspicionTimeout returns the time that a suspect of this data centre has to refute.
func (m *Machine) suspicionTimeout() time.Duration {
	n := m.table.countLiveIn(m.self.DataCentre)
	return baseSuspicionTimeout * time.Duration(max(2, bits.Len(uint(n)))) / 2
}

func (m *Machine) clearSuspicion(h types.Host) {
	m.suspicions = slices.DeleteFunc(m.suspicions, func(s suspicion) bool { return s.host == h })
}

// expireSuspicions declares hosts dead that did not refute in time.
func (m *Machine) expireSuspicions(now types.Time) {
	due := slices.Clone(m.suspicions)
	for _, s := range due {
		if now.Before(s.deadline) {
			continue
		}
		m.clearSuspicion(s.host)
		member, known := m.table.get(s.host)
		if !known || member.Incarnation != s.incarnation {
			continue
		}
		member.State = Dead
		m.applyUpdate(now, member, true)
	}
}

// refuteUpdate refutes a description of this host that the host did not issue itself,
// by increasing its incarnation.
func (m *Machine) refuteUpdate(u Member) {
	isOwnState := u.Incarnation == m.self.Incarnation && u.State <= m.self.State && u.State != Suspect
	if u.Incarnation < m.self.Incarnation || isOwnState {
		return
	}
	m.self.Incarnation = u.Incarnation + 1
	m.updateSelf()
	m.emitNote(NoteRefuted, m.self)
	m.announceSelf()
}

// updateSelf stores a change of this host and queues it for transmission.
func (m *Machine) updateSelf() {
	m.table.put(m.self)
	m.changed = append(m.changed, m.self.Host)
	m.queueForRelays(m.self)
	m.gossip.enqueue(m.self.Host, m.table.countLiveIn(m.self.DataCentre))
}
