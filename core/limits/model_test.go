package limits_test

import (
	"testing"
)

// This file checks the rules of loans and grants exhaustively in two small models. Both have one
// lender with one share, which must never be used twice at a time. Messages are delivered at any
// later time, any number of times or never. Time is in ticks.
//
// A loan lasts modelLoan and a grant at most modelGrant ticks, as loanTime and grantTime do in the
// package.

const (
	modelLoan  = 4
	modelGrant = 2
)

// modelState is a state of a model.
type modelState[S any] interface {
	comparable
	// users returns how often the share is used.
	users() int
	// next returns the states that can follow.
	next() []S
}

// explore visits the states that can be reached and returns their number. It stops at the first one
// in which the share is used twice.
func explore[S modelState[S]](first S) (states int, violated bool) {
	seen := map[S]bool{first: true}
	queue := []S{first}
	for len(queue) > 0 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if s.users() > 1 {
			return len(seen), true
		}
		for _, n := range s.next() {
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
	}
	return len(seen), false
}

// checkModel fails the test if the share is used twice with all guards, or if the removal of a guard
// goes unnoticed.
func checkModel[S modelState[S]](t *testing.T, full S, without map[string]S) {
	states, violated := explore(full)
	t.Logf("all guards: %d states", states)
	if violated {
		t.Error("the share is used twice")
	}
	for name, s := range without {
		states, violated := explore(s)
		t.Logf("without %q: violated %v, %d states", name, violated, states)
		if !violated {
			t.Errorf("no violation without the guard %q", name)
		}
	}
}

const (
	loanModelEnd     = 9
	loanModelReports = 3
)

// loanGuards are the rules of loans.
type loanGuards struct {
	// lenderWaits: the lender uses its share only after the loan has expired.
	lenderWaits bool
	// loanExpires: the allocator uses no expired loan.
	loanExpires bool
	// grantWithinLoan: a grant ends no later than the loan that backs it.
	grantWithinLoan bool
	// allocatorClock: the loan counts from the allocator's clock that the report repeats, not from the
	// arrival of the report.
	allocatorClock bool
	// allocatorProcess: an allocator ignores the clock of its earlier process.
	allocatorProcess bool
	// oneLoan: the lender lends to another process only after the loan has expired.
	oneLoan bool
}

// loanState is the state of a lender and an allocator that restarts once. The clock of the second
// process is two ticks ahead.
type loanState struct {
	guards  loanGuards
	now     int8
	process int8
	reports [loanModelReports]loanReport
	sent    int8
	// staticFrom is when the lender uses its share. lentTo is the process with the loan, and
	// knownProcess and knownClock are those of the last reply; processes count from 1.
	staticFrom, lentTo       int8
	knownProcess, knownClock int8
	// knownAt is when that reply arrived.
	knownAt int8
	// replyProcess and replyClock are those of the allocator's last reply.
	replyProcess, replyClock int8
	// loanUntil is the end of the loan at the allocator, loanClock the clock in the report.
	loanUntil, loanClock int8
	// grantUntil holds the ends of the grants of the two processes.
	grantUntil [2]int8
}

// loanReport is a report of the lender.
type loanReport struct {
	process, clock int8
	lends          bool
}

func (s loanState) users() int {
	n := 0
	if s.now >= s.staticFrom {
		n++
	}
	for _, until := range s.grantUntil {
		if s.now < until {
			n++
		}
	}
	return n
}

// offset returns the difference of the allocator's clock to the time.
func (s loanState) offset() int8 { return 2 * s.process }

func (s loanState) next() []loanState {
	var out []loanState
	if s.now < loanModelEnd {
		n := s
		n.now++
		out = append(out, n)
	}
	if s.process == 0 {
		n := s
		n.process, n.loanUntil, n.loanClock = 1, 0, 0
		out = append(out, n)
	}
	if s.sent < loanModelReports {
		out = append(out, s.withReport())
	}
	for i := range s.sent {
		out = append(out, s.withReceived(s.reports[i]))
	}
	if s.replyProcess != 0 && (s.replyProcess > s.knownProcess || s.replyClock > s.knownClock) {
		n := s
		n.knownProcess, n.knownClock, n.knownAt = s.replyProcess, s.replyClock, s.now
		out = append(out, n)
	}
	if length := s.grantLength(); length > 0 {
		n := s
		n.grantUntil[s.process] = max(n.grantUntil[s.process], s.now+length)
		out = append(out, n)
	}
	return out
}

// withReport returns the state after the lender has sent a report.
func (s loanState) withReport() loanState {
	r := loanReport{process: s.knownProcess, clock: s.knownClock}
	mayLend := s.now >= s.staticFrom || s.lentTo == s.knownProcess || !s.guards.oneLoan
	until := s.knownAt + modelLoan
	if s.knownProcess != 0 && mayLend && s.now < until {
		r.lends = true
		s.lentTo = s.knownProcess
		if !s.guards.lenderWaits {
			until = s.now + 1
		}
		s.staticFrom = max(s.staticFrom, until)
	}
	s.reports[s.sent] = r
	s.sent++
	return s
}

// withReceived returns the state after the allocator has received a report.
func (s loanState) withReceived(r loanReport) loanState {
	clock := s.now + s.offset()
	valid := r.process == s.process+1 || (r.process != 0 && !s.guards.allocatorProcess)
	if r.lends && valid && r.clock <= clock && r.clock >= s.loanClock {
		start := r.clock
		if !s.guards.allocatorClock {
			start = clock
		}
		s.loanClock = r.clock
		s.loanUntil = max(s.loanUntil, start-s.offset()+modelLoan)
	}
	s.replyProcess, s.replyClock = s.process+1, clock
	return s
}

// grantLength returns the length of the grant that the allocator can make.
func (s loanState) grantLength() int8 {
	left := s.loanUntil - s.now
	switch {
	case s.loanUntil == 0:
		return 0
	case left <= 0 && s.guards.loanExpires:
		return 0
	case !s.guards.grantWithinLoan || !s.guards.loanExpires:
		return modelGrant
	}
	return min(left, modelGrant)
}

// A share must never be used by its lender and an allocator, or by two processes of the allocator. The
// removal of each guard must be noticed; otherwise the model proves nothing about it.
func TestModelOfLoans(t *testing.T) {
	full := loanState{guards: loanGuards{true, true, true, true, true, true}}
	without := map[string]loanState{}
	for name, remove := range map[string]func(*loanGuards){
		"the lender waits for the end of its loan": func(g *loanGuards) { g.lenderWaits = false },
		"loans expire at the allocator":            func(g *loanGuards) { g.loanExpires = false },
		"grants are shorter than loans":            func(g *loanGuards) { g.grantWithinLoan = false },
		"loans count from the allocator's clock":   func(g *loanGuards) { g.allocatorClock = false },
		"clocks of earlier processes are ignored":  func(g *loanGuards) { g.allocatorProcess = false },
		"one loan at a time":                       func(g *loanGuards) { g.oneLoan = false },
	} {
		s := full
		remove(&s.guards)
		without[name] = s
	}
	checkModel(t, full, without)
}

const (
	grantModelEnd      = 6
	grantModelRequests = 3
)

// grantModelLimits bounds the reports of the two hosts. One report of the second host is enough to
// use the share twice.
var grantModelLimits = [2]int8{grantModelRequests, 1}

// grantGuards are the rules of grants.
type grantGuards struct {
	// outstandingCounts: grants count until they have expired or their replacement is confirmed.
	outstandingCounts bool
	// confirmedOnly: a grant counts as replaced once the host confirms a later one, not when the
	// later one is sent.
	confirmedOnly bool
	// fromSending: a grant counts from the sending of the report that it answers.
	fromSending bool
	// withinLoan: a grant ends no later than the loan.
	withinLoan bool
	// inOrder: a host ignores a reply that is older than the last one that it has used.
	inOrder bool
}

// grantState is the state of an allocator with a loan until modelLoan, and two hosts with demand.
type grantState struct {
	guards grantGuards
	now    int8
	hosts  [2]grantHost
}

type grantHost struct {
	requests [grantModelRequests]grantRequest
	sent     int8
	// applied is the number of the reply that the host uses, which ends at until.
	applied, until int8
	// confirmed is the number of the last reply that the allocator knows to be used.
	confirmed int8
}

// grantRequest is a report of a host, and the reply to it.
type grantRequest struct {
	sentAt, confirms int8
	replied, granted bool
	// length is that of the grant, end its end as the allocator counts it.
	length, end int8
}

func (s grantState) users() int {
	n := 0
	if s.now >= modelLoan {
		n++ // the lender
	}
	for _, h := range s.hosts {
		if s.now < h.until {
			n++
		}
	}
	return n
}

// outstanding reports whether a host may use a grant, as the allocator knows.
func (h *grantHost) outstanding(now int8, g grantGuards) bool {
	last := h.confirmed
	if !g.confirmedOnly {
		for i, r := range h.requests {
			if r.replied {
				last = max(last, int8(i+1))
			}
		}
	}
	for i, r := range h.requests {
		if r.granted && now < r.end && int8(i+1) >= last {
			return g.outstandingCounts
		}
	}
	return false
}

func (s grantState) next() []grantState {
	var out []grantState
	if s.now < grantModelEnd {
		n := s
		n.now++
		out = append(out, n)
	}
	for i := range s.hosts {
		h := &s.hosts[i]
		if h.sent < grantModelLimits[i] {
			n := s
			n.hosts[i].requests[h.sent] = grantRequest{sentAt: s.now, confirms: h.applied}
			n.hosts[i].sent++
			out = append(out, n)
		}
		for j := range h.sent {
			out = append(out, s.nextOfRequest(i, j)...)
		}
	}
	return out
}

// nextOfRequest returns the states that follow a step of a request.
func (s grantState) nextOfRequest(i int, j int8) []grantState {
	h := &s.hosts[i]
	r := h.requests[j]
	if !r.replied {
		n := s
		n.hosts[i].requests[j].replied = true
		n.hosts[i].confirmed = max(h.confirmed, r.confirms)
		out := []grantState{n}
		length := int8(modelGrant)
		if s.guards.withinLoan {
			length = min(length, modelLoan-s.now)
		}
		if s.now < modelLoan && length > 0 && !n.hosts[1-i].outstanding(s.now, s.guards) {
			granted := &n.hosts[i].requests[j]
			granted.granted, granted.length, granted.end = true, length, s.now+length
			out = append(out, n)
		}
		return out
	}
	number := j + 1
	if number <= h.applied && s.guards.inOrder || number == h.applied {
		return nil
	}
	n := s
	n.hosts[i].applied, n.hosts[i].until = number, 0
	if r.granted {
		start := r.sentAt
		if !s.guards.fromSending {
			start = s.now
		}
		n.hosts[i].until = start + r.length
	}
	return []grantState{n}
}

// A lent share must never be used by two hosts, or by a host and the lender.
func TestModelOfGrants(t *testing.T) {
	full := grantState{guards: grantGuards{true, true, true, true, true}}
	without := map[string]grantState{}
	for name, remove := range map[string]func(*grantGuards){
		"outstanding grants count":         func(g *grantGuards) { g.outstandingCounts = false },
		"grants are replaced if confirmed": func(g *grantGuards) { g.confirmedOnly = false },
		"grants count from the report":     func(g *grantGuards) { g.fromSending = false },
		"grants are shorter than the loan": func(g *grantGuards) { g.withinLoan = false },
		"replies are used in their order":  func(g *grantGuards) { g.inOrder = false },
	} {
		s := full
		remove(&s.guards)
		without[name] = s
	}
	checkModel(t, full, without)
}
