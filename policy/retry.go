package policy

import "slices"

const (
	// retryEarned is the number of retries that each successful attempt adds to the retry budget.
	retryEarned = 0.1
	// maxRetryBudget is the largest number of retries that the budget holds.
	maxRetryBudget = 20
)

// retryBudget limits retries to a part of the successful attempts, so that the retries that failures cause
// cannot feed an overload.
type retryBudget struct {
	tokens float64 // retries that may be made now
}

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryBudget / 2} }

// available reports whether the budget allows a retry.
func (r *retryBudget) available() bool { return r.tokens >= 1 }

func (r *retryBudget) spend() { r.tokens-- }

func (r *retryBudget) earn() { r.tokens = min(maxRetryBudget, r.tokens+retryEarned) }

// retry dispatches the request again after a failed attempt. It rejects the request if no further attempt is
// possible or covered by the retry budget, or if an answer would come too late to have any value. A retry
// needs the budget if the request may have run, or if an endpoint rejected it while the mean lateness is
// above highLoad.
func (b *Balancer) retry(r *request, result attemptResult) {
	now := result.now
	class := b.class(r)
	needsBudget := r.mayHaveRun || result.outcome == Rejected && b.concurrency.latenessMean > highLoad
	switch {
	case result.outcome == NotSent:
		b.reject(now, r, EndedUnsent)
	case r.attempts >= b.settings.MaxAttempts:
		b.reject(now, r, EndedByMaxAttempts)
	case class.LateValue == 0 && now > r.arrivedAt+class.Target:
		b.reject(now, r, EndedWorthless)
	case !b.hasAllowedEndpoint(now, r):
		b.reject(now, r, EndedWithoutEndpoint)
	case needsBudget && !b.retries.available():
		b.reject(now, r, EndedByRetryBudget)
	default:
		if needsBudget {
			b.retries.spend()
		}
		b.dispatch(now, r, ordinaryTry)
	}
}

// hasAllowedEndpoint reports whether the request may be sent to any endpoint of the table.
func (b *Balancer) hasAllowedEndpoint(now Time, r *request) bool {
	return slices.ContainsFunc(b.table.byID, func(index endpointIndex) bool {
		return b.isAllowed(now, r, index)
	})
}
