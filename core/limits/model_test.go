package limits_test

import (
	"testing"
)

// This file checks the rules of loans and grants exhaustively in a small model: one lender with one
// share, one keeper that may restart, and two hosts that get grants. Messages are delivered at any
// later time, any number of times or never. Time is in ticks; the clocks of the keeper's two
// processes differ. At no time may the share be used twice.
//
// A loan lasts modelLoan and a grant modelGrant ticks, as loanTime and grantTime do in the package.

const (
	modelLoan  = 3
	modelGrant = 2
	modelEnd   = 8
	// modelReports bounds the reports of the lender, modelRequests those of each other host.
	modelReports  = 3
	modelRequests = 2
)

// guards are the rules whose removal must lead to a violation.
type guards struct {
	// lenderWaits: the lender uses its share only after the loan has expired.
	lenderWaits bool
	// loanExpires: the keeper uses no expired loan.
	loanExpires bool
	// grantWithinLoan: a grant ends no later than the loan that backs it.
	grantWithinLoan bool
	// keeperClock: the loan counts from the keeper's clock that the report repeats, not from the
	// arrival of the report.
	keeperClock bool
	// keeperProcess: a keeper ignores the clock of its earlier process.
	keeperProcess bool
	// oneLoan: the lender lends to another process only after the loan has expired.
	oneLoan bool
	// outstandingCounts: grants count until they have expired or their replacement is confirmed.
	outstandingCounts bool
	// confirmedOnly: a grant counts as replaced once the host confirms a later one, not when the
	// later one is sent.
	confirmedOnly bool
	// grantFromSending: a grant counts from the sending of the report that it answers.
	grantFromSending bool
}

func allGuards() guards {
	return guards{true, true, true, true, true, true, true, true, true}
}

// clockOffsets are the differences of the clocks of the keeper's processes to the time.
var clockOffsets = [2]int8{0, 2}

// loanReport is a report of the lender.
type loanReport struct {
	sent           bool
	process, clock int8
	lends          bool
}

// requestMessage is a report of another host, and the reply to it.
type requestMessage struct {
	sent     bool
	sentAt   int8
	confirms int8 // the number of the reply that the host uses; 0 for none
	process  int8
	replied  bool
	until    int8 // the end of the grant in the time of the keeper, as a time
	share    bool
	length   int8
}

// modelState is a state of the model. All times are in ticks since the start.
type modelState struct {
	now     int8
	process int8
	// The lender.
	reports       [modelReports]loanReport
	reportCount   int8
	staticFrom    int8
	lentTo        int8 // the process with the loan plus one; 0 for none
	knownProcess  int8 // that of the last reply plus one; 0 for none
	knownClock    int8
	replyProcess  int8 // the last reply of the keeper to the lender, which may be delivered any time
	replyClock    int8
	loanUntil     int8 // the end of the loan as the keeper sees it
	loanClock     int8
	requests      [2][modelRequests]requestMessage
	requestCount  [2]int8
	applied       [2]int8 // the number of the reply that the host uses; 0 for none
	grantUntil    [2]int8
	keeperEnds    [2][modelRequests]int8 // the ends of the grants as the keeper counts them
	keeperConfirm [2]int8
}

func (s *modelState) users() int {
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

// outstanding reports whether a host may use a grant of the keeper's process.
func (s *modelState) outstanding(h int, g guards) bool {
	if !g.outstandingCounts {
		return false
	}
	last := int8(0)
	for i, end := range s.keeperEnds[h] {
		if end != 0 {
			last = int8(i + 1)
		}
	}
	for i, end := range s.keeperEnds[h] {
		number := int8(i + 1)
		replaced := number < s.keeperConfirm[h]
		if !g.confirmedOnly {
			replaced = number < last
		}
		if s.now < end && !replaced {
			return true
		}
	}
	return false
}

// next returns the states that can follow.
func (s modelState) next(g guards) []modelState {
	var out []modelState
	if s.now < modelEnd {
		n := s
		n.now++
		out = append(out, n)
	}
	if s.process == 0 { // the keeper restarts
		n := s
		n.process, n.loanUntil, n.loanClock = 1, 0, 0
		n.keeperEnds, n.keeperConfirm = [2][modelRequests]int8{}, [2]int8{}
		out = append(out, n)
	}
	out = append(out, s.nextOfLender(g)...)
	for h := range 2 {
		out = append(out, s.nextOfHost(g, h)...)
	}
	return out
}

// nextOfLender returns the states that follow a step of the loans.
func (s modelState) nextOfLender(g guards) []modelState {
	var out []modelState
	if s.reportCount < modelReports { // the lender reports
		n := s
		r := loanReport{sent: true, process: s.knownProcess, clock: s.knownClock}
		mayLend := s.now >= s.staticFrom || s.lentTo == s.knownProcess || !g.oneLoan
		if s.knownProcess != 0 && mayLend {
			r.lends = true
			n.lentTo = s.knownProcess
			if g.lenderWaits {
				n.staticFrom = max(n.staticFrom, s.now+modelLoan)
			} else {
				n.staticFrom = max(n.staticFrom, s.now+1)
			}
		}
		n.reports[n.reportCount] = r
		n.reportCount++
		out = append(out, n)
	}
	for _, r := range s.reports { // the keeper receives a report, and replies
		if !r.sent {
			continue
		}
		n := s
		clock := s.now + clockOffsets[s.process]
		valid := r.process == s.process+1 || (r.process != 0 && !g.keeperProcess)
		if r.lends && valid && r.clock <= clock && r.clock >= s.loanClock {
			start := r.clock
			if !g.keeperClock {
				start = clock
			}
			n.loanClock = r.clock
			n.loanUntil = max(s.loanUntil, start-clockOffsets[s.process]+modelLoan)
		}
		n.replyProcess, n.replyClock = s.process+1, clock
		out = append(out, n)
	}
	if s.replyProcess != 0 { // the lender receives the reply
		n := s
		n.knownProcess, n.knownClock = s.replyProcess, s.replyClock
		out = append(out, n)
	}
	return out
}

// nextOfHost returns the states that follow a step of the grants of a host.
func (s modelState) nextOfHost(g guards, h int) []modelState {
	var out []modelState
	if c := s.requestCount[h]; c < modelRequests { // the host reports
		n := s
		n.requests[h][c] = requestMessage{sent: true, sentAt: s.now, confirms: s.applied[h]}
		n.requestCount[h]++
		out = append(out, n)
	}
	for i, r := range s.requests[h] {
		if r.sent && !r.replied { // the keeper replies, with or without a grant
			out = append(out, s.withReply(h, i, false, g))
			length, ok := s.grantLength(g, h)
			if ok {
				n := s.withReply(h, i, true, g)
				n.requests[h][i].length = length
				n.keeperEnds[h][i] = s.now + length
				out = append(out, n)
			}
		}
		if r.replied && int8(i+1) > s.applied[h] { // the host receives the reply
			n := s
			n.applied[h] = int8(i + 1)
			n.grantUntil[h] = 0
			if r.share {
				start := r.sentAt
				if !g.grantFromSending {
					start = s.now
				}
				n.grantUntil[h] = start + r.length
			}
			out = append(out, n)
		}
	}
	return out
}

// withReply returns the state after the keeper has replied to a request.
func (s modelState) withReply(h, i int, share bool, _ guards) modelState {
	r := &s.requests[h][i]
	r.replied, r.share, r.process = true, share, s.process
	// A host confirms the replies of this process only.
	if c := r.confirms; c != 0 && s.requests[h][c-1].process == s.process {
		s.keeperConfirm[h] = max(s.keeperConfirm[h], c)
	}
	if !share {
		s.keeperEnds[h][i] = -1
	}
	return s
}

// grantLength returns how long the keeper can grant the share to a host.
func (s *modelState) grantLength(g guards, h int) (int8, bool) {
	left := s.loanUntil - s.now
	if !g.loanExpires && s.loanUntil != 0 {
		left = modelGrant
	}
	if left <= 0 || s.outstanding(1-h, g) {
		return 0, false
	}
	if !g.grantWithinLoan {
		return modelGrant, true
	}
	return min(left, modelGrant), true
}

// explore visits the states that can be reached and returns their number. It stops at the first one
// in which the share is used twice.
func explore(g guards) (states int, violated bool) {
	first := modelState{}
	seen := map[modelState]bool{first: true}
	queue := []modelState{first}
	for len(queue) > 0 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if s.users() > 1 {
			return len(seen), true
		}
		for _, n := range s.next(g) {
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
	}
	return len(seen), false
}

// The share must never be used twice while all guards are in place.
func TestModelOfLoansHolds(t *testing.T) {
	states, violated := explore(allGuards())
	t.Logf("%d states", states)
	if violated {
		t.Error("the share is used twice")
	}
}

// The model must notice the removal of each guard; otherwise it proves nothing about it.
func TestModelOfLoansNeedsEachGuard(t *testing.T) {
	for name, remove := range map[string]func(*guards){
		"the lender waits for the end of its loan": func(g *guards) { g.lenderWaits = false },
		"loans expire at the keeper":               func(g *guards) { g.loanExpires = false },
		"grants are shorter than loans":            func(g *guards) { g.grantWithinLoan = false },
		"loans count from the keeper's clock":      func(g *guards) { g.keeperClock = false },
		"clocks of earlier processes are ignored":  func(g *guards) { g.keeperProcess = false },
		"one loan at a time":                       func(g *guards) { g.oneLoan = false },
		"outstanding grants count":                 func(g *guards) { g.outstandingCounts = false },
		"grants are replaced when confirmed":       func(g *guards) { g.confirmedOnly = false },
		"grants count from the report":             func(g *guards) { g.grantFromSending = false },
	} {
		g := allGuards()
		remove(&g)
		if states, violated := explore(g); !violated {
			t.Errorf("no violation without the guard %q in %d states", name, states)
		}
	}
}
