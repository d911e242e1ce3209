package lead

import (
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// Status is an endpoint's report about itself.
type Status = statement.Status

// Reason says why a primary is replaced.
type Reason string

// The reasons.
const (
	// ReasonLeaving: the primary has announced its end; nothing may be lost.
	ReasonLeaving Reason = "primary leaves"
	// ReasonDown: the primary refuses connections or has disappeared.
	ReasonDown Reason = "primary is gone"
	// ReasonUnresponsive: the primary does not answer, though it may still run.
	ReasonUnresponsive Reason = "primary is silent"
	// ReasonReplicasPaused: the primary is well, but a campaign that did not end has left replicas
	// paused, so that it cannot be used.
	ReasonReplicasPaused Reason = "replicas stayed paused"
	// ReasonNoPrimary: the endpoint no longer is a primary, and there is no other.
	ReasonNoPrimary Reason = "no endpoint is the primary"
)

// Phase is a step of a campaign.
type Phase uint8

// The phases, in order; a campaign skips those that its reason does not need.
const (
	// PhaseQueryingReplicas waits for a sign of life of every replica: a host that does not
	// reach them cannot replace a primary, and must not keep others from it.
	PhaseQueryingReplicas Phase = iota
	// PhaseClaiming waits for the store to grant the token.
	PhaseClaiming
	// PhaseDrainingWrites waits for running writes to end.
	PhaseDrainingWrites
	// PhaseSteppingDown waits for the old primary to give up its role.
	PhaseSteppingDown
	// PhaseFencing waits for the replicas to be paused, and for the window to pass.
	PhaseFencing
	// PhaseCatchingUp waits for the candidate to hold the old primary's whole log.
	PhaseCatchingUp
	// PhasePromoting waits for the platform, and then for the candidate to lead.
	PhasePromoting
	// PhaseEnded: the campaign is over.
	PhaseEnded
)

var phaseNames = [...]string{"surveying", "claiming", "quieting", "stepping down", "fencing", "catching up", "promoting", "ended"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Op is what a campaign asks of an endpoint.
type Op uint8

// The operations.
const (
	OpQueryStatus Op = iota
	OpPause
	OpResume
	OpStepDown
)

// String returns the operation's name.
func (o Op) String() string { return [...]string{"status", "pause", "resume", "step down"}[o] }

// Command is an operation for an endpoint.
type Command struct {
	Endpoint types.Endpoint
	Op       Op
	// Term is that of a Pause or StepDown.
	Term types.Term
}

// Actions are what a campaign wants done; each field may be empty.
type Actions struct {
	Commands []Command
	// ClaimToken asks the store for the token.
	ClaimToken bool
	// HoldWrites asks for no new work to be sent to the old primary.
	HoldWrites bool
	// Promote asks the platform to make the endpoint the primary, once the store has
	// noted it as chosen.
	Promote types.Endpoint
	// CommandsAfterDemotion are orders for SettleDelay after the end: a replica that is resumed
	// holds no term until it hears of the new primary, and until then it would
	// confirm the old one to an owner that has not heard either.
	CommandsAfterDemotion []Command
	// Ended is set once the campaign is over.
	Ended bool
	// NewPrimary is the new primary, where the campaign has succeeded.
	NewPrimary types.Endpoint
}
