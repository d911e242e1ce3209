package limits_test

import "testing"

// The model of this file has one workspace with a share that is either at its allocator or granted to
// one host. The buckets together hold at most tokenModelDepth tokens. Every operation takes one.
// Replies with single tokens and reports with the number of those that the host has arrive at any later
// time or never. Single tokens expire at any time, at the allocator no earlier than at the host.

const (
	tokenModelDepth = 2
	// tokenModelGranted is the part of the depth that moves to the host with the share.
	tokenModelGranted = 1
)

// tokenGuards are the rules of tokens.
type tokenGuards struct {
	// emptyAtStart: the bucket of a new process is empty.
	emptyAtStart bool
	// clipped: a host drops its tokens when its share ends.
	clipped bool
	// returnedOnce: the allocator credits returned tokens once, although the report may arrive twice.
	returnedOnce bool
	// outstandingCount: single tokens count towards the depth until they have expired.
	outstandingCount bool
	// depthLeft: a share is granted only if outstanding single tokens leave its part of the depth.
	depthLeft bool
	// laterCount: the tokens of replies that the host had not received when it sent a report count
	// in addition to those that the report tells.
	laterCount bool
	// countExtended: the allocator counts single tokens as long as it has extended them.
	countExtended bool
	// withinLoan: single tokens end before the loans that back them.
	withinLoan bool
	// othersDropped: a host drops its single tokens when it receives those of another process.
	othersDropped bool
}

// tokenState is the state of the buckets.
type tokenState struct {
	guards tokenGuards
	// allocator and host are the tokens of the buckets, stock the single tokens of the host.
	allocator, host, stock int8
	granted                bool
	// outstanding is the number of single tokens that the allocator counts.
	outstanding int8
	// underway is the number of single tokens in replies.
	underway int8
	// reported is set while a report is on its way that tells held single tokens. later is the
	// number of tokens in replies that had not arrived when it was sent.
	reported    bool
	held, later int8
	// returned is the number of tokens in a report that is on its way, and credited is set once it
	// has arrived.
	returned int8
	credited bool
	// unused is the number of tokens that have been added and not used, as far as it matters.
	unused int8
}

func (s tokenState) users() int {
	saved := s.allocator + s.host + s.stock + s.underway
	if saved > tokenModelDepth || saved > s.unused {
		return 2
	}
	return 1
}

func (s tokenState) allocatorDepth() int8 {
	depth := int8(tokenModelDepth)
	if s.granted {
		depth -= tokenModelGranted
	}
	if s.guards.outstandingCount {
		depth -= s.outstanding
	}
	return max(depth, 0)
}

func (s tokenState) hostDepth() int8 {
	if s.granted {
		return tokenModelGranted
	}
	return 0
}

func (s tokenState) next() []tokenState {
	var out []tokenState
	step := func(possible bool, change func(n *tokenState)) {
		if !possible {
			return
		}
		n := s
		change(&n)
		n.allocator = min(n.allocator, n.allocatorDepth())
		if n.guards.clipped {
			n.host = min(n.host, n.hostDepth())
		}
		out = append(out, n)
	}
	step(true, func(n *tokenState) { // time passes
		n.unused = min(n.unused+1, 2*tokenModelDepth)
		if s.granted {
			n.host = min(n.host+1, n.hostDepth())
		} else {
			n.allocator++
		}
	})
	step(s.host > 0, func(n *tokenState) { n.host--; n.unused-- })
	step(s.stock > 0, func(n *tokenState) { n.stock--; n.unused-- })
	hasDepth := s.outstanding+tokenModelGranted <= tokenModelDepth
	step(!s.granted && (hasDepth || !s.guards.depthLeft), func(n *tokenState) { n.granted = true })
	step(s.granted, func(n *tokenState) { n.granted = false })
	s.singleTokenSteps(step)
	step(s.host > 0 && s.returned == 0, func(n *tokenState) { n.host--; n.returned, n.credited = 1, false })
	step(s.returned > 0 && (!s.credited || !s.guards.returnedOnce), func(n *tokenState) { n.allocator += n.returned; n.credited = true })
	step(s.returned > 0, func(n *tokenState) { n.returned = 0 }) // no copy of the report arrives any more
	step(true, func(n *tokenState) {                             // the host restarts
		n.host, n.stock = 0, 0
		if !n.guards.emptyAtStart {
			n.host = n.hostDepth()
		}
	})
	return out
}

// singleTokenSteps passes the steps of single tokens to step.
func (s tokenState) singleTokenSteps(step func(possible bool, change func(n *tokenState))) {
	step(s.allocator > 0, func(n *tokenState) {
		n.allocator--
		n.underway++
		n.outstanding++
		if s.reported {
			n.later = min(n.later+1, tokenModelDepth)
		}
	})
	step(s.underway > 0, func(n *tokenState) { n.underway--; n.stock++ })
	step(s.underway > 0, func(n *tokenState) { n.underway-- }) // the reply is lost
	step(s.stock > 0, func(n *tokenState) { n.stock-- })       // a single token expires
	step(s.outstanding > s.stock+s.underway || s.outstanding > 0 && !s.guards.countExtended, func(n *tokenState) { n.outstanding-- })
	step(!s.reported, func(n *tokenState) { n.reported, n.held, n.later = true, s.stock, s.underway })
	step(s.reported, func(n *tokenState) { n.reported, n.held, n.later = false, 0, 0 }) // the report is lost
	step(s.reported, func(n *tokenState) {
		n.outstanding = s.held
		if s.guards.laterCount {
			n.outstanding += s.later
		}
		n.reported, n.held, n.later = false, 0, 0
	})
	step(s.stock > 0 && s.returned == 0, func(n *tokenState) { n.stock--; n.returned, n.credited = 1, false })
	step(true, func(n *tokenState) { // the loans end, and are given to another process
		n.allocator, n.outstanding, n.granted = 0, 0, false
		n.reported, n.held, n.later = false, 0, 0
		if s.guards.withinLoan {
			n.stock, n.underway = 0, 0
		}
	})
	// Tokens of a second allocator arrive, with a later end. Its own depth is not modelled.
	step(s.stock > 0, func(n *tokenState) {
		if s.guards.othersDropped {
			n.stock = 0
		} else {
			n.outstanding = 0
		}
	})
}

// The buckets must never hold more tokens than their depth, or tokens that nothing has added. The
// removal of each guard must be noticed.
func TestModelOfTokens(t *testing.T) {
	full := tokenState{guards: tokenGuards{true, true, true, true, true, true, true, true, true}}
	without := map[string]tokenState{}
	for name, remove := range map[string]func(*tokenGuards){
		"buckets are empty at start":      func(g *tokenGuards) { g.emptyAtStart = false },
		"tokens are dropped with a share": func(g *tokenGuards) { g.clipped = false },
		"returned tokens count once":      func(g *tokenGuards) { g.returnedOnce = false },
		"outstanding tokens count":        func(g *tokenGuards) { g.outstandingCount = false },
		"shares need depth":               func(g *tokenGuards) { g.depthLeft = false },
		"tokens of later replies count":   func(g *tokenGuards) { g.laterCount = false },
		"extended tokens count":           func(g *tokenGuards) { g.countExtended = false },
		"tokens end before the loans":     func(g *tokenGuards) { g.withinLoan = false },
		"tokens of others are dropped":    func(g *tokenGuards) { g.othersDropped = false },
	} {
		s := full
		remove(&s.guards)
		without[name] = s
	}
	checkModel(t, full, without)
}
