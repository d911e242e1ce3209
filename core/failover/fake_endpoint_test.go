package failover_test

import (
	"slices"
	"time"

	"baobabfield.example/core/failover"
	"baobabfield.example/core/types"
)

const replicationInterval = 5 * time.Millisecond

type logEntry struct {
	term    types.Term
	writeID int
}

// fakeEndpoint simulates a database instance with the behaviour that
// docs/ENDPOINT.md specifies.
type fakeEndpoint struct {
	sim             *simulation
	id              types.Endpoint
	up              bool
	lagging         bool
	term            types.Term
	primary         bool
	log             []logEntry
	termStarts      []types.TermStart
	followedPrimary types.Endpoint
	// commonPrefix is the length of the common prefix of this log and the primary's.
	commonPrefix       int
	replicaPositions   map[types.Endpoint]int
	pendingWrites      []pendingWrite
	lastAuthorityQuery map[types.Host]time.Duration
	upSince            time.Duration
}

// pendingWrite is a write that has no result until a majority holds logLength
// entries.
type pendingWrite struct {
	logLength int
	done      func()
}

func newFakeEndpoint(sim *simulation, id types.Endpoint) *fakeEndpoint {
	e := &fakeEndpoint{sim: sim, id: id, up: true, lastAuthorityQuery: map[types.Host]time.Duration{}}
	sim.scheduleAfter(replicationInterval, e.replicate)
	return e
}

func (e *fakeEndpoint) lastLogPoint() types.LogPoint {
	if len(e.log) == 0 {
		return types.LogPoint{}
	}
	return types.LogPoint{Term: e.log[len(e.log)-1].term, Position: types.Position(len(e.log))}
}

func (e *fakeEndpoint) status(from types.Host, renewsAuthority bool) failover.EndpointStatus {
	if renewsAuthority {
		e.lastAuthorityQuery[from] = e.sim.now
	}
	s := failover.EndpointStatus{Role: failover.RoleReplica, Term: e.term, LastLogPoint: e.lastLogPoint(), TermStarts: slices.Clone(e.termStarts)}
	if e.primary {
		s.Role = failover.RolePrimary
		s.ReplicatedPosition = types.Position(e.replicatedLength())
	}
	return s
}

func (e *fakeEndpoint) fence(from types.Host, requestID failover.RequestID, term types.Term) failover.FenceResponse {
	granted := term > e.term
	if granted {
		e.setRole(term, false, "")
	}
	idle := e.sim.now - e.upSince
	idleKnown := idle >= time.Second
	for h, at := range e.lastAuthorityQuery {
		if h != from {
			idle = min(idle, e.sim.now-at)
			idleKnown = true
		}
	}
	return failover.FenceResponse{RequestID: requestID, Endpoint: e.id, Granted: granted, Term: e.term, LastLogPoint: e.lastLogPoint(), AuthorityIdleKnown: idleKnown && e.sim.reportsAuthorityIdle, AuthorityIdle: idle}
}

func (e *fakeEndpoint) promote(requestID failover.RequestID, term types.Term) failover.PromoteResponse {
	done := term == e.term
	if done && !e.primary {
		e.setRole(term, true, "")
		e.termStarts = append(e.termStarts, types.TermStart{Term: term, Position: types.Position(len(e.log))})
		e.sim.checkPromotion(e)
	}
	return failover.PromoteResponse{RequestID: requestID, Endpoint: e.id, Done: done, Term: e.term, LastLogPoint: e.lastLogPoint()}
}

func (e *fakeEndpoint) follow(requestID failover.RequestID, primary types.Endpoint, term types.Term) failover.FollowResponse {
	done := term > e.term || (term == e.term && !e.primary)
	if done {
		e.setRole(term, false, primary)
	}
	return failover.FollowResponse{RequestID: requestID, Endpoint: e.id, Done: done, Term: e.term}
}

func (e *fakeEndpoint) setRole(term types.Term, primary bool, followedPrimary types.Endpoint) {
	e.term = term
	e.primary = primary
	e.followedPrimary = followedPrimary
	e.commonPrefix = 0
	e.replicaPositions = map[types.Endpoint]int{}
	e.pendingWrites = nil
}

// write runs a write if the endpoint is the primary of the term, and reports whether
// it did. If replicated is true, done is called once a majority holds the write, and
// otherwise at once.
func (e *fakeEndpoint) write(id int, term types.Term, replicated bool, done func(position int)) bool {
	if !e.up || !e.primary || e.term != term {
		return false
	}
	e.sim.checkWrite(e, id)
	e.log = append(e.log, logEntry{term: term, writeID: id})
	position := len(e.log)
	if replicated {
		e.pendingWrites = append(e.pendingWrites, pendingWrite{logLength: position, done: func() { done(position) }})
	} else {
		done(position)
	}
	return true
}

// replicatedLength returns the length of the log that a majority of the term's set
// holds.
func (e *fakeEndpoint) replicatedLength() int {
	set := e.sim.sets[e.term.EndpointSet()]
	held := make([]int, 0, len(set))
	for _, id := range set {
		if id == e.id {
			held = append(held, len(e.log))
		} else {
			held = append(held, e.replicaPositions[id])
		}
	}
	slices.Sort(held)
	return held[len(held)-(len(held)/2+1)]
}

// replicate copies log entries from the primary that this endpoint follows, and
// schedules itself again.
func (e *fakeEndpoint) replicate() {
	e.sim.scheduleAfter(replicationInterval, e.replicate)
	primary := e.sim.endpoint(e.followedPrimary)
	if primary == nil || !e.up || !primary.up || !primary.primary || primary.term != e.term || !e.sim.connected(string(primary.id), string(e.id)) {
		return
	}
	common := e.commonPrefix
	for common < min(len(e.log), len(primary.log)) && e.log[common] == primary.log[common] {
		common++
	}
	length := len(primary.log)
	if e.lagging {
		length = min(length, common+e.sim.randomBelow(2)*e.sim.randomBelow(2))
	}
	e.log = append(e.log[:common], primary.log[common:length]...)
	e.commonPrefix = length
	e.termStarts = termStartsUpTo(primary.termStarts, length, length == len(primary.log))
	term := e.term
	e.sim.send(string(e.id), string(primary.id), func() { primary.onReplicaAck(e.id, term, length) })
}

// termStartsUpTo returns the starts of the terms that have entries in a log of length
// n, or all of them if the log is complete.
func termStartsUpTo(starts []types.TermStart, n int, complete bool) []types.TermStart {
	var kept []types.TermStart
	for _, s := range starts {
		if int(s.Position) < n || complete {
			kept = append(kept, s)
		}
	}
	return kept
}

func (e *fakeEndpoint) onReplicaAck(from types.Endpoint, term types.Term, n int) {
	if !e.up || !e.primary || e.term != term {
		return
	}
	e.replicaPositions[from] = max(e.replicaPositions[from], n)
	replicated := e.replicatedLength()
	for len(e.pendingWrites) > 0 && e.pendingWrites[0].logLength <= replicated {
		done := e.pendingWrites[0].done
		e.pendingWrites = e.pendingWrites[1:]
		done()
	}
}

func (e *fakeEndpoint) crash(d time.Duration) {
	e.up = false
	e.sim.scheduleAfter(d, func() {
		e.up = true
		e.upSince = e.sim.now
		e.lastAuthorityQuery = map[types.Host]time.Duration{}
		e.pendingWrites = nil
		e.replicaPositions = map[types.Endpoint]int{}
	})
}
