package config

import (
	"time"

	"baobabfield.example/core/types"
)

// Delays between attempts to reach the platform.
const (
	minPlatformDelay = 200 * time.Millisecond
	maxPlatformDelay = 2 * time.Second
)

// never is a time that does not come.
const never = types.Time(1<<63 - 1)

// platform is the state of the exchange with the platform.
type platform struct {
	// relaySince is when this host became a relay, 0 if it is none.
	relaySince types.Time
	// active is set while this host lists or watches the platform as a relay.
	active bool
	// listing is set while a list is in progress.
	listing bool
	// retryAt is the time of the next attempt, 0 if none is due.
	retryAt types.Time
	delay   time.Duration
	lost    bool
	// fallbackAt is when a host without configuration asks the platform itself.
	fallbackAt types.Time
}

func (p platform) deadline() types.Time {
	at := p.fallbackAt
	if p.relaySince != 0 && !p.active {
		at = min(at, p.relaySince.Add(settleTime))
	}
	if p.retryAt != 0 {
		at = min(at, p.retryAt)
	}
	return at
}

// updateRole starts and ends the relay's watch of the platform.
func (d *Distributor) updateRole(now types.Time) {
	p := &d.platform
	if !d.peers.isRelay(d.settings.Host) {
		d.stopRelay()
		return
	}
	if p.relaySince == 0 {
		p.relaySince = now
	}
	if p.active || now.Sub(p.relaySince) < settleTime {
		return
	}
	p.active = true
	d.note(NoteRelayStarted)
	d.list()
}

func (d *Distributor) stopRelay() {
	p := &d.platform
	p.relaySince = 0
	if !p.active {
		return
	}
	p.active = false
	p.lost = false
	p.retryAt = 0
	d.note(NoteRelayStopped)
	d.effects = append(d.effects, StopWatch{})
}

// askPlatform repeats a failed request, and asks for the configuration if no peer
// had it.
func (d *Distributor) askPlatform(now types.Time) {
	p := &d.platform
	if p.retryAt != 0 && !now.Before(p.retryAt) {
		p.retryAt = 0
		d.list()
	}
	if now.Before(p.fallbackAt) {
		return
	}
	p.fallbackAt = never
	if !d.store.complete {
		d.list()
	}
}

func (d *Distributor) list() {
	if d.platform.listing {
		return
	}
	d.platform.listing = true
	d.effects = append(d.effects, ListPlatform{})
}

// platformAnswered takes objects from the platform and watches for further ones.
func (d *Distributor) platformAnswered(_ types.Time, ev PlatformObjects) {
	p := &d.platform
	p.delay = 0
	if p.lost {
		p.lost = false
		d.note(NotePlatformFound)
	}
	if !ev.Whole {
		d.spread(d.apply(ev.Objects), "")
		return
	}
	p.listing = false
	fresh := d.store.ApplyWhole(ev.Objects, ev.Revision)
	d.changed = append(d.changed, fresh...)
	d.spread(fresh, "")
	d.setComplete()
	if p.active {
		d.effects = append(d.effects, WatchPlatform{After: ev.Revision})
	}
}

// platformFailed schedules another attempt with growing, random delays.
func (d *Distributor) platformFailed(now types.Time) {
	p := &d.platform
	p.listing = false
	if !p.lost {
		p.lost = true
		d.note(NotePlatformLost)
	}
	if !p.active && d.store.complete {
		return
	}
	p.delay = min(max(2*p.delay, minPlatformDelay), maxPlatformDelay)
	p.retryAt = now.Add(p.delay/2 + d.upTo(p.delay))
}
