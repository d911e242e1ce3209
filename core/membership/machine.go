package membership

import (
	"slices"
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// Timing of the machine.
const (
	housekeepingPeriod = time.Minute
	// tombstoneLife is how long a dead host is remembered. It exceeds the time for
	// which data centres are expected to lose each other.
	tombstoneLife = 6 * time.Hour
	// pauseLimit is the delay of a tick beyond which the process was paused, so
	// that missing answers say nothing about the others.
	pauseLimit = time.Second
	// reportDelay collects changes, so that a burst of them gives few snapshots.
	reportDelay = 50 * time.Millisecond
)

// Config holds the settings of a machine.
type Config struct {
	// Self describes the machine's host. Its incarnation must be positive and
	// exceed those of earlier runs of the host, for instance the start in Unix
	// seconds.
	Self Member
	// Seed starts the machine's random numbers.
	Seed uint64
}

// Machine is the membership state of one host.
type Machine struct {
	self   Member
	random random.Source
	table  table
	gossip gossip

	prober     prober
	suspicions []suspicion
	tombstones []tombstone
	exchange   exchange
	relay      relay

	seeds []string
	// joined is set once another host has answered.
	joined        bool
	nextHousework types.Time

	effects []Effect
	// changed lists the hosts whose changes are to be reported at reportAt.
	changed  []types.Host
	reportAt types.Time
}

// tombstone remembers when a host was found dead.
type tombstone struct {
	host  types.Host
	since types.Time
}

// New returns the machine of a host that knows only itself.
func New(cfg Config) *Machine {
	m := &Machine{self: cfg.Self, random: random.New(cfg.Seed)}
	m.self.Incarnation = max(m.self.Incarnation, 1)
	m.self.State = Alive
	m.table.put(m.self)
	m.gossip.add(m.self.Host, 1)
	return m
}

// Step applies an event at the given time and returns its effects.
func (m *Machine) Step(now types.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Tick:
		m.tick(now)
	case Message:
		m.receive(now, ev)
	case Join:
		m.seeds = ev.Seeds
		m.contactSeeds()
	case Leave:
		m.leave()
	case PlatformHosts:
		m.learnContacts(ev.Hosts)
	}
	m.reportChanges(now)
	return m.takeEffects()
}

// takeEffects returns the effects of the step and keeps no reference to them.
func (m *Machine) takeEffects() []Effect {
	effects := m.effects
	m.effects = nil
	return effects
}

// Deadline returns the time at which the machine needs its next Tick.
func (m *Machine) Deadline() types.Time {
	at := min(m.prober.deadline(), m.exchange.next, m.relay.next, m.nextHousework)
	if len(m.changed) > 0 {
		at = min(at, m.reportAt)
	}
	for _, s := range m.suspicions {
		at = min(at, s.deadline)
	}
	return at
}

// Snapshot returns the current view of the hosts.
func (m *Machine) Snapshot() Snapshot { return m.table.snapshot() }

func (m *Machine) tick(now types.Time) {
	m.forgivePause(now)
	m.probe(now)
	m.expireSuspicions(now)
	m.exchangeDigest(now)
	m.relayChanges(now)
	m.housekeep(now)
}

// forgivePause gives the others more time after this process was paused.
func (m *Machine) forgivePause(now types.Time) {
	late := now.Sub(m.Deadline())
	if m.prober.nextRound == 0 || late < pauseLimit {
		return
	}
	m.prober.current = probe{}
	for i := range m.suspicions {
		m.suspicions[i].deadline = m.suspicions[i].deadline.Add(late)
	}
}

// send addresses a message to a host of the table.
func (m *Machine) send(h types.Host, body Body) {
	to, ok := m.table.get(h)
	if !ok || to.GossipAddress == "" || h == m.self.Host {
		return
	}
	m.sendTo(to.GossipAddress, body)
}

func (m *Machine) sendTo(address string, body Body) {
	m.effects = append(m.effects, Send{Address: address, Message: Message{From: m.self, Body: body}})
}

// updates returns the changes to piggyback on a message to a host, first of
// all what the host must refute or know about itself.
func (m *Machine) updates(to types.Host) []Member {
	room := m.room()
	var out []Member
	about, known := m.table.get(to)
	if known && (about.State == Suspect || about.State == Dead) {
		out = append(out, about)
		room -= memberSize(about)
	}
	return append(out, m.gossip.take(&m.table, room)...)
}

// room returns the number of bytes that a message of this host has for its body.
func (m *Machine) room() int { return maxMessageBytes - messageOverhead - memberSize(m.self) }

func (m *Machine) receive(now types.Time, msg Message) {
	if msg.From.Host == m.self.Host || msg.From.Incarnation == 0 {
		return
	}
	m.learn(now, msg.From, true)
	m.heard(now, msg.From)
	switch body := msg.Body.(type) {
	case Ping:
		m.learnAll(now, body.Updates, true)
		ack := Ack{Seq: body.Seq, Updates: m.updates(msg.From.Host)}
		m.sendTo(msg.From.GossipAddress, ack)
	case Ack:
		m.learnAll(now, body.Updates, true)
		m.acknowledged(body.Seq)
	case PingReq:
		m.learnAll(now, body.Updates, true)
		m.probeFor(now, msg.From, body)
	case Digest:
		m.compareDigest(msg.From, body)
	case Buckets:
		m.compareBuckets(now, msg.From, body)
	case Summaries:
		m.compareSummaries(msg.From, body)
	case Members:
		m.mergeMembers(now, msg.From, body)
	}
}

// heard notes that a host answered: the machine has joined, and the host's data
// centre can be reached.
func (m *Machine) heard(now types.Time, from Member) {
	if !m.joined {
		m.joined = true
		m.exchange.next = now
	}
	m.heardFrom(now, from.DataCentre)
}

// leave announces that this host is leaving.
func (m *Machine) leave() {
	if m.self.State == Leaving {
		return
	}
	m.self.State = Leaving
	m.storeSelf()
	m.note(NoteLeaving, m.self)
	m.announceSelf()
}

// announcedPeers is the number of peers told at once of a change of this host.
const announcedPeers = 6

// announceSelf tells some peers of this host's own state at once.
func (m *Machine) announceSelf() {
	peers := random.Sample(&m.random, m.peers(), announcedPeers)
	for _, h := range peers {
		m.send(h, Ping{Updates: m.updates(h)})
	}
}

// peers returns the other hosts of the data centre that may own endpoints.
func (m *Machine) peers() []types.Host {
	var out []types.Host
	for _, h := range m.table.liveIn(m.self.DataCentre) {
		if h != m.self.Host {
			out = append(out, h)
		}
	}
	return out
}

// contactSeeds asks the seeds for their members.
func (m *Machine) contactSeeds() {
	for _, address := range random.Sample(&m.random, m.seeds, seedContacts) {
		if address != m.self.GossipAddress {
			m.sendTo(address, m.digest())
		}
	}
}

// learnContacts adds the hosts that only the platform knows. It changes nothing
// about known hosts, since the list lags.
func (m *Machine) learnContacts(hosts []PlatformHost) {
	for _, h := range hosts {
		if h.Host == m.self.Host {
			if h.Leaving && m.self.State != Leaving {
				m.note(NoteSelfListedLeaving, m.self)
			}
			continue
		}
		if _, known := m.table.get(h.Host); known {
			continue
		}
		m.table.put(Member{
			Host:          h.Host,
			DataCentre:    h.DataCentre,
			MeshAddress:   h.MeshAddress,
			GossipAddress: h.GossipAddress,
		})
	}
}

// housekeep forgets hosts that have been dead for long.
func (m *Machine) housekeep(now types.Time) {
	if now.Before(m.nextHousework) {
		return
	}
	m.nextHousework = now.Add(housekeepingPeriod)
	kept := m.tombstones[:0]
	for _, t := range m.tombstones {
		about, known := m.table.get(t.host)
		switch {
		case !known || about.State != Dead:
		case now.Sub(t.since) >= tombstoneLife:
			m.table.remove(t.host)
		default:
			kept = append(kept, t)
		}
	}
	m.tombstones = kept
}

func (m *Machine) note(kind NoteKind, about Member) {
	m.effects = append(m.effects, Note{Kind: kind, Host: about.Host, DataCentre: about.DataCentre})
}

// reportChanges emits the changes with a new snapshot some time after the first one.
func (m *Machine) reportChanges(now types.Time) {
	if len(m.changed) == 0 {
		return
	}
	if m.reportAt == 0 {
		m.reportAt = now.Add(reportDelay)
	}
	if now.Before(m.reportAt) {
		return
	}
	slices.Sort(m.changed)
	var members []Member
	for _, h := range slices.Compact(m.changed) {
		if about, ok := m.table.get(h); ok {
			members = append(members, about)
		}
	}
	m.changed = nil
	m.reportAt = 0
	m.effects = append(m.effects, Changed{Members: members, Snapshot: m.table.snapshot()})
}
