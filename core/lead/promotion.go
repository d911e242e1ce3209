package lead

import (
	"slices"
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
	if c.requiresAllReplicas && c.replicaLost && c.oldStatus != nil && c.statuses[best].Received.Less(c.oldStatus.Received) {
		// A replica that held as much is not waited for any more.
		best = c.OldPrimary
	}
	return c.requestPromotion(now, best)
}

func (c *Campaign) requestPromotion(now types.Time, candidate types.Endpoint) Actions {
	c.candidate = candidate
	c.promotionAccepted = false
	c.promotionRequestedAt, c.notRunningAt = now, 0
	c.lastPollAt = now
	c.enterPhase(now, PhasePromoting)
	return Actions{Promote: candidate}
}

// RecordPromotionRequest records that the platform is sent a request for an endpoint, and returns the
// number of the request.
func (c *Campaign) RecordPromotionRequest(endpoint types.Endpoint) uint64 {
	c.lastRequest++
	c.requests[c.lastRequest] = endpoint
	return c.lastRequest
}

// HandlePromotionResult processes the outcome of a request to promote an endpoint, which may no
// longer be the candidate.
func (c *Campaign) HandlePromotionResult(now types.Time, number uint64, outcome PromotionOutcome) Actions {
	endpoint, known := c.requests[number]
	if !known {
		return Actions{}
	}
	if outcome == PromotionNotRunning || outcome == PromotionRefused {
		delete(c.requests, number)
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
		if c.isRequestedAgain(number) {
			c.notRunningAt = now
			return Actions{}
		}
		return c.replaceCandidate(now)
	}
	return Actions{}
}

// isRequestedAgain reports whether the candidate has been requested again after a request, so that it
// may be promoted although it did not run before.
func (c *Campaign) isRequestedAgain(number uint64) bool {
	for n, endpoint := range c.requests {
		if n > number && endpoint == c.candidate {
			return true
		}
	}
	return false
}

// replaceCandidate chooses another candidate in place of one that does not run.
func (c *Campaign) replaceCandidate(now types.Time) Actions {
	c.excluded[c.candidate] = true
	c.inherited = ""
	c.replicaLost = c.replicaLost || !slices.Contains(c.replicas, c.candidate)
	if c.requiresAllReplicas && c.mayHaveLed(c.candidate) {
		// The record goes on naming the candidate, and the next campaign waits for it.
		return c.endCampaign("")
	}
	if c.Reason == ReasonLeaving {
		c.enterPhase(now, PhaseCatchingUp)
		return c.promoteIfCaughtUp(now)
	}
	if c.requiresAllReplicas && !c.isReplaceable(c.candidate) {
		// The next campaign waits for the replica. The old primary is used again if it returns first.
		return c.endCampaign("")
	}
	return c.promoteMostAdvanced(now)
}

// mayHaveLed reports whether an endpoint that does not run may have led before, and is still waited for:
// the platform has accepted an earlier request for it, or has not answered it.
func (c *Campaign) mayHaveLed(candidate types.Endpoint) bool {
	isKnown := candidate == c.OldPrimary || slices.Contains(c.replicas, candidate)
	for _, endpoint := range c.requests {
		if isKnown && endpoint == candidate {
			return true
		}
	}
	return false
}

// isReplaceable reports whether another replica holds as much of the log as one that does not run, or
// that one is no longer waited for.
func (c *Campaign) isReplaceable(candidate types.Endpoint) bool {
	if !slices.Contains(c.replicas, candidate) {
		return true
	}
	held, ok := c.statuses[candidate]
	return ok && slices.ContainsFunc(c.replicas, func(r types.Endpoint) bool {
		st, responded := c.statuses[r]
		return responded && !c.excluded[r] && c.isFenced(r) && !st.Received.Less(held.Received)
	})
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
	if late || c.notRunningAt != 0 {
		// The candidate may have stopped, or the answer to a later request decides.
		retryDue = now.Sub(max(c.promotionRequestedAt, c.notRunningAt)) > lateRetryInterval
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
