package lead

import (
	"baobabfield.example/core/types"
)

func (c *Campaign) startFencing(now types.Time) Actions {
	c.enter(now, Fencing)
	c.polledAt = now
	return Actions{Orders: c.pauses()}
}

// pauses are the orders for the replicas that are still to be paused.
func (c *Campaign) pauses() []Order {
	var orders []Order
	for _, r := range c.replicas {
		if !c.paused[r] && !c.excluded[r] {
			orders = append(orders, Order{Endpoint: r, Op: Pause, Term: c.term + 1})
		}
	}
	return orders
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
	case o.Op == Pause && st.FencedTerm >= o.Term:
		c.paused[o.Endpoint] = true
		return c.checkFenced(now)
	case o.Op == Pause:
		// It has seen a later term than this campaign: the next poll asks again.
		c.term = max(c.term, st.FencedTerm)
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
	return c.poll(now, append(c.askOld(), c.pauses()...))
}
