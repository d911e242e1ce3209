package lead

import (
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// Status is an endpoint's report about itself.
type Status = statement.ReplicationStatus

// Reason says why a primary is replaced.
type Reason string

// The reasons of a campaign.
const (
	// ReasonLeaving: the primary has announced that it will stop. A campaign for this
	// reason is a planned change, in which a replica first catches up with the primary
	// so that no commit is lost.
	ReasonLeaving Reason = "primary leaves"
	// ReasonAbsent: the primary is absent, which means that nothing listens at its address
	// or another instance does.
	ReasonAbsent Reason = "primary is gone"
	// ReasonUnresponsive: the primary does not respond, though it may still run.
	ReasonUnresponsive Reason = "primary is silent"
	// ReasonReplicasPaused: the primary works, but a campaign that did not end has
	// left replicas paused, so that the primary cannot be used.
	ReasonReplicasPaused Reason = "replicas stayed paused"
	// ReasonUnfinishedPromotion: another host has requested a promotion and has not
	// recorded its result.
	ReasonUnfinishedPromotion Reason = "promotion not finished"
	// ReasonNoPrimary: the endpoint is no longer a primary, and there is no other.
	ReasonNoPrimary Reason = "no endpoint is the primary"
)

// NeedsFence reports whether a campaign for this reason may pause replicas in order to replace a
// primary that may still run.
func (r Reason) NeedsFence() bool { return r != ReasonLeaving && r != ReasonReplicasPaused }

// PromotionOutcome is what is known of one request for a promotion.
type PromotionOutcome uint8

// The outcomes of a request.
const (
	// PromotionUnknown: no response. The platform may promote the candidate later.
	PromotionUnknown PromotionOutcome = iota
	// PromotionAccepted: the platform promotes the candidate.
	PromotionAccepted
	// PromotionNotRunning: nothing happens, since the candidate does not run.
	PromotionNotRunning
	// PromotionRefused: nothing happens, since the platform did not receive the request
	// or refused it.
	PromotionRefused
)

// String returns the outcome's name.
func (o PromotionOutcome) String() string {
	return [...]string{"unknown", "accepted", "not running", "refused"}[o]
}

// Phase is a step of a campaign.
type Phase uint8

// The phases, in order; a campaign skips those that its reason does not need.
const (
	// PhaseQueryingReplicas waits for a response from every replica. A host that does
	// not reach them cannot replace a primary, and its claim would block other hosts.
	PhaseQueryingReplicas Phase = iota
	// PhaseClaiming waits for the store to grant the token.
	PhaseClaiming
	// PhaseDrainingWrites waits for running writes to end.
	PhaseDrainingWrites
	// PhaseSteppingDown waits for the old primary to give up its role.
	PhaseSteppingDown
	// PhaseFencing waits for the replicas to be paused, and for LeaseDuration to pass.
	PhaseFencing
	// PhaseCatchingUp waits for the candidate to hold the old primary's whole log.
	PhaseCatchingUp
	// PhasePromoting waits for the platform, and then for the candidate to become the
	// primary.
	PhasePromoting
	// PhaseEnded: the campaign is over.
	PhaseEnded
)

// phaseNames holds the names that log lines and the debug state show. They stay the same
// for operators when a phase gets another name in the code.
var phaseNames = [...]string{"surveying", "claiming", "quieting", "stepping down", "fencing", "catching up", "promoting", "ended"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Op is an operation that a campaign requests from an endpoint.
type Op uint8

// The operations of a campaign.
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
	// Term is the term of an OpPause or OpStepDown, and of the pause that an OpResume ends.
	Term types.Term
}

// Actions are the actions that a campaign requests; each field may be empty.
type Actions struct {
	Commands []Command
	// ClaimToken requests the fencing token from the store.
	ClaimToken bool
	// HoldNewWork requests that no new work be sent to the old primary until the
	// campaign ends. Unlike HoldWrites of package failover, it also holds reads that
	// require the primary. Statements of open transactions continue.
	HoldNewWork bool
	// CloseIdle requests that the idle connections to the old primary be closed. The old primary
	// reports how many are still open when it steps down.
	CloseIdle bool
	// Promote requests that the platform makes the endpoint the primary, once the
	// store has recorded it as the candidate.
	Promote types.Endpoint
	// Resumes end the pauses of the campaign. With NewPrimary they are due DemotionDelay after
	// the end, and not before ResumeAt. A resumed replica holds no term until it follows the new
	// primary. It would confirm the old primary to an owner that has not noticed the pause, see
	// Authority. A replica that has been paused for a later term since must not be resumed.
	Resumes  []Command
	ResumeAt types.Time
	// Ended is set once the campaign is over.
	Ended bool
	// NewPrimary is the new primary if the campaign has succeeded.
	NewPrimary types.Endpoint
}
