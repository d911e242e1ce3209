package types

// OutcomeKind states what is known about the execution of a request.
type OutcomeKind uint8

// The kinds of outcome.
const (
	// OutcomeDone means that the request ran and its complete response is known.
	OutcomeDone OutcomeKind = iota
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
)

// String returns the kind as text, for instance "not run".
func (k OutcomeKind) String() string {
	switch k {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not run"
	case OutcomeUnknown:
		return "unknown"
	}
	return "invalid"
}

// Reason states why a request has an outcome other than OutcomeDone.
type Reason uint8

// The reasons for outcomes other than OutcomeDone.
const (
	// ReasonNone is the reason of OutcomeDone.
	ReasonNone Reason = iota
	// ReasonNotOwner means that the host does not own the endpoint.
	ReasonNotOwner
	// ReasonNotPrimary means that the endpoint is not the primary of the expected
	// term.
	ReasonNotPrimary
	// ReasonNoAuthority means that the owner has no authority, which is the lease that
	// confirms that its primary is current.
	ReasonNoAuthority
	// ReasonBehind means that the replica has not reached the session's position.
	ReasonBehind
	// ReasonStale means that every replica exceeds the accepted staleness.
	ReasonStale
	// ReasonQueueFull means that a queue or buffer has reached its limit.
	ReasonQueueFull
	// ReasonLate means that the request cannot be served within its rank's target
	// or its deadline.
	ReasonLate
	// ReasonShed means that the frontend refused the request because of the
	// current admission level.
	ReasonShed
	// ReasonRetired means that the feature or job has been retired.
	ReasonRetired
	// ReasonLeaving means that the endpoint or host accepts no new work.
	ReasonLeaving
	// ReasonUnreachable means that no connection to the owner or the endpoint
	// could be opened.
	ReasonUnreachable
	// ReasonNoMajority means that a majority of the database's endpoints cannot be
	// reached.
	ReasonNoMajority
	// ReasonLostWrite means that the session's token names a write that a failover
	// lost.
	ReasonLostWrite
	// ReasonBadRequest means that the request is malformed or names an object that
	// does not exist.
	ReasonBadRequest
	// ReasonBroken means that the connection failed or timed out while the request
	// was in flight.
	ReasonBroken
	// ReasonFenced means that the primary was replaced before the acknowledgement.
	ReasonFenced
	// ReasonReadOnly means that a replica refused a statement that writes.
	ReasonReadOnly
	// ReasonLimited means that the workspace has reached its rate limit.
	ReasonLimited

	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "not owner", "not primary", "no authority", "behind", "stale",
	"queue full", "late", "shed", "retired", "leaving", "unreachable",
	"no majority", "lost write", "bad request", "broken", "fenced", "read only", "rate limit reached",
}

// Valid reports whether r is one of the declared reasons.
func (r Reason) Valid() bool { return r < reasonCount }

// String returns the text of the reason that callers receive in replies, or "invalid"
// for a value that is not declared.
func (r Reason) String() string {
	if !r.Valid() {
		return "invalid"
	}
	return reasonNames[r]
}

// Outcome is the result of a request.
type Outcome struct {
	Kind   OutcomeKind
	Reason Reason
	// Detail names the object that caused the outcome, for instance a retirement.
	Detail string
}

// NotRunOutcome returns the outcome of a request that did not run.
func NotRunOutcome(reason Reason, detail string) Outcome {
	return Outcome{Kind: OutcomeNotRun, Reason: reason, Detail: detail}
}

// UnknownOutcome returns the outcome of a request that may or may not have run.
func UnknownOutcome(reason Reason, detail string) Outcome {
	return Outcome{Kind: OutcomeUnknown, Reason: reason, Detail: detail}
}
