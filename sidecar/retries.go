package sidecar

import (
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/retry"
)

const (
	// retryBudgetMargin is the share of the budget that is used. The rest covers two
	// errors of the estimate. First, the executions that fail and are retried are mostly
	// those that send requests to other services, so a retry causes more nested requests
	// than the average execution. Second, daemons that crash lose their counts.
	retryBudgetMargin = 0.75
)

// retryLimiter is this daemon's share of the retry budget of one service.
type retryLimiter struct {
	mu     sync.Mutex
	budget RetryBudget
	slack  float64
	window *retry.WindowBudget
}

func newRetryLimiter(b RetryBudget) *retryLimiter {
	r := &retryLimiter{}
	r.set(b)
	return r
}

// set changes the budget. Counts under a different budget are discarded.
func (r *retryLimiter) set(b RetryBudget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.window != nil && r.budget == b {
		return
	}
	r.budget, r.slack = b, b.Slack*retryBudgetMargin
	r.window = retry.NewWindowBudget(b.Span, b.Ratio*retryBudgetMargin, 0)
}

// countRequest counts the first attempt of a request.
func (r *retryLimiter) countRequest(now model.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.CountRequest(now)
}

// take charges n retries and reports true if the budget allows them. The slack of the budget
// is divided equally among all daemons, whose number is daemons. started is the fraction of
// the daemons that started within the last RetryBudget.Span; see budgetShareAfterStarts.
func (r *retryLimiter) take(now model.Instant, n float64, daemons int, started float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.SetSlack(r.slack / float64(max(daemons, 1)))
	r.window.SetShare(budgetShareAfterStarts(started))
	return r.window.Take(now, n)
}

// budgetShareAfterStarts returns the share of the budget that may be used while the given
// fraction of the daemons has started recently. Before the restarts, all daemons may have
// used retryBudgetMargin of the budget, and those that restarted have lost their counts.
// What they use again must fit into the rest of the budget. If up to a third of the
// daemons restart, the share stays 1.
func budgetShareAfterStarts(started float64) float64 {
	return min(1, (1/retryBudgetMargin-1)/started)
}

// retryCharge is what one retry took from the retry budgets. A nil charge took nothing.
type retryCharge struct {
	service *serviceState
	// otherServices were charged as well, each with callsPerRun nested requests.
	otherServices []*serviceState
	callsPerRun   float64
}

// takeRetry charges one retry to the budget of a service, and the nested requests that
// its execution will send to the budgets of all other services. It returns nil and
// charges nothing if any of the budgets is exhausted.
func (e *entry) takeRetry(s *serviceState, now model.Instant) *retryCharge {
	daemons, started := e.daemon.peers.daemonsAndStartedShare(s.retryLimiter.span())
	nestedCalls := s.currentCallsPerRun()
	if !s.retryLimiter.take(now, 1, daemons, started) {
		return nil
	}
	charge := &retryCharge{service: s, callsPerRun: nestedCalls}
	for _, o := range e.otherServices(s) {
		if !o.retryLimiter.take(now, nestedCalls, daemons, started) {
			charge.refund(now)
			return nil
		}
		charge.otherServices = append(charge.otherServices, o)
	}
	return charge
}

// refund returns the charge of a retry that did not reach an upstream.
func (r *retryCharge) refund(now model.Instant) {
	if r == nil {
		return
	}
	r.service.retryLimiter.charge(now, -1)
	for _, o := range r.otherServices {
		o.retryLimiter.charge(now, -r.callsPerRun)
	}
}

// currentCallsPerRun returns how many requests to other services an upstream sends while
// it serves one request.
func (s *serviceState) currentCallsPerRun() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callsPerRun
}

// otherServices returns all other services that requests have been sent to.
func (e *entry) otherServices(s *serviceState) []*serviceState {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*serviceState, 0, len(e.services))
	for _, o := range e.services {
		if o != s {
			out = append(out, o)
		}
	}
	return out
}

// charge counts n retries, even if they exceed the budget. Negative n reduces the count.
func (r *retryLimiter) charge(now model.Instant, n float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.Charge(now, n)
}

// span returns the time span to which the budget applies.
func (r *retryLimiter) span() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Span
}

// left returns how many retries the budget allows now.
func (r *retryLimiter) left(now model.Instant) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Remaining(now)
}
