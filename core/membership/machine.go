package membership

import (
	"slices"
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/types"
)

// Timing of the machine.
const (
	tombstonePurgeInterval = time.Minute
	// tombstoneRetention is how long a dead host is kept. It exceeds the longest
	// expected partition between data centres.
	tombstoneRetention = 6 * time.Hour
	// maxTickDelay is the delay of a tick beyond which the process is taken to have
	// been paused. Missing responses then do not show that other hosts have failed.
	maxTickDelay = time.Second
	// reportDelay batches changes, so that a burst of them gives few snapshots.
	reportDelay = 50 * time.Millisecond
)

// Config holds the settings of a machine.
type Config struct {
	// Self describes the machine's host. Its incarnation must be positive and exceed
	// those of the host's earlier runs, for instance the start time in Unix seconds.
	Self Member
	// Seed seeds the machine's random numbers.
	Seed uint64
}

// Machine is the membership state of one host.
type Machine struct {
	self   Member
	random random.Source
	table  table
	gossip gossipQueue

	prober     prober
	suspicions []suspicion
	tombstones []tombstone
	exchange   digestExchange
	relay      relay

	seeds []string
	// joined is set once another host has sent a message.
	joined      bool
	nextPurgeAt types.Time

	effects []Effect
	// changed lists the hosts whose changes are to be reported at reportAt.
	changed  []types.Host
	reportAt types.Time
}

// tombstone records when a host was declared dead.
type tombstone struct {
	host  types.Host
	since types.Time
}

// New returns the machine of a host that knows only itself.
func New(cfg Config) *Machine {
	m := &Machine{self: cfg.Self, random: random.New(cfg.Seed)}
	m.self.Incarnation = max(m.self.Incarnation, 1)
	m.self.State = Alive
	// An Ack to an earlier process of this host must not match a probe of this one.
	m.prober.seq = random.Hash(cfg.Seed^uint64(m.self.Incarnation), string(m.self.Host)) >> 1
	m.table.put(m.self)
	m.gossip.enqueue(m.self.Host, 1)
	return m
}

// Step applies an event at the given time and returns its effects.
func (m *Machine) Step(now types.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Tick:
		m.tick(now)
	case Message:
		m.handleMessage(now, ev)
	case Join:
		m.seeds = ev.Seeds
		m.contactSeeds()
	case Leave:
		m.leave()
	case PlatformHosts:
		m.addPlatformHosts(ev.Hosts)
	}
	m.reportChanges(now)
	return m.takeEffects()
}

// takeEffects returns the step's effects and clears them.
func (m *Machine) takeEffects() []Effect {
	effects := m.effects
	m.effects = nil
	return effects
}

// NextWake returns the time at which the machine needs its next Tick.
func (m *Machine) NextWake() types.Time {
	at := min(m.prober.nextWake(), m.exchange.nextAt, m.relay.nextAt, m.nextPurgeAt)
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
	m.extendDeadlinesAfterPause(now)
	m.advanceProbe(now)
	m.expireSuspicions(now)
	m.sendDigestIfDue(now)
	m.relayChanges(now)
	m.purgeTombstones(now)
}

// extendDeadlinesAfterPause discards the probe in flight after a pause of this process.
// It extends the deadlines of the suspicions by the length of the pause.
func (m *Machine) extendDeadlinesAfterPause(now types.Time) {
	delay := now.Sub(m.NextWake())
	if m.prober.nextRoundAt == 0 || delay < maxTickDelay {
		return
	}
	m.prober.current = probe{}
	for i := range m.suspicions {
		m.suspicions[i].deadline = m.suspicions[i].deadline.Add(delay)
	}
}

// sendToHost sends a message to a host of the table.
func (m *Machine) sendToHost(h types.Host, body Body) {
	to, ok := m.table.get(h)
	if !ok || to.GossipAddress == "" || h == m.self.Host {
		return
	}
	m.sendToAddress(to.GossipAddress, body)
}

func (m *Machine) sendToAddress(address string, body Body) {
	m.effects = append(m.effects, Send{Address: address, Message: Message{From: m.self, Body: body}})
}

// piggybackUpdates returns the changes to piggyback on a message to a host. The host's
// own suspicion or death comes first, since only that host can refute it.
func (m *Machine) piggybackUpdates(to types.Host) []Member {
	available := m.availableBodyBytes()
	var out []Member
	member, known := m.table.get(to)
	if known && (member.State == Suspect || member.State == Dead) {
		out = append(out, member)
		available -= memberSizeBytes(member)
	}
	return append(out, m.gossip.takeUpdates(&m.table, available)...)
}

// availableBodyBytes returns the number of bytes left for the body of a message.
func (m *Machine) availableBodyBytes() int {
	return maxMessageBytes - messageOverheadBytes - memberSizeBytes(m.self)
}

func (m *Machine) handleMessage(now types.Time, msg Message) {
	if msg.From.Host == m.self.Host || msg.From.Incarnation == 0 {
		return
	}
	m.applyUpdate(now, msg.From, true)
	m.recordContact(now, msg.From)
	switch body := msg.Body.(type) {
	case Ping:
		m.applyUpdates(now, body.Updates, true)
		ack := Ack{Seq: body.Seq, Updates: m.piggybackUpdates(msg.From.Host)}
		m.sendToAddress(msg.From.GossipAddress, ack)
	case Ack:
		m.applyUpdates(now, body.Updates, true)
		m.handleAck(body.Seq)
	case PingReq:
		m.applyUpdates(now, body.Updates, true)
		m.forwardProbe(now, msg.From, body)
	case Digest:
		m.handleDigest(msg.From, body)
	case Buckets:
		m.handleBuckets(now, msg.From, body)
	case Summaries:
		m.handleSummaries(msg.From, body)
	case Members:
		m.handleMembers(now, msg.From, body)
	}
}

// recordContact records that a host has sent a message: the machine has joined, and
// the host's data centre can be reached.
func (m *Machine) recordContact(now types.Time, from Member) {
	if !m.joined {
		m.joined = true
		m.exchange.nextAt = now
	}
	m.markReachable(now, from.DataCentre)
}

// leave announces that this host is leaving.
func (m *Machine) leave() {
	if m.self.State == Leaving {
		return
	}
	m.self.State = Leaving
	m.updateSelf()
	m.emitNote(NoteLeaving, m.self)
	m.announceSelf()
}

// announceFanout is the number of peers that are sent a change of this host at once.
const announceFanout = 6

// announceSelf sends this host's own state to some peers at once.
func (m *Machine) announceSelf() {
	peers := random.Sample(&m.random, m.peers(), announceFanout)
	for _, h := range peers {
		m.sendToHost(h, Ping{Updates: m.piggybackUpdates(h)})
	}
}

// peers returns the other hosts of the data centre that may own endpoints.
func (m *Machine) peers() []types.Host {
	var out []types.Host
	for _, h := range m.table.liveHostsIn(m.self.DataCentre) {
		if h != m.self.Host {
			out = append(out, h)
		}
	}
	return out
}

// contactSeeds sends a digest to some seeds, which respond with what this host lacks.
func (m *Machine) contactSeeds() {
	for _, address := range random.Sample(&m.random, m.seeds, seedFanout) {
		if address != m.self.GossipAddress {
			m.sendToAddress(address, m.makeDigest())
		}
	}
}

// addPlatformHosts adds the hosts that only the platform's list names. It does not
// change known hosts, since the list may be outdated.
func (m *Machine) addPlatformHosts(hosts []PlatformHost) {
	for _, h := range hosts {
		if h.Host == m.self.Host {
			if h.Leaving && m.self.State != Leaving {
				m.emitNote(NoteSelfListedLeaving, m.self)
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

// purgeTombstones removes hosts that have been dead for tombstoneRetention.
func (m *Machine) purgeTombstones(now types.Time) {
	if now.Before(m.nextPurgeAt) {
		return
	}
	m.nextPurgeAt = now.Add(tombstonePurgeInterval)
	retained := m.tombstones[:0]
	for _, t := range m.tombstones {
		member, known := m.table.get(t.host)
		switch {
		case !known || member.State != Dead:
		case now.Sub(t.since) >= tombstoneRetention:
			m.table.remove(t.host)
		default:
			retained = append(retained, t)
		}
	}
	m.tombstones = retained
}

func (m *Machine) emitNote(kind NoteKind, member Member) {
	m.effects = append(m.effects, Note{Kind: kind, Host: member.Host, DataCentre: member.DataCentre})
}

// reportChanges emits the changes with a new snapshot once reportDelay has passed
// since the first one.
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
		if member, ok := m.table.get(h); ok {
			members = append(members, member)
		}
	}
	m.changed = nil
	m.reportAt = 0
	m.effects = append(m.effects, Changed{Members: members, Snapshot: m.table.snapshot()})
}
