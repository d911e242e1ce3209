package lead

import (
	"time"

	"baobabfield.example/core/types"
)

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

// Needed reports whether the campaign still has a reason, given the endpoint that
// is believed to be the primary now; empty for none. Once a candidate has been
// chosen there is no way back.
func (c *Campaign) Needed(primary types.Endpoint) bool {
	return c.Reason != Demoted || primary == "" || c.phase >= Promoting
}

// Abandon ends a campaign that is not needed any more.
func (c *Campaign) Abandon() Actions { return c.end("") }

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

// poll repeats questions at most every pollEvery.
func (c *Campaign) poll(now types.Time, orders []Order) Actions {
	if now.Sub(c.polledAt) < pollEvery {
		return Actions{}
	}
	c.polledAt = now
	return Actions{Orders: orders}
}
