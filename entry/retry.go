package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/core/retry"
	"github.com/dottereltiller/dottereltiller/telemetry"
	"github.com/dottereltiller/dottereltiller/wire"
)

// retryBudgets holds the retry budget of each service. It is safe for concurrent
// use.
type retryBudgets struct {
	now func() model.Instant
	// counterByDecision holds the counter of each decision on a retry.
	counterByDecision map[retry.Decision]tally.Counter

	mu sync.Mutex
	// budgets holds the retry budget of each service that has received requests.
	// Its size is bounded, since it holds only services of the configuration.
	budgets map[model.ServiceName]*retry.Budget
}

func newRetryBudgets(now func() model.Instant, scope tally.Scope) *retryBudgets {
	r := &retryBudgets{
		now:               now,
		counterByDecision: make(map[retry.Decision]tally.Counter),
		budgets:           make(map[model.ServiceName]*retry.Budget),
	}
	scope = telemetry.OrNoop(scope)
	for _, decision := range []retry.Decision{retry.Allowed, retry.BudgetExhausted, retry.TooManyFailures, retry.DeadlineTooClose} {
		r.counterByDecision[decision] = scope.Tagged(map[string]string{"verdict": decision.String()}).Counter("retries")
	}
	return r
}

// countRequest counts a request to a service. This adds to the service's retry budget.
func (r *retryBudgets) countRequest(s *policy.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[s.Name]
	if b == nil {
		b = retry.NewBudget(s.RetryShare)
		r.budgets[s.Name] = b
	}
	b.SetShare(s.RetryShare)
	b.CountRequest()
}

// countAttempt counts an attempt with the given response as failed or not failed. It may
// be called only after countRequest has been called for the service.
func (r *retryBudgets) countAttempt(s *policy.Service, response *wire.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	failed := response.Outcome.Kind != outcome.Answered || response.Status >= http.StatusInternalServerError
	r.budgets[s.Name].CountAttempt(r.now(), failed)
}

// backoff returns how long to wait before a retry, and whether the retry is allowed.
// retryNumber is 1 for the first retry of the request. o is the outcome of the attempt
// before the retry. If o.NeedsNoRetryBudget reports true, the attempt put no load on any
// upstream. The retry then needs no budget and is allowed until the deadline.
func (r *retryBudgets) backoff(req *request, retryNumber int, o outcome.Outcome) (time.Duration, bool) {
	if o.NeedsNoRetryBudget() {
		return 0, req.deadline > r.now()
	}
	wait, ok := retry.Backoff(retryNumber, req.deadline.Sub(r.now()), rand.Float64())
	decision := retry.DeadlineTooClose
	if ok {
		r.mu.Lock()
		decision = r.budgets[req.service.Name].Allow(r.now())
		r.mu.Unlock()
	}
	r.counterByDecision[decision].Inc(1)
	return wait, decision == retry.Allowed
}

// waitForRetry reports whether the request should be retried after an attempt with the
// given response. If so, it returns only after the backoff. If ctx ends during the
// backoff, it reports false. attempt is the number of the attempt, from 0.
func (e *Entry) waitForRetry(ctx context.Context, req *request, response *wire.Result, attempt int) bool {
	if attempt+1 >= maxAttempts || !response.Outcome.MayRetry(req.idempotent) || !response.Outcome.MaySucceedElsewhere() {
		return false
	}
	if !req.body.replayable() || ctx.Err() != nil {
		return false
	}
	if response.Outcome.Reason == outcome.ReasonUpstreamCrashed {
		// One retry after a crash is allowed: the request may crash a second
		// upstream, but not a third.
		req.crashCount++
		if req.crashCount > 1 {
			return false
		}
	}
	wait, ok := e.retryBudgets.backoff(req, attempt+1, response.Outcome)
	if !ok || wait <= 0 {
		return ok
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
