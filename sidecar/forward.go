package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/retry"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/inbound"
)

const (
	// maxUndelivered is how many attempts may fail to reach an upstream before the
	// request is refused.
	maxUndelivered = 6
	// maxAttemptsPerRequest limits the attempts of a request regardless of its route.
	maxAttemptsPerRequest = 64
	// upstreamRefusedRetryAfter is the Retry-After value if upstreams refused a request
	// although their guards kept them below their concurrency limit. Such refusals are
	// short-lived.
	upstreamRefusedRetryAfter = 50 * time.Millisecond
)

// errNotAcknowledged is why a daemon is considered unreachable if it does not acknowledge
// a call in time.
var errNotAcknowledged = errors.New("call not acknowledged")

// attemptState is an attempt in flight.
type attemptState struct {
	choice       placement.Choice
	endpoint     endpoint
	attemptIndex int
	sentAt       model.Instant
	cancel       context.CancelFunc
	// charge is what the attempt took from the retry budgets.
	charge *retryCharge
	// acknowledged is closed once the daemon of the upstream has acknowledged the call.
	acknowledged    chan struct{}
	acknowledgeOnce sync.Once
}

func (t *attemptState) acknowledge() { t.acknowledgeOnce.Do(func() { close(t.acknowledged) }) }

// attemptResult is an attempt and its result.
type attemptResult struct {
	attempt *attemptState
	result  *Result
}

// forwarder forwards one request. It keeps the state of all attempts of the request.
type forwarder struct {
	entry       *entry
	request     *request
	service     *serviceState
	serviceTime time.Duration
	results     chan attemptResult
	// unacknowledged receives the attempts that were not acknowledged in time.
	unacknowledged chan *attemptState
	inFlight       []*attemptState
	// excluded holds the keys of upstreams that are excluded from further attempts.
	excluded map[string]bool
	// mayHaveRun is set when an attempt has run or may have run; deliveredCount counts
	// the attempts that reached an upstream or may have reached one.
	mayHaveRun       bool
	deliveredCount   int
	startedCount     int
	undeliveredCount int
	// fullCount counts the guards that rejected the request for lack of capacity.
	fullCount int
	// bestFailure is the most informative unsuccessful result so far.
	bestFailure        *Result
	lateHedgeScheduled bool
}

// maxAttempts returns the largest number of upstreams that the request may be sent to.
func (r *request) maxAttempts() int { return min(r.route.MaxAttempts, maxAttemptsPerRequest) }

// forward sends a request to upstreams until one has responded or no further attempt is
// allowed.
func (e *entry) forward(req *request) *Result {
	s := e.stateOf(req.service)
	s.retryLimiter.countRequest(req.startedAt)
	if req.service != e.daemon.service() {
		e.daemon.guard.countCall()
	}
	capacity := req.maxAttempts() + maxUndelivered + placement.MaxRejections + 1
	r := &forwarder{
		entry: e, request: req, service: s, serviceTime: e.serviceTimeOf(req.route.Name, req.deadline.Sub(req.startedAt)),
		results: make(chan attemptResult, capacity), unacknowledged: make(chan *attemptState, capacity), excluded: make(map[string]bool),
	}
	defer r.cancelAll()
	if a := r.startNext(outcome.ReasonNone); a != nil {
		return a
	}
	return r.waitForResult()
}

// waitForResult waits for results until the request has ended, and returns its result.
func (r *forwarder) waitForResult() *Result {
	timer := time.NewTimer(r.hedgeDelay(hedgeFactor))
	defer timer.Stop()
	for {
		select {
		case finished := <-r.results:
			if a := r.handleResult(finished); a != nil {
				return a
			}
		case t := <-r.unacknowledged:
			r.handleUnacknowledged(t)
		case <-timer.C:
			r.hedge()
			if !r.lateHedgeScheduled {
				r.lateHedgeScheduled = true
				timer.Reset(r.hedgeDelay(lateHedgeFactor))
			}
		case <-r.request.ctx.Done():
			return r.timeoutResult()
		case <-r.entry.daemon.aborting:
			return r.shutdownResult()
		}
	}
}

// handleUnacknowledged handles an attempt that was not acknowledged in time. An
// idempotent request is hedged. For others, sendNonIdempotent queries the outcome.
func (r *forwarder) handleUnacknowledged(t *attemptState) {
	now := r.entry.daemon.now()
	r.service.mu.Lock()
	r.service.placer.MarkUnreachable(now, t.choice.Upstream.Key)
	r.service.mu.Unlock()
	r.entry.daemon.peers.reportUnreachable(t.endpoint.address, errNotAcknowledged)
	r.hedge()
}

// hedgeDelay returns the time until the oldest attempt in flight may be hedged.
func (r *forwarder) hedgeDelay(factor float64) time.Duration {
	due := r.inFlight[0].sentAt.Add(time.Duration(factor*float64(r.inFlight[0].choice.Expected)) + hedgeMargin)
	return max(due.Sub(r.entry.daemon.now()), time.Millisecond)
}

// timeoutResult returns the result of a request that has timed out or whose caller has
// disconnected.
func (r *forwarder) timeoutResult() *Result {
	if errors.Is(r.request.ctx.Err(), context.Canceled) {
		return unknownResult(outcome.ReasonCancelled)
	}
	return r.abandonedResult(outcome.ReasonDeadline)
}

// shutdownResult returns the result of a request that is still in flight when the daemon
// ends. A result that has arrived is used.
func (r *forwarder) shutdownResult() *Result {
	select {
	case finished := <-r.results:
		if a := r.handleResult(finished); a != nil {
			return a
		}
	default:
	}
	return r.abandonedResult(outcome.ReasonDraining)
}

// finalShutdownResult returns the result of a request that has no attempt in flight when
// the daemon ends.
func (r *forwarder) finalShutdownResult() *Result {
	if r.bestFailure == nil {
		return refuse(outcome.ReasonDraining, noUpstreamRetryAfter)
	}
	return r.finalResult()
}

// abandonedResult returns the result of a request whose attempts are no longer waited
// for.
func (r *forwarder) abandonedResult(reason outcome.Reason) *Result {
	if r.bestFailure != nil && r.bestFailure.Outcome.Kind == outcome.Answered {
		return r.bestFailure
	}
	return unknownResult(reason)
}

// cancelAll cancels the attempts in flight.
func (r *forwarder) cancelAll() {
	for _, t := range r.inFlight {
		t.cancel()
		r.releaseChoice(t)
	}
}

// handleResult handles the end of an attempt. It returns the result of the request, or
// nil if other attempts are in flight or a new one was started.
func (r *forwarder) handleResult(finished attemptResult) *Result {
	r.removeInFlight(finished.attempt)
	a := finished.result
	r.recordResult(finished.attempt, a)
	if a.Outcome.Kind == outcome.Answered {
		r.entry.daemon.quarantine.clearSuspicion(r.request)
	}
	if a.Outcome.Kind == outcome.Answered && (a.Status < http.StatusInternalServerError || !r.request.route.Idempotent) {
		return a
	}
	r.keepFailure(a)
	r.excluded[finished.attempt.choice.Upstream.Key] = true
	if len(r.inFlight) > 0 {
		return nil
	}
	if a.Outcome.Kind == outcome.Unknown && !r.request.route.Idempotent {
		return a
	}
	return r.startNext(reasonOf(a))
}

// reasonOf returns why an attempt failed, for the log.
func reasonOf(a *Result) outcome.Reason {
	if a.Outcome.Kind == outcome.Answered {
		return outcome.ReasonUpstreamRefused
	}
	return a.Outcome.Reason
}

// removeInFlight cancels an attempt and removes it from the attempts in flight.
func (r *forwarder) removeInFlight(t *attemptState) {
	t.cancel()
	for i := range r.inFlight {
		if r.inFlight[i] == t {
			r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
			return
		}
	}
}

// recordResult updates the state of the upstream, of the route and of the request from
// the result of an attempt.
func (r *forwarder) recordResult(t *attemptState, a *Result) {
	now := r.entry.daemon.now()
	r.service.mu.Lock()
	r.service.placer.Done(now, t.choice.Upstream.Key, a.Load)
	if a.Load != nil {
		r.service.callsPerRun = a.CallsPerRun
	}
	if a.Load == nil && a.Outcome.Kind != outcome.Answered {
		r.service.placer.MarkUnreachable(now, t.choice.Upstream.Key)
	}
	r.service.mu.Unlock()
	if a.Outcome.Kind == outcome.Answered && a.Status < http.StatusInternalServerError && a.ServiceTime > 0 {
		r.entry.recordServiceTime(r.request.route.Name, a.ServiceTime)
	}
	switch {
	case a.Arrived:
		r.deliveredCount++
		r.request.deliveredCount = r.deliveredCount
	default:
		t.charge.refund(now)
	}
	if !a.Arrived {
		r.undeliveredCount++
	}
	switch a.Outcome.Reason {
	case outcome.ReasonWithdrawn:
		r.request.rejectionCount++
	case outcome.ReasonQueueFull:
		r.request.rejectionCount++
		r.fullCount++
	}
	r.mayHaveRun = r.mayHaveRun || a.Outcome.Kind != outcome.NotRun
}

// keepFailure keeps the failure to report to the caller. A response of an upstream is
// preferred to an unknown outcome, and an unknown outcome to a refusal.
func (r *forwarder) keepFailure(a *Result) {
	if r.bestFailure == nil || a.Outcome.Kind == outcome.Answered || r.bestFailure.Outcome.Kind == outcome.NotRun {
		r.bestFailure = a
	}
}

// startNext starts another attempt after the previous one ended for the given reason. It
// returns the result of the request if no attempt can be started.
func (r *forwarder) startNext(previousReason outcome.Reason) *Result {
	if r.request.ctx.Err() != nil {
		return r.timeoutResult()
	}
	if inbound.ClosedByClient(r.request.ctx) {
		return unknownResult(outcome.ReasonCancelled)
	}
	if r.entry.daemon.isAborting() {
		return r.finalShutdownResult()
	}
	if a := r.entry.daemon.quarantine.check(r.request); a != nil {
		if r.bestFailure == nil {
			return a
		}
		return r.finalResult()
	}
	if r.deliveredCount >= r.request.maxAttempts() || r.undeliveredCount > maxUndelivered || r.fullCount >= placement.MaxFullGuards {
		return r.finalResult()
	}
	now := r.entry.daemon.now()
	var charge *retryCharge
	if r.deliveredCount > 0 {
		if charge = r.entry.takeRetry(r.service, now); charge == nil {
			r.entry.daemon.metrics.retriesDenied.Inc(1)
			return r.finalResult()
		}
	}
	t, ok := r.chooseUpstream(now)
	if !ok && previousReason == outcome.ReasonWithdrawn || !ok && r.deliveredCount == 0 && len(r.excluded) > 0 {
		// No other upstream is left, so those whose guards rejected the request are tried
		// again.
		clear(r.excluded)
		t, ok = r.chooseUpstream(now)
	}
	if !ok {
		charge.refund(now)
		return r.finalResult()
	}
	if r.startedCount == 0 && t.choice.MissesDeadline(r.request.deadline.Sub(now)) {
		r.releaseChoice(t)
		return refuse(outcome.ReasonQueueFull, jittered(max(t.choice.Expected/2, minRetryAfter)))
	}
	if r.request.targetTime > 0 && t.choice.MissesTarget(r.fullCount, r.request.targetTime.Sub(now)) {
		r.releaseChoice(t)
		charge.refund(now)
		return r.finalResult()
	}
	t.charge = charge
	if r.deliveredCount > 0 {
		r.entry.daemon.metrics.retried.Inc(1)
		r.logDecision(decision.Retried, t, slog.String("reason", string(previousReason)))
	}
	r.startAttempt(t)
	return nil
}

// releaseChoice tells the placer that an attempt is no longer in flight, or was not sent.
func (r *forwarder) releaseChoice(t *attemptState) {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.service.placer.Done(r.entry.daemon.now(), t.choice.Upstream.Key, nil)
}

// logDecision logs a retry or a hedge.
func (r *forwarder) logDecision(k decision.Kind, t *attemptState, more ...slog.Attr) {
	r.entry.daemon.opts.Decisions.Write(k, r.request.id, append([]slog.Attr{
		slog.String("service", string(r.request.service)), slog.String("upstream", t.choice.Upstream.Key),
		slog.Int("sends", r.deliveredCount), slog.Float64("budget_left", r.service.retryLimiter.left(r.entry.daemon.now())),
	}, more...)...)
}

// finalResult returns the result of the request when no further attempt is allowed.
func (r *forwarder) finalResult() *Result {
	if r.bestFailure != nil && (r.mayHaveRun || r.bestFailure.Outcome.Kind == outcome.Answered) {
		if r.bestFailure.Outcome.Kind == outcome.NotRun {
			return unknownResult(outcome.ReasonConnectionLost)
		}
		return r.bestFailure
	}
	if r.bestFailure != nil && r.bestFailure.Outcome.Reason == outcome.ReasonUpstreamRefused {
		return refuse(outcome.ReasonUpstreamRefused, jittered(upstreamRefusedRetryAfter))
	}
	if r.bestFailure != nil {
		return refuse(r.bestFailure.Outcome.Reason, jittered(max(r.serviceTime, minRetryAfter)))
	}
	return refuse(outcome.ReasonNoUpstream, noUpstreamRetryAfter)
}

// jittered returns d with a random jitter.
func jittered(d time.Duration) time.Duration { return retry.JitteredRetryAfter(d, rand.Float64()) }
