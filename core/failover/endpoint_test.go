package failover_test

import (
	"slices"
	"time"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
)

const replicationInterval = 5 * time.Millisecond

type entry struct {
	term  types.Term
	write int
}

// fakeEndpoint is a database instance as docs/ENDPOINT.md describes it.
type fakeEndpoint struct {
	w         *world
	id        types.Endpoint
	up        bool
	lagging   bool
	term      types.Term
	primary   bool
	log       []entry
	starts    []types.TermStart
	following types.Endpoint
	// synced is the length of the common start of this log and the primary's.
	synced  int
	matched map[types.Endpoint]int
	waiting []waiter
	asked   map[types.Host]time.Duration
	upSince time.Duration
}

// waiter is a write whose result waits for its replication.
type waiter struct {
	position int
	done     func()
}

func newFakeEndpoint(w *world, id types.Endpoint) *fakeEndpoint {
	e := &fakeEndpoint{w: w, id: id, up: true, asked: map[types.Host]time.Duration{}}
	w.after(replicationInterval, e.replicate)
	return e
}

func (e *fakeEndpoint) last() types.LogPoint {
	if len(e.log) == 0 {
		return types.LogPoint{}
	}
	return types.LogPoint{Term: e.log[len(e.log)-1].term, Position: types.Position(len(e.log))}
}

func (e *fakeEndpoint) status(from types.Host, authority bool) failover.Status {
	if authority {
		e.asked[from] = e.w.now
	}
	s := failover.Status{Role: failover.RoleReplica, Term: e.term, Last: e.last(), TermStarts: slices.Clone(e.starts)}
	if e.primary {
		s.Role = failover.RolePrimary
		s.Replicated = types.Position(e.replicated())
	}
	return s
}

func (e *fakeEndpoint) fence(from types.Host, q failover.QuestionID, term types.Term) failover.FenceAnswer {
	granted := term > e.term
	if granted {
		e.become(term, false, "")
	}
	quiet := e.w.now - e.upSince
	known := quiet >= time.Second
	for h, at := range e.asked {
		if h != from {
			quiet = min(quiet, e.w.now-at)
			known = true
		}
	}
	return failover.FenceAnswer{Question: q, Endpoint: e.id, Granted: granted, Term: e.term, Last: e.last(), QuietKnown: known && e.w.knowsQuiet, Quiet: quiet}
}

func (e *fakeEndpoint) promote(q failover.QuestionID, term types.Term) failover.PromoteAnswer {
	done := term == e.term
	if done && !e.primary {
		e.become(term, true, "")
		e.starts = append(e.starts, types.TermStart{Term: term, Position: types.Position(len(e.log))})
		e.w.checkPromotion(e)
	}
	return failover.PromoteAnswer{Question: q, Endpoint: e.id, Done: done, Term: e.term, Last: e.last()}
}

func (e *fakeEndpoint) follow(q failover.QuestionID, primary types.Endpoint, term types.Term) failover.FollowAnswer {
	done := term > e.term || (term == e.term && !e.primary)
	if done {
		e.become(term, false, primary)
	}
	return failover.FollowAnswer{Question: q, Endpoint: e.id, Done: done, Term: e.term}
}

func (e *fakeEndpoint) become(term types.Term, primary bool, following types.Endpoint) {
	e.term = term
	e.primary = primary
	e.following = following
	e.synced = 0
	e.matched = map[types.Endpoint]int{}
	e.waiting = nil
}

// write runs a write that expects the term. The result comes through done.
func (e *fakeEndpoint) write(id int, term types.Term, replicated bool, done func(position int)) bool {
	if !e.up || !e.primary || e.term != term {
		return false
	}
	e.w.checkWrite(e, id)
	e.log = append(e.log, entry{term: term, write: id})
	position := len(e.log)
	if replicated {
		e.waiting = append(e.waiting, waiter{position: position, done: func() { done(position) }})
	} else {
		done(position)
	}
	return true
}

// replicated returns the length of the log that a majority of the term's set holds.
func (e *fakeEndpoint) replicated() int {
	set := e.w.sets[e.term.EndpointSet()]
	held := make([]int, 0, len(set))
	for _, id := range set {
		if id == e.id {
			held = append(held, len(e.log))
		} else {
			held = append(held, e.matched[id])
		}
	}
	slices.Sort(held)
	return held[len(held)-(len(held)/2+1)]
}

// replicate copies log entries from the endpoint that this one follows.
func (e *fakeEndpoint) replicate() {
	e.w.after(replicationInterval, e.replicate)
	p := e.w.endpoint(e.following)
	if p == nil || !e.up || !p.up || !p.primary || p.term != e.term || !e.w.linked(string(p.id), string(e.id)) {
		return
	}
	common := e.synced
	for common < min(len(e.log), len(p.log)) && e.log[common] == p.log[common] {
		common++
	}
	n := len(p.log)
	if e.lagging {
		n = min(n, common+e.w.below(2)*e.w.below(2))
	}
	e.log = append(e.log[:common], p.log[common:n]...)
	e.synced = n
	e.starts = startsUpTo(p.starts, n, n == len(p.log))
	term := e.term
	e.w.send(string(e.id), string(p.id), func() { p.acknowledged(e.id, term, n) })
}

// startsUpTo returns the starts of the terms that have entries in a log of length n.
func startsUpTo(starts []types.TermStart, n int, whole bool) []types.TermStart {
	var kept []types.TermStart
	for _, s := range starts {
		if int(s.Position) < n || whole {
			kept = append(kept, s)
		}
	}
	return kept
}

func (e *fakeEndpoint) acknowledged(from types.Endpoint, term types.Term, n int) {
	if !e.up || !e.primary || e.term != term {
		return
	}
	e.matched[from] = max(e.matched[from], n)
	replicated := e.replicated()
	for len(e.waiting) > 0 && e.waiting[0].position <= replicated {
		done := e.waiting[0].done
		e.waiting = e.waiting[1:]
		done()
	}
}

func (e *fakeEndpoint) crash(d time.Duration) {
	e.up = false
	e.w.after(d, func() {
		e.up = true
		e.upSince = e.w.now
		e.asked = map[types.Host]time.Duration{}
		e.waiting = nil
		e.matched = map[types.Endpoint]int{}
	})
}
