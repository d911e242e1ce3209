package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// outage is how long the store is down, deafFor how long a replica receives nothing, and crashFor
	// how long a second instance stays down.
	outage   = 4500 * time.Millisecond
	deafFor  = 6 * time.Second
	crashFor = 7 * time.Second
	// candidateCrashFor is how long a replica stays down that has crashed.
	candidateCrashFor = 4500 * time.Millisecond
	// crashAfterReturn is the time from the store's return to the crash of the primary.
	crashAfterReturn = 900 * time.Millisecond
	// expiry is the silence after which an entry is removed: three heartbeats.
	expiry = 3 * heartbeat
)

// deployment is one service with a primary in zone-a, whose commits one replica must have, three hosts,
// and clients that write.
type deployment struct {
	e         *environment
	store     *store
	service   *service
	instances []*instance
	hosts     []*host

	mu sync.Mutex
	// acknowledged is the last position that a client has an acknowledgement of, by write its id.
	acknowledged   position
	acknowledgedID string
	lost           bool
}

func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.stop()
	}
}

func startDeployment(e *environment) (*deployment, error) {
	d := &deployment{e: e}
	var err error
	if d.store, err = startStore(e.rec, func(_, id string) int { return d.service.promote(id) }); err != nil {
		return nil, err
	}
	d.store.put("config", "main", map[string]any{
		"version": 4,
		"routes": []any{map[string]any{
			"name": "r-rounds", "host": "rounds", "pathPrefix": "/", "type": "primary", "timeoutMs": 800, "targetLatencyMs": 150,
			"priority": 0, "service": "logs", "attempts": 2,
		}},
		"services": []any{map[string]any{"name": "logs", "maxConns": 47, "syncReplicas": 1}},
		"limits":   map[string]any{"txIdleMs": 3000},
	})
	d.service = &service{name: "logs", lag: usualLag, syncReplicas: 1, store: d.store, rec: e.rec, onLead: d.checkLead}
	for n, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		i, err := d.service.add(fmt.Sprintf("i-%d", n), zone, n == 0)
		if err != nil {
			return nil, err
		}
		d.instances = append(d.instances, i)
	}
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		h, err := startHost(e.dir, e.binary, "edge-"+zone, zone, d.store.address(), &e.nextPort)
		if err != nil {
			return d, err
		}
		d.hosts = append(d.hosts, h)
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return d, err
		}
	}
	return d, nil
}

// checkLead compares the log of a new primary with what clients have an acknowledgement of. The caller
// holds the lock of the service.
func (d *deployment) checkLead(i *instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i.received.less(d.acknowledged) {
		d.lost = true
		d.e.rec.add("LOST: %s leads with its log up to %s, without commit %s of write %s, which was acknowledged", i.id, i.received, d.acknowledged, d.acknowledgedID)
	}
}

// write sends writes through a host until done is closed.
func (d *deployment) write(n int, done <-chan struct{}) {
	for session := 0; ; session++ {
		c, err := connect(d.e.rec, fmt.Sprintf("w%d.%d", n, session), d.hosts[n].frontend, "rounds")
		for err == nil {
			var a answered
			a, err = c.query("WRITE 1a4 x")
			if err == nil && a.code == "" {
				d.noteAcknowledged(&a)
			}
			select {
			case <-done:
				_ = c.conn.Close()
				return
			case <-time.After(40 * time.Millisecond):
			}
		}
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (d *deployment) noteAcknowledged(a *answered) {
	at := parsePosition(a.position)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.acknowledged.less(at) {
		d.acknowledged, d.acknowledgedID = at, a.id
	}
}

// isLost reports whether a primary has begun without an acknowledged commit.
func (d *deployment) isLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost
}

// promoted reports whether another instance than the first one leads.
func (d *deployment) promoted() bool {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	return slices.ContainsFunc(d.instances[1:], func(i *instance) bool { return i.primary })
}

// runSync starts a deployment and its load, runs a disruption, and awaits the next primary.
func runSync(e *environment, disrupt func(d *deployment)) (bool, error) {
	d, err := startDeployment(e)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	done := make(chan struct{})
	defer close(done)
	for n := range d.hosts {
		go d.write(n, done)
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	if d.acknowledgedNothing() {
		return false, fmt.Errorf("no write was acknowledged")
	}
	if e.trouble {
		disrupt(d)
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && !d.isLost(); time.Sleep(50 * time.Millisecond) {
		if !e.trouble && time.Until(end) < 10*time.Second {
			break
		}
	}
	if e.trouble && !d.promoted() {
		e.rec.add("no other instance was promoted")
	}
	return d.isLost(), nil
}

func (d *deployment) acknowledgedNothing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.acknowledged == (position{})
}

// lapse: the store is down and the entries of the instances expire. One replica receives nothing for a
// while, and the primary crashes just after the store's return, before the entry of the other replica
// is back.
func lapse(e *environment) (bool, error) {
	return runSync(e, func(d *deployment) {
		primary, deaf, current := d.instances[0], d.instances[1], d.instances[2]
		current.setCutOff(true) // its next entry arrives 1.9 s after the store's return
		d.store.setDown(true)
		time.Sleep(outage - 2500*time.Millisecond)
		deaf.setDeaf(true)
		time.AfterFunc(deafFor, func() { deaf.setDeaf(false) })
		time.Sleep(2500 * time.Millisecond)
		for _, i := range d.instances {
			d.service.mu.Lock()
			silence := time.Since(i.beatAt)
			d.service.mu.Unlock()
			if silence >= expiry {
				d.store.expire(i.id)
			}
		}
		d.store.setDown(false)
		time.AfterFunc(1900*time.Millisecond, func() { current.setCutOff(false) })
		d.service.mu.Lock()
		deaf.register()
		primary.register()
		d.service.mu.Unlock()
		time.Sleep(crashAfterReturn)
		primary.crash()
		time.AfterFunc(crashFor, primary.restart)
	})
}

// candidateCrash: one replica receives nothing for a while and the primary crashes. The other replica
// is named to take over and crashes before it does.
func candidateCrash(e *environment) (bool, error) {
	return runSync(e, func(d *deployment) {
		primary, deaf, current := d.instances[0], d.instances[1], d.instances[2]
		deaf.setDeaf(true)
		time.AfterFunc(deafFor, func() { deaf.setDeaf(false) })
		time.Sleep(2 * time.Second)
		named := make(chan struct{})
		d.service.mu.Lock()
		d.service.onPromote = func(id string) {
			if id == current.id {
				select {
				case <-named:
				default:
					close(named)
				}
			}
		}
		d.service.mu.Unlock()
		primary.crash()
		time.AfterFunc(crashFor, primary.restart)
		select {
		case <-named:
		case <-time.After(10 * time.Second):
			return
		}
		time.Sleep(200 * time.Millisecond)
		current.crash()
		time.AfterFunc(candidateCrashFor, current.restart)
	})
}
