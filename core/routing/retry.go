package routing

import "baobabfield.example/core/types"

// RetryDecision is the action after an attempt.
type RetryDecision uint8

// Decisions about a request.
const (
	// GiveUp returns the outcome to the caller.
	GiveUp RetryDecision = iota
	// RetryElsewhere tries another endpoint, or the owner that the response names.
	RetryElsewhere
	// RetryPrimary tries the primary that the response names, or the one known by now.
	RetryPrimary
	// RetryAfterWait waits for a change or a delay and then tries the same database
	// again.
	RetryAfterWait
)

// Attempt describes a request that has been tried.
type Attempt struct {
	Write bool
	// Repeatable marks a statement that the caller allows to be run twice.
	Repeatable bool
	// InTransaction marks a statement of a transaction that has already started. The
	// earlier statements of the transaction cannot be repeated.
	InTransaction bool
}

// retryRule gives the decisions for a request that did not run.
type retryRule struct {
	reason      types.Reason
	read, write RetryDecision
}

// retryRules lists the reasons that allow a retry. All other reasons mean GiveUp.
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

// DecideRetry returns the decision after an attempt with the given outcome. Before a
// retry, the caller must also check its RetryBudget and the deadline.
func DecideRetry(outcome types.Outcome, attempt Attempt) RetryDecision {
	if outcome.Kind == types.OutcomeDone || attempt.InTransaction {
		return GiveUp
	}
	if outcome.Kind == types.OutcomeUnknown {
		return decideUnknownOutcome(attempt)
	}
	for i := range retryRules {
		rule := &retryRules[i]
		if rule.reason != outcome.Reason {
			continue
		}
		if attempt.Write {
			return rule.write
		}
		return rule.read
	}
	return GiveUp
}

// decideUnknownOutcome returns the decision for a request that may have run.
func decideUnknownOutcome(attempt Attempt) RetryDecision {
	switch {
	case !attempt.Write:
		return RetryElsewhere
	case attempt.Repeatable:
		return RetryAfterWait
	}
	return GiveUp
}

const (
	// firstAttemptsPerRetry is the number of first attempts that allow one retry.
	firstAttemptsPerRetry = 10
	// maxSavedRetries bounds the retries that accumulate in the budget.
	maxSavedRetries = 100
)

// RetryBudget bounds retries to a share of first attempts, so that retries cannot
// multiply the load of a flood. The credit is counted in first attempts.
type RetryBudget struct{ credit int }

// initialRetries is the number of retries that a new budget allows.
const initialRetries = 10

// NewRetryBudget returns the budget of a host that has just started. It allows
// initialRetries retries before any first attempt.
func NewRetryBudget() RetryBudget { return RetryBudget{credit: initialRetries * firstAttemptsPerRetry} }

// RecordFirstAttempt records the first attempt of a request.
func (b *RetryBudget) RecordFirstAttempt() {
	b.credit = min(b.credit+1, firstAttemptsPerRetry*maxSavedRetries)
}

// Allow reports whether a retry may be sent. If so, it subtracts the retry from the
// budget.
func (b *RetryBudget) Allow() bool {
	if b.credit < firstAttemptsPerRetry {
		return false
	}
	b.credit -= firstAttemptsPerRetry
	return true
}
