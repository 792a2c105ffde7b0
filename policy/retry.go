package policy

import "slices"

const (
	// retryEarned is what each successful attempt adds to the retry budget.
	retryEarned = 0.1
	// maxRetryBudget is the most retries that are saved up.
	maxRetryBudget = 20
)

// retryBudget is earned by successes, so that failures cannot feed an overload.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryBudget / 2} }

// available reports whether a retry can be spent.
func (r *retryBudget) available() bool { return r.tokens >= 1 }

func (r *retryBudget) spend() { r.tokens-- }

func (r *retryBudget) earn() { r.tokens = min(maxRetryBudget, r.tokens+retryEarned) }

// retry dispatches a request anew after a failed attempt, or rejects it where it could only wait for nothing.
func (b *Balancer) retry(r *request, result attemptResult) {
	now := result.now
	class := b.class(r)
	spends := r.mayHaveRun || result.outcome == Rejected && b.concurrency.latenessMean > highLoad
	worthless := class.LateValue == 0 && now > r.arrivedAt+class.Target
	exhausted := result.outcome == NotSent || r.attempts >= b.settings.MaxAttempts
	if exhausted || worthless || !b.hasAllowedEndpoint(now, r) || spends && !b.retries.available() {
		b.reject(now, r)
		return
	}
	if spends {
		b.retries.spend()
	}
	b.dispatch(now, r, ordinaryTry)
}

// hasAllowedEndpoint reports whether the request may be sent to any endpoint of the table.
func (b *Balancer) hasAllowedEndpoint(now Time, r *request) bool {
	return slices.ContainsFunc(b.table.byID, func(index endpointIndex) bool {
		return b.isAllowed(now, r, index)
	})
}
