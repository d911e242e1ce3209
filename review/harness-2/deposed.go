package main

import (
	"fmt"
	"sync"
	"time"
)

// deposedOwner replaces the primary as planned while one host is cut off from the store and the
// other hosts, but not from its clients and the instances. A client reads at that host.
func deposedOwner(rec *recorder, trouble bool) int {
	const rounds, cutTime, roundTime = 8, 5 * time.Second, 12800 * time.Millisecond
	// startTime is the time that the new instance runs before the old one announces its end.
	const startTime, announceDelay = 1200 * time.Millisecond, 100 * time.Millisecond
	w := newWorld(rec, pampa, "remessas")
	defer w.close()
	zones := w.site.zones
	primary := w.db.add("i-0", zones[0], true)
	w.db.add("i-1", zones[1], false)
	w.db.add("i-2", zones[2], false)
	w.putConfig(3)
	for n := range 6 {
		w.addHost(fmt.Sprintf("edge-%d", n+1), zones[n%3])
	}
	for _, h := range w.hosts {
		h.start()
	}
	w.awaitReady(15 * time.Second)
	time.Sleep(2 * time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	broken := 0
	for n := range 6 {
		h := w.hosts[fmt.Sprintf("edge-%d", n+1)]
		wg.Add(2)
		go func() { defer wg.Done(); w.write(h, "w"+h.name, stop) }()
		go func() {
			defer wg.Done()
			b := w.read(h, "r"+h.name, stop)
			w.db.mu.Lock()
			broken += b
			w.db.mu.Unlock()
		}()
	}
	time.Sleep(2 * time.Second)
	for round := range rounds {
		begun := time.Now()
		next := w.db.add(fmt.Sprintf("i-%d", 3+round), primary.zone, false)
		rec.event("new instance started", "instance", next.id)
		time.Sleep(startTime)
		cut := w.ownerOf(primary.id)
		if trouble && cut != "" {
			w.isCut.Store(cut)
			w.cutOff(cut, true)
		}
		time.Sleep(announceDelay)
		rec.event("instance announces its end", "instance", primary.id)
		primary.drain(11 * time.Second)
		time.Sleep(cutTime - announceDelay)
		if trouble && cut != "" {
			w.cutOff(cut, false)
			w.isCut.Store("")
		}
		time.Sleep(time.Until(begun.Add(roundTime)))
		w.db.mu.Lock()
		if p := w.db.currentPrimary(); p != nil {
			primary = p
		}
		w.db.mu.Unlock()
	}
	close(stop)
	wg.Wait()
	return broken
}

// write sends writes at a host until stop, and records what was acknowledged.
func (w *world) write(h *host, name string, stop <-chan struct{}) {
	var s *session
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(8 * time.Millisecond):
		}
		if w.isCut.Load() == h.name {
			continue // its clients only read
		}
		var err error
		if s == nil {
			if s, err = connect(h, "dbprimary"); err != nil {
				s = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		a, err := s.query(id, "WRITE item"+name+" v", 2*time.Second)
		at := time.Now()
		w.db.mu.Lock()
		if c := w.db.commits[id]; c != nil && err == nil && a.ok {
			c.acknowledgedAt = at
		}
		w.db.mu.Unlock()
		w.rec.event("write", "id", id, "host", h.name, "answer", a.text, "error", err)
		if err != nil || a.state != "I" {
			s.close()
			s = nil
		}
	}
}

// read sends reads of a route of type primary at a host until stop. It returns how many ran on a
// log that lacks a commit that was acknowledged before the read was sent.
func (w *world) read(h *host, name string, stop <-chan struct{}) int {
	var s *session
	broken := 0
	for n := 0; ; n++ {
		select {
		case <-stop:
			return broken
		case <-time.After(4 * time.Millisecond):
		}
		var err error
		if s == nil {
			if !h.ready() { // the platform sends no new connection to it
				time.Sleep(200 * time.Millisecond)
				continue
			}
			if s, err = connect(h, "dbprimary"); err != nil {
				s = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		sent := time.Now()
		a, err := s.query(id, "READ item", 2*time.Second)
		w.rec.event("read", "id", id, "host", h.name, "sent", fmt.Sprintf("%.4f", sent.Sub(w.rec.start).Seconds()), "answer", a.text, "error", err)
		if err == nil && a.ok {
			broken += w.judge(id, sent)
		}
		if err != nil || a.state != "I" {
			s.close()
			s = nil
		}
	}
}

// judge returns 1 if a read ran on a log that lacks a commit which was acknowledged before the read
// was sent and which the present primary holds.
func (w *world) judge(id string, sent time.Time) int {
	w.db.mu.Lock()
	defer w.db.mu.Unlock()
	r, ok := w.db.runs[id]
	p := w.db.currentPrimary()
	if !ok || p == nil {
		return 0
	}
	delete(w.db.runs, id)
	const recent = 500 // commits
	for n := len(p.log) - 1; n >= max(0, len(p.log)-recent); n-- {
		c := p.log[n].c
		if !c.acknowledgedAt.IsZero() && c.acknowledgedAt.Before(sent) && !r.has(c) {
			w.rec.event("STALE", "read", id, "ran_at", r.instance, "role", r.role, "lacks", c.id,
				"acknowledged", fmt.Sprintf("%.4f", c.acknowledgedAt.Sub(w.rec.start).Seconds()), "read_sent", fmt.Sprintf("%.4f", sent.Sub(w.rec.start).Seconds()))
			return 1
		}
	}
	return 0
}
