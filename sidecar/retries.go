package sidecar

import (
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/retry"
)

const (
	// resendMargin is the part of the budget that is used. The rest covers that runs
	// which are repeated make more calls than others, as mostly those fail that
	// make calls, and daemons that died with their counts.
	retryBudgetMargin = 0.75
)

// resends is this daemon's part of the re-send budget of one service.
type retryLimiter struct {
	mu     sync.Mutex
	budget ResendBudget
	slack  float64
	window *retry.Window
}

func newRetryLimiter(b ResendBudget) *retryLimiter {
	r := &retryLimiter{}
	r.set(b)
	return r
}

// set changes the budget. What was counted under another one is forgotten.
func (r *retryLimiter) set(b ResendBudget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.window != nil && r.budget == b {
		return
	}
	r.budget, r.slack = b, b.Slack*retryBudgetMargin
	r.window = retry.NewWindow(b.Span, b.Ratio*retryBudgetMargin, 0)
}

// request counts a request.
func (r *retryLimiter) countRequest(now model.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.Request(now)
}

// take counts n more sends if the budget, shared by so many daemons of which a part
// has started within its span, holds them.
func (r *retryLimiter) take(now model.Instant, n float64, daemons int, started float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.SetSlack(r.slack / float64(max(daemons, 1)))
	r.window.SetShare(budgetShareAfterStarts(started))
	return r.window.Take(now, n)
}

// shareAfterStarts returns the share of the budget that may be used while a part of
// the daemons has started of late. All may have used resendMargin of the budget just
// before, and those that started have forgotten it: what they use once more must fit
// into the rest. Up to a third may start without any difference.
func budgetShareAfterStarts(started float64) float64 {
	return min(1, (1/retryBudgetMargin-1)/started)
}

// resend is what one more send of a request took from the budgets. Nil took nothing.
type retryCharge struct {
	service *service
	// others are the services that its run calls once more, calls how often each.
	otherServices []*service
	callsPerRun   float64
}

// takeResend counts one more send of a request to a service, and with it the calls
// that its run will make once more, if all budgets hold them. It returns nil if they
// do not.
func (e *entry) takeRetry(s *service, now model.Instant) *retryCharge {
	daemons, started := e.daemon.peers.startedWithin(s.retryLimiter.span())
	calls := s.currentCallsPerRun()
	if !s.retryLimiter.take(now, 1, daemons, started) {
		return nil
	}
	taken := &retryCharge{service: s, callsPerRun: calls}
	for _, o := range e.otherServices(s) {
		if !o.retryLimiter.take(now, calls, daemons, started) {
			taken.refund(now)
			return nil
		}
		taken.otherServices = append(taken.otherServices, o)
	}
	return taken
}

// refund gives back what a send took that never reached an upstream.
func (r *retryCharge) refund(now model.Instant) {
	if r == nil {
		return
	}
	r.service.retryLimiter.charge(now, -1)
	for _, o := range r.otherServices {
		o.retryLimiter.charge(now, -r.callsPerRun)
	}
}

// calls returns how many calls to other services a run of this one makes.
func (s *service) currentCallsPerRun() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callsPerRun
}

// others returns the other services that requests have been sent to.
func (e *entry) otherServices(s *service) []*service {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*service, 0, len(e.services))
	for _, o := range e.services {
		if o != s {
			out = append(out, o)
		}
	}
	return out
}

// charge counts n more sends that nobody asked the budget for.
func (r *retryLimiter) charge(now model.Instant, n float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.Charge(now, n)
}

// span returns the time over which the budget holds.
func (r *retryLimiter) span() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Span
}

// left returns what the budget holds.
func (r *retryLimiter) left(now model.Instant) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Left(now)
}
