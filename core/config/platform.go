package config

import (
	"time"

	"baobabfield.example/core/types"
)

// Bounds on the delay between requests to the platform after a failure.
const (
	minPlatformRetryDelay = 200 * time.Millisecond
	maxPlatformRetryDelay = 2 * time.Second
)

// never is later than every time that a clock returns.
const never = types.Time(1<<63 - 1)

// platformState is the state of the requests to the platform.
type platformState struct {
	// relaySince is the time at which this host became a relay, or 0 if it is none.
	relaySince types.Time
	// relayActive is set while this host lists or watches the platform as a relay.
	relayActive bool
	// listInFlight is set while a list request is in flight.
	listInFlight bool
	// retryAt is the time of the next retry, or 0 if none is scheduled.
	retryAt     types.Time
	retryDelay  time.Duration
	unreachable bool
	// fallbackAt is the time at which a host without configuration requests it from
	// the platform.
	fallbackAt types.Time
}

func (p platformState) nextWake() types.Time {
	at := p.fallbackAt
	if p.relaySince != 0 && !p.relayActive {
		at = min(at, p.relaySince.Add(relaySettleTime))
	}
	if p.retryAt != 0 {
		at = min(at, p.retryAt)
	}
	return at
}

// updateRelayRole starts the watch of the platform once this host has been a relay
// for relaySettleTime, and stops the watch once it is no relay.
func (d *Distributor) updateRelayRole(now types.Time) {
	p := &d.platform
	if !d.peers.isRelay(d.settings.Host) {
		d.stopRelay()
		return
	}
	if p.relaySince == 0 {
		p.relaySince = now
	}
	if p.relayActive || now.Sub(p.relaySince) < relaySettleTime {
		return
	}
	p.relayActive = true
	d.addNote(NoteRelayStarted)
	d.requestPlatformList()
}

func (d *Distributor) stopRelay() {
	p := &d.platform
	p.relaySince = 0
	if !p.relayActive {
		return
	}
	p.relayActive = false
	p.unreachable = false
	p.retryAt = 0
	d.addNote(NoteRelayStopped)
	d.effects = append(d.effects, StopWatch{})
}

// requestFromPlatform retries a failed request. At fallbackAt, it requests the
// configuration if no peer has sent it.
func (d *Distributor) requestFromPlatform(now types.Time) {
	p := &d.platform
	if p.retryAt != 0 && !now.Before(p.retryAt) {
		p.retryAt = 0
		d.requestPlatformList()
	}
	if now.Before(p.fallbackAt) {
		return
	}
	p.fallbackAt = never
	if !d.store.complete {
		d.requestPlatformList()
	}
}

func (d *Distributor) requestPlatformList() {
	if d.platform.listInFlight {
		return
	}
	d.platform.listInFlight = true
	d.effects = append(d.effects, ListPlatform{})
}

// handlePlatformObjects applies objects from the platform. A relay watches for
// changes after a full list.
func (d *Distributor) handlePlatformObjects(_ types.Time, ev PlatformObjects) {
	p := &d.platform
	p.retryDelay = 0
	if p.unreachable {
		p.unreachable = false
		d.addNote(NotePlatformReachable)
	}
	if !ev.FullList {
		d.forwardInDataCentre(d.applyNewer(ev.Objects), "")
		return
	}
	p.listInFlight = false
	applied := d.store.ApplyFullList(ev.Objects, ev.Version)
	d.changed = append(d.changed, applied...)
	d.forwardInDataCentre(applied, "")
	d.setComplete()
	if p.relayActive {
		d.effects = append(d.effects, WatchPlatform{After: ev.Version})
	}
}

// handlePlatformFailure schedules a retry with exponential backoff and jitter.
func (d *Distributor) handlePlatformFailure(now types.Time) {
	p := &d.platform
	p.listInFlight = false
	if !p.unreachable {
		p.unreachable = true
		d.addNote(NotePlatformUnreachable)
	}
	if !p.relayActive && d.store.complete {
		return
	}
	p.retryDelay = min(max(2*p.retryDelay, minPlatformRetryDelay), maxPlatformRetryDelay)
	p.retryAt = now.Add(p.retryDelay/2 + d.randomDuration(p.retryDelay))
}
