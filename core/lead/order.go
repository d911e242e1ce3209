package lead

import (
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// Status is an endpoint's report about itself.
type Status = statement.ReplicationStatus

// Reason says why a primary is replaced.
type Reason string

// The reasons.
const (
	// Leaving: the primary has announced its end; nothing may be lost.
	Leaving Reason = "primary leaves"
	// Gone: the primary refuses connections or has disappeared.
	Gone Reason = "primary is gone"
	// Silent: the primary does not answer, though it may still run.
	Silent Reason = "primary is silent"
	// Stuck: the primary is well, but a campaign that did not end has left replicas
	// paused, so that it cannot be used.
	Stuck Reason = "replicas stayed paused"
	// Demoted: the endpoint no longer is a primary, and there is no other.
	Demoted Reason = "no endpoint is the primary"
)

// Phase is a step of a campaign.
type Phase uint8

// The phases, in order; a campaign skips those that its reason does not need.
const (
	// Surveying waits for a sign of life of every replica: a host that does not
	// reach them cannot replace a primary, and must not keep others from it.
	Surveying Phase = iota
	// Claiming waits for the store to grant the token.
	Claiming
	// Quieting waits for running writes to end.
	Quieting
	// SteppingDown waits for the old primary to give up its role.
	SteppingDown
	// Fencing waits for the replicas to be paused, and for the window to pass.
	Fencing
	// CatchingUp waits for the candidate to hold the old primary's whole log.
	CatchingUp
	// Promoting waits for the platform, and then for the candidate to lead.
	Promoting
	// Ended: the campaign is over.
	Ended
)

var phaseNames = [...]string{"surveying", "claiming", "quieting", "stepping down", "fencing", "catching up", "promoting", "ended"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Op is what a campaign asks of an endpoint.
type Op uint8

// The operations.
const (
	AskStatus Op = iota
	Pause
	Resume
	StepDown
)

// String returns the operation's name.
func (o Op) String() string { return [...]string{"status", "pause", "resume", "step down"}[o] }

// Order is an operation for an endpoint.
type Order struct {
	Endpoint types.Endpoint
	Op       Op
	// Term is that of a Pause or StepDown.
	Term types.Term
}

// Actions are what a campaign wants done; each field may be empty.
type Actions struct {
	Orders []Order
	// Claim asks the store for the token.
	Claim bool
	// HoldWrites asks for no new work to be sent to the old primary.
	HoldWrites bool
	// Promote asks the platform to make the endpoint the primary, once the store has
	// noted it as chosen.
	Promote types.Endpoint
	// Settle are orders for SettleDelay after the end: a replica that is resumed
	// holds no term until it hears of the new primary, and until then it would
	// confirm the old one to an owner that has not heard either.
	Settle []Order
	// Ended is set once the campaign is over.
	Ended bool
	// Won is the new primary, where the campaign has succeeded.
	Won types.Endpoint
}
