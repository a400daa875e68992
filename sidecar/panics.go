package sidecar

import (
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/inbound"
)

// attemptComponent is the value of the log field "part" for a panic in the goroutine of an
// attempt, outside of the HTTP handlers.
const attemptComponent = "attempt"

// reportPanics returns a handler that calls next. It logs and counts the panics of next before
// net/http closes the connection. server names the server in the log.
func (d *Daemon) reportPanics(server string, next http.Handler) http.Handler {
	return inbound.ReportPanics(next, func(r *http.Request, v any) {
		attempt, _ := d.opts.Codec.ReadAttempt(r.Header)
		d.recordPanic(server, attempt.ID, v)
	})
}

// recordPanic logs and counts a panic that happened while a request was served. component names
// the server in whose handler it happened, or is attemptComponent. v is the recovered value.
func (d *Daemon) recordPanic(component, requestID string, v any) {
	d.metrics.panics.Inc(1)
	d.opts.Decisions.Write(decision.Aborted, requestID, slog.String("part", component),
		slog.String("error", fmt.Sprint(v)), slog.String("stack", string(debug.Stack())))
}

// recoverPanic calls run and returns its result. If run panics, recoverPanic calls onPanic and
// returns an unknown outcome, because the request may have run. net/http recovers panics only in
// its own goroutines. A panic in any other goroutine would end the process, and with it all
// requests in flight.
func recoverPanic(requestID string, onPanic func(component, requestID string, v any), run func() *Result) (result *Result) {
	defer func() {
		if v := recover(); v != nil {
			onPanic(attemptComponent, requestID, v)
			result = unknownResult(outcome.ReasonInternal)
		}
	}()
	return run()
}
