package sidecar

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/callgroup"
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
	// groupWait is how long the retry of a request waits for the other requests in its group while
	// the budget is scarce. Upstreams reject at once, so it covers what differs between two ways to
	// an upstream of the region: the queries of loads and a round trip.
	groupWait = 25 * time.Millisecond
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
	// reserve decides how much of window is kept for retries of better classes.
	reserve *retry.Reserve
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
	r.reserve = retry.NewReserve(b.Span)
}

func (r *retryLimiter) countRequest(now model.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.CountRequest(now)
}

// tryCharge charges n retries of a class and returns true if the budget allows them and is not kept
// for better classes. Otherwise it charges nothing and returns false. daemonCount is the number of all daemons, among which the slack of
// the budget is divided equally. startedFraction is the fraction of the daemons that started within
// the last RetryBudget.Span; see budgetShareAfterStarts.
func (r *retryLimiter) tryCharge(now model.Instant, class retry.Class, n float64, daemonCount int, startedFraction float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.SetSlack(r.slack / float64(max(daemonCount, 1)))
	r.window.SetShare(budgetShareAfterStarts(startedFraction))
	r.reserve.CountDemand(now, class, n)
	return r.window.Remaining(now)-r.reserve.Kept(now, class) >= n && r.window.TryCharge(now, n)
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
	class   retry.Class
	// otherServices are the other services whose budgets were charged for nested requests.
	otherServices []*serviceState
	// callsPerRun is the number of nested requests that each of otherServices was charged.
	callsPerRun float64
}

// chargeRetry charges one retry of a class to the budget of a service. It also charges the nested requests
// that the retry will cause to the budget of each other service. If any of the budgets is
// exhausted, it charges nothing and returns nil.
func (e *entry) chargeRetry(s *serviceState, now model.Instant, class retry.Class) *retryCharge {
	daemonCount, startedFraction := e.daemon.peers.daemonsAndStartedShare(s.retryLimiter.span())
	nestedCalls := s.currentCallsPerRun()
	if !s.retryLimiter.tryCharge(now, class, 1, daemonCount, startedFraction) {
		return nil
	}
	charge := &retryCharge{service: s, class: class, callsPerRun: nestedCalls}
	for _, o := range e.serviceStatesExcept(s) {
		if !o.retryLimiter.tryCharge(now, class, nestedCalls, daemonCount, startedFraction) {
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

// isScarce reports whether the budget has no room for a retry of the class.
func (r *retryLimiter) isScarce(now model.Instant, class retry.Class) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Remaining(now)-r.reserve.Kept(now, class) < 1
}

// joinGroup finds the group of a request that arrives.
func (e *entry) joinGroup(req *request) *callgroup.Group {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.callGroups.Join(req.startedAt, req.route.Name)
}

// recordGroupResult records in the group of the request whether the request has failed. It returns
// the result.
func (f *forwarder) recordGroupResult(result *Result) *Result {
	if result.Outcome.Kind != outcome.Answered || result.Status >= http.StatusInternalServerError {
		f.entry.mu.Lock()
		defer f.entry.mu.Unlock()
		f.group.Fail()
	}
	return result
}

// chargeNext charges the next attempt of the request, which has reached an upstream before, to the
// retry budgets. It returns nil if the budgets do not allow the attempt.
func (f *forwarder) chargeNext() *retryCharge {
	if !f.mayHaveRun {
		f.updateGroup(f.group.Reject)
		f.awaitGroup()
	}
	now := f.entry.daemon.now()
	class := f.retryClass(now)
	charge := f.entry.chargeRetry(f.serviceState, now, class)
	switch {
	case charge == nil && f.serviceState.retryLimiter.remaining(now) >= 1:
		f.entry.daemon.metrics.retriesHeldBack.Inc(1)
	case charge != nil && !f.mayHaveRun:
		f.updateGroup(f.group.Resume)
	}
	return charge
}

func (f *forwarder) updateGroup(update func()) {
	f.entry.mu.Lock()
	defer f.entry.mu.Unlock()
	update()
}

// awaitGroup waits until the other requests in the group may have been rejected as well. It does
// not wait if the budget has room for them too.
func (f *forwarder) awaitGroup() {
	f.entry.mu.Lock()
	alone := f.group.Size() == 1
	f.entry.mu.Unlock()
	if alone || !f.serviceState.retryLimiter.isScarce(f.entry.daemon.now(), retry.Partial) {
		return
	}
	timer := time.NewTimer(groupWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.request.ctx.Done():
	case <-f.entry.daemon.aborting:
	}
}

// retryClass returns the class of the next retry of the request. A retry that would end after the deadline
// even at an upstream without load is hopeless.
func (f *forwarder) retryClass(now model.Instant) retry.Class {
	switch {
	case now.Add(f.serviceTime) > f.request.deadline:
		return retry.Hopeless
	case f.mayHaveRun:
		return retry.Repeating
	}
	f.entry.mu.Lock()
	defer f.entry.mu.Unlock()
	switch f.group.Prospect() {
	case callgroup.Hopeless:
		return retry.Hopeless
	case callgroup.Partial:
		return retry.Partial
	}
	if f.group.Size() > 1 || f.entry.daemon.guard.isUrgent(f.request.rank) {
		return retry.Completing
	}
	return retry.Single
}
