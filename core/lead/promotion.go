package lead

import (
	"time"

	"baobabfield.example/core/types"
)

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
	return Actions{Promote: e}
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
