package sidecar

import (
	"sync"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/retry"
)

const (
	// resendMargin is the part of the budget that is used. The rest covers calls
	// that were made by runs that were repeats, and callers whose daemon died with
	// its counts.
	resendMargin = 0.8
)

// resends is this daemon's part of the re-send budget of one service.
type resends struct {
	mu     sync.Mutex
	slack  float64
	window *retry.Window
}

func newResends(b ResendBudget) *resends {
	return &resends{slack: b.Slack * resendMargin, window: retry.NewWindow(b.Span, b.Ratio*resendMargin, 0)}
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
func (r *resends) refund(now model.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.Charge(now, -1)
}

// left returns what the budget holds.
func (r *resends) left(now model.Instant) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.Left(now)
}
