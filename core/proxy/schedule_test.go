package proxy_test

import (
	"fmt"
	"testing"
	"time"

	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

// TestRandomSchedules plays faults at random and checks every promise.
func TestRandomSchedules(t *testing.T) {
	seeds := uint64(30)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		w := newWorld(t, 1000+seed, 2)
		openAll(w)
		for range 12 {
			playFault(w)
		}
		w.heal()
		w.run(4 * time.Second)
		if len(w.faults) > 0 {
			t.Errorf("seed %d:", 1000+seed)
			w.check()
		}
		if w.now.Sub(w.callers.lastWrite) > 2*time.Second {
			t.Errorf("seed %d: no write for %v after the last fault", 1000+seed, w.now.Sub(w.callers.lastWrite))
		}
	}
}

// playFault gives one fault for a while; some overlap with the next one.
func playFault(w *world) {
	hosts := w.sortedHosts()
	h := hosts[w.rng.IntN(len(hosts))]
	dc := dataCentres[w.rng.IntN(len(dataCentres))]
	e := w.endpoints[types.Endpoint("e-"+string(dataCentres[w.rng.IntN(len(dataCentres))]))]
	d := time.Duration(200+w.rng.IntN(2500)) * time.Millisecond
	kind := w.rng.IntN(8)
	if w.verbose {
		fmt.Printf("%8.4f fault %d: host %s, data centre %s, endpoint %s, %v\n", w.now.Sub(worldStart).Seconds(), kind, h.id, dc, e.id, d)
	}
	switch kind {
	case 0:
		if h.alive {
			w.killHost(h.id)
			w.after(d, func() { w.startHost(h.id, h.dc) })
		}
	case 1:
		w.cutCentre(dc, true)
		w.after(d, func() { w.cutCentre(dc, false) })
	case 2:
		if !h.frozen && h.alive {
			w.freeze(h.id, true)
			w.after(d, func() { w.freeze(h.id, false) })
		}
	case 3:
		if e.alive {
			e.crash()
			w.after(d, func() { e.restart() })
		}
	case 4:
		w.cuts[[2]string{string(h.id), string(e.id)}] = true
		w.after(d, func() { delete(w.cuts, [2]string{string(h.id), string(e.id)}) })
	case 5:
		w.store.down = true
		w.after(d, func() { w.store.down = false; w.resync() })
	case 6:
		e.loseAnswers = 20
		w.after(d, func() { e.loseAnswers = 0 })
	case 7:
		e.lag = 600 * time.Millisecond
		w.after(d, func() { e.lag = 20 * time.Millisecond })
	}
	w.run(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
}

// newest returns the session that was opened last.
func (w *world) newest() *callerSim {
	for i := w.callers.next; ; i-- {
		if s := w.callers.sessions[fmt.Sprintf("c%d", i)]; s != nil {
			return s
		}
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.run(3 * time.Second)
	clear(w.cuts)
	w.store.down = false
	w.resync()
}

// resync gives all hosts what the store holds, as their watches would.
func (w *world) resync() {
	for _, h := range w.sortedHosts() {
		for _, k := range proxy.Kinds {
			w.store.refresh(h, k)
		}
	}
}

// restart brings a crashed endpoint back with its log.
func (e *endpointSim) restart() {
	if e.alive {
		return
	}
	e.alive, e.paused, e.held, e.born = true, false, 0, int64(e.w.now)
	for _, other := range e.w.sortedEndpoints() {
		if other != e && other.alive && other.primary && other.term > e.term {
			e.primary = false
		}
	}
	e.register()
	for _, other := range e.w.sortedEndpoints() {
		if other.primary && other != e {
			other.rejoin()
		}
	}
}
