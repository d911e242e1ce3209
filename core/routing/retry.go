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
	// WaitRetry: wait for a change or a pause, then try the same database again.
	WaitRetry
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
	{types.ReasonNoAuthority, WaitRetry, WaitRetry},
	{types.ReasonBehind, RetryElsewhere, GiveUp},
	{types.ReasonStale, RetryPrimary, GiveUp},
	{types.ReasonQueueFull, RetryElsewhere, GiveUp},
	{types.ReasonLate, RetryElsewhere, GiveUp},
	{types.ReasonLeaving, RetryElsewhere, RetryPrimary},
	{types.ReasonUnreachable, RetryElsewhere, WaitRetry},
	{types.ReasonNoMajority, RetryElsewhere, WaitRetry},
	{types.ReasonBroken, RetryElsewhere, WaitRetry},
	{types.ReasonFenced, RetryPrimary, RetryPrimary},
	{types.ReasonReadOnly, RetryPrimary, RetryPrimary},
}

// Retry decides what to do after an attempt with the given outcome. The caller
// still has to ask its RetryBudget and to mind its deadline.
func Retry(o types.Outcome, a Attempt) Decision {
	if o.Kind == types.OutcomeDone || a.InTransaction {
		return GiveUp
	}
	if o.Kind == types.OutcomeUnknown {
		return retryUnknown(a)
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

// retryUnknown decides about a request that may have run.
func retryUnknown(a Attempt) Decision {
	switch {
	case !a.Write:
		return RetryElsewhere
	case a.Repeatable:
		return WaitRetry
	}
	return GiveUp
}

const (
	// retryShare is the number of first tries that pay for one retry.
	retryShare = 10
	// retryBurst is the number of retries that can be saved up.
	retryBurst = 100
)

// RetryBudget bounds retries to a share of first tries, so that they cannot
// multiply a flood.
type RetryBudget struct{ credit int }

// firstRetries is the number of retries that a new budget allows.
const firstRetries = 10

// NewRetryBudget returns the budget of a host that has just started, which has
// a few retries before its first tries have paid for any.
func NewRetryBudget() RetryBudget { return RetryBudget{credit: firstRetries * retryShare} }

// FirstTry records the first attempt of a request.
func (b *RetryBudget) FirstTry() {
	b.credit = min(b.credit+1, retryShare*retryBurst)
}

// Allow reports whether a retry may be sent, and counts it if so.
func (b *RetryBudget) Allow() bool {
	if b.credit < retryShare {
		return false
	}
	b.credit -= retryShare
	return true
}
