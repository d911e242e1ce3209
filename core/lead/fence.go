package lead

import (
	"baobabfield.example/core/types"
)

func (c *Campaign) startFencing(now types.Time) Actions {
	c.enterPhase(now, PhaseFencing)
	c.lastPollAt = now
	clear(c.excluded)
	return Actions{Commands: c.pauseCommands()}
}

// pauseCommands returns the pause commands for the replicas that are not yet paused.
func (c *Campaign) pauseCommands() []Command {
	var commands []Command
	for _, r := range c.replicas {
		if !c.paused[r] && !c.excluded[r] {
			commands = append(commands, Command{Endpoint: r, Op: OpPause, Term: c.highestTerm + 1})
		}
	}
	return commands
}

// handleFencingStatus records which replicas are paused. An endpoint that still acts
// as a primary of an earlier term has to step down first.
func (c *Campaign) handleFencingStatus(now types.Time, cmd Command, st Status) Actions {
	if cmd.Endpoint == c.OldPrimary {
		return Actions{}
	}
	if st.Primary && cmd.Endpoint == c.inherited {
		return c.endCampaign(c.inherited)
	}
	if st.Primary {
		return Actions{Commands: []Command{{Endpoint: cmd.Endpoint, Op: OpStepDown, Term: c.highestTerm + 1}}}
	}
	c.statuses[cmd.Endpoint] = st
	switch {
	case cmd.Op == OpQueryStatus && c.stillPaused != nil:
		return c.handleVerification(now, cmd.Endpoint, st)
	case cmd.Op == OpPause && st.FencedTerm >= cmd.Term:
		if !c.paused[cmd.Endpoint] {
			// The lease may have been renewed up to now, if the replica had been left out.
			c.fencedAt, c.stillPaused = 0, nil
		}
		c.paused[cmd.Endpoint], c.pauseTerms[cmd.Endpoint], c.pausedAt = true, cmd.Term, now
		return c.promoteIfFenced(now)
	case cmd.Op == OpPause:
		// The replica holds a later term than the campaign knew: the next poll pauses it
		// with a higher one.
		c.highestTerm = max(c.highestTerm, st.FencedTerm)
		return Actions{}
	}
	return Actions{Commands: []Command{{Endpoint: cmd.Endpoint, Op: OpPause, Term: c.highestTerm + 1}}}
}

// mustPauseReplicas reports whether the old primary may still run, even if this host
// does not know which endpoint it is. Then only paused replicas and the expiry of the
// lease stop its owner from using it.
func (c *Campaign) mustPauseReplicas() bool { return !c.oldSteppedDown }

// mustAwaitLeaseExpiry reports whether an owner of the old primary may still use it. An
// old primary that is absent after the fence does not run. Its owners' connections are
// closed, and new ones need new confirmations.
func (c *Campaign) mustAwaitLeaseExpiry() bool { return !c.oldSteppedDown && !c.oldAbsentAfterFence }

// isFenceComplete reports whether every replica that is neither excluded nor left out has
// responded, and is paused if the old primary may still run.
func (c *Campaign) isFenceComplete(now types.Time) bool {
	responded := 0
	for _, r := range c.replicas {
		switch {
		case c.excluded[r]:
		case c.isFenced(r):
			responded++
		case !c.mayLeaveOutSilent(now):
			return false
		}
	}
	return responded > 0
}

// isFenced reports whether a replica has responded, and is paused if the old primary may still
// run.
func (c *Campaign) isFenced(r types.Endpoint) bool {
	_, responded := c.statuses[r]
	return responded && (!c.mustPauseReplicas() || c.paused[r])
}

// isSilentLeftOut reports whether the fence lacks a replica that may still confirm the old
// primary. The expiry of the lease is then no proof.
func (c *Campaign) isSilentLeftOut() bool {
	for _, r := range c.replicas {
		if !c.excluded[r] && !c.isFenced(r) {
			return true
		}
	}
	return false
}

// promoteIfFenced promotes a replica once the fence is complete and the old primary's
// lease has expired.
func (c *Campaign) promoteIfFenced(now types.Time) Actions {
	if !c.isFenceComplete(now) {
		return Actions{}
	}
	var a Actions
	if c.fencedAt == 0 {
		c.fencedAt = now
		if c.Reason == ReasonAbsent {
			a.Commands = c.queryOldPrimary()
		}
	}
	if !c.mustAwaitLeaseExpiry() {
		return c.promoteMostAdvanced(now)
	}
	switch {
	case now.Sub(c.fencedAt) < LeaseDuration, c.isSilentLeftOut():
		return a
	case c.stillPaused == nil:
		c.stillPaused = map[types.Endpoint]bool{}
		a.Commands = append(a.Commands, c.verificationCommands()...)
		return a
	case len(c.verificationCommands()) > 0:
		return a
	}
	return c.promoteMostAdvanced(now)
}

// verificationCommands returns the status queries for the paused replicas that have not been
// verified.
func (c *Campaign) verificationCommands() []Command {
	var commands []Command
	for _, r := range c.replicas {
		if c.paused[r] && !c.stillPaused[r] {
			commands = append(commands, Command{Endpoint: r, Op: OpQueryStatus})
		}
	}
	return commands
}

// handleVerification checks that a replica is still paused. A restart, or the command of a
// host whose campaign has ended, can have resumed it, and it may then have confirmed the old
// primary. In that case the fence starts again.
func (c *Campaign) handleVerification(now types.Time, replica types.Endpoint, st Status) Actions {
	if st.FencedTerm >= c.pauseTerms[replica] {
		c.stillPaused[replica] = true
		return c.promoteIfFenced(now)
	}
	clear(c.paused)
	c.fencedAt, c.stillPaused, c.oldAbsentAfterFence = 0, nil, false
	return c.startFencing(now)
}

// tickFencing promotes a replica if the fence is complete and the lease has expired. Until
// then it queries the old primary, which may have recovered, and repeats the pauses.
func (c *Campaign) tickFencing(now types.Time) Actions {
	if c.isFenceComplete(now) {
		a := c.promoteIfFenced(now)
		if c.phase != PhaseFencing || len(a.Commands) > 0 {
			return a
		}
	}
	if now.Sub(c.phaseStartedAt) > fenceTimeout {
		return c.endCampaign("")
	}
	if now.Sub(c.lastPollAt) < stepTimeout/4 {
		return Actions{}
	}
	commands := append(c.queryOldPrimary(), c.pauseCommands()...)
	if c.stillPaused != nil {
		commands = append(commands, c.verificationCommands()...)
	}
	return c.pollIfDue(now, commands)
}
