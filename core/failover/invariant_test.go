package failover_test

import (
	"time"

	"baobabfield.example/core/types"
)

// history records the promotions, authority and acknowledged writes of all hosts.
type history struct {
	// primaries holds the endpoint that was promoted in each term.
	primaries map[types.Term]types.Endpoint
	// highestAuthorityTerm is the highest term in which a host has had authority.
	highestAuthorityTerm types.Term
	acks                 []acknowledgement
	// acknowledged holds the IDs of the acknowledged writes.
	acknowledged map[int]bool
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

// checkPromotion checks that a term has one primary, and that the primary has all
// replicated writes that were acknowledged in earlier terms.
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

// checkWrite checks that the endpoint's log does not have the write already.
func (sim *simulation) checkWrite(e *fakeEndpoint, id int) {
	for _, entry := range e.log {
		if entry.writeID == id {
			sim.recordViolation("write %d runs twice at %s", id, e.id)
		}
	}
}

// checkStep records the host's authority, and checks the staleness that the host
// reports for the endpoints.
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

// checkFreshness checks that the endpoint has the last replicated write that was
// acknowledged before freshAt. The check allows 1 ms for the reading of clocks.
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

// checkAck checks that no host has authority in a later term, that the endpoint is the
// primary of the term, that the write is acknowledged only once, and that later
// primaries have it if it is replicated.
func (sim *simulation) checkAck(e *fakeEndpoint, id int, logPoint types.LogPoint, replicated bool) {
	if logPoint.Term < sim.history.highestAuthorityTerm {
		sim.recordViolation("write %d acknowledged in term %v after term %v had authority", id, logPoint.Term, sim.history.highestAuthorityTerm)
	}
	if sim.history.primaries[logPoint.Term] != e.id {
		sim.recordViolation("write %d acknowledged by %s, not the primary of term %v", id, e.id, logPoint.Term)
	}
	if sim.history.acknowledged[id] {
		sim.recordViolation("write %d acknowledged twice", id)
	}
	sim.history.acknowledged[id] = true
	a := acknowledgement{writeID: id, logPoint: logPoint, replicated: replicated, time: sim.now}
	sim.history.acks = append(sim.history.acks, a)
	for term, primary := range sim.history.primaries {
		p := sim.endpoint(primary)
		if replicated && term > logPoint.Term && p.term >= term && p.up && !p.holds(a) {
			sim.recordViolation("write %d acknowledged at %v is not at %s, primary of term %v", id, logPoint, primary, term)
		}
	}
}

// submitNew submits a new write to the first host that accepts it.
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

// retryLater submits a write again after 20 ms. The write must not have run.
func (sim *simulation) retryLater(id int, replicated bool) {
	sim.scheduleAfter(20*time.Millisecond, func() { sim.submit(id, replicated) })
}

// scheduleWrites submits a write at each interval. Three of four writes are
// replicated.
func (sim *simulation) scheduleWrites(interval time.Duration, until time.Duration) {
	sim.scheduleAfter(interval, func() {
		sim.submitNew(sim.lastWriteID%4 != 0)
		if sim.now < until {
			sim.scheduleWrites(interval, until)
		}
	})
}
