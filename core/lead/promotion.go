package lead

import (
	"time"

	"baobabfield.example/core/types"
)

// promoteIfCaughtUp promotes a replica that holds the old primary's whole log.
func (c *Campaign) promoteIfCaughtUp(now types.Time) Actions {
	candidate := c.plannedCandidate(now, c.catchUpTarget)
	if candidate == "" {
		return Actions{}
	}
	return c.requestPromotion(now, candidate)
}

// promoteMostAdvanced promotes the replica with the longest log, or the candidate of an
// earlier campaign.
func (c *Campaign) promoteMostAdvanced(now types.Time) Actions {
	if c.inherited != "" {
		return c.requestPromotion(now, c.inherited)
	}
	var best types.Endpoint
	for _, r := range c.replicas {
		st, ok := c.statuses[r]
		if !ok || c.excluded[r] || (c.fencedAt != 0 && !c.isFenced(r)) {
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

// RecordPromotionRequest records that the platform has been sent a request for the
// candidate.
func (c *Campaign) RecordPromotionRequest() { c.unsettledRequests++ }

// HandlePromotionResult processes the outcome of a request to promote an endpoint, which may no
// longer be the candidate.
func (c *Campaign) HandlePromotionResult(now types.Time, endpoint types.Endpoint, outcome PromotionOutcome) Actions {
	if outcome == PromotionRefused || outcome == PromotionNotRunning {
		c.unsettledRequests = max(0, c.unsettledRequests-1)
	}
	if c.phase != PhasePromoting || endpoint != c.candidate {
		return Actions{}
	}
	switch outcome {
	case PromotionAccepted:
		// The candidate can become the primary at any time from now on, so the timeout
		// starts again.
		c.promotionAccepted = true
		c.enterPhase(now, PhasePromoting)
	case PromotionNotRunning:
		return c.replaceCandidate(now)
	}
	return Actions{}
}

// replaceCandidate chooses another candidate in place of one that does not run.
func (c *Campaign) replaceCandidate(now types.Time) Actions {
	c.excluded[c.candidate] = true
	c.inherited = ""
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

const (
	// promotionRetryInterval is the time after which an unanswered promotion is requested
	// again. Promoting the same endpoint twice is idempotent.
	promotionRetryInterval = 400 * time.Millisecond
	// lateRetryInterval applies after promotionTimeout, also to an accepted promotion:
	// the candidate may have stopped before it took effect.
	lateRetryInterval = time.Second
)

// tickPromoting repeats the request until the candidate is the primary. It gives up after
// promotionTimeout if the platform cannot promote any endpoint later.
func (c *Campaign) tickPromoting(now types.Time) Actions {
	if commands := c.queryOldIfInUse(now); commands != nil {
		c.enterPhase(now, PhasePromoting)
		c.promotionRequestedAt = now
		return c.pollIfDue(now, commands)
	}
	late := now.Sub(c.phaseStartedAt) > promotionTimeout
	if late && !c.IsPromotionUnsettled() {
		return c.endCampaign("")
	}
	retryDue := !c.promotionAccepted && now.Sub(c.promotionRequestedAt) > promotionRetryInterval
	if late {
		retryDue = now.Sub(c.promotionRequestedAt) > lateRetryInterval
	}
	var a Actions
	if now.Sub(c.phaseStartedAt) >= promotionPollDelay {
		a = c.pollIfDue(now, []Command{{Endpoint: c.candidate, Op: OpQueryStatus}})
	}
	if retryDue {
		c.promotionRequestedAt = now
		a.Promote = c.candidate
	}
	return a
}
