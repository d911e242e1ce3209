package config

import (
	"slices"
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

// Timing and sizes of the distribution.
const (
	// digestInterval is the time between digests to random peers of the data centre.
	digestInterval = 500 * time.Millisecond
	// remoteDigestInterval is the time between a relay's digests to other data centres.
	remoteDigestInterval = 250 * time.Millisecond
	// fetchRetryInterval is the time between requests of a host that lacks configuration.
	fetchRetryInterval = 300 * time.Millisecond
	// busyRetryDelay is the time before the next request after a Busy answer.
	busyRetryDelay = 60 * time.Millisecond
	// relaySettleTime is how long a host must find itself a relay before it acts as one,
	// so that hosts that start together do not all turn to the platform.
	relaySettleTime = 3 * time.Second
	// fallbackDelay is the time after which a host without configuration asks the
	// platform itself; up to as much again is added at random.
	fallbackDelay = 6 * time.Second
	// maxTransfersPerSecond bounds the answers to FetchAll.
	maxTransfersPerSecond = 4
	// maxObjectsPerPush bounds the objects of one message.
	maxObjectsPerPush = 100
)

// Settings configures a distributor.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	// Seed starts the distributor's random numbers.
	Seed uint64
}

// Distributor keeps the configuration of one host current.
type Distributor struct {
	settings Settings
	random   random.Source
	store    *Store
	peers    peerSet
	platform platformState

	started          bool
	nextDigest       types.Time
	nextRemoteDigest types.Time
	nextFetch        types.Time

	// transfers counts the answers to FetchAll since windowStart.
	transfers           int
	transferWindowStart types.Time

	effects []Effect
	changed []Object
	// becameComplete is set in the step in which the configuration became whole.
	becameComplete bool
}

// NewDistributor returns a distributor without configuration.
func NewDistributor(s Settings) *Distributor {
	return &Distributor{settings: s, random: random.New(s.Seed), store: NewStore()}
}

// Step applies an event at the given time and returns its effects.
func (d *Distributor) Step(now types.Time, ev Event) []Effect {
	d.changed = nil
	d.becameComplete = false
	d.initDeadlines(now)
	switch ev := ev.(type) {
	case Tick:
		d.tick(now)
	case Peers:
		d.peers = newPeerSet(d.settings, ev.Groups)
		d.updateRelayRole(now)
	case PlatformObjects:
		d.handlePlatformObjects(now, ev)
	case PlatformFailed:
		d.handlePlatformFailure(now)
	case ObjectsWritten:
		d.distributeWritten(ev.Objects)
	case PeerMessage:
		d.receive(now, ev)
	}
	d.addChangedEffect()
	return d.takeEffects()
}

// takeEffects returns the effects of the step and keeps no reference to them.
func (d *Distributor) takeEffects() []Effect {
	effects := d.effects
	d.effects = nil
	return effects
}

// Deadline returns the time at which the distributor needs its next Tick.
func (d *Distributor) Deadline() types.Time {
	at := min(d.nextDigest, d.nextRemoteDigest, d.platform.deadline())
	if !d.store.complete {
		at = min(at, d.nextFetch)
	}
	return at
}

// Snapshot returns the configuration in force.
func (d *Distributor) Snapshot() Snapshot { return d.store.Snapshot() }

// initDeadlines spreads the periods of hosts that initDeadlines together.
func (d *Distributor) initDeadlines(now types.Time) {
	if d.started {
		return
	}
	d.started = true
	d.nextDigest = now.Add(d.randomDuration(digestInterval))
	d.nextRemoteDigest = now.Add(d.randomDuration(remoteDigestInterval))
	d.nextFetch = now
	d.platform.fallbackAt = now.Add(fallbackDelay + d.randomDuration(fallbackDelay))
}

// randomDuration returns a random duration below limit.
func (d *Distributor) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(d.random.Below(int(limit)))
}

func (d *Distributor) tick(now types.Time) {
	d.requestConfiguration(now)
	d.sendDigest(now)
	d.sendRemoteDigest(now)
	d.updateRelayRole(now)
	d.requestFromPlatform(now)
}

// requestConfiguration asks a peer for the whole configuration while it is missing.
func (d *Distributor) requestConfiguration(now types.Time) {
	if d.store.complete || now.Before(d.nextFetch) {
		return
	}
	d.nextFetch = now.Add(fetchRetryInterval)
	if to := d.peers.randomPeer(&d.random); to != "" {
		d.send(to, FetchAll{})
	}
}

// sendDigest compares the configuration with a random peer.
func (d *Distributor) sendDigest(now types.Time) {
	if now.Before(d.nextDigest) {
		return
	}
	d.nextDigest = now.Add(digestInterval)
	if to := d.peers.randomPeer(&d.random); to != "" {
		d.send(to, d.digest())
	}
}

// sendRemoteDigest compares a relay's configuration with one of another data centre.
func (d *Distributor) sendRemoteDigest(now types.Time) {
	if now.Before(d.nextRemoteDigest) {
		return
	}
	d.nextRemoteDigest = now.Add(remoteDigestInterval)
	if !d.peers.isRelay(d.settings.Host) {
		return
	}
	if to := d.peers.randomRemoteRelay(&d.random); to != "" {
		d.send(to, d.digest())
	}
}

func (d *Distributor) digest() Digest {
	return Digest{Hash: d.store.Digest(), Complete: d.store.complete}
}

func (d *Distributor) send(to types.Host, body PeerBody) {
	d.effects = append(d.effects, Send{To: to, Body: body})
}

// distributeWritten takes objects that this host wrote and hands them to the relays.
func (d *Distributor) distributeWritten(objects []Object) {
	applied := d.applyNewer(objects)
	if len(applied) == 0 {
		return
	}
	if d.peers.isRelay(d.settings.Host) {
		d.pushToLocalPeers(applied, "")
		return
	}
	for _, relay := range d.peers.relays {
		if relay != "" {
			d.pushObjects(relay, applied)
		}
	}
}

// applyNewer takes the objects that are newer than the known ones and returns them.
func (d *Distributor) applyNewer(objects []Object) []Object {
	var applied []Object
	for _, o := range objects {
		if d.store.Apply(o) {
			applied = append(applied, o)
		}
	}
	d.changed = append(d.changed, applied...)
	return applied
}

// forwardInDataCentre passes objects on to the data centre if this host is a relay and they did
// not come from a relay of the same data centre. A relay that still takes the whole
// configuration passes nothing on.
func (d *Distributor) forwardInDataCentre(objects []Object, from types.Host) {
	if len(objects) == 0 || !d.store.complete {
		return
	}
	if !d.peers.isRelay(d.settings.Host) || d.peers.isRelay(from) {
		return
	}
	d.pushToLocalPeers(objects, from)
}

func (d *Distributor) pushToLocalPeers(objects []Object, except types.Host) {
	for _, h := range d.peers.local {
		if h != except {
			d.pushObjects(h, objects)
		}
	}
}

// pushObjects sends objects in as many messages as needed.
func (d *Distributor) pushObjects(to types.Host, objects []Object) {
	for chunk := range slices.Chunk(objects, maxObjectsPerPush) {
		d.send(to, Push{Objects: chunk})
	}
}

// setComplete notes that the whole configuration is known.
func (d *Distributor) setComplete() {
	if d.store.complete {
		return
	}
	d.store.setComplete()
	d.becameComplete = true
	d.addNote(NoteReady)
}

func (d *Distributor) addNote(kind NoteKind) { d.effects = append(d.effects, Note{Kind: kind}) }

// addChangedEffect emits the changes of the step with a new snapshot.
func (d *Distributor) addChangedEffect() {
	if len(d.changed) == 0 && !d.becameComplete {
		return
	}
	d.effects = append(d.effects, Changed{Objects: d.changed, Snapshot: d.store.Snapshot()})
}

// peerSet are the live hosts as the distributor needs them.
type peerSet struct {
	// local lists the other hosts of the data centre.
	local []types.Host
	// relays are the data centre's relays, this host included.
	relays [2]types.Host
	// remoteRelays lists the relays of each other data centre.
	remoteRelays [][2]types.Host
}

func newPeerSet(s Settings, groups []PeerGroup) peerSet {
	var p peerSet
	for _, g := range groups {
		first, second := routing.HighestTwo("relay/"+string(g.DataCentre), g.Hosts)
		relays := [2]types.Host{first, second}
		if g.DataCentre != s.DataCentre {
			p.remoteRelays = append(p.remoteRelays, relays)
			continue
		}
		p.relays = relays
		for _, h := range g.Hosts {
			if h != s.Host {
				p.local = append(p.local, h)
			}
		}
	}
	return p
}

func (p peerSet) isRelay(h types.Host) bool { return h != "" && (p.relays[0] == h || p.relays[1] == h) }

// randomPeer returns a random other host of the data centre, or a relay of another data
// centre if there is none.
func (p peerSet) randomPeer(r *random.Source) types.Host {
	if len(p.local) == 0 {
		return p.randomRemoteRelay(r)
	}
	return p.local[r.Below(len(p.local))]
}

// randomRemoteRelay returns a random relay of a random other data centre.
func (p peerSet) randomRemoteRelay(r *random.Source) types.Host {
	if len(p.remoteRelays) == 0 {
		return ""
	}
	relays := p.remoteRelays[r.Below(len(p.remoteRelays))]
	if relays[1] != "" && r.Below(2) == 0 {
		return relays[1]
	}
	return relays[0]
}
