package failover_test

import (
	"time"

	"baobabfield.example/core/types"
)

// history is what an observer of the whole world knows.
type history struct {
	primaries map[types.Term]types.Endpoint
	// highestAuthorityTerm is the highest term in which a host could acknowledge so far.
	highestAuthorityTerm types.Term
	acks                 []acknowledgement
	acknowledged         map[int]bool
}

type acknowledgement struct {
	writeID    int
	logPoint   types.LogPoint
	replicated bool
	time       time.Duration
}

func newHistory() history {
	return history{primaries: map[types.Term]types.Endpoint{}, acknowledged: map[int]bool{}}
}

func (sim *simulation) checkPromotion(e *fakeEndpoint) {
	if old, ok := sim.history.primaries[e.term]; ok && old != e.id {
		sim.recordViolation("%s and %s are primaries of term %v", old, e.id, e.term)
	}
	sim.history.primaries[e.term] = e.id
	for _, a := range sim.history.acks {
		if a.replicated && a.logPoint.Term < e.term && !e.holds(a) {
			sim.recordViolation("primary %s of term %v lacks write %d at %v", e.id, e.term, a.writeID, a.logPoint)
		}
	}
}

func (e *fakeEndpoint) holds(a acknowledgement) bool {
	i := int(a.logPoint.Position) - 1
	return i < len(e.log) && e.log[i] == logEntry{term: a.logPoint.Term, writeID: a.writeID}
}

func (sim *simulation) checkWrite(e *fakeEndpoint, id int) {
	for _, old := range e.log {
		if old.writeID == id {
			sim.recordViolation("write %d runs twice at %s", id, e.id)
		}
	}
}

// checkStep notes the host's authority and checks what it claims of replicas.
func (sim *simulation) checkStep(h *fakeHost) {
	v := h.machine.View()
	if v.Term > sim.history.highestAuthorityTerm && h.machine.MaySendWrite(h.localTime(), v.Term) {
		sim.history.highestAuthorityTerm = v.Term
	}
	for _, ev := range v.Endpoints {
		if ev.FreshKnown && ev.Term == v.Term {
			sim.checkFreshness(ev.ID, h.simulationTime(ev.FreshAt))
		}
	}
}

func (sim *simulation) checkFreshness(id types.Endpoint, freshAt time.Duration) {
	e := sim.endpoint(id)
	for i := len(sim.history.acks) - 1; i >= 0; i-- {
		a := sim.history.acks[i]
		if a.replicated && a.time < freshAt-time.Millisecond {
			if !e.holds(a) {
				sim.recordViolation("replica %s lacks write %d, acknowledged at %v, before %v", id, a.writeID, a.time, freshAt)
			}
			return
		}
	}
}

func (sim *simulation) checkAck(e *fakeEndpoint, id int, at types.LogPoint, replicated bool) {
	if at.Term < sim.history.highestAuthorityTerm {
		sim.recordViolation("write %d acknowledged in term %v after term %v had authority", id, at.Term, sim.history.highestAuthorityTerm)
	}
	if sim.history.primaries[at.Term] != e.id {
		sim.recordViolation("write %d acknowledged by %s, not the primary of term %v", id, e.id, at.Term)
	}
	if sim.history.acknowledged[id] {
		sim.recordViolation("write %d acknowledged twice", id)
	}
	sim.history.acknowledged[id] = true
	a := acknowledgement{writeID: id, logPoint: at, replicated: replicated, time: sim.now}
	sim.history.acks = append(sim.history.acks, a)
	for term, primary := range sim.history.primaries {
		p := sim.endpoint(primary)
		if replicated && term > at.Term && p.term >= term && p.up && !p.holds(a) {
			sim.recordViolation("write %d acknowledged at %v is not at %s, primary of term %v", id, at, primary, term)
		}
	}
}

// submitNew gives a new write to the first host that takes it.
func (sim *simulation) submitNew(replicated bool) {
	sim.lastWriteID++
	sim.submit(sim.lastWriteID, replicated)
}

func (sim *simulation) submit(id int, replicated bool) {
	for _, i := range []int{0, 1, 2, 3} {
		if sim.hosts[(i+id)%len(sim.hosts)].sendWrite(id, replicated) {
			return
		}
	}
	if sim.retriesRejected {
		sim.retryLater(id, replicated)
	}
}

// retryLater submits again a write that did not run.
func (sim *simulation) retryLater(id int, replicated bool) {
	sim.scheduleAfter(20*time.Millisecond, func() { sim.submit(id, replicated) })
}

// scheduleWrites offers a write at each interval.
func (sim *simulation) scheduleWrites(interval time.Duration, until time.Duration) {
	sim.scheduleAfter(interval, func() {
		sim.submitNew(sim.lastWriteID%4 != 0)
		if sim.now < until {
			sim.scheduleWrites(interval, until)
		}
	})
}
