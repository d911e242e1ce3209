package routing

import "baobabfield.example/core/types"

// Decision says what to do after an attempt.
type Decision uint8

// The decisions about a request.
const (
	// GiveUp: answer the caller with the outcome.
	GiveUp Decision = iota
	// RetryElsewhere: try another endpoint, or the owner that the answer names.
	RetryElsewhere
	// RetryPrimary: try the primary that the answer names or that is now known.
	RetryPrimary
	// RetryAfterWait: wait for a change or a pause, then try the same database again.
	RetryAfterWait
)

// Attempt describes a request that has been tried.
type Attempt struct {
	Write bool
	// Repeatable marks a statement that the caller allows to run twice.
	Repeatable bool
	// InTransaction marks a statement of a transaction that has already started;
	// its earlier statements cannot be repeated.
	InTransaction bool
}

// retryRule holds the decisions for a request that did not run.
type retryRule struct {
	reason      types.Reason
	read, write Decision
}

// retryRules lists the reasons that allow a retry; all others mean GiveUp.
var retryRules = [...]retryRule{
	{types.ReasonNotOwner, RetryElsewhere, RetryPrimary},
	{types.ReasonNotPrimary, RetryPrimary, RetryPrimary},
	{types.ReasonNoAuthority, RetryAfterWait, RetryAfterWait},
	{types.ReasonBehind, RetryElsewhere, GiveUp},
	{types.ReasonStale, RetryPrimary, GiveUp},
	{types.ReasonQueueFull, RetryElsewhere, GiveUp},
	{types.ReasonLate, RetryElsewhere, GiveUp},
	{types.ReasonLeaving, RetryElsewhere, RetryPrimary},
	{types.ReasonUnreachable, RetryElsewhere, RetryAfterWait},
	{types.ReasonNoMajority, RetryElsewhere, RetryAfterWait},
	{types.ReasonBroken, RetryElsewhere, RetryAfterWait},
	{types.ReasonFenced, RetryPrimary, RetryPrimary},
	{types.ReasonReadOnly, RetryPrimary, RetryPrimary},
}

// DecideRetry decides what to do after an attempt with the given outcome. The caller
// still has to ask its RetryBudget and to mind its deadline.
func DecideRetry(o types.Outcome, a Attempt) Decision {
	if o.Kind == types.Done || a.InTransaction {
		return GiveUp
	}
	if o.Kind == types.Unknown {
		return decideUnknownOutcome(a)
	}
	for i := range retryRules {
		rule := &retryRules[i]
		if rule.reason != o.Reason {
			continue
		}
		if a.Write {
			return rule.write
		}
		return rule.read
	}
	return GiveUp
}

// decideUnknownOutcome decides about a request that may have run.
func decideUnknownOutcome(a Attempt) Decision {
	switch {
	case !a.Write:
		return RetryElsewhere
	case a.Repeatable:
		return RetryAfterWait
	}
	return GiveUp
}

const (
	// firstAttemptsPerRetry is the number of first tries that pay for one retry.
	firstAttemptsPerRetry = 10
	// maxSavedRetries is the number of retries that can be saved up.
	maxSavedRetries = 100
)

// RetryBudget bounds retries to a share of first tries, so that they cannot
// multiply a flood.
type RetryBudget struct{ credit int }

// initialRetries is the number of retries that a new budget allows.
const initialRetries = 10

// NewRetryBudget returns the budget of a host that has just started, which has
// a few retries before its first tries have paid for any.
func NewRetryBudget() RetryBudget { return RetryBudget{credit: initialRetries * firstAttemptsPerRetry} }

// RecordFirstAttempt records the first attempt of a request.
func (b *RetryBudget) RecordFirstAttempt() {
	b.credit = min(b.credit+1, firstAttemptsPerRetry*maxSavedRetries)
}

// Allow reports whether a retry may be sent, and counts it if so.
func (b *RetryBudget) Allow() bool {
	if b.credit < firstAttemptsPerRetry {
		return false
	}
	b.credit -= firstAttemptsPerRetry
	return true
}
