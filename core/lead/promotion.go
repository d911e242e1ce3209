package lead

import (
	"time"

	"baobabfield.example/core/types"
)

// promoteIfCaughtUp promotes the first replica that holds the old primary's whole log.
func (c *Campaign) promoteIfCaughtUp(now types.Time) Actions {
	var best types.Endpoint
	for _, r := range c.replicas {
		st, ok := c.statuses[r]
		if !ok || c.excluded[r] || st.Received.Less(c.catchUpTarget) {
			continue
		}
		if best == "" || (c.leaving[best] && !c.leaving[r]) {
			best = r
		}
	}
	if best == "" {
		return Actions{}
	}
	return c.requestPromotion(now, best)
}

// promoteMostAdvanced promotes the replica with the longest log.
func (c *Campaign) promoteMostAdvanced(now types.Time) Actions {
	var best types.Endpoint
	for _, r := range c.replicas {
		st, ok := c.statuses[r]
		if !ok || c.excluded[r] {
			continue
		}
		isLonger := best != "" && c.statuses[best].Received.Less(st.Received)
		isEqual := best != "" && c.statuses[best].Received == st.Received
		if best == "" || isLonger || (isEqual && c.leaving[best]) {
			best = r
		}
	}
	if best == "" {
		return c.endCampaign("")
	}
	return c.requestPromotion(now, best)
}

func (c *Campaign) requestPromotion(now types.Time, candidate types.Endpoint) Actions {
	c.candidate = candidate
	c.promotionAccepted = false
	c.promotionRequestedAt = now
	c.lastPollAt = now
	c.enterPhase(now, PhasePromoting)
	return Actions{Promote: candidate}
}

// HandlePromotionResult processes the platform's response: it has accepted the
// candidate, or reports that the candidate does not run.
func (c *Campaign) HandlePromotionResult(now types.Time, accepted, notRunning bool) Actions {
	if c.phase != PhasePromoting {
		return Actions{}
	}
	if accepted {
		// The candidate can become the primary at any time from now on, so the timeout
		// starts again.
		c.promotionAccepted = true
		c.enterPhase(now, PhasePromoting)
		return Actions{}
	}
	if !notRunning {
		return Actions{}
	}
	c.excluded[c.candidate] = true
	if c.Reason == ReasonLeaving {
		c.enterPhase(now, PhaseCatchingUp)
		return c.promoteIfCaughtUp(now)
	}
	return c.promoteMostAdvanced(now)
}

// endIfPromoted ends the campaign once the candidate is the primary.
func (c *Campaign) endIfPromoted(_ types.Time, cmd Command, st Status) Actions {
	if cmd.Endpoint == c.candidate && st.Primary {
		return c.endCampaign(c.candidate)
	}
	return Actions{}
}

// promotionRetryInterval is the time after which an unanswered promotion is requested
// again. Promoting the same endpoint twice is idempotent.
const promotionRetryInterval = 400 * time.Millisecond

func (c *Campaign) tickPromoting(now types.Time) Actions {
	if now.Sub(c.phaseStartedAt) > promotionTimeout {
		return c.endCampaign("")
	}
	var a Actions
	if now.Sub(c.phaseStartedAt) >= promotionPollDelay {
		a = c.pollIfDue(now, []Command{{Endpoint: c.candidate, Op: OpQueryStatus}})
	}
	if !c.promotionAccepted && now.Sub(c.promotionRequestedAt) > promotionRetryInterval {
		c.promotionRequestedAt = now
		a.Promote = c.candidate
	}
	return a
}
