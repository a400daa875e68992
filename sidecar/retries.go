package sidecar

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/retry"
)

const (
	// usableBudgetShare is the share of the budget that is used. The rest covers two errors in
	// the counts. First, a retry is charged for as many nested requests as an average execution
	// sends. A retry causes more, because the executions that fail and are retried are mostly those
	// that send requests to other services. Second, daemons that crash lose their counts.
	usableBudgetShare = 0.75
)

// retryLimiter enforces this daemon's share of the retry budget of one service. It is safe for
// concurrent use.
type retryLimiter struct {
	mu     sync.Mutex
	budget RetryBudget
	// slack is the part of budget.Slack that is used, for all daemons together.
	slack float64
	// window counts the requests and the retries of the last budget.Span.
	window *retry.WindowBudget
}

func newRetryLimiter(b RetryBudget) *retryLimiter {
	r := &retryLimiter{}
	r.setBudget(b)
	return r
}

// setBudget changes the budget. If the budget differs from the previous one, the counts are
// discarded.
func (r *retryLimiter) setBudget(b RetryBudget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.window != nil && r.budget == b {
		return
	}
	r.budget, r.slack = b, b.Slack*usableBudgetShare
	r.window = retry.NewWindowBudget(b.Span, b.Ratio*usableBudgetShare, 0)
}

func (r *retryLimiter) countRequest(now model.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.CountRequest(now)
}

// tryCharge charges n retries and returns true if the budget allows them. Otherwise it charges
// nothing and returns false. daemonCount is the number of all daemons, among which the slack of
// the budget is divided equally. startedFraction is the fraction of the daemons that started within
// the last RetryBudget.Span; see budgetShareAfterStarts.
func (r *retryLimiter) tryCharge(now model.Instant, n float64, daemonCount int, startedFraction float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.SetSlack(r.slack / float64(max(daemonCount, 1)))
	r.window.SetShare(budgetShareAfterStarts(startedFraction))
	return r.window.TryCharge(now, n)
}

// budgetShareAfterStarts returns the share of the budget that may be used while startedFraction
// of the daemons have started recently. Before the restarts, all daemons may have used
// usableBudgetShare of the budget. Those that restarted have lost their counts. What they use
// again must fit into the rest of the budget. If up to a third of the daemons restart, the result
// stays 1.
func budgetShareAfterStarts(startedFraction float64) float64 {
	return min(1, (1/usableBudgetShare-1)/startedFraction)
}

// refuseAttempt returns the result of a request that must not be sent to another upstream: its key no
// longer holds, or it is in quarantine. For any other request it returns nil. previousReason is why
// the previous attempt ended. A guard refuses a key only by a newer configuration than the entry's.
func (f *forwarder) refuseAttempt(previousReason outcome.Reason) *Result {
	if previousReason == outcome.ReasonUnauthenticated {
		return f.finalResult()
	}
	if reason := f.entry.keyRejection(f.request); reason != outcome.ReasonNone {
		f.keepFailure(notRunResult(reason))
		return f.finalResult()
	}
	result := f.entry.daemon.quarantine.refuseIfQuarantined(f.request)
	if result != nil && f.bestFailure != nil {
		return f.finalResult()
	}
	return result
}

// keyRejection returns why the request must not run under its account any more, or ReasonNone.
func (e *entry) keyRejection(r *request) outcome.Reason {
	if r.account == nil {
		return outcome.ReasonNone
	}
	return e.daemon.config.keyRejection(r.account.Name, r.credential, r.routeTable.Version())
}

// retryCharge is what one retry took from the retry budgets. A nil charge took nothing.
type retryCharge struct {
	service *serviceState
	// otherServices are the other services whose budgets were charged for nested requests.
	otherServices []*serviceState
	// callsPerRun is the number of nested requests that each of otherServices was charged.
	callsPerRun float64
}

// chargeRetry charges one retry to the budget of a service. It also charges the nested requests
// that the retry will cause to the budget of each other service. If any of the budgets is
// exhausted, it charges nothing and returns nil.
func (e *entry) chargeRetry(s *serviceState, now model.Instant) *retryCharge {
	daemonCount, startedFraction := e.daemon.peers.daemonsAndStartedShare(s.retryLimiter.span())
	nestedCalls := s.currentCallsPerRun()
	if !s.retryLimiter.tryCharge(now, 1, daemonCount, startedFraction) {
		return nil
	}
	charge := &retryCharge{service: s, callsPerRun: nestedCalls}
	for _, o := range e.serviceStatesExcept(s) {
		if !o.retryLimiter.tryCharge(now, nestedCalls, daemonCount, startedFraction) {
			charge.refund(now)
			return nil
		}
		charge.otherServices = append(charge.otherServices, o)
	}
	return charge
}

// refund gives back what a retry that did not reach an upstream took from the budgets. On a nil
// charge it does nothing.
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

// serviceStatesExcept returns the states of all services to which requests have been sent, but
// not s.
func (e *entry) serviceStatesExcept(s *serviceState) []*serviceState {
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

// charge adds n to the count of retries, even if the count then exceeds the budget. A negative n
// reduces the count.
func (r *retryLimiter) charge(now model.Instant, n float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.Charge(now, n)
}

// span returns RetryBudget.Span, the length of the sliding window in which retries are limited.
func (r *retryLimiter) span() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Span
}

// remaining returns how many retries the budget allows now.
func (r *retryLimiter) remaining(now model.Instant) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Remaining(now)
}

// jittered returns a random duration around d, at most 25% shorter or longer. Callers that are
// refused at the same moment thus get different Retry-After values.
func jittered(d time.Duration) time.Duration { return retry.JitteredRetryAfter(d, rand.Float64()) }
