package failover_test

import (
	"time"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
)

// fakeHost runs a machine as the tasks of a host would.
type fakeHost struct {
	w           *world
	id          types.Host
	up          bool
	pausedUntil time.Duration
	// rate is the speed of the host's clock in thousandths.
	rate       int64
	offset     time.Duration
	m          *failover.Machine
	generation int
	owners     map[types.Endpoint]types.Host
	spec       types.DatabaseSpec
	// configuredAt is when the host receives new descriptions again.
	configuredAt time.Duration
	wake         int
	// silent holds the endpoints whose open connection transports nothing.
	silent map[types.Endpoint]bool
	held   bool
	// flight holds the writes that have no result yet.
	flight   map[int]bool
	requests int
	ended    []failover.PlannedEnded
	// calls counts the commands sent to endpoints, and promoting is when the
	// last promotion was sent.
	calls     int
	promoting time.Duration
	notes     []timedNote
}

type timedNote struct {
	at   time.Duration
	note failover.Note
}

func (h *fakeHost) start() {
	h.generation++
	h.silent = map[types.Endpoint]bool{}
	h.flight = map[int]bool{}
	h.held = false
	cfg := failover.Config{Host: h.id, Database: h.spec, Owners: h.owners, Seed: uint64(h.w.below(1 << 30))}
	h.m = failover.New(cfg, h.clock())
	h.step(failover.Tick{})
}

func (h *fakeHost) clock() types.Time {
	return types.Time(h.offset + h.w.now*time.Duration(h.rate)/1000)
}

// global converts a reading of the host's clock.
func (h *fakeHost) global(t types.Time) time.Duration {
	return (time.Duration(t) - h.offset) * 1000 / time.Duration(h.rate)
}

func (h *fakeHost) paused() bool { return h.w.now < h.pausedUntil }

// receive runs do at the host, after a pause if there is one, unless the
// process of the generation has ended.
func (h *fakeHost) receive(generation int, do func()) {
	switch {
	case !h.up || h.generation != generation:
	case h.paused():
		h.w.at(h.pausedUntil, func() { h.receive(generation, do) })
	default:
		do()
	}
}

func (h *fakeHost) step(ev failover.Event) {
	effects := h.m.Step(h.clock(), ev)
	h.w.checkStep(h)
	for _, eff := range effects {
		h.perform(eff)
	}
}

func (h *fakeHost) perform(eff failover.Effect) {
	switch eff := eff.(type) {
	case failover.Ask:
		h.call(eff.Endpoint, eff.Question, func(e *fakeEndpoint) failover.Event {
			return failover.Answer{Question: eff.Question, Endpoint: e.id, Status: e.status(h.id, eff.Authority)}
		})
	case failover.Fence:
		h.call(eff.Endpoint, eff.Question, func(e *fakeEndpoint) failover.Event {
			return e.fence(h.id, eff.Question, eff.Term)
		})
	case failover.Promote:
		h.promoting = h.w.now
		h.call(eff.Endpoint, eff.Question, func(e *fakeEndpoint) failover.Event {
			return e.promote(eff.Question, eff.Term)
		})
	case failover.Follow:
		h.call(eff.Endpoint, eff.Question, func(e *fakeEndpoint) failover.Event {
			return e.follow(eff.Question, eff.Primary, eff.Term)
		})
	case failover.TellPeer:
		p := h.w.host(eff.Host)
		generation := p.generation
		h.w.send(string(h.id), string(p.id), func() {
			p.receive(generation, func() { p.step(failover.PeerSuspicion{From: h.id, Suspicion: eff.Suspicion}) })
		})
	case failover.Reconnect:
		h.w.after(time.Millisecond, func() { delete(h.silent, eff.Endpoint) })
	case failover.HoldWrites:
		h.held = eff.Hold
		h.checkDrained()
	case failover.SetComplete:
		h.w.setComplete(eff.Set)
	case failover.PlannedEnded:
		h.ended = append(h.ended, eff)
	case failover.Note:
		h.notes = append(h.notes, timedNote{at: h.w.now, note: eff})
	case failover.WakeAt:
		h.wakeAt(eff.Time)
	}
}

func (h *fakeHost) wakeAt(t types.Time) {
	h.wake++
	wake, generation := h.wake, h.generation
	h.w.at(h.global(t)+time.Microsecond, func() {
		h.receive(generation, func() {
			if h.wake == wake {
				h.step(failover.Tick{})
			}
		})
	})
}

// call sends a command to an endpoint and its result back.
func (h *fakeHost) call(id types.Endpoint, q failover.QuestionID, run func(*fakeEndpoint) failover.Event) {
	e := h.w.endpoint(id)
	generation := h.generation
	h.calls++
	if h.silent[id] {
		return
	}
	h.w.send(string(h.id), string(id), func() {
		var answer failover.Event = failover.Silence{Question: q, Endpoint: id}
		if e.up {
			answer = run(e)
		}
		h.w.send(string(id), string(h.id), func() {
			h.receive(generation, func() { h.step(answer) })
		})
	})
}

func (h *fakeHost) configure(spec types.DatabaseSpec) {
	if h.w.now < h.configuredAt {
		h.w.at(h.configuredAt, func() { h.configure(h.w.spec) })
		return
	}
	h.spec = spec
	h.receive(h.generation, func() { h.step(failover.SpecChanged{Spec: spec}) })
}

func (h *fakeHost) setOwners(owners map[types.Endpoint]types.Host) {
	h.owners = owners
	h.receive(h.generation, func() { h.step(failover.OwnersChanged{Owners: owners}) })
}

func (h *fakeHost) crash(d time.Duration) {
	h.up = false
	h.w.after(d, func() {
		if !h.up {
			h.up = true
			h.start()
		}
	})
}

// write sends a write if the host may. It returns false if the write did not run.
func (h *fakeHost) write(id int, replicated bool) bool {
	term := h.m.View().Term
	if !h.up || h.paused() || h.held || !h.m.MaySend(h.clock(), term) {
		return false
	}
	e := h.w.endpoint(h.m.View().Primary)
	generation := h.generation
	if h.silent[e.id] {
		return true
	}
	h.requests++
	request := h.requests
	h.flight[request] = true
	finish := func(do func()) {
		h.receive(generation, func() {
			if !h.flight[request] {
				return
			}
			delete(h.flight, request)
			do()
			h.checkDrained()
		})
	}
	h.w.after(time.Second, func() { finish(func() {}) })
	arrived := false
	h.w.send(string(h.id), string(e.id), func() {
		if arrived {
			return
		}
		arrived = true
		ran := e.write(id, term, replicated, func(position int) {
			at := types.LogPoint{Term: term, Position: types.Position(position)}
			h.w.after(h.w.slow(), func() {
				h.w.send(string(e.id), string(h.id), func() {
					finish(func() { h.acknowledge(e, id, at, replicated) })
				})
			})
		})
		if !ran {
			h.w.send(string(e.id), string(h.id), func() { finish(func() { h.w.retry(id, replicated) }) })
		}
	})
	return true
}

func (h *fakeHost) acknowledge(e *fakeEndpoint, id int, at types.LogPoint, replicated bool) {
	if h.m.MayAck(h.clock(), at.Term) {
		h.w.checkAck(e, id, at, replicated)
	}
}

func (h *fakeHost) checkDrained() {
	if !h.held || len(h.flight) > 0 {
		return
	}
	generation := h.generation
	h.w.after(0, func() {
		h.receive(generation, func() {
			if h.held {
				h.step(failover.WritesDrained{})
			}
		})
	})
}
