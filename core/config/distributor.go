package config

import (
	"slices"
	"time"

	"baobabfield.example/core/random"
	"baobabfield.example/core/routing"
	"baobabfield.example/core/types"
)

// Intervals and limits of the distribution.
const (
	// digestInterval is the time between digests to random peers of the data centre.
	digestInterval = 500 * time.Millisecond
	// remoteDigestInterval is the time between a relay's digests to other data centres.
	remoteDigestInterval = 250 * time.Millisecond
	// fetchRetryInterval is the time between FetchAll requests of a host that lacks
	// the configuration.
	fetchRetryInterval = 300 * time.Millisecond
	// busyRetryDelay is the mean time before the next FetchAll after a Busy response.
	busyRetryDelay = 60 * time.Millisecond
	// relaySettleTime is the time for which a host must have been a relay before it
	// watches the platform. Otherwise hosts that start together and do not yet know
	// each other would all send requests to the platform.
	relaySettleTime = 3 * time.Second
	// fallbackDelay is the minimum time after which a host without configuration
	// requests it from the platform. A random jitter of up to the same time is added.
	fallbackDelay = 6 * time.Second
	// maxTransfersPerSecond bounds the rate of transfers of the complete
	// configuration to other hosts.
	maxTransfersPerSecond = 4
	// maxObjectsPerPush bounds the number of objects in one message.
	maxObjectsPerPush = 100
)

// Settings configures a distributor.
type Settings struct {
	Host       types.Host
	DataCentre types.DataCentre
	// Seed is the seed of the distributor's random numbers.
	Seed uint64
}

// Distributor keeps the configuration of one host up to date. It exchanges objects
// with other hosts and, as a relay, reads them from the platform.
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

	// transferCount is the number of transfers of the complete configuration since
	// transferWindowStart.
	transferCount       int
	transferWindowStart types.Time

	effects []Effect
	changed []Object
	// becameComplete is set if the configuration became complete in this step.
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

// takeEffects returns the effects of the step and clears them.
func (d *Distributor) takeEffects() []Effect {
	effects := d.effects
	d.effects = nil
	return effects
}

// NextWake returns the time at which the distributor needs its next Tick.
func (d *Distributor) NextWake() types.Time {
	at := min(d.nextDigest, d.nextRemoteDigest, d.platform.nextWake())
	if !d.store.complete {
		at = min(at, d.nextFetch)
	}
	return at
}

// Snapshot returns the current configuration.
func (d *Distributor) Snapshot() Snapshot { return d.store.Snapshot() }

// initDeadlines sets the deadlines at the first step. Digests and the fallback are
// spread at random, since hosts that start together would otherwise send them at the
// same times.
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

// randomDuration returns a random duration of at least 0 and less than limit.
func (d *Distributor) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(d.random.IntN(int(limit)))
}

func (d *Distributor) tick(now types.Time) {
	d.requestConfiguration(now)
	d.sendDigest(now)
	d.sendRemoteDigest(now)
	d.updateRelayRole(now)
	d.requestFromPlatform(now)
}

// requestConfiguration requests the complete configuration from a peer while this
// host lacks it.
func (d *Distributor) requestConfiguration(now types.Time) {
	if d.store.complete || now.Before(d.nextFetch) {
		return
	}
	d.nextFetch = now.Add(fetchRetryInterval)
	if to := d.peers.randomPeer(&d.random); to != "" {
		d.send(to, FetchAll{})
	}
}

// sendDigest sends the digest to a random peer when it is due.
func (d *Distributor) sendDigest(now types.Time) {
	if now.Before(d.nextDigest) {
		return
	}
	d.nextDigest = now.Add(digestInterval)
	if to := d.peers.randomPeer(&d.random); to != "" {
		d.send(to, d.digest())
	}
}

// sendRemoteDigest sends the digest to a relay of another data centre when it is
// due and this host is a relay.
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

// distributeWritten applies objects that this host wrote and pushes them to the
// relays of the data centre. A relay pushes them to all hosts of the data centre.
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

// applyNewer stores the objects that are newer than the known ones and returns them.
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

// forwardInDataCentre pushes objects to the hosts of the data centre if this host is
// a relay and the objects did not come from a relay of the same data centre. A relay
// without the complete configuration forwards nothing, so that it does not repeat
// the configuration while it receives it.
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
	for _, h := range d.peers.localPeers {
		if h != except {
			d.pushObjects(h, objects)
		}
	}
}

// pushObjects sends objects in messages of up to maxObjectsPerPush.
func (d *Distributor) pushObjects(to types.Host, objects []Object) {
	for chunk := range slices.Chunk(objects, maxObjectsPerPush) {
		d.send(to, Push{Objects: chunk})
	}
}

// setComplete marks the configuration as complete.
func (d *Distributor) setComplete() {
	if d.store.complete {
		return
	}
	d.store.setComplete()
	d.becameComplete = true
	d.addNote(NoteReady)
}

func (d *Distributor) addNote(kind NoteKind) { d.effects = append(d.effects, Note{Kind: kind}) }

// addChangedEffect adds a Changed effect if the step changed the configuration.
func (d *Distributor) addChangedEffect() {
	if len(d.changed) == 0 && !d.becameComplete {
		return
	}
	d.effects = append(d.effects, Changed{Objects: d.changed, Snapshot: d.store.Snapshot()})
}

// peerSet holds the live hosts to which the distributor sends messages.
type peerSet struct {
	// localPeers lists the other hosts of the data centre.
	localPeers []types.Host
	// relays holds the relays of the data centre. This host can be one of them.
	relays [2]types.Host
	// remoteRelays lists the relays of each other data centre.
	remoteRelays [][2]types.Host
}

func newPeerSet(s Settings, groups []PeerGroup) peerSet {
	var p peerSet
	for _, g := range groups {
		first, second := routing.HighestWeightHosts("relay/"+string(g.DataCentre), g.Hosts)
		relays := [2]types.Host{first, second}
		if g.DataCentre != s.DataCentre {
			p.remoteRelays = append(p.remoteRelays, relays)
			continue
		}
		p.relays = relays
		for _, h := range g.Hosts {
			if h != s.Host {
				p.localPeers = append(p.localPeers, h)
			}
		}
	}
	return p
}

func (p peerSet) isRelay(h types.Host) bool { return h != "" && (p.relays[0] == h || p.relays[1] == h) }

// randomPeer returns a random other host of the data centre, or a relay of another data
// centre if there is none.
func (p peerSet) randomPeer(r *random.Source) types.Host {
	if len(p.localPeers) == 0 {
		return p.randomRemoteRelay(r)
	}
	return p.localPeers[r.IntN(len(p.localPeers))]
}

// randomRemoteRelay returns a random relay of a random other data centre.
func (p peerSet) randomRemoteRelay(r *random.Source) types.Host {
	if len(p.remoteRelays) == 0 {
		return ""
	}
	relays := p.remoteRelays[r.IntN(len(p.remoteRelays))]
	if relays[1] != "" && r.IntN(2) == 0 {
		return relays[1]
	}
	return relays[0]
}
