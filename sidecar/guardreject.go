package sidecar

import (
	"log/slog"
	"time"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/slots"
	"github.com/dottereltiller/dottereltiller/decision"
)

// rejectionResult logs that the queue did not admit a call, and returns the result. expectedTime
// is how long the call was expected to take here.
func (g *guard) rejectionResult(c *Call, admission slots.Admission, expectedTime time.Duration) *Result {
	if admission == slots.SlowerHere {
		g.recordRejection(c, "slower-here", expectedTime)
		return notRunResult(outcome.ReasonWithdrawn)
	}
	g.recordRejection(c, "full", expectedTime)
	return notRunResult(outcome.ReasonQueueFull)
}

// rejectReason returns why a call cannot run here, or ReasonNone. g.mu is held.
func (g *guard) rejectReason(current lifecycle.Report, c *Call) outcome.Reason {
	keyRejection := g.keyRejection(c)
	switch {
	case g.closed, g.spareTime(c.ServiceTime, c.Deadline) < 0:
		return outcome.ReasonDraining
	case current.State == lifecycle.Unknown, current.Service != c.Service, !current.Incarnation.Matches(c.Upstream):
		return outcome.ReasonNoUpstream
	case current.State != lifecycle.Ready, g.evacuated:
		return outcome.ReasonDraining
	case keyRejection != outcome.ReasonNone:
		return keyRejection
	case g.configVersion() == 0:
		// Neither evacuations nor what a cold upstream tolerates are known yet.
		return outcome.ReasonNotReady
	default:
		return outcome.ReasonNone
	}
}

// recordRejection counts and logs the rejection of a call. expectedTime is how long the call was
// expected to take here, zero for a call that was rejected while it waited.
func (g *guard) recordRejection(c *Call, reason string, expectedTime time.Duration) {
	g.metrics.rejected.Inc(1)
	g.mu.Lock()
	slowdown, age := g.currentSlowdown(), g.now().Sub(g.slowdownAt)
	startDelay := g.queue.StartDelay(g.now(), g.queue.Waiting())
	running, waiting, limit := g.queue.Running(), g.queue.Waiting(), g.queue.Limit()
	accounts := g.queue.AccountsWaiting()
	g.mu.Unlock()
	attrs := []slog.Attr{
		slog.String("reason", reason), slog.Int64("expected_ms", expectedTime.Milliseconds()),
		slog.Int64("alternative_ms", c.Alternative.Milliseconds()), slog.Float64("slow", slowdown),
		slog.Int64("slow_age_ms", age.Milliseconds()), slog.Int("running", running),
		slog.Int("waiting", waiting), slog.Int("limit", limit), slog.Int64("start_delay_ms", startDelay.Milliseconds()),
	}
	if c.Account != "" {
		attrs = append(attrs, slog.String("account", string(c.Account)), slog.Int("accounts_waiting", accounts))
	}
	g.opts.Decisions.Write(decision.Rejected, c.ID, attrs...)
}
