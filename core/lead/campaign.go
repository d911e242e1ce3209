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
	// promotionTimeout bounds the wait for the chosen endpoint to become the primary.
	promotionTimeout = 3 * time.Second
	// catchUpTimeout bounds the wait of a planned change for the candidate to hold
	// everything that the old primary has committed.
	catchUpTimeout = 2 * time.Second
	// drainWritesTimeout bounds the wait of a planned change for running writes.
	drainWritesTimeout = 1500 * time.Millisecond
	// DemotionDelay is the time after which an old primary that reaches the new one has
	// become its replica; the platform states one second.
	DemotionDelay = 1200 * time.Millisecond
	// pollInterval is the time between two questions of a step that waits.
	pollInterval = 70 * time.Millisecond
	// promotionPollDelay is the time after a promotion before the candidate is asked for
	// the first time; platforms take half a second or more.
	promotionPollDelay = 450 * time.Millisecond
)

// Campaign replaces the primary of one service. One task owns it.
type Campaign struct {
	Service    types.Service
	Reason     Reason
	OldPrimary types.Endpoint
	// Token is granted by the store.
	Token uint64

	phase          Phase
	phaseStartedAt types.Time
	lastPollAt     types.Time
	replicas       []types.Endpoint
	statuses       map[types.Endpoint]Status
	paused         map[types.Endpoint]bool
	excluded       map[types.Endpoint]bool
	// requiresAllReplicas is set where no acknowledged commit may be lost.
	requiresAllReplicas bool
	// leaving are the replicas that are chosen only where there is no other.
	leaving map[types.Endpoint]bool
	// highestTerm is the highest highestTerm seen; paused replicas hold the one after it.
	highestTerm types.Term
	// catchUpTarget is the position that the candidate must hold in a planned change.
	catchUpTarget types.LogPoint
	candidate     types.Endpoint
	fencedAt      types.Time
	// oldRefusedAfterFence is set once the old primary has refused a connection that was asked
	// for after the fence stood.
	oldRefusedAfterFence bool
	promotionRequestedAt types.Time
	promotionAccepted    bool
	oldSteppedDown       bool
	// existingPrimary is an endpoint that leads already.
	existingPrimary types.Endpoint
	// oldIsPrimary is set once the old primary has answered as one.
	oldIsPrimary bool
}

// NewCampaign starts a campaign against the primary old, which is empty where the
// service has none; term is the highest one known.
func NewCampaign(now types.Time, s types.Service, reason Reason, old types.Endpoint, replicas []types.Endpoint, term types.Term) *Campaign {
	return &Campaign{
		Service: s, Reason: reason, OldPrimary: old, replicas: replicas, highestTerm: term,
		phaseStartedAt: now,
		statuses:       map[types.Endpoint]Status{}, paused: map[types.Endpoint]bool{}, excluded: map[types.Endpoint]bool{},
		leaving: map[types.Endpoint]bool{},
	}
}

// AvoidCandidate names a replica that leaves; it is chosen only where there is no other.
func (c *Campaign) AvoidCandidate(e types.Endpoint) { c.leaving[e] = true }

// RequireAllReplicas makes the campaign wait for every listed replica: where commits are
// acknowledged once some replica holds them, the one that does may be any of them.
func (c *Campaign) RequireAllReplicas() { c.requiresAllReplicas = true }

// Phase returns the step that the campaign has reached.
func (c *Campaign) Phase() Phase { return c.phase }

// Start returns the first actions.
func (c *Campaign) Start() Actions {
	return Actions{Commands: append(c.queryReplicas(), c.queryOldPrimary()...)}
}

// queryOldPrimary asks the old primary, which may turn out to be well.
func (c *Campaign) queryOldPrimary() []Command {
	if c.OldPrimary == "" || c.Reason == ReasonLeaving {
		return nil
	}
	return []Command{{Endpoint: c.OldPrimary, Op: OpQueryStatus}}
}

// claimIfReplicasAnswered claims the token once every replica that is left has been heard.
func (c *Campaign) claimIfReplicasAnswered(now types.Time) Actions {
	answered := 0
	for _, r := range c.replicas {
		if c.excluded[r] {
			continue
		}
		if _, ok := c.statuses[r]; !ok {
			return Actions{}
		}
		answered++
	}
	if answered == 0 {
		return c.endCampaign("")
	}
	if c.Reason == ReasonReplicasPaused && !c.oldIsPrimary {
		return Actions{}
	}
	c.enterPhase(now, PhaseClaiming)
	return Actions{ClaimToken: true}
}

// HandleClaimResult takes the store's answer: the token, or 0 where another host has won or
// nothing is known.
func (c *Campaign) HandleClaimResult(now types.Time, token uint64) Actions {
	if c.phase != PhaseClaiming {
		return Actions{}
	}
	if token == 0 {
		return c.endCampaign("")
	}
	c.Token = token
	if c.existingPrimary != "" {
		return c.endCampaign(c.existingPrimary)
	}
	if c.Reason == ReasonReplicasPaused {
		for _, r := range c.replicas {
			c.paused[r] = !c.excluded[r]
		}
		return c.endCampaign("")
	}
	if c.Reason == ReasonLeaving {
		c.enterPhase(now, PhaseDrainingWrites)
		return Actions{HoldWrites: true}
	}
	return c.startFencing(now)
}

// HandleWritesDrained tells that no write runs at the old primary any more.
func (c *Campaign) HandleWritesDrained(now types.Time) Actions {
	if c.phase != PhaseDrainingWrites {
		return Actions{}
	}
	c.enterPhase(now, PhaseSteppingDown)
	return Actions{Commands: []Command{{Endpoint: c.OldPrimary, Op: OpQueryStatus}}}
}

func (c *Campaign) enterPhase(now types.Time, p Phase) { c.phase, c.phaseStartedAt = p, now }

func (c *Campaign) endCampaign(newPrimary types.Endpoint) Actions {
	c.phase = PhaseEnded
	var resumes []Command
	for _, r := range c.replicas {
		if c.paused[r] && r != newPrimary {
			resumes = append(resumes, Command{Endpoint: r, Op: OpResume})
		}
	}
	if newPrimary == "" {
		return Actions{Ended: true, Commands: resumes}
	}
	a := Actions{Ended: true, NewPrimary: newPrimary, CommandsAfterDemotion: resumes}
	if c.OldPrimary != "" && c.OldPrimary != newPrimary && !c.oldSteppedDown {
		a.Commands = []Command{{Endpoint: c.OldPrimary, Op: OpStepDown, Term: c.highestTerm}}
	}
	return a
}

// HandleStatus takes an endpoint's row after an order.
func (c *Campaign) HandleStatus(now types.Time, cmd Command, st Status) Actions {
	c.highestTerm = max(c.highestTerm, st.Term)
	if cmd.Endpoint == c.OldPrimary && st.Primary && c.mayKeepOldPrimary() {
		return c.handleOldPrimaryReachable(now)
	}
	switch c.phase {
	case PhaseQueryingReplicas:
		return c.handleReplicaStatus(now, cmd, st)
	case PhaseSteppingDown:
		return c.handleStepDownStatus(now, cmd, st)
	case PhaseFencing:
		return c.handleFencingStatus(now, cmd, st)
	case PhaseCatchingUp:
		c.statuses[cmd.Endpoint] = st
		return c.promoteIfCaughtUp(now)
	case PhasePromoting:
		return c.endIfPromoted(now, cmd, st)
	}
	return Actions{}
}

// HandleFailure notes that an endpoint gave no answer to an order of a time; gone is set where
// it refuses connections.
func (c *Campaign) HandleFailure(now types.Time, cmd Command, sentAt types.Time, refused bool) Actions {
	if c.phase == PhaseSteppingDown && cmd.Endpoint == c.OldPrimary {
		// The old primary is out of reach now, whatever the reason: fence it instead.
		c.Reason = ReasonUnresponsive
		return c.startFencing(now)
	}
	if c.Reason == ReasonDown && cmd.Endpoint == c.OldPrimary && refused && c.fencedAt != 0 && !sentAt.Before(c.fencedAt) {
		c.oldRefusedAfterFence = true
		return c.promoteIfFenced(now)
	}
	if !refused || cmd.Endpoint == c.OldPrimary || c.requiresAllReplicas {
		return Actions{}
	}
	switch c.phase {
	case PhaseQueryingReplicas:
		c.excluded[cmd.Endpoint] = true
		return c.claimIfReplicasAnswered(now)
	case PhaseFencing:
		c.excluded[cmd.Endpoint] = true
		return c.promoteIfFenced(now)
	}
	return Actions{}
}

// handleReplicaStatus notes a replica's sign of life. Where the service had no known primary
// and one turns up, there is nothing to do.
func (c *Campaign) handleReplicaStatus(now types.Time, cmd Command, st Status) Actions {
	otherIsPrimary := cmd.Endpoint != c.OldPrimary && st.Primary && st.Term >= c.highestTerm
	if otherIsPrimary && (c.OldPrimary == "" || c.Reason == ReasonReplicasPaused) {
		// Another endpoint leads already, and only the record does not say so.
		c.existingPrimary = cmd.Endpoint
		c.enterPhase(now, PhaseClaiming)
		return Actions{ClaimToken: true}
	}
	if cmd.Endpoint != c.OldPrimary {
		c.statuses[cmd.Endpoint] = st
	}
	return c.claimIfReplicasAnswered(now)
}

// mayKeepOldPrimary reports whether the old primary stays if it answers. One that refused
// connections has restarted: its owner would not trust it for seconds.
func (c *Campaign) mayKeepOldPrimary() bool {
	return c.Reason != ReasonLeaving && c.Reason != ReasonDown && c.phase < PhasePromoting
}

// handleOldPrimaryReachable ends a campaign against a primary that is within reach again. Where it
// cannot be used since replicas stayed paused, the token is claimed to resume them.
func (c *Campaign) handleOldPrimaryReachable(now types.Time) Actions {
	if c.Reason != ReasonReplicasPaused {
		return c.endCampaign("")
	}
	c.oldIsPrimary = true
	if c.phase == PhaseQueryingReplicas {
		return c.claimIfReplicasAnswered(now)
	}
	return Actions{}
}

// handleStepDownStatus follows the old primary through its resignation.
func (c *Campaign) handleStepDownStatus(now types.Time, cmd Command, st Status) Actions {
	if cmd.Endpoint != c.OldPrimary {
		return Actions{}
	}
	if st.Primary {
		return Actions{Commands: []Command{{Endpoint: c.OldPrimary, Op: OpStepDown, Term: c.highestTerm + 1}}}
	}
	c.oldSteppedDown = true
	c.catchUpTarget = st.Received
	c.enterPhase(now, PhaseCatchingUp)
	c.lastPollAt = now
	return Actions{Commands: c.queryReplicas()}
}

func (c *Campaign) queryReplicas() []Command {
	var commands []Command
	for _, r := range c.replicas {
		commands = append(commands, Command{Endpoint: r, Op: OpQueryStatus})
	}
	return commands
}

// IsNeeded reports whether the campaign still has a reason, given the endpoint that
// is believed to be the primary now; empty for none. Once a candidate has been
// chosen there is no way back.
func (c *Campaign) IsNeeded(primary types.Endpoint) bool {
	return c.Reason != ReasonNoPrimary || primary == "" || c.phase >= PhasePromoting
}

// Abandon ends a campaign that is not needed any more.
func (c *Campaign) Abandon() Actions { return c.endCampaign("") }

// Tick moves the campaign on with time.
func (c *Campaign) Tick(now types.Time) Actions {
	switch c.phase {
	case PhaseQueryingReplicas:
		if now.Sub(c.phaseStartedAt) > stepTimeout {
			return c.endCampaign("")
		}
	case PhaseClaiming:
		if now.Sub(c.phaseStartedAt) > claimTimeout {
			return c.endCampaign("")
		}
	case PhaseDrainingWrites:
		if now.Sub(c.phaseStartedAt) > drainWritesTimeout {
			return c.HandleWritesDrained(now)
		}
	case PhaseSteppingDown:
		if now.Sub(c.phaseStartedAt) > stepTimeout {
			return c.HandleFailure(now, Command{Endpoint: c.OldPrimary}, c.phaseStartedAt, false)
		}
	case PhaseFencing:
		return c.tickFencing(now)
	case PhaseCatchingUp:
		if now.Sub(c.phaseStartedAt) > catchUpTimeout && !c.requiresAllReplicas {
			return c.promoteMostAdvanced(now)
		}
		return c.pollIfDue(now, c.queryReplicas())
	case PhasePromoting:
		return c.tickPromoting(now)
	}
	return Actions{}
}

// pollIfDue repeats questions at most every pollEvery.
func (c *Campaign) pollIfDue(now types.Time, commands []Command) Actions {
	if now.Sub(c.lastPollAt) < pollInterval {
		return Actions{}
	}
	c.lastPollAt = now
	return Actions{Commands: commands}
}
