package lead

import (
	"slices"
	"time"

	"baobabfield.example/core/types"
)

const (
	// stepTimeout bounds each phase of a campaign that waits for endpoints.
	stepTimeout = 700 * time.Millisecond
	// fenceTimeout bounds the wait for all replicas to be paused.
	fenceTimeout = 2 * time.Second
	// claimTimeout bounds the wait for the store's response to a claim.
	claimTimeout = 1500 * time.Millisecond
	// promotionTimeout bounds the wait for the candidate to become the primary.
	promotionTimeout = 3 * time.Second
	// silentTimeout is the time after which a campaign that may do so goes on without the
	// replicas that have not responded.
	silentTimeout = 300 * time.Millisecond
	// leavingCandidateDelay is the time that a planned change gives the replicas that stay to
	// catch up before it chooses one that leaves.
	leavingCandidateDelay = 500 * time.Millisecond
	// catchUpTimeout bounds the wait of a planned change for the candidate to hold
	// everything that the old primary has committed. After it, the most advanced
	// replica is promoted, if every replica has responded. returnTimeout is the time after
	// which the old primary is promoted again if one has not: that one may be the only one
	// that holds the last commits.
	catchUpTimeout = 2 * time.Second
	returnTimeout  = 2 * catchUpTimeout
	// drainWritesTimeout bounds the wait of a planned change for running writes. After
	// it, the old primary steps down even if writes still run.
	drainWritesTimeout = 1500 * time.Millisecond
	// DemotionDelay is the time within which an old primary that reaches the new one
	// becomes its replica. The platform documents one second.
	DemotionDelay = 1200 * time.Millisecond
	// pollInterval is the time between two status queries of a phase that waits.
	pollInterval = 70 * time.Millisecond
	// promotionPollDelay is the time from a promotion to the candidate's first status
	// query.
	promotionPollDelay = 150 * time.Millisecond
)

// Campaign replaces the primary of one service. A single task owns it.
type Campaign struct {
	Service    types.Service
	Reason     Reason
	OldPrimary types.Endpoint
	// FencingToken is the fencing token granted by the store; 0 before.
	FencingToken uint64

	phase          Phase
	phaseStartedAt types.Time
	lastPollAt     types.Time
	replicas       []types.Endpoint
	statuses       map[types.Endpoint]Status
	paused         map[types.Endpoint]bool
	// pauseTerms holds the terms with which this campaign has paused replicas.
	pauseTerms map[types.Endpoint]types.Term
	excluded   map[types.Endpoint]bool
	// requiresAllReplicas is set if no acknowledged commit may be lost.
	requiresAllReplicas bool
	// leavesOutSilent is set if all owners follow the rule of package lead on new
	// connections, so that silent replicas may be left out.
	leavesOutSilent bool
	// oldReceived is the old primary's log position at the beginning of a planned change, and
	// oldResponded is set once it is known.
	oldReceived  types.LogPoint
	oldResponded bool
	// oldWasReplica is set if the old primary of a planned change had stepped down before. An earlier
	// change has then got no further, or has put another endpoint in its place.
	oldWasReplica bool
	// leaving holds the replicas that are about to stop. One of them is chosen only if
	// no other candidate holds as much of the log, and in a planned change only if it is in
	// leavesLater: it has announced its end after the old primary. Otherwise endpoints that
	// leave together would take turns as the primary.
	leaving, leavesLater map[types.Endpoint]bool
	// highestTerm is the highest term seen so far. Replicas are paused with the next
	// one.
	highestTerm types.Term
	// catchUpTarget is the log position that the candidate must hold in a planned
	// change.
	catchUpTarget types.LogPoint
	candidate     types.Endpoint
	fencedAt      types.Time
	// stillPaused holds the replicas that were paused without a break until the lease had
	// expired; nil before they are queried for it.
	stillPaused map[types.Endpoint]bool
	// pausedAt is when the campaign has last learned that a replica is paused.
	pausedAt types.Time
	// oldAbsentAfterFence is set once the old primary was absent for a command requested
	// after the fence was complete. Before the fence, absence proves nothing: the primary
	// could restart and be confirmed again.
	oldAbsentAfterFence  bool
	promotionRequestedAt types.Time
	promotionAccepted    bool
	// requests holds, by their numbers, the endpoints of the promotion requests that the platform has
	// neither refused nor answered with PromotionNotRunning.
	// lastRequest is the number of the newest one.
	requests    map[uint64]types.Endpoint
	lastRequest uint64
	// notRunningAt is when the platform has answered an earlier request for the candidate with
	// PromotionNotRunning; zero for never.
	notRunningAt types.Time
	// inherited is the candidate that an earlier campaign may have requested to be
	// promoted; empty for none.
	inherited types.Endpoint
	// lastPhase is the phase in which the campaign ended.
	lastPhase Phase
	// oldSteppedDown is set once the old primary's reply, received at steppedDownAt, showed that
	// it had stepped down. oldUnused is set once it has reported no connection but this host's
	// control connection since.
	oldSteppedDown bool
	steppedDownAt  types.Time
	oldUnused      bool
	// existingPrimary is another endpoint that is the primary already.
	existingPrimary types.Endpoint
	// replicaLost is set if a replica is no longer waited for, which may have been the only one with
	// commits of the old primary.
	replicaLost bool
	// oldStatus is the last status of the old primary in the campaign; nil for none.
	oldStatus *Status
	// oldIsPrimary is set once the old primary has responded that it still is the
	// primary.
	oldIsPrimary bool
}

// NewCampaign returns a campaign that replaces oldPrimary, which is empty if the service
// has none. term is the highest term known.
func NewCampaign(now types.Time, service types.Service, reason Reason, oldPrimary types.Endpoint, replicas []types.Endpoint, term types.Term) *Campaign {
	return &Campaign{
		Service: service, Reason: reason, OldPrimary: oldPrimary, replicas: replicas, highestTerm: term,
		phaseStartedAt: now,
		statuses:       map[types.Endpoint]Status{}, paused: map[types.Endpoint]bool{}, pauseTerms: map[types.Endpoint]types.Term{}, excluded: map[types.Endpoint]bool{},
		leaving: map[types.Endpoint]bool{}, leavesLater: map[types.Endpoint]bool{}, requests: map[uint64]types.Endpoint{},
	}
}

// AvoidCandidate marks a replica that is about to stop. It is chosen only if no other
// candidate holds as much of the log. isLater states whether it has announced its end after
// the old primary.
func (c *Campaign) AvoidCandidate(endpoint types.Endpoint, isLater bool) {
	c.leaving[endpoint], c.leavesLater[endpoint] = true, isLater
}

// RequireAllReplicas makes the campaign wait for every listed replica, unless the old primary
// shows which replica holds its whole log. It is used if a commit is acknowledged once some
// replica holds it: any one of the replicas may be the only one with the newest commits.
func (c *Campaign) RequireAllReplicas() { c.requiresAllReplicas = true }

// LeaveOutSilentReplicas lets the campaign replace an absent primary although a replica does not
// respond. All hosts that may own the primary must follow the rule of package lead on new
// connections.
func (c *Campaign) LeaveOutSilentReplicas() { c.leavesOutSilent = true }

// Replicas returns the replicas that the campaign considers. The result must not be changed.
func (c *Campaign) Replicas() []types.Endpoint { return c.replicas }

// NoteLostReplica records that a replica of the service is no longer waited for.
func (c *Campaign) NoteLostReplica() { c.replicaLost = true }

// RemoveReplica removes a replica that is no longer waited for. The next Tick goes on without it.
func (c *Campaign) RemoveReplica(replica types.Endpoint) {
	c.replicaLost = true
	c.replicas = slices.DeleteFunc(slices.Clone(c.replicas), func(r types.Endpoint) bool { return r == replica })
}

// FinishPromotion makes the campaign choose the candidate of an earlier campaign whose
// result is not known. The platform may still promote that endpoint, so that any other
// candidate, or the old primary, would be used alongside it.
func (c *Campaign) FinishPromotion(candidate types.Endpoint) { c.inherited = candidate }

// IsPromotionUnsettled reports whether the platform may still promote an endpoint at the
// request of this campaign or an earlier one.
func (c *Campaign) IsPromotionUnsettled() bool { return c.inherited != "" || len(c.requests) > 0 }

// LastPhase returns the phase in which the campaign ended, or the current one before.
func (c *Campaign) LastPhase() Phase {
	if c.phase == PhaseEnded {
		return c.lastPhase
	}
	return c.phase
}

// Phase returns the campaign's current phase.
func (c *Campaign) Phase() Phase { return c.phase }

// Start returns the first actions.
func (c *Campaign) Start() Actions {
	return Actions{Commands: append(c.queryReplicas(), c.queryOldPrimary()...)}
}

// queryOldPrimary returns the status query for the old primary, which may have
// recovered.
func (c *Campaign) queryOldPrimary() []Command {
	if c.OldPrimary == "" {
		return nil
	}
	return []Command{{Endpoint: c.OldPrimary, Op: OpQueryStatus}}
}

// claimIfReplicasResponded claims the token once the replicas have responded that the campaign
// needs. For ReasonReplicasPaused the old primary must have responded too. If all replicas are
// excluded, the campaign ends.
func (c *Campaign) claimIfReplicasResponded(now types.Time) Actions {
	responded, silent := 0, 0
	for _, r := range c.replicas {
		_, ok := c.statuses[r]
		switch {
		case c.excluded[r]:
		case ok:
			responded++
		default:
			silent++
		}
	}
	switch {
	case responded+silent == 0:
		return c.endCampaign("")
	case responded == 0, silent > 0 && !c.mayLeaveOutSilent(now),
		c.Reason == ReasonReplicasPaused && !c.oldIsPrimary,
		c.Reason == ReasonLeaving && !c.hasCandidateInReach(now):
		return Actions{}
	}
	c.enterPhase(now, PhaseClaiming)
	return Actions{ClaimToken: true}
}

// mayLeaveOutSilent reports whether the campaign goes on without the replicas that have not
// responded in the current phase. A planned change needs only the candidate, since the old
// primary steps down by itself, unless it has done so before: then one of them may be the new
// primary. The primary of ReasonReplicasPaused stays. An absent primary that restarts is not used
// without the paused replicas. One that is silent may still be confirmed by any replica that is
// not paused, and one replica may be the only one with the newest commits if requiresAllReplicas
// is set.
func (c *Campaign) mayLeaveOutSilent(now types.Time) bool {
	if now.Sub(c.phaseStartedAt) < silentTimeout {
		return false
	}
	switch c.Reason {
	case ReasonLeaving:
		return !c.oldWasReplica
	case ReasonReplicasPaused:
		return true
	case ReasonAbsent:
		return c.leavesOutSilent && !c.requiresAllReplicas
	}
	return false
}

// hasCandidateInReach reports whether a replica holds what the old primary held when the change
// began. Without this the change could hold up all writes for as long as no replica receives any.
// An old primary that does not respond is not waited for.
func (c *Campaign) hasCandidateInReach(now types.Time) bool {
	if !c.oldResponded {
		return now.Sub(c.phaseStartedAt) >= silentTimeout
	}
	return c.plannedCandidate(now, c.oldReceived) != ""
}

// plannedCandidate returns the replica of a planned change that holds the log up to a position,
// or an empty ID. One that leaves is returned only if the others have had leavingCandidateDelay
// in the current phase.
func (c *Campaign) plannedCandidate(now types.Time, position types.LogPoint) types.Endpoint {
	var leaving types.Endpoint
	for _, r := range c.replicas {
		st, ok := c.statuses[r]
		switch {
		case !ok || c.excluded[r] || st.Received.Less(position):
		case !c.leaving[r]:
			return r
		case c.leavesLater[r]:
			leaving = r
		}
	}
	if now.Sub(c.phaseStartedAt) < leavingCandidateDelay {
		return ""
	}
	return leaving
}

// HandleClaimResult processes the store's response to a claim. token is 0 if another
// host holds the claim or the result is unknown.
func (c *Campaign) HandleClaimResult(now types.Time, token uint64) Actions {
	if c.phase != PhaseClaiming {
		return Actions{}
	}
	if token == 0 {
		return c.endCampaign("")
	}
	c.FencingToken = token
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
		return Actions{HoldNewWork: true}
	}
	return c.startFencing(now)
}

// HandleWritesDrained continues a planned change once the old primary runs no more
// writes.
func (c *Campaign) HandleWritesDrained(now types.Time) Actions {
	if c.phase != PhaseDrainingWrites {
		return Actions{}
	}
	c.enterPhase(now, PhaseSteppingDown)
	return Actions{CloseIdle: true, Commands: []Command{{Endpoint: c.OldPrimary, Op: OpQueryStatus}}}
}

func (c *Campaign) enterPhase(now types.Time, p Phase) { c.phase, c.phaseStartedAt = p, now }

// endCampaign ends the campaign and resumes the replicas it has paused. newPrimary is
// empty if the campaign has failed. The replicas then stay paused while the platform may
// still promote one of them.
func (c *Campaign) endCampaign(newPrimary types.Endpoint) Actions {
	c.phase, c.lastPhase = PhaseEnded, c.phase
	if newPrimary == "" && c.IsPromotionUnsettled() {
		return Actions{Ended: true}
	}
	var resumes []Command
	for _, r := range c.replicas {
		if c.paused[r] && r != newPrimary {
			resumes = append(resumes, Command{Endpoint: r, Op: OpResume, Term: c.heldTerm(r)})
		}
	}
	a := Actions{Ended: true, NewPrimary: newPrimary, Resumes: resumes}
	if newPrimary != "" && c.pausedAt != 0 {
		a.ResumeAt = c.pausedAt.Add(LeaseDuration + DemotionDelay)
	}
	if newPrimary == "" {
		return a
	}
	if c.OldPrimary != "" && c.OldPrimary != newPrimary && !c.oldSteppedDown {
		a.Commands = []Command{{Endpoint: c.OldPrimary, Op: OpStepDown, Term: c.highestTerm}}
	}
	return a
}

// heldTerm returns the term for which a replica was paused: by this campaign, or by the one whose
// pauses it ends. That of a silent replica is at most the highest one of the others.
func (c *Campaign) heldTerm(r types.Endpoint) types.Term {
	if term, ok := c.pauseTerms[r]; ok {
		return term
	}
	if st, ok := c.statuses[r]; ok {
		return st.FencedTerm
	}
	var highest types.Term
	for _, st := range c.statuses {
		highest = max(highest, st.FencedTerm)
	}
	return highest
}

// HandleStatus processes the status that an endpoint returned for a command.
func (c *Campaign) HandleStatus(now types.Time, cmd Command, status Status) Actions {
	c.highestTerm = max(c.highestTerm, status.Term)
	if cmd.Endpoint == c.OldPrimary {
		c.oldStatus = &status
	}
	if cmd.Endpoint == c.OldPrimary && status.Primary && c.mayKeepOldPrimary() {
		return c.handleOldPrimaryReachable(now)
	}
	if c.oldSteppedDown && cmd.Endpoint == c.OldPrimary && c.candidate != c.OldPrimary {
		return c.handleSteppedDownStatus(now, status)
	}
	switch c.phase {
	case PhaseQueryingReplicas:
		return c.handleReplicaStatus(now, cmd, status)
	case PhaseSteppingDown:
		return c.handleStepDownStatus(now, cmd, status)
	case PhaseFencing:
		return c.handleFencingStatus(now, cmd, status)
	case PhaseCatchingUp:
		if status.Primary && cmd.Endpoint != c.OldPrimary && len(c.requests) == 0 && status.Term >= c.highestTerm {
			return c.endCampaign(cmd.Endpoint)
		}
		c.statuses[cmd.Endpoint] = status
		if c.requiresAllReplicas {
			delete(c.excluded, cmd.Endpoint) // it runs again
		}
		return c.promoteIfCaughtUp(now)
	case PhasePromoting:
		return c.endIfPromoted(now, cmd, status)
	}
	return Actions{}
}

// HandleFailure processes a command, requested at requestedAt, that got no response.
// absent is set if nothing listens at the endpoint's address, or another instance does. An
// absent replica is left out of the fence only if that was found after the claim: one that
// restarts before it could be connected to without a campaign in sight.
func (c *Campaign) HandleFailure(now types.Time, cmd Command, requestedAt types.Time, absent bool) Actions {
	if c.phase == PhaseSteppingDown && cmd.Endpoint == c.OldPrimary {
		// The old primary cannot be reached any more, so that it is fenced instead.
		c.Reason = ReasonUnresponsive
		return c.startFencing(now)
	}
	if c.Reason == ReasonAbsent && cmd.Endpoint == c.OldPrimary && absent && c.fencedAt != 0 && !requestedAt.Before(c.fencedAt) {
		c.oldAbsentAfterFence = true
		return c.promoteIfFenced(now)
	}
	if !absent || cmd.Endpoint == c.OldPrimary || c.requiresAllReplicas {
		return Actions{}
	}
	switch c.phase {
	case PhaseQueryingReplicas:
		c.excluded[cmd.Endpoint] = true
		return c.claimIfReplicasResponded(now)
	case PhaseFencing, PhaseCatchingUp:
		if requestedAt.Before(c.phaseStartedAt) {
			return Actions{}
		}
		c.excluded[cmd.Endpoint] = true
		if c.phase == PhaseFencing {
			return c.promoteIfFenced(now)
		}
	}
	return Actions{}
}

// handleReplicaStatus records the first response of a replica. If another endpoint is
// the primary already, the campaign only claims the token to record it. The record would
// otherwise keep the wrong primary.
func (c *Campaign) handleReplicaStatus(now types.Time, cmd Command, st Status) Actions {
	otherIsPrimary := cmd.Endpoint != c.OldPrimary && st.Primary && st.Term >= c.highestTerm
	if c.requiresAllReplicas && c.inherited != "" && cmd.Endpoint != c.inherited {
		otherIsPrimary = false // the candidate may have led since
	}
	if otherIsPrimary && (c.OldPrimary == "" || c.Reason == ReasonReplicasPaused || cmd.Endpoint == c.inherited) {
		return c.recordExistingPrimary(now, cmd.Endpoint)
	}
	switch {
	case cmd.Endpoint != c.OldPrimary:
		c.statuses[cmd.Endpoint] = st
	case !c.oldResponded:
		c.oldResponded, c.oldReceived, c.oldWasReplica = true, st.Received, !st.Primary
	}
	if c.Reason == ReasonLeaving && c.oldResponded {
		for _, r := range c.replicas {
			if known := c.statuses[r]; known.Primary && known.Term >= c.highestTerm {
				return c.recordExistingPrimary(now, r)
			}
		}
	}
	return c.claimIfReplicasResponded(now)
}

// recordExistingPrimary claims the token to record an endpoint that is the primary already.
func (c *Campaign) recordExistingPrimary(now types.Time, endpoint types.Endpoint) Actions {
	c.existingPrimary = endpoint
	c.enterPhase(now, PhaseClaiming)
	return Actions{ClaimToken: true}
}

// mayKeepOldPrimary reports whether the old primary stays the primary if it responds.
// Hosts that were cut off would otherwise replace a healthy primary when their links
// recover. A primary that was absent has restarted, and would remain without authority
// for several seconds. One whose successor may still be promoted cannot be kept either.
func (c *Campaign) mayKeepOldPrimary() bool {
	return c.Reason != ReasonLeaving && c.Reason != ReasonAbsent && c.phase < PhasePromoting && c.inherited == ""
}

// handleOldPrimaryReachable ends a campaign against a primary that responds again. If the
// campaign's reason is that replicas stayed paused, it claims the token instead, in order
// to resume them.
func (c *Campaign) handleOldPrimaryReachable(now types.Time) Actions {
	if c.Reason != ReasonReplicasPaused {
		return c.endCampaign("")
	}
	c.oldIsPrimary = true
	if c.phase == PhaseQueryingReplicas {
		return c.claimIfReplicasResponded(now)
	}
	return Actions{}
}

// handleStepDownStatus processes the old primary's status until it has stepped down.
func (c *Campaign) handleStepDownStatus(now types.Time, cmd Command, st Status) Actions {
	if cmd.Endpoint != c.OldPrimary {
		return Actions{}
	}
	if st.Primary {
		return Actions{Commands: []Command{{Endpoint: c.OldPrimary, Op: OpStepDown, Term: c.highestTerm + 1}}}
	}
	c.oldSteppedDown, c.steppedDownAt, c.oldUnused = true, now, isUnused(st)
	c.catchUpTarget = st.Received
	clear(c.statuses)
	clear(c.excluded)
	c.enterPhase(now, PhaseCatchingUp)
	c.lastPollAt = now
	return Actions{Commands: c.queryReplicas()}
}

// isUnused reports whether an endpoint has no connection but the one that carried its status.
func isUnused(st Status) bool { return st.Connections == 1 }

// handleSteppedDownStatus processes a status of the old primary after it has stepped down. One
// that is a primary again has restarted and has to step down once more, unless its successor may
// have been promoted.
func (c *Campaign) handleSteppedDownStatus(now types.Time, st Status) Actions {
	switch {
	case !st.Primary:
		c.oldUnused = c.oldUnused || isUnused(st)
	case len(c.requests) == 0:
		c.oldSteppedDown = false
		c.enterPhase(now, PhaseSteppingDown)
		return c.handleStepDownStatus(now, Command{Endpoint: c.OldPrimary}, st)
	}
	return Actions{}
}

// MayPromote reports whether no owner uses the old primary any more, so that the platform may be
// asked to promote the candidate. A fenced old primary has been waited for before.
func (c *Campaign) MayPromote(now types.Time) bool {
	return c.phase == PhasePromoting && !c.awaitsOldPrimary(now)
}

// awaitsOldPrimary reports whether an owner may still use the old primary, which has stepped down.
func (c *Campaign) awaitsOldPrimary(now types.Time) bool {
	return c.oldSteppedDown && !c.oldUnused && c.candidate != c.OldPrimary && now.Sub(c.steppedDownAt) < LeaseDuration
}

// IsOldPrimaryInUse reports whether the campaign waits for the connections to the old primary to
// be closed.
func (c *Campaign) IsOldPrimaryInUse(now types.Time) bool {
	return c.phase != PhaseEnded && c.awaitsOldPrimary(now)
}

// IsOutdated reports whether an endpoint's status says nothing, since it is the reply to a command
// that was sent before the current phase: the old primary may have been a replica before, and the
// candidate a primary.
func (c *Campaign) IsOutdated(endpoint types.Endpoint, sentAt types.Time, st Status) bool {
	isSteppingDown := c.phase == PhaseSteppingDown && endpoint == c.OldPrimary && !st.Primary
	isPromoted := c.phase == PhasePromoting && endpoint == c.candidate && st.Primary
	return (isSteppingDown || isPromoted) && sentAt.Before(c.phaseStartedAt)
}

// queryReplicas returns the status queries for all replicas.
func (c *Campaign) queryReplicas() []Command {
	var commands []Command
	for _, r := range c.replicas {
		commands = append(commands, Command{Endpoint: r, Op: OpQueryStatus})
	}
	return commands
}

// IsNeeded reports whether the campaign's reason still holds, given the current
// primary on record; empty for none. Once a candidate has been chosen, the campaign
// cannot be undone.
func (c *Campaign) IsNeeded(primary types.Endpoint) bool {
	return c.Reason != ReasonNoPrimary || primary == "" || c.phase >= PhasePromoting
}

// Abandon ends a campaign that is no longer needed.
func (c *Campaign) Abandon() Actions { return c.endCampaign("") }

// Tick applies the timeouts and sends the queries that are due.
func (c *Campaign) Tick(now types.Time) Actions {
	switch c.phase {
	case PhaseQueryingReplicas:
		return c.tickQueryingReplicas(now)
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
		return c.pollIfDue(now, c.queryOldPrimary())
	case PhaseFencing:
		return c.tickFencing(now)
	case PhaseCatchingUp:
		return c.tickCatchingUp(now)
	case PhasePromoting:
		return c.tickPromoting(now)
	}
	return Actions{}
}

// tickQueryingReplicas repeats the queries: a response may have been lost, and a replica of a
// planned change may have received more meanwhile.
func (c *Campaign) tickQueryingReplicas(now types.Time) Actions {
	if now.Sub(c.phaseStartedAt) > stepTimeout {
		return c.endCampaign("")
	}
	if a := c.claimIfReplicasResponded(now); c.phase != PhaseQueryingReplicas {
		return a
	}
	var due []Command
	for _, r := range c.replicas {
		st, ok := c.statuses[r]
		if !ok || (c.Reason == ReasonLeaving && c.oldResponded && st.Received.Less(c.oldReceived)) {
			due = append(due, Command{Endpoint: r, Op: OpQueryStatus})
		}
	}
	if !c.oldResponded {
		due = append(due, c.queryOldPrimary()...)
	}
	return c.pollIfDue(now, due)
}

// tickCatchingUp ends the wait for a replica that holds the old primary's whole log.
func (c *Campaign) tickCatchingUp(now types.Time) Actions {
	waited := now.Sub(c.phaseStartedAt)
	allResponded := true
	for _, r := range c.replicas {
		_, ok := c.statuses[r]
		if c.excluded[r] {
			ok = !c.requiresAllReplicas
		}
		allResponded = allResponded && ok
	}
	if a := c.promoteIfCaughtUp(now); c.phase != PhaseCatchingUp {
		return a
	}
	switch {
	case waited > catchUpTimeout && allResponded:
		return c.promoteMostAdvanced(now)
	case waited > returnTimeout && !c.excluded[c.OldPrimary]:
		return c.requestPromotion(now, c.OldPrimary)
	case waited > returnTimeout && !c.requiresAllReplicas:
		return c.promoteMostAdvanced(now)
	}
	commands := append(c.queryReplicas(), c.queryOldIfInUse(now)...)
	if c.excluded[c.OldPrimary] {
		commands = append(commands, c.queryOldPrimary()...)
	}
	return c.pollIfDue(now, commands)
}

// queryOldIfInUse returns the status query for the old primary if an owner may still use it.
func (c *Campaign) queryOldIfInUse(now types.Time) []Command {
	if !c.awaitsOldPrimary(now) {
		return nil
	}
	return c.queryOldPrimary()
}

// pollIfDue returns the commands if pollInterval has passed since the last ones.
func (c *Campaign) pollIfDue(now types.Time, commands []Command) Actions {
	if now.Sub(c.lastPollAt) < pollInterval {
		return Actions{}
	}
	c.lastPollAt = now
	return Actions{Commands: commands}
}
