package sidecar

import (
	"log/slog"
	"time"

	"github.com/dottereltiller/dottereltiller/decision"
)

// logOutcome logs the outcome of a request. Of the answered requests, it logs only a sample and
// those whose connection this daemon has closed.
func (e *entry) logOutcome(k decision.Kind, req *request, routeName string, result *Result, status int, elapsed time.Duration) {
	if k == decision.Answered && !req.closedByDaemon() && !e.daemon.opts.Decisions.Sampled(req.id) {
		return
	}
	extra := req.accountAttrs()
	if result.PeerError != nil {
		extra = append(extra, slog.String("peer_error", result.PeerError.Error()))
	}
	e.daemon.opts.Decisions.Write(k, req.id, append([]slog.Attr{
		slog.String("route", routeName), slog.String("service", string(req.service)), slog.String("upstream", req.upstreamKey),
		slog.String("reason", string(result.Outcome.Reason)), slog.Int("status", status),
		slog.Int64("retry_after_ms", result.Outcome.RetryAfter.Milliseconds()), slog.Int64("took_ms", elapsed.Milliseconds()),
		slog.Int("sends", req.deliveredCount), slog.Int("given_back", req.rejectionCount), slog.Int("candidates", req.candidateCount),
		slog.Int64("expected_ms", req.expectedTime.Milliseconds()), slog.Uint64("config", uint64(e.daemon.config.version())),
		slog.Bool("idempotent", req.route != nil && req.route.Idempotent), slog.Bool("cut", req.closedByDaemon()),
		slog.Int("in_flight", req.endedInFlight), slog.Int64("left_ms", e.timeLeft(req).Milliseconds()),
		slog.Int64("stopping_ms", e.daemon.stoppingFor().Milliseconds()),
	}, extra...)...)
}

// timeLeft returns the time until the deadline of a request, zero if it has none yet.
func (e *entry) timeLeft(req *request) time.Duration {
	if req.deadline == 0 {
		return 0
	}
	return req.deadline.Sub(e.daemon.now())
}

// accountAttrs returns the account of the request and the cause of its refusal as attributes of a
// log line, unless they are empty.
func (r *request) accountAttrs() (attrs []slog.Attr) {
	if r.account != nil {
		attrs = append(attrs, slog.String("account", string(r.account.Name)))
	}
	if r.refusalCause != "" {
		attrs = append(attrs, slog.String("cause", r.refusalCause))
	}
	return attrs
}
