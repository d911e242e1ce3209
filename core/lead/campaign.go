package lead

import (
	"time"

	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// Status is an endpoint's report about itself.
type Status = statement.Status

const (
	// stepTimeout bounds each step of a campaign that waits for endpoints.
	stepTimeout = 700 * time.Millisecond
	// fenceTimeout bounds the wait for all replicas to be paused.
	fenceTimeout = 2 * time.Second
	// claimTimeout bounds the wait for the store's answer to a claim.
	claimTimeout = 1500 * time.Millisecond
	// promoteTimeout bounds the wait for the chosen endpoint to become the primary.
	promoteTimeout = 3 * time.Second
	// catchUpTimeout bounds the wait of a planned change for the candidate to hold
	// everything that the old primary has committed.
	catchUpTimeout = 2 * time.Second
	// quietTimeout bounds the wait of a planned change for running writes.
	quietTimeout = 1500 * time.Millisecond
	// SettleDelay is the time after which an old primary that reaches the new one has
	// become its replica; the platform states one second.
	SettleDelay = 1200 * time.Millisecond
	// pollEvery is the time between two questions of a step that waits.
	pollEvery = 70 * time.Millisecond
	// promoteDelay is the time after a promotion before the candidate is asked for
	// the first time; platforms take half a second or more.
	promoteDelay = 450 * time.Millisecond
)

// Reason says why a primary is replaced.
type Reason string

// The reasons.
const (
	// Leaving: the primary has announced its end; nothing may be lost.
	Leaving Reason = "primary leaves"
	// Gone: the primary refuses connections or has disappeared.
	Gone Reason = "primary is gone"
	// Silent: the primary does not answer, though it may still run.
	Silent Reason = "primary is silent"
	// Stuck: the primary is well, but a campaign that did not end has left replicas
	// paused, so that it cannot be used.
	Stuck Reason = "replicas stayed paused"
	// Demoted: the endpoint no longer is a primary, and there is no other.
	Demoted Reason = "no endpoint is the primary"
)

// Phase is a step of a campaign.
type Phase uint8

// The phases, in order; a campaign skips those that its reason does not need.
const (
	// Surveying waits for a sign of life of every replica: a host that does not
	// reach them cannot replace a primary, and must not keep others from it.
	Surveying Phase = iota
	// Claiming waits for the store to grant the token.
	Claiming
	// Quieting waits for running writes to end.
	Quieting
	// SteppingDown waits for the old primary to give up its role.
	SteppingDown
	// Fencing waits for the replicas to be paused, and for the window to pass.
	Fencing
	// CatchingUp waits for the candidate to hold the old primary's whole log.
	CatchingUp
	// Promoting waits for the platform, and then for the candidate to lead.
	Promoting
	// Ended: see Outcome.
	Ended
)

var phaseNames = [...]string{"surveying", "claiming", "quieting", "stepping down", "fencing", "catching up", "promoting", "ended"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Op is what a campaign asks of an endpoint.
type Op uint8

// The operations.
const (
	AskStatus Op = iota
	Pause
	Resume
	StepDown
)

// String returns the operation's name.
func (o Op) String() string { return [...]string{"status", "pause", "resume", "step down"}[o] }

// Order is an operation for an endpoint.
type Order struct {
	Endpoint types.Endpoint
	Op       Op
	// Term is that of a Pause or StepDown.
	Term types.Term
}

// Actions are what a campaign wants done; each field may be empty.
type Actions struct {
	Orders []Order
	// Claim asks the store for the token.
	Claim bool
	// HoldWrites asks for no new work to be sent to the old primary.
	HoldWrites bool
	// Promote asks the platform to make the endpoint the primary.
	Promote types.Endpoint
	// Record asks the store to note the candidate as chosen.
	Record types.Endpoint
	// Settle are orders for SettleDelay after the end: a replica that is resumed
	// holds no term until it hears of the new primary, and until then it would
	// confirm the old one to an owner that has not heard either.
	Settle []Order
	// Ended is set once the campaign is over.
	Ended bool
	// Won is the new primary, where the campaign has succeeded.
	Won types.Endpoint
}

// Campaign replaces the primary of one service. One task owns it.
type Campaign struct {
	Service types.Service
	Reason  Reason
	Old     types.Endpoint
	// Token is granted by the store.
	Token uint64

	phase    Phase
	phaseAt  types.Time
	polledAt types.Time
	replicas []types.Endpoint
	statuses map[types.Endpoint]Status
	paused   map[types.Endpoint]bool
	excluded map[types.Endpoint]bool
	// keepsAll is set where no acknowledged commit may be lost.
	keepsAll bool
	// leaving are the replicas that are chosen only where there is no other.
	leaving map[types.Endpoint]bool
	// term is the highest term seen; paused replicas hold the one after it.
	term types.Term
	// target is the position that the candidate must hold in a planned change.
	target    types.LogPoint
	candidate types.Endpoint
	fencedAt  types.Time
	// refusedFenced is set once the old primary has refused a connection that was asked
	// for after the fence stood.
	refusedFenced bool
	promoteAt     types.Time
	accepted      bool
	oldStopped    bool
	// found is an endpoint that leads already.
	found types.Endpoint
	// oldWell is set once the old primary has answered as one.
	oldWell bool
}

// NewCampaign starts a campaign against the primary old, which is empty where the
// service has none; term is the highest one known.
func NewCampaign(now types.Time, s types.Service, reason Reason, old types.Endpoint, replicas []types.Endpoint, term types.Term) *Campaign {
	return &Campaign{
		Service: s, Reason: reason, Old: old, replicas: replicas, term: term,
		phaseAt:  now,
		statuses: map[types.Endpoint]Status{}, paused: map[types.Endpoint]bool{}, excluded: map[types.Endpoint]bool{},
		leaving: map[types.Endpoint]bool{},
	}
}

// Avoid names a replica that leaves; it is chosen only where there is no other.
func (c *Campaign) Avoid(e types.Endpoint) { c.leaving[e] = true }

// KeepAll makes the campaign wait for every listed replica: where commits are
// acknowledged once some replica holds them, the one that does may be any of them.
func (c *Campaign) KeepAll() { c.keepsAll = true }

// Phase returns the step that the campaign has reached.
func (c *Campaign) Phase() Phase { return c.phase }

// Candidate returns the chosen endpoint; empty while there is none.
func (c *Campaign) Candidate() types.Endpoint { return c.candidate }

// Begin returns the first actions.
func (c *Campaign) Begin() Actions { return Actions{Orders: append(c.askReplicas(), c.askOld()...)} }

// askOld asks the old primary, which may turn out to be well.
func (c *Campaign) askOld() []Order {
	if c.Old == "" || c.Reason == Leaving {
		return nil
	}
	return []Order{{Endpoint: c.Old, Op: AskStatus}}
}

// surveyed claims the token once every replica that is left has been heard.
func (c *Campaign) surveyed(now types.Time) Actions {
	heard := 0
	for _, r := range c.replicas {
		if c.excluded[r] {
			continue
		}
		if _, ok := c.statuses[r]; !ok {
			return Actions{}
		}
		heard++
	}
	if heard == 0 {
		return c.end("")
	}
	if c.Reason == Stuck && !c.oldWell {
		return Actions{}
	}
	c.enter(now, Claiming)
	return Actions{Claim: true}
}

// Claimed takes the store's answer: the token, or 0 where another host has won or
// nothing is known.
func (c *Campaign) Claimed(now types.Time, token uint64) Actions {
	if c.phase != Claiming {
		return Actions{}
	}
	if token == 0 {
		return c.end("")
	}
	c.Token = token
	if c.found != "" {
		return c.end(c.found)
	}
	if c.Reason == Stuck {
		for _, r := range c.replicas {
			c.paused[r] = !c.excluded[r]
		}
		return c.end("")
	}
	if c.Reason == Leaving {
		c.enter(now, Quieting)
		return Actions{HoldWrites: true}
	}
	return c.startFencing(now)
}

// Quiet tells that no write runs at the old primary any more.
func (c *Campaign) Quiet(now types.Time) Actions {
	if c.phase != Quieting {
		return Actions{}
	}
	c.enter(now, SteppingDown)
	return Actions{Orders: []Order{{Endpoint: c.Old, Op: AskStatus}}}
}

func (c *Campaign) startFencing(now types.Time) Actions {
	c.enter(now, Fencing)
	c.polledAt = now
	var orders []Order
	for _, r := range c.replicas {
		if !c.excluded[r] {
			orders = append(orders, Order{Endpoint: r, Op: Pause, Term: c.term + 1})
		}
	}
	return Actions{Orders: orders}
}

func (c *Campaign) enter(now types.Time, p Phase) { c.phase, c.phaseAt = p, now }

func (c *Campaign) end(won types.Endpoint) Actions {
	c.phase = Ended
	var resume []Order
	for _, r := range c.replicas {
		if c.paused[r] && r != won {
			resume = append(resume, Order{Endpoint: r, Op: Resume})
		}
	}
	if won == "" {
		return Actions{Ended: true, Orders: resume}
	}
	a := Actions{Ended: true, Won: won, Settle: resume}
	if c.Old != "" && c.Old != won && !c.oldStopped {
		a.Orders = []Order{{Endpoint: c.Old, Op: StepDown, Term: c.term}}
	}
	return a
}

// Answered takes an endpoint's row after an order.
func (c *Campaign) Answered(now types.Time, o Order, st Status) Actions {
	c.term = max(c.term, st.Term)
	if o.Endpoint == c.Old && st.Primary && c.mayKeepOld() {
		return c.oldIsWell(now)
	}
	switch c.phase {
	case Surveying:
		return c.survey(now, o, st)
	case SteppingDown:
		return c.steppedDown(now, o, st)
	case Fencing:
		return c.fencing(now, o, st)
	case CatchingUp:
		c.statuses[o.Endpoint] = st
		return c.checkCaughtUp(now)
	case Promoting:
		return c.checkPromoted(now, o, st)
	}
	return Actions{}
}

// Failed notes that an endpoint gave no answer to an order of a time; gone is set where
// it refuses connections.
func (c *Campaign) Failed(now types.Time, o Order, askedAt types.Time, gone bool) Actions {
	if c.phase == SteppingDown && o.Endpoint == c.Old {
		// The old primary is out of reach now, whatever the reason: fence it instead.
		c.Reason = Silent
		return c.startFencing(now)
	}
	if c.Reason == Gone && o.Endpoint == c.Old && gone && c.fencedAt != 0 && !askedAt.Before(c.fencedAt) {
		c.refusedFenced = true
		return c.checkFenced(now)
	}
	if !gone || o.Endpoint == c.Old || c.keepsAll {
		return Actions{}
	}
	switch c.phase {
	case Surveying:
		c.excluded[o.Endpoint] = true
		return c.surveyed(now)
	case Fencing:
		c.excluded[o.Endpoint] = true
		return c.checkFenced(now)
	}
	return Actions{}
}

// survey notes a replica's sign of life. Where the service had no known primary
// and one turns up, there is nothing to do.
func (c *Campaign) survey(now types.Time, o Order, st Status) Actions {
	elsewhere := o.Endpoint != c.Old && st.Primary && st.Term >= c.term
	if elsewhere && (c.Old == "" || c.Reason == Stuck) {
		// Another endpoint leads already, and only the record does not say so.
		c.found = o.Endpoint
		c.enter(now, Claiming)
		return Actions{Claim: true}
	}
	if o.Endpoint != c.Old {
		c.statuses[o.Endpoint] = st
	}
	return c.surveyed(now)
}

// mayKeepOld reports whether the old primary stays if it answers. One that refused
// connections has restarted: its owner would not trust it for seconds.
func (c *Campaign) mayKeepOld() bool {
	return c.Reason != Leaving && c.Reason != Gone && c.phase < Promoting
}

// oldIsWell ends a campaign against a primary that is within reach again. Where it
// cannot be used since replicas stayed paused, the token is claimed to resume them.
func (c *Campaign) oldIsWell(now types.Time) Actions {
	if c.Reason != Stuck {
		return c.end("")
	}
	c.oldWell = true
	if c.phase == Surveying {
		return c.surveyed(now)
	}
	return Actions{}
}

// steppedDown follows the old primary through its resignation.
func (c *Campaign) steppedDown(now types.Time, o Order, st Status) Actions {
	if o.Endpoint != c.Old {
		return Actions{}
	}
	if st.Primary {
		return Actions{Orders: []Order{{Endpoint: c.Old, Op: StepDown, Term: c.term + 1}}}
	}
	c.oldStopped = true
	c.target = st.Received
	c.enter(now, CatchingUp)
	c.polledAt = now
	return Actions{Orders: c.askReplicas()}
}

func (c *Campaign) askReplicas() []Order {
	var orders []Order
	for _, r := range c.replicas {
		orders = append(orders, Order{Endpoint: r, Op: AskStatus})
	}
	return orders
}

// checkCaughtUp promotes the first replica that holds the whole log.
func (c *Campaign) checkCaughtUp(now types.Time) Actions {
	var best types.Endpoint
	for _, r := range c.replicas {
		st, ok := c.statuses[r]
		if !ok || c.excluded[r] || st.Received.Less(c.target) {
			continue
		}
		if best == "" || (c.leaving[best] && !c.leaving[r]) {
			best = r
		}
	}
	if best == "" {
		return Actions{}
	}
	return c.promote(now, best)
}

// fencing notes the pauses. An endpoint that still takes itself for a primary of
// before has to step down first.
func (c *Campaign) fencing(now types.Time, o Order, st Status) Actions {
	if o.Endpoint == c.Old {
		return Actions{}
	}
	if st.Primary {
		return Actions{Orders: []Order{{Endpoint: o.Endpoint, Op: StepDown, Term: c.term + 1}}}
	}
	c.statuses[o.Endpoint] = st
	switch {
	case o.Op == Pause && st.HeldTerm >= o.Term:
		c.paused[o.Endpoint] = true
		return c.checkFenced(now)
	case o.Op == Pause:
		// It has seen a later term than this campaign: the next poll asks again.
		c.term = max(c.term, st.HeldTerm)
		return Actions{}
	}
	return Actions{Orders: []Order{{Endpoint: o.Endpoint, Op: Pause, Term: c.term + 1}}}
}

// mustPause reports whether the old primary may still run, known or not, so that
// only paused replicas and the passing of the window keep its owner from using it.
func (c *Campaign) mustPause() bool { return !c.oldStopped }

// mustWait reports whether an owner of the old primary may still use it. One that
// refuses connections behind the fence does not run: its owners' connections are dead,
// and for later ones they have to confirm their authority anew.
func (c *Campaign) mustWait() bool { return !c.oldStopped && !c.refusedFenced }

// Needed reports whether the campaign still has a reason, given the endpoint that
// is believed to be the primary now; empty for none. Once a candidate has been
// chosen there is no way back.
func (c *Campaign) Needed(primary types.Endpoint) bool {
	return c.Reason != Demoted || primary == "" || c.phase >= Promoting
}

// Abandon ends a campaign that is not needed any more.
func (c *Campaign) Abandon() Actions { return c.end("") }

// fenceDone reports whether all replicas that are left have been heard, and
// paused where the old primary may still run.
func (c *Campaign) fenceDone() bool {
	heard := 0
	for _, r := range c.replicas {
		if c.excluded[r] {
			continue
		}
		if _, ok := c.statuses[r]; !ok || (c.mustPause() && !c.paused[r]) {
			return false
		}
		heard++
	}
	return heard > 0
}

// checkFenced goes on once the fence stands and the window has passed.
func (c *Campaign) checkFenced(now types.Time) Actions {
	if !c.fenceDone() {
		return Actions{}
	}
	var a Actions
	if c.fencedAt == 0 {
		c.fencedAt = now
		if c.Reason == Gone {
			a.Orders = c.askOld()
		}
	}
	if c.mustWait() && now.Sub(c.fencedAt) < Window {
		return a
	}
	return c.promoteBest(now)
}

// promoteBest chooses the replica with the longest log.
func (c *Campaign) promoteBest(now types.Time) Actions {
	var best types.Endpoint
	for _, r := range c.replicas {
		st, ok := c.statuses[r]
		if !ok || c.excluded[r] {
			continue
		}
		longer := best != "" && c.statuses[best].Received.Less(st.Received)
		same := best != "" && c.statuses[best].Received == st.Received
		if best == "" || longer || (same && c.leaving[best]) {
			best = r
		}
	}
	if best == "" {
		return c.end("")
	}
	return c.promote(now, best)
}

func (c *Campaign) promote(now types.Time, e types.Endpoint) Actions {
	c.candidate = e
	c.accepted = false
	c.promoteAt = now
	c.polledAt = now
	c.enter(now, Promoting)
	return Actions{Record: e, Promote: e}
}

// PromoteAnswered takes the platform's answer: whether it accepted the candidate,
// or says that the candidate does not run.
func (c *Campaign) PromoteAnswered(now types.Time, accepted, notRunning bool) Actions {
	if c.phase != Promoting {
		return Actions{}
	}
	if accepted {
		// From here on the candidate can come to lead at any time.
		c.accepted = true
		c.enter(now, Promoting)
		return Actions{}
	}
	if !notRunning {
		return Actions{}
	}
	c.excluded[c.candidate] = true
	if c.Reason == Leaving {
		c.enter(now, CatchingUp)
		return c.checkCaughtUp(now)
	}
	return c.promoteBest(now)
}

// checkPromoted ends the campaign once the candidate leads.
func (c *Campaign) checkPromoted(_ types.Time, o Order, st Status) Actions {
	if o.Endpoint == c.candidate && st.Primary {
		return c.end(c.candidate)
	}
	return Actions{}
}

// Tick moves the campaign on with time.
func (c *Campaign) Tick(now types.Time) Actions {
	switch c.phase {
	case Surveying:
		if now.Sub(c.phaseAt) > stepTimeout {
			return c.end("")
		}
	case Claiming:
		if now.Sub(c.phaseAt) > claimTimeout {
			return c.end("")
		}
	case Quieting:
		if now.Sub(c.phaseAt) > quietTimeout {
			return c.Quiet(now)
		}
	case SteppingDown:
		if now.Sub(c.phaseAt) > stepTimeout {
			return c.Failed(now, Order{Endpoint: c.Old}, c.phaseAt, false)
		}
	case Fencing:
		return c.tickFencing(now)
	case CatchingUp:
		if now.Sub(c.phaseAt) > catchUpTimeout && !c.keepsAll {
			return c.promoteBest(now)
		}
		return c.poll(now, c.askReplicas())
	case Promoting:
		return c.tickPromoting(now)
	}
	return Actions{}
}

func (c *Campaign) tickFencing(now types.Time) Actions {
	if c.fenceDone() {
		if a := c.checkFenced(now); c.phase != Fencing {
			return a
		}
	}
	if now.Sub(c.phaseAt) > fenceTimeout {
		return c.end("")
	}
	if now.Sub(c.polledAt) < stepTimeout/4 {
		return Actions{}
	}
	orders := c.askOld()
	for _, r := range c.replicas {
		if !c.paused[r] && !c.excluded[r] {
			orders = append(orders, Order{Endpoint: r, Op: Pause, Term: c.term + 1})
		}
	}
	return c.poll(now, orders)
}

// poll repeats questions at most every pollEvery.
func (c *Campaign) poll(now types.Time, orders []Order) Actions {
	if now.Sub(c.polledAt) < pollEvery {
		return Actions{}
	}
	c.polledAt = now
	return Actions{Orders: orders}
}

// promoteRepeat is the time after which an unanswered promotion is asked again;
// asking twice for the same endpoint changes nothing.
const promoteRepeat = 400 * time.Millisecond

func (c *Campaign) tickPromoting(now types.Time) Actions {
	if now.Sub(c.phaseAt) > promoteTimeout {
		return c.end("")
	}
	var a Actions
	if now.Sub(c.phaseAt) >= promoteDelay {
		a = c.poll(now, []Order{{Endpoint: c.candidate, Op: AskStatus}})
	}
	if !c.accepted && now.Sub(c.promoteAt) > promoteRepeat {
		c.promoteAt = now
		a.Promote = c.candidate
	}
	return a
}

// NextWake returns when Tick has something to do.
func (c *Campaign) NextWake(now types.Time) types.Time { return now.Add(pollEvery) }
