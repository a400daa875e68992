package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/callgroup"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/inbound"
)

const (
	// maxUndelivered is how many attempts of a request may fail to reach an upstream. After one
	// more, no further attempt is started.
	maxUndelivered = 6
	// maxAttemptsPerRequest limits the attempts of a request regardless of its route.
	maxAttemptsPerRequest = 64
	// upstreamRefusedRetryAfter is the Retry-After value for a request that upstreams refused.
	// The guards had kept these upstreams below their concurrency limits. Refusals below the
	// limit are short-lived.
	upstreamRefusedRetryAfter = 50 * time.Millisecond
)

// errNotAcknowledged is logged as the reason why a daemon is considered unreachable if it does
// not acknowledge a call in time.
var errNotAcknowledged = errors.New("call not acknowledged")

// attemptState is the entry's state of an attempt in flight. The guard keeps its own state of
// the same attempt in the type attempt.
type attemptState struct {
	choice       placement.Choice
	endpoint     endpoint
	attemptIndex int
	sentAt       model.Instant
	cancel       context.CancelFunc
	// charge is what the attempt took from the retry budgets, nil if nothing.
	charge *retryCharge
	// acknowledged is closed once the daemon of the upstream has acknowledged the call.
	acknowledged    chan struct{}
	acknowledgeOnce sync.Once
}

// acknowledge marks the call as acknowledged. It may be called more than once.
func (a *attemptState) acknowledge() { a.acknowledgeOnce.Do(func() { close(a.acknowledged) }) }

// attemptResult is an attempt and its result.
type attemptResult struct {
	attempt *attemptState
	result  *Result
}

// forwarder forwards one request. It keeps the state of all attempts of the request.
type forwarder struct {
	entry        *entry
	request      *request
	serviceState *serviceState
	group        *callgroup.Group
	// serviceTime is the estimate by serviceTimeOf of how long an upstream takes for the request.
	serviceTime time.Duration
	// results receives the result of each attempt.
	results chan attemptResult
	// unacknowledged receives the attempts that were not acknowledged in time.
	unacknowledged chan *attemptState
	inFlight       []*attemptState
	// excluded holds the keys of upstreams that are excluded from further attempts.
	excluded map[string]bool
	// mayHaveRun is set once any attempt of the request has run or may have run.
	mayHaveRun bool
	// deliveredCount counts the attempts that reached an upstream or may have reached one.
	deliveredCount int
	startedCount   int
	// undeliveredCount counts the attempts that ended without reaching an upstream.
	undeliveredCount int
	// queueFullCount counts the attempts that guards rejected for lack of capacity, that is with
	// outcome.ReasonQueueFull.
	queueFullCount int
	// bestFailure is the unsuccessful result to report to the caller if no attempt succeeds.
	bestFailure *Result
	// lateHedgeScheduled is set once the first hedge timer has fired.
	lateHedgeScheduled bool
}

// maxAttempts returns how many attempts of the request may reach an upstream.
func (r *request) maxAttempts() int { return min(r.route.MaxAttempts, maxAttemptsPerRequest) }

// forward sends a request to upstreams until one has responded or no further attempt is
// allowed. It returns the result of the request.
func (e *entry) forward(req *request) *Result {
	s := e.serviceStateOf(req.service)
	s.retryLimiter.countRequest(req.startedAt)
	if req.service != e.daemon.service() {
		e.daemon.guard.countCall()
	}
	capacity := req.maxAttempts() + maxUndelivered + placement.MaxRejections + 1
	f := &forwarder{
		entry: e, request: req, serviceState: s, group: e.joinGroup(req), serviceTime: e.serviceTimeOf(req.route.Name, req.deadline.Sub(req.startedAt)),
		results: make(chan attemptResult, capacity), unacknowledged: make(chan *attemptState, capacity), excluded: make(map[string]bool),
	}
	defer f.cancelAndReleaseAll()
	result := f.startNext(outcome.ReasonNone)
	if result == nil {
		result = f.waitForResult()
	}
	req.endedInFlight = len(f.inFlight)
	return f.recordGroupResult(result)
}

// waitForResult waits for the results of attempts until the request has ended, and returns the
// result of the request. Meanwhile, it hedges the request when a hedge timer fires or an attempt
// is not acknowledged in time.
func (f *forwarder) waitForResult() *Result {
	timer := time.NewTimer(f.hedgeDelay(hedgeFactor))
	defer timer.Stop()
	for {
		select {
		case finishedAttempt := <-f.results:
			if result := f.finishAttempt(finishedAttempt); result != nil {
				return result
			}
		case attempt := <-f.unacknowledged:
			f.handleUnacknowledged(attempt)
		case <-timer.C:
			f.hedge()
			if !f.lateHedgeScheduled {
				f.lateHedgeScheduled = true
				timer.Reset(f.hedgeDelay(lateHedgeFactor))
			}
		case <-f.request.ctx.Done():
			return f.receivedOr(f.timeoutResult)
		case <-f.entry.daemon.aborting:
			return f.receivedOr(func() *Result { return f.abandonedResult(outcome.ReasonDraining) })
		}
	}
}

// handleUnacknowledged is called when an attempt was not acknowledged in time. It marks the
// daemon of the attempt as unreachable and hedges the request if it is idempotent. For any other
// request, sendNonIdempotent queries the outcome.
func (f *forwarder) handleUnacknowledged(attempt *attemptState) {
	now := f.entry.daemon.now()
	f.serviceState.mu.Lock()
	f.serviceState.placer.MarkUnreachable(now, attempt.choice.Upstream.Key)
	f.serviceState.mu.Unlock()
	f.entry.daemon.peers.reportUnreachable(attempt.endpoint.address, errNotAcknowledged)
	f.hedge()
}

// hedgeDelay returns the time until the oldest attempt in flight may be hedged, at least 1 ms.
// factor is hedgeFactor or lateHedgeFactor.
func (f *forwarder) hedgeDelay(factor float64) time.Duration {
	due := f.inFlight[0].sentAt.Add(time.Duration(factor*float64(f.inFlight[0].choice.Expected)) + hedgeMargin)
	return max(due.Sub(f.entry.daemon.now()), time.Millisecond)
}

// timeoutResult returns the result of a request that has timed out or whose caller has
// disconnected.
func (f *forwarder) timeoutResult() *Result {
	if errors.Is(f.request.ctx.Err(), context.Canceled) {
		return unknownResult(outcome.ReasonCancelled)
	}
	return f.abandonedResult(outcome.ReasonDeadline)
}

// receivedOr returns the result of a request whose attempts in flight are given up. If the response of an
// upstream has arrived already and ends the request, receivedOr returns it, and otherwise what giveUp
// returns.
func (f *forwarder) receivedOr(giveUp func() *Result) *Result {
	select {
	case finished := <-f.results:
		if result := f.finishAttempt(finished); result != nil {
			return result
		}
	default:
	}
	return giveUp()
}

// idleShutdownResult returns the result of a request that has no attempt in flight when
// the daemon ends.
func (f *forwarder) idleShutdownResult() *Result {
	if f.bestFailure == nil {
		return refusalResult(outcome.ReasonDraining, jittered(noUpstreamRetryAfter))
	}
	return f.finalResult()
}

// abandonedResult returns the result of a request whose attempts in flight are given up. It is
// an earlier response of an upstream, or else an unknown outcome with the given reason.
func (f *forwarder) abandonedResult(reason outcome.Reason) *Result {
	if f.bestFailure != nil && f.bestFailure.Outcome.Kind == outcome.Answered {
		return f.bestFailure
	}
	return unknownResult(reason)
}

// cancelAndReleaseAll cancels the attempts in flight and tells the placer that they have ended.
func (f *forwarder) cancelAndReleaseAll() {
	for _, attempt := range f.inFlight {
		attempt.cancel()
		f.releaseChoice(attempt)
	}
}

// finishAttempt records the end of an attempt. It returns the result of the request, or nil if
// other attempts are in flight or a new one was started.
func (f *forwarder) finishAttempt(finishedAttempt attemptResult) *Result {
	f.cancelAndRemove(finishedAttempt.attempt)
	result := finishedAttempt.result
	f.recordResult(finishedAttempt.attempt, result)
	if result.Outcome.Kind == outcome.Answered {
		f.entry.daemon.quarantine.clearSuspicion(f.request)
	}
	if result.Outcome.Kind == outcome.Answered && (result.Status < http.StatusInternalServerError || !f.request.route.Idempotent) {
		return result
	}
	f.keepFailure(result)
	f.excluded[finishedAttempt.attempt.choice.Upstream.Key] = true
	if len(f.inFlight) > 0 {
		return nil
	}
	if result.Outcome.Kind == outcome.Unknown && !f.request.route.Idempotent {
		return result
	}
	return f.startNext(reasonOf(result))
}

// reasonOf returns why an attempt failed. A response of the upstream, which then has a server
// error as its status, counts as outcome.ReasonUpstreamRefused.
func reasonOf(result *Result) outcome.Reason {
	if result.Outcome.Kind == outcome.Answered {
		return outcome.ReasonUpstreamRefused
	}
	return result.Outcome.Reason
}

func (f *forwarder) cancelAndRemove(attempt *attemptState) {
	attempt.cancel()
	for i := range f.inFlight {
		if f.inFlight[i] == attempt {
			f.inFlight = append(f.inFlight[:i], f.inFlight[i+1:]...)
			return
		}
	}
}

// recordResult updates the state of the upstream, the service time of the route and the counts
// of the request from the result of an attempt. It refunds the retry charge of an attempt that
// did not reach an upstream.
func (f *forwarder) recordResult(attempt *attemptState, result *Result) {
	now := f.entry.daemon.now()
	f.serviceState.mu.Lock()
	f.serviceState.placer.Done(now, attempt.choice.Upstream.Key, result.Load)
	if result.Load != nil {
		f.serviceState.callsPerRun = result.CallsPerRun
	}
	if result.Load == nil && result.Outcome.Kind != outcome.Answered && result.Outcome.Reason != outcome.ReasonResponseTooLarge {
		f.serviceState.placer.MarkUnreachable(now, attempt.choice.Upstream.Key)
	}
	f.serviceState.mu.Unlock()
	if result.Outcome.Kind == outcome.Answered {
		f.entry.daemon.peers.recordForwarded(attempt.endpoint, f.entry.daemon.opts.Codec.ReadStatements(result.Header))
	}
	if result.Outcome.Kind == outcome.Answered && result.Status < http.StatusInternalServerError && result.ServiceTime > 0 {
		f.entry.recordServiceTime(f.request.route.Name, result.ServiceTime)
	}
	if result.Delivered {
		f.deliveredCount++
		f.request.deliveredCount = f.deliveredCount
	} else {
		attempt.charge.refund(now)
		f.undeliveredCount++
	}
	switch result.Outcome.Reason {
	case outcome.ReasonWithdrawn:
		f.request.rejectionCount++
	case outcome.ReasonQueueFull:
		f.request.rejectionCount++
		f.queueFullCount++
	}
	f.mayHaveRun = f.mayHaveRun || result.Outcome.Kind != outcome.NotRun
}

// keepFailure stores a result in bestFailure unless the result that is stored there is
// preferred. A response of an upstream is preferred to an unknown outcome. An unknown outcome is
// preferred to a refusal.
func (f *forwarder) keepFailure(result *Result) {
	if f.bestFailure == nil || result.Outcome.Kind == outcome.Answered || f.bestFailure.Outcome.Kind == outcome.NotRun {
		f.bestFailure = result
	}
}

// startNext starts another attempt and returns nil. If no attempt can be started, it returns the
// result of the request. previousReason is why the previous attempt ended, or ReasonNone for the
// first attempt.
func (f *forwarder) startNext(previousReason outcome.Reason) *Result {
	if f.request.ctx.Err() != nil {
		return f.timeoutResult()
	}
	if inbound.ClosedByClient(f.request.ctx) {
		return unknownResult(outcome.ReasonCancelled)
	}
	if f.entry.daemon.isAborting() {
		return f.idleShutdownResult()
	}
	if result := f.refuseAttempt(previousReason); result != nil {
		return result
	}
	if f.deliveredCount >= f.request.maxAttempts() || f.undeliveredCount > maxUndelivered || f.queueFullCount >= placement.MaxFullGuards {
		return f.finalResult()
	}
	var charge *retryCharge
	if f.deliveredCount > 0 {
		if charge = f.chargeNext(); charge == nil {
			f.entry.daemon.metrics.retriesDenied.Inc(1)
			return f.finalResult()
		}
	}
	now := f.entry.daemon.now()
	attempt, ok := f.chooseUpstream(now)
	if !ok && previousReason == outcome.ReasonWithdrawn || !ok && f.deliveredCount == 0 && len(f.excluded) > 0 {
		// No other upstream is left. An upstream whose guard rejected the request is better than
		// none, so the excluded upstreams may be chosen again.
		clear(f.excluded)
		attempt, ok = f.chooseUpstream(now)
	}
	if !ok {
		charge.refund(now)
		return f.finalResult()
	}
	if f.startedCount == 0 && attempt.choice.MissesDeadline(f.request.deadline.Sub(now)) {
		f.releaseChoice(attempt)
		return refusalResult(outcome.ReasonQueueFull, jittered(min(max(attempt.choice.Expected/2, minRetryAfter), maxRetryAfter)))
	}
	if f.request.targetTime > 0 && attempt.choice.MissesTarget(f.queueFullCount, f.request.targetTime.Sub(now)) {
		f.releaseChoice(attempt)
		charge.refund(now)
		return f.finalResult()
	}
	attempt.charge = charge
	if f.deliveredCount > 0 {
		f.entry.daemon.metrics.retried.Inc(1)
		f.logDecision(decision.Retried, attempt, slog.String("reason", string(previousReason)), slog.String("class", charge.class.String()))
	}
	f.startAttempt(attempt)
	return nil
}

// releaseChoice tells the placer that an attempt is not in flight, because it was cancelled or
// never sent.
func (f *forwarder) releaseChoice(attempt *attemptState) {
	f.serviceState.mu.Lock()
	defer f.serviceState.mu.Unlock()
	f.serviceState.placer.Done(f.entry.daemon.now(), attempt.choice.Upstream.Key, nil)
}

func (f *forwarder) logDecision(k decision.Kind, attempt *attemptState, extra ...slog.Attr) {
	f.entry.daemon.opts.Decisions.Write(k, f.request.id, append([]slog.Attr{
		slog.String("service", string(f.request.service)), slog.String("upstream", attempt.choice.Upstream.Key),
		slog.Int("sends", f.deliveredCount), slog.Float64("budget_left", f.serviceState.retryLimiter.remaining(f.entry.daemon.now())),
	}, extra...)...)
}

// finalResult returns the result of the request when no further attempt is allowed. This is
// an earlier response of an upstream, or else an unknown outcome if an attempt may have run, or
// else a refusal.
func (f *forwarder) finalResult() *Result {
	if f.bestFailure != nil && (f.mayHaveRun || f.bestFailure.Outcome.Kind == outcome.Answered) {
		if f.bestFailure.Outcome.Kind == outcome.NotRun {
			return unknownResult(outcome.ReasonConnectionLost)
		}
		return f.bestFailure
	}
	if f.bestFailure != nil && f.bestFailure.Outcome.Reason == outcome.ReasonUpstreamRefused {
		return refusalResult(outcome.ReasonUpstreamRefused, jittered(upstreamRefusedRetryAfter))
	}
	if f.bestFailure != nil && f.bestFailure.Outcome.Reason == outcome.ReasonUnauthenticated {
		f.request.refusalCause = causeKeyRemoved
		return f.bestFailure
	}
	if f.bestFailure != nil {
		return refusalResult(f.bestFailure.Outcome.Reason, jittered(max(f.serviceTime, minRetryAfter)))
	}
	if f.entry.daemon.peers.isEvacuated(f.request.service) {
		return refusalResult(outcome.ReasonEvacuated, jittered(evacuatedRetryAfter))
	}
	return refusalResult(outcome.ReasonNoUpstream, jittered(noUpstreamRetryAfter))
}
