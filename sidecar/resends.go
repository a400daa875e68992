package sidecar

import (
	"sync"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/retry"
)

const (
	// resendMargin is the part of the budget that is used. The rest covers what the
	// estimate of repeats by nested calls leaves out, and daemons that died with
	// their counts.
	resendMargin = 0.75
)

// resends is this daemon's part of the re-send budget of one service.
type resends struct {
	mu     sync.Mutex
	budget ResendBudget
	slack  float64
	window *retry.Window
}

func newResends(b ResendBudget) *resends {
	r := &resends{}
	r.set(b)
	return r
}

// set changes the budget. What was counted under another one is forgotten.
func (r *resends) set(b ResendBudget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.window != nil && r.budget == b {
		return
	}
	r.budget, r.slack = b, b.Slack*resendMargin
	r.window = retry.NewWindow(b.Span, b.Ratio*resendMargin, 0)
}

// request counts a request.
func (r *resends) request(now model.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.Request(now)
}

// take counts one more send if the budget, shared by so many daemons, holds it.
func (r *resends) take(now model.Instant, daemons int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.SetSlack(r.slack / float64(max(daemons, 1)))
	return r.window.Take(now, 1)
}

// refund takes back a send that never reached an upstream.
func (r *resends) refund(now model.Instant) { r.charge(now, -1) }

// charge counts n more sends that nobody asked the budget for.
func (r *resends) charge(now model.Instant, n float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.Charge(now, n)
}

// left returns what the budget holds.
func (r *resends) left(now model.Instant) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Left(now)
}
