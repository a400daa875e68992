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

// attemptPart names, in lines of panics, what runs beside the handlers.
const attemptPart = "attempt"

// reportPanics has a handler's panic logged and counted before net/http closes the
// connection.
func (d *Daemon) reportPanics(server string, next http.Handler) http.Handler {
	return inbound.Recover(next, func(r *http.Request, v any) {
		attempt, _ := d.opts.Edge.Attempt(r.Header)
		d.panicked(server, attempt.ID, v)
	})
}

// panicked logs and counts a panic while a request was served.
func (d *Daemon) panicked(part, request string, v any) {
	d.metrics.panics.Inc(1)
	d.opts.Decisions.Write(decision.Aborted, request, slog.String("part", part),
		slog.String("error", fmt.Sprint(v)), slog.String("stack", string(debug.Stack())))
}

// contain returns what do returns. Net/http recovers panics of its own goroutines only: one
// in another goroutine would end the process, and with it every request in hand. Here it
// costs the request, which may have run.
func contain(request string, panicked func(part, request string, v any), do func() *Answer) (result *Answer) {
	defer func() {
		if v := recover(); v != nil {
			panicked(attemptPart, request, v)
			result = unknown(outcome.ReasonInternal)
		}
	}()
	return do()
}
