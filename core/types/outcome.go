package types

// OutcomeKind says what is known about the execution of a request.
type OutcomeKind uint8

// The kinds of outcome.
const (
	// OutcomeDone means that the request ran and its whole answer is known.
	OutcomeDone OutcomeKind = iota
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
)

// String returns the kind's name.
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

// Reason says why a request has an outcome other than Done.
type Reason uint8

// The reasons for outcomes other than Done.
const (
	ReasonNone Reason = iota
	// ReasonNotOwner: the host does not own the endpoint.
	ReasonNotOwner
	// ReasonNotPrimary: the endpoint is not the primary of the expected term.
	ReasonNotPrimary
	// ReasonNoAuthority: the owner cannot prove that its primary is current.
	ReasonNoAuthority
	// ReasonBehind: the replica has not reached the session's position.
	ReasonBehind
	// ReasonStale: no replica is within the accepted age.
	ReasonStale
	// ReasonQueueFull: a queue or buffer has reached its limit.
	ReasonQueueFull
	// ReasonLate: the request cannot be served within its rank's target or deadline.
	ReasonLate
	// ReasonShed: the entry host refused the request at the admission level in force.
	ReasonShed
	// ReasonRetired: the feature or job has been retired.
	ReasonRetired
	// ReasonLeaving: the endpoint or host accepts no new work.
	ReasonLeaving
	// ReasonUnreachable: no connection to the owner or the endpoint could be had.
	ReasonUnreachable
	// ReasonNoMajority: a majority of the database's endpoints cannot be reached.
	ReasonNoMajority
	// ReasonLostWrite: the session's token names a write that a failover lost.
	ReasonLostWrite
	// ReasonBadRequest: the request is malformed or names something that does not exist.
	ReasonBadRequest
	// ReasonBroken: the connection broke or stayed silent with the request outstanding.
	ReasonBroken
	// ReasonFenced: the primary was replaced before the acknowledgement.
	ReasonFenced
	// ReasonReadOnly: a replica refused the statement because it writes.
	ReasonReadOnly

	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "not owner", "not primary", "no authority", "behind", "stale",
	"queue full", "late", "shed", "retired", "leaving", "unreachable",
	"no majority", "lost write", "bad request", "broken", "fenced", "read only",
}

// Valid reports whether r is one of the declared reasons.
func (r Reason) Valid() bool { return r < reasonCount }

// String returns the reason's name.
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
	// Detail names the object that decided the outcome, for instance a retirement.
	Detail string
}

// RefusedOutcome returns the outcome of a request that did not run.
func RefusedOutcome(r Reason, detail string) Outcome {
	return Outcome{Kind: OutcomeNotRun, Reason: r, Detail: detail}
}

// InDoubtOutcome returns the outcome of a request that may have run.
func InDoubtOutcome(r Reason, detail string) Outcome {
	return Outcome{Kind: OutcomeUnknown, Reason: r, Detail: detail}
}
