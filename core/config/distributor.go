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
	// digestPeriod is the time between digests to random peers of the data centre.
	digestPeriod = 500 * time.Millisecond
	// crossPeriod is the time between a relay's digests to other data centres.
	crossPeriod = 250 * time.Millisecond
	// fetchPeriod is the time between requests of a host that lacks configuration.
	fetchPeriod = 300 * time.Millisecond
	// busyDelay is the time before the next request after a Busy answer.
	busyDelay = 60 * time.Millisecond
	// settleTime is how long a host must find itself a relay before it acts as one,
	// so that hosts that start together do not all turn to the platform.
	settleTime = 3 * time.Second
	// fallbackDelay is the time after which a host without configuration asks the
	// platform itself; up to as much again is added at random.
	fallbackDelay = 6 * time.Second
	// transfersPerSecond bounds the answers to FetchAll.
	transfersPerSecond = 4
	// objectsPerPush bounds the objects of one message.
	objectsPerPush = 100
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
	peers    peers
	platform platform

	started    bool
	nextDigest types.Time
	nextCross  types.Time
	nextFetch  types.Time

	// transfers counts the answers to FetchAll since windowStart.
	transfers   int
	windowStart types.Time

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
	d.start(now)
	switch ev := ev.(type) {
	case Tick:
		d.tick(now)
	case Peers:
		d.peers = newPeers(d.settings, ev.Groups)
		d.updateRole(now)
	case PlatformObjects:
		d.platformAnswered(now, ev)
	case PlatformFailed:
		d.platformFailed(now)
	case Written:
		d.written(ev.Objects)
	case PeerMessage:
		d.receive(now, ev)
	}
	d.reportChanges()
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
	at := min(d.nextDigest, d.nextCross, d.platform.deadline())
	if !d.store.complete {
		at = min(at, d.nextFetch)
	}
	return at
}

// Snapshot returns the configuration in force.
func (d *Distributor) Snapshot() Snapshot { return d.store.Snapshot() }

// start spreads the periods of hosts that start together.
func (d *Distributor) start(now types.Time) {
	if d.started {
		return
	}
	d.started = true
	d.nextDigest = now.Add(d.upTo(digestPeriod))
	d.nextCross = now.Add(d.upTo(crossPeriod))
	d.nextFetch = now
	d.platform.fallbackAt = now.Add(fallbackDelay + d.upTo(fallbackDelay))
}

// upTo returns a random duration below limit.
func (d *Distributor) upTo(limit time.Duration) time.Duration {
	return time.Duration(d.random.IntN(int(limit)))
}

func (d *Distributor) tick(now types.Time) {
	d.fetchAll(now)
	d.sendDigest(now)
	d.sendCrossDigest(now)
	d.updateRole(now)
	d.askPlatform(now)
}

// fetchAll asks a peer for the whole configuration while it is missing.
func (d *Distributor) fetchAll(now types.Time) {
	if d.store.complete || now.Before(d.nextFetch) {
		return
	}
	d.nextFetch = now.Add(fetchPeriod)
	if to := d.peers.any(&d.random); to != "" {
		d.send(to, FetchAll{})
	}
}

// sendDigest compares the configuration with a random peer.
func (d *Distributor) sendDigest(now types.Time) {
	if now.Before(d.nextDigest) {
		return
	}
	d.nextDigest = now.Add(digestPeriod)
	if to := d.peers.any(&d.random); to != "" {
		d.send(to, d.digest())
	}
}

// sendCrossDigest compares a relay's configuration with one of another data centre.
func (d *Distributor) sendCrossDigest(now types.Time) {
	if now.Before(d.nextCross) {
		return
	}
	d.nextCross = now.Add(crossPeriod)
	if !d.peers.isRelay(d.settings.Host) {
		return
	}
	if to := d.peers.anyRemoteRelay(&d.random); to != "" {
		d.send(to, d.digest())
	}
}

func (d *Distributor) digest() Digest {
	return Digest{Hash: d.store.Digest(), Complete: d.store.complete}
}

func (d *Distributor) send(to types.Host, body PeerBody) {
	d.effects = append(d.effects, Send{To: to, Body: body})
}

// written takes objects that this host wrote and hands them to the relays.
func (d *Distributor) written(objects []Object) {
	fresh := d.apply(objects)
	if len(fresh) == 0 {
		return
	}
	if d.peers.isRelay(d.settings.Host) {
		d.pushToPeers(fresh, "")
		return
	}
	for _, relay := range d.peers.relays {
		if relay != "" {
			d.push(relay, fresh)
		}
	}
}

// apply takes the objects that are newer than the known ones and returns them.
func (d *Distributor) apply(objects []Object) []Object {
	var fresh []Object
	for _, o := range objects {
		if d.store.Apply(o) {
			fresh = append(fresh, o)
		}
	}
	d.changed = append(d.changed, fresh...)
	return fresh
}

// spread passes objects on to the data centre if this host is a relay and they did
// not come from a relay of the same data centre. A relay that still takes the whole
// configuration passes nothing on.
func (d *Distributor) spread(objects []Object, from types.Host) {
	if len(objects) == 0 || !d.store.complete {
		return
	}
	if !d.peers.isRelay(d.settings.Host) || d.peers.isRelay(from) {
		return
	}
	d.pushToPeers(objects, from)
}

func (d *Distributor) pushToPeers(objects []Object, except types.Host) {
	for _, h := range d.peers.local {
		if h != except {
			d.push(h, objects)
		}
	}
}

// push sends objects in as many messages as needed.
func (d *Distributor) push(to types.Host, objects []Object) {
	for part := range slices.Chunk(objects, objectsPerPush) {
		d.send(to, Push{Objects: part})
	}
}

// setComplete notes that the whole configuration is known.
func (d *Distributor) setComplete() {
	if d.store.complete {
		return
	}
	d.store.setComplete()
	d.becameComplete = true
	d.note(NoteReady)
}

func (d *Distributor) note(kind NoteKind) { d.effects = append(d.effects, Note{Kind: kind}) }

// reportChanges emits the changes of the step with a new snapshot.
func (d *Distributor) reportChanges() {
	if len(d.changed) == 0 && !d.becameComplete {
		return
	}
	d.effects = append(d.effects, Changed{Objects: d.changed, Snapshot: d.store.Snapshot()})
}

// peers are the live hosts as the distributor needs them.
type peers struct {
	// local lists the other hosts of the data centre.
	local []types.Host
	// relays are the data centre's relays, this host included.
	relays [2]types.Host
	// remote lists the relays of each other data centre.
	remote [][2]types.Host
}

func newPeers(s Settings, groups []PeerGroup) peers {
	var p peers
	for _, g := range groups {
		first, second := routing.HighestWeightHosts("relay/"+string(g.DataCentre), g.Hosts)
		relays := [2]types.Host{first, second}
		if g.DataCentre != s.DataCentre {
			p.remote = append(p.remote, relays)
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

func (p peers) isRelay(h types.Host) bool { return h != "" && (p.relays[0] == h || p.relays[1] == h) }

// any returns a random other host of the data centre, or a relay of another data
// centre if there is none.
func (p peers) any(r *random.Source) types.Host {
	if len(p.local) == 0 {
		return p.anyRemoteRelay(r)
	}
	return p.local[r.IntN(len(p.local))]
}

// anyRemoteRelay returns a random relay of a random other data centre.
func (p peers) anyRemoteRelay(r *random.Source) types.Host {
	if len(p.remote) == 0 {
		return ""
	}
	relays := p.remote[r.IntN(len(p.remote))]
	if relays[1] != "" && r.IntN(2) == 0 {
		return relays[1]
	}
	return relays[0]
}
