package failover_test

import (
	"time"

	"baobabfield.example/core/types"
)

// truth is what an observer of the whole world knows.
type truth struct {
	primaries map[types.Term]types.Endpoint
	// authority is the highest term in which a host could acknowledge so far.
	authority types.Term
	acks      []ack
	acked     map[int]bool
}

type ack struct {
	write      int
	at         types.LogPoint
	replicated bool
	time       time.Duration
}

func newTruth() truth {
	return truth{primaries: map[types.Term]types.Endpoint{}, acked: map[int]bool{}}
}

func (w *world) checkPromotion(e *fakeEndpoint) {
	if old, ok := w.truth.primaries[e.term]; ok && old != e.id {
		w.fail("%s and %s are primaries of term %v", old, e.id, e.term)
	}
	w.truth.primaries[e.term] = e.id
	for _, a := range w.truth.acks {
		if a.replicated && a.at.Term < e.term && !e.holds(a) {
			w.fail("primary %s of term %v lacks write %d at %v", e.id, e.term, a.write, a.at)
		}
	}
}

func (e *fakeEndpoint) holds(a ack) bool {
	i := int(a.at.Position) - 1
	return i < len(e.log) && e.log[i] == entry{term: a.at.Term, write: a.write}
}

func (w *world) checkWrite(e *fakeEndpoint, id int) {
	for _, old := range e.log {
		if old.write == id {
			w.fail("write %d runs twice at %s", id, e.id)
		}
	}
}

// checkStep notes the host's authority and checks what it claims of replicas.
func (w *world) checkStep(h *fakeHost) {
	v := h.m.View()
	if v.Term > w.truth.authority && h.m.MaySend(h.clock(), v.Term) {
		w.truth.authority = v.Term
	}
	for _, ev := range v.Endpoints {
		if ev.FreshKnown && ev.Term == v.Term {
			w.checkFresh(ev.ID, h.global(ev.FreshAt))
		}
	}
}

func (w *world) checkFresh(id types.Endpoint, freshAt time.Duration) {
	e := w.endpoint(id)
	for i := len(w.truth.acks) - 1; i >= 0; i-- {
		a := w.truth.acks[i]
		if a.replicated && a.time < freshAt-time.Millisecond {
			if !e.holds(a) {
				w.fail("replica %s lacks write %d, acknowledged at %v, before %v", id, a.write, a.time, freshAt)
			}
			return
		}
	}
}

func (w *world) checkAck(e *fakeEndpoint, id int, at types.LogPoint, replicated bool) {
	if at.Term < w.truth.authority {
		w.fail("write %d acknowledged in term %v after term %v had authority", id, at.Term, w.truth.authority)
	}
	if w.truth.primaries[at.Term] != e.id {
		w.fail("write %d acknowledged by %s, not the primary of term %v", id, e.id, at.Term)
	}
	if w.truth.acked[id] {
		w.fail("write %d acknowledged twice", id)
	}
	w.truth.acked[id] = true
	a := ack{write: id, at: at, replicated: replicated, time: w.now}
	w.truth.acks = append(w.truth.acks, a)
	for term, primary := range w.truth.primaries {
		p := w.endpoint(primary)
		if replicated && term > at.Term && p.term >= term && p.up && !p.holds(a) {
			w.fail("write %d acknowledged at %v is not at %s, primary of term %v", id, at, primary, term)
		}
	}
}

// offer gives a new write to the first host that takes it.
func (w *world) offer(replicated bool) {
	w.nextWrite++
	w.submit(w.nextWrite, replicated)
}

func (w *world) submit(id int, replicated bool) {
	for _, i := range []int{0, 1, 2, 3} {
		if w.hosts[(i+id)%len(w.hosts)].write(id, replicated) {
			return
		}
	}
	if w.queueing {
		w.retry(id, replicated)
	}
}

// retry submits again a write that did not run.
func (w *world) retry(id int, replicated bool) {
	w.after(20*time.Millisecond, func() { w.submit(id, replicated) })
}

// load offers a write at each interval.
func (w *world) load(interval time.Duration, until time.Duration) {
	w.after(interval, func() {
		w.offer(w.nextWrite%4 != 0)
		if w.now < until {
			w.load(interval, until)
		}
	})
}
