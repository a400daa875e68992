package soak

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

// deadlineTolerance is how long before the end of its time a request may get the daemon's own
// response. It covers the delays of the callers, which run in the process of the soak.
const deadlineTolerance = 50 * time.Millisecond

// sendChecked sends a request to the daemon of a VM and checks the response. It also checks that no
// daemon has taken the request away from an upstream that was executing it.
func (h *harness) sendChecked(ctx context.Context, m *vm, caller *platformtest.Caller, path, attempt string, nonIdempotent bool, timeout time.Duration) (platformtest.Result, error) {
	h.checker.recordSent(attempt, m.service(), nonIdempotent)
	undisturbedBefore, faultsBefore := h.undisturbed(), m.faultCount()
	incarnationBefore, stoppingOrExitedBefore := m.processState()
	h.checker.recordDaemon(attempt, m.daemonIncarnation(incarnationBefore))
	sentAt := time.Now()
	// The daemon may restart between sentAt and the connection.
	connectedTo := incarnationBefore
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connectedTo, _ = m.processState()
			h.checker.recordDaemon(attempt, m.daemonIncarnation(connectedTo))
		},
	})
	r, err := h.send(traced, m, caller, path, attempt, nonIdempotent, timeout)
	took := time.Since(sentAt)
	incarnation, stoppingOrExited := m.processState()
	// Every unplanned fault affects all VMs, and may end before the response is handled here.
	if undisturbedBefore && m.faultCount() == faultsBefore && h.undisturbed() && ctx.Err() == nil && h.lostByDaemon(attempt, r, err, routeTime(path, timeout)-took, faultsBefore == 0) {
		violation := "unanswered"
		if stoppingOrExitedBefore || stoppingOrExited || incarnation != incarnationBefore || h.anyGuard(attempt, (*vm).stoppedSince) {
			violation = "lost"
		}
		switch {
		case m.ranUntilGraceEnd(sentAt, connectedTo):
		case err == nil && reasonOf(r) != outcome.ReasonDraining && h.anyGuard(attempt, (*vm).ranUntilLastGraceEnd):
		default:
			h.checker.addViolation("%s: %s ran and got no response of an upstream from %s: status %d %s, error %v, after %s; %s",
				violation, attempt, m.config.Name, r.Status, reasonOf(r), err, took.Round(time.Millisecond), h.checker.executionsOf(attempt))
		}
	}
	if err == nil {
		h.checker.checkResponse(attempt, r)
	}
	return r, err
}

// lostByDaemon reports whether a request that ran was lost by daemons: the connection was closed
// without a response, or a daemon responded itself although an upstream was executing the request or
// had answered it. Responses of upstreams have a seal. timeLeft is the time that the request had left.
//
// plannedOnly is set until the first unplanned fault. After it, requests that crash upstreams may still
// be under way when nothing else disturbs the run, so only those responses count by which a daemon says that
// its stop has ended the request.
func (h *harness) lostByDaemon(attempt string, r platformtest.Result, err error, timeLeft time.Duration, plannedOnly bool) bool {
	if err != nil {
		return !errors.Is(err, context.DeadlineExceeded) && h.checker.wasExecuted(attempt)
	}
	if !plannedOnly {
		return r.Status == http.StatusBadGateway && reasonOf(r) == outcome.ReasonDraining && h.checker.wasExecuted(attempt)
	}
	return r.Seal == "" && timeLeft > deadlineTolerance && h.checker.wasTakenAway(attempt)
}

// reasonOf returns the reason that a daemon states in a response of its own.
func reasonOf(r platformtest.Result) outcome.Reason {
	if r.Seal != "" {
		return ""
	}
	return outcome.Reason(strings.TrimSpace(r.Body))
}

// anyGuard reports whether condition holds for a VM whose upstream executed an attempt. The condition gets the
// time at which the request arrived there.
func (h *harness) anyGuard(attempt string, condition func(m *vm, startedAt time.Time) bool) bool {
	executedAt := h.checker.executionTimes(attempt)
	for _, m := range h.vms {
		if startedAt, ok := executedAt[m.upstream]; ok && condition(m, startedAt) {
			return true
		}
	}
	return false
}

// routeTime returns how long a request may take: until its deadline or the timeout of its route.
func routeTime(path string, deadline time.Duration) time.Duration {
	return min(deadline, platformtest.RouteTimeout(path))
}
