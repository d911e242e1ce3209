package failover_test

import (
	"time"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
)

// fakeHost runs a machine and performs its effects in the simulation.
type fakeHost struct {
	sim         *simulation
	id          types.Host
	up          bool
	pausedUntil time.Duration
	// clockRate is the speed of the host's clock in thousandths of simulation time.
	clockRate   int64
	clockOffset time.Duration
	machine     *failover.Machine
	generation  int
	owners      map[types.Endpoint]types.Host
	spec        types.DatabaseSpec
	// acceptsSpecAt is the time before which the host receives no new specification.
	acceptsSpecAt time.Duration
	lastTickID    int
	// stalled holds the endpoints whose open connection delivers no messages.
	stalled    map[types.Endpoint]bool
	writesHeld bool
	// inFlight holds the requests of writes that have no result yet.
	inFlight            map[int]bool
	lastRequestID       int
	plannedChangesEnded []failover.PlannedChangeEnded
	// commandsSent counts the queries and commands sent to endpoints.
	commandsSent    int
	lastPromotionAt time.Duration
	notes           []timedNote
}

type timedNote struct {
	at   time.Duration
	note failover.Note
}

func (h *fakeHost) start() {
	h.generation++
	h.stalled = map[types.Endpoint]bool{}
	h.inFlight = map[int]bool{}
	h.writesHeld = false
	cfg := failover.Config{Host: h.id, Database: h.spec, Owners: h.owners, Seed: uint64(h.sim.randomBelow(1 << 30))}
	h.machine = failover.New(cfg, h.localTime())
	h.stepMachine(failover.Tick{})
}

func (h *fakeHost) localTime() types.Time {
	return types.Time(h.clockOffset + h.sim.now*time.Duration(h.clockRate)/1000)
}

// simulationTime converts a reading of the host's clock to simulation time.
func (h *fakeHost) simulationTime(t types.Time) time.Duration {
	return (time.Duration(t) - h.clockOffset) * 1000 / time.Duration(h.clockRate)
}

func (h *fakeHost) paused() bool { return h.sim.now < h.pausedUntil }

// runInProcess calls do in the host's process, at the end of a pause if there is one.
// It does nothing if the process of the generation has ended.
func (h *fakeHost) runInProcess(generation int, do func()) {
	switch {
	case !h.up || h.generation != generation:
	case h.paused():
		h.sim.scheduleAt(h.pausedUntil, func() { h.runInProcess(generation, do) })
	default:
		do()
	}
}

func (h *fakeHost) stepMachine(ev failover.Event) {
	effects := h.machine.Step(h.localTime(), ev)
	h.sim.checkStep(h)
	for _, eff := range effects {
		h.performEffect(eff)
	}
}

func (h *fakeHost) performEffect(eff failover.Effect) {
	switch eff := eff.(type) {
	case failover.QueryStatus:
		h.sendCommand(eff.Endpoint, eff.RequestID, func(e *fakeEndpoint) failover.Event {
			return failover.StatusResponse{RequestID: eff.RequestID, Endpoint: e.id, Status: e.status(h.id, eff.RenewsAuthority)}
		})
	case failover.Fence:
		h.sendCommand(eff.Endpoint, eff.RequestID, func(e *fakeEndpoint) failover.Event {
			return e.fence(h.id, eff.RequestID, eff.Term)
		})
	case failover.Promote:
		h.lastPromotionAt = h.sim.now
		h.sendCommand(eff.Endpoint, eff.RequestID, func(e *fakeEndpoint) failover.Event {
			return e.promote(eff.RequestID, eff.Term)
		})
	case failover.Follow:
		h.sendCommand(eff.Endpoint, eff.RequestID, func(e *fakeEndpoint) failover.Event {
			return e.follow(eff.RequestID, eff.Primary, eff.Term)
		})
	case failover.SendSuspicion:
		peer := h.sim.host(eff.Host)
		generation := peer.generation
		h.sim.send(string(h.id), string(peer.id), func() {
			peer.runInProcess(generation, func() { peer.stepMachine(failover.PeerSuspicion{From: h.id, Suspicion: eff.Suspicion}) })
		})
	case failover.Reconnect:
		h.sim.scheduleAfter(time.Millisecond, func() { delete(h.stalled, eff.Endpoint) })
	case failover.HoldWrites:
		h.writesHeld = eff.Hold
		h.checkDrained()
	case failover.SetComplete:
		h.sim.setComplete(eff.Set)
	case failover.PlannedChangeEnded:
		h.plannedChangesEnded = append(h.plannedChangesEnded, eff)
	case failover.Note:
		h.notes = append(h.notes, timedNote{at: h.sim.now, note: eff})
	case failover.ScheduleTick:
		h.scheduleTick(eff.Time)
	}
}

func (h *fakeHost) scheduleTick(t types.Time) {
	h.lastTickID++
	tickID, generation := h.lastTickID, h.generation
	h.sim.scheduleAt(h.simulationTime(t)+time.Microsecond, func() {
		h.runInProcess(generation, func() {
			if h.lastTickID == tickID {
				h.stepMachine(failover.Tick{})
			}
		})
	})
}

// sendCommand sends a query or command to an endpoint, and sends the response or
// NoResponse back to the host.
func (h *fakeHost) sendCommand(id types.Endpoint, requestID failover.RequestID, run func(*fakeEndpoint) failover.Event) {
	e := h.sim.endpoint(id)
	generation := h.generation
	h.commandsSent++
	if h.stalled[id] {
		return
	}
	h.sim.send(string(h.id), string(id), func() {
		var response failover.Event = failover.NoResponse{RequestID: requestID, Endpoint: id}
		if e.up {
			response = run(e)
		}
		h.sim.send(string(id), string(h.id), func() {
			h.runInProcess(generation, func() { h.stepMachine(response) })
		})
	})
}

func (h *fakeHost) updateSpec(spec types.DatabaseSpec) {
	if h.sim.now < h.acceptsSpecAt {
		h.sim.scheduleAt(h.acceptsSpecAt, func() { h.updateSpec(h.sim.spec) })
		return
	}
	h.spec = spec
	h.runInProcess(h.generation, func() { h.stepMachine(failover.SpecChanged{Spec: spec}) })
}

func (h *fakeHost) setOwners(owners map[types.Endpoint]types.Host) {
	h.owners = owners
	h.runInProcess(h.generation, func() { h.stepMachine(failover.OwnersChanged{Owners: owners}) })
}

func (h *fakeHost) crash(d time.Duration) {
	h.up = false
	h.sim.scheduleAfter(d, func() {
		if !h.up {
			h.up = true
			h.start()
		}
	})
}

// sendWrite sends a write to the primary if the host has authority and writes are not
// held. It returns false if the write was not sent.
func (h *fakeHost) sendWrite(id int, replicated bool) bool {
	term := h.machine.View().Term
	if !h.up || h.paused() || h.writesHeld || !h.machine.MaySendWrite(h.localTime(), term) {
		return false
	}
	e := h.sim.endpoint(h.machine.View().Primary)
	generation := h.generation
	if h.stalled[e.id] {
		return true
	}
	h.lastRequestID++
	requestID := h.lastRequestID
	h.inFlight[requestID] = true
	finish := func(do func()) {
		h.runInProcess(generation, func() {
			if !h.inFlight[requestID] {
				return
			}
			delete(h.inFlight, requestID)
			do()
			h.checkDrained()
		})
	}
	h.sim.scheduleAfter(time.Second, func() { finish(func() {}) })
	arrived := false
	h.sim.send(string(h.id), string(e.id), func() {
		if arrived {
			return
		}
		arrived = true
		ran := e.write(id, term, replicated, func(position int) {
			logPoint := types.LogPoint{Term: term, Position: types.Position(position)}
			h.sim.scheduleAfter(h.sim.writeDelay(), func() {
				h.sim.send(string(e.id), string(h.id), func() {
					finish(func() { h.acknowledgeWrite(e, id, logPoint, replicated) })
				})
			})
		})
		if !ran {
			h.sim.send(string(e.id), string(h.id), func() { finish(func() { h.sim.retryLater(id, replicated) }) })
		}
	})
	return true
}

func (h *fakeHost) acknowledgeWrite(e *fakeEndpoint, id int, logPoint types.LogPoint, replicated bool) {
	if h.machine.MayAcknowledgeWrite(h.localTime(), logPoint.Term) {
		h.sim.checkAck(e, id, logPoint, replicated)
	}
}

func (h *fakeHost) checkDrained() {
	if !h.writesHeld || len(h.inFlight) > 0 {
		return
	}
	generation := h.generation
	h.sim.scheduleAfter(0, func() {
		h.runInProcess(generation, func() {
			if h.writesHeld {
				h.stepMachine(failover.WritesDrained{})
			}
		})
	})
}
