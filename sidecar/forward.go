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

// try is an attempt in flight.
type try struct {
	choice       placement.Choice
	endpoint     endpoint
	attemptIndex int
	sent         model.Instant
	cancel       context.CancelFunc
	// charge is what the attempt took from the retry budgets.
	charge *retryCharge
	// acknowledged is closed once the daemon of the upstream has acknowledged the call.
	acknowledged    chan struct{}
	acknowledgeOnce sync.Once
}

func (t *try) acknowledge() { t.acknowledgeOnce.Do(func() { close(t.acknowledged) }) }

// ended is an attempt and its result.
type ended struct {
	try    *try
	answer *Answer
}

// race forwards one request. It keeps the state of all attempts of the request.
type race struct {
	e           *entry
	req         *request
	s           *service
	serviceTime time.Duration
	done        chan ended
	// unacknowledged receives the attempts that were not acknowledged in time.
	unacknowledged chan *try
	live           []*try
	// tried holds the keys of upstreams that are excluded from further attempts.
	tried map[string]bool
	// mayHaveRun is set when an attempt has run or may have run; deliveredCount counts
	// the attempts that reached an upstream or may have reached one.
	mayHaveRun       bool
	deliveredCount   int
	startedCount     int
	undeliveredCount int
	// fullCount counts the guards that rejected the request for lack of capacity.
	fullCount int
	// bestFailure is the most informative unsuccessful result so far.
	bestFailure        *Answer
	lateHedgeScheduled bool
}

// maxAttempts returns the largest number of upstreams that the request may be sent to.
func (r *request) maxAttempts() int { return min(r.route.MaxAttempts, maxAttemptsPerRequest) }

// forward sends a request to upstreams until one has responded or no further attempt is
// allowed.
func (e *entry) forward(req *request) *Answer {
	s := e.service(req.service)
	s.retryLimiter.countRequest(req.began)
	if req.service != e.daemon.service() {
		e.daemon.guard.called()
	}
	capacity := req.maxAttempts() + maxUndelivered + placement.MaxRejections + 1
	r := &race{
		e: e, req: req, s: s, serviceTime: e.serviceTimeOf(req.route.Name, req.deadline.Sub(req.began)),
		done: make(chan ended, capacity), unacknowledged: make(chan *try, capacity), tried: make(map[string]bool),
	}
	defer r.cancelAll()
	if a := r.startNext(outcome.ReasonNone); a != nil {
		return a
	}
	return r.run()
}

// run waits for results until the request has ended, and returns its result.
func (r *race) run() *Answer {
	timer := time.NewTimer(r.hedgeDelay(hedgeFactor))
	defer timer.Stop()
	for {
		select {
		case finished := <-r.done:
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
		case <-r.req.ctx.Done():
			return r.timeoutResult()
		case <-r.e.daemon.ending:
			return r.shutdownResult()
		}
	}
}

// handleUnacknowledged handles an attempt that was not acknowledged in time. An
// idempotent request is hedged. For others, sendNonIdempotent queries the outcome.
func (r *race) handleUnacknowledged(t *try) {
	now := r.e.daemon.now()
	r.s.mu.Lock()
	r.s.placer.MarkUnreachable(now, t.choice.Upstream.Key)
	r.s.mu.Unlock()
	r.e.daemon.peers.missed(t.endpoint.address, errNotAcknowledged)
	r.hedge()
}

// hedgeDelay returns the time until the oldest attempt in flight may be hedged.
func (r *race) hedgeDelay(factor float64) time.Duration {
	due := r.live[0].sent.Add(time.Duration(factor*float64(r.live[0].choice.Expected)) + hedgeMargin)
	return max(due.Sub(r.e.daemon.now()), time.Millisecond)
}

// timeoutResult returns the result of a request that has timed out or whose caller has
// disconnected.
func (r *race) timeoutResult() *Answer {
	if errors.Is(r.req.ctx.Err(), context.Canceled) {
		return unknown(outcome.ReasonCancelled)
	}
	return r.abandonedResult(outcome.ReasonDeadline)
}

// shutdownResult returns the result of a request that is still in flight when the daemon
// ends. A result that has arrived is used.
func (r *race) shutdownResult() *Answer {
	select {
	case finished := <-r.done:
		if a := r.handleResult(finished); a != nil {
			return a
		}
	default:
	}
	return r.abandonedResult(outcome.ReasonDraining)
}

// finalShutdownResult returns the result of a request that has no attempt in flight when
// the daemon ends.
func (r *race) finalShutdownResult() *Answer {
	if r.bestFailure == nil {
		return refuse(outcome.ReasonDraining, noUpstreamRetryAfter)
	}
	return r.finalResult()
}

// abandonedResult returns the result of a request whose attempts are no longer waited
// for.
func (r *race) abandonedResult(reason outcome.Reason) *Answer {
	if r.bestFailure != nil && r.bestFailure.Outcome.Kind == outcome.Answered {
		return r.bestFailure
	}
	return unknown(reason)
}

// cancelAll cancels the attempts in flight.
func (r *race) cancelAll() {
	for _, t := range r.live {
		t.cancel()
		r.releaseChoice(t)
	}
}

// handleResult handles the end of an attempt. It returns the result of the request, or
// nil if other attempts are in flight or a new one was started.
func (r *race) handleResult(finished ended) *Answer {
	r.removeInFlight(finished.try)
	a := finished.answer
	r.recordResult(finished.try, a)
	if a.Outcome.Kind == outcome.Answered {
		r.e.daemon.suspects.answered(r.req)
	}
	if a.Outcome.Kind == outcome.Answered && (a.Status < http.StatusInternalServerError || !r.req.route.Idempotent) {
		return a
	}
	r.keepFailure(a)
	r.tried[finished.try.choice.Upstream.Key] = true
	if len(r.live) > 0 {
		return nil
	}
	if a.Outcome.Kind == outcome.Unknown && !r.req.route.Idempotent {
		return a
	}
	return r.startNext(reasonOf(a))
}

// reasonOf returns why an attempt failed, for the log.
func reasonOf(a *Answer) outcome.Reason {
	if a.Outcome.Kind == outcome.Answered {
		return outcome.ReasonUpstreamRefused
	}
	return a.Outcome.Reason
}

// removeInFlight cancels an attempt and removes it from the attempts in flight.
func (r *race) removeInFlight(t *try) {
	t.cancel()
	for i := range r.live {
		if r.live[i] == t {
			r.live = append(r.live[:i], r.live[i+1:]...)
			return
		}
	}
}

// recordResult updates the state of the upstream, of the route and of the request from
// the result of an attempt.
func (r *race) recordResult(t *try, a *Answer) {
	now := r.e.daemon.now()
	r.s.mu.Lock()
	r.s.placer.Done(now, t.choice.Upstream.Key, a.Load)
	if a.Load != nil {
		r.s.callsPerRun = a.CallsPerRun
	}
	if a.Load == nil && a.Outcome.Kind != outcome.Answered {
		r.s.placer.MarkUnreachable(now, t.choice.Upstream.Key)
	}
	r.s.mu.Unlock()
	if a.Outcome.Kind == outcome.Answered && a.Status < http.StatusInternalServerError && a.ServiceTime > 0 {
		r.e.recordServiceTime(r.req.route.Name, a.ServiceTime)
	}
	switch {
	case a.Arrived:
		r.deliveredCount++
		r.req.deliveredCount = r.deliveredCount
	default:
		t.charge.refund(now)
	}
	if !a.Arrived {
		r.undeliveredCount++
	}
	switch a.Outcome.Reason {
	case outcome.ReasonWithdrawn:
		r.req.rejectionCount++
	case outcome.ReasonQueueFull:
		r.req.rejectionCount++
		r.fullCount++
	}
	r.mayHaveRun = r.mayHaveRun || a.Outcome.Kind != outcome.NotRun
}

// keepFailure keeps the failure to report to the caller. A response of an upstream is
// preferred to an unknown outcome, and an unknown outcome to a refusal.
func (r *race) keepFailure(a *Answer) {
	if r.bestFailure == nil || a.Outcome.Kind == outcome.Answered || r.bestFailure.Outcome.Kind == outcome.NotRun {
		r.bestFailure = a
	}
}

// startNext starts another attempt after the previous one ended for the given reason. It
// returns the result of the request if no attempt can be started.
func (r *race) startNext(previousReason outcome.Reason) *Answer {
	if r.req.ctx.Err() != nil {
		return r.timeoutResult()
	}
	if inbound.ClosedByClient(r.req.ctx) {
		return unknown(outcome.ReasonCancelled)
	}
	if r.e.daemon.isEnding() {
		return r.finalShutdownResult()
	}
	if a := r.e.daemon.suspects.refused(r.req); a != nil {
		if r.bestFailure == nil {
			return a
		}
		return r.finalResult()
	}
	if r.deliveredCount >= r.req.maxAttempts() || r.undeliveredCount > maxUndelivered || r.fullCount >= placement.MaxFullGuards {
		return r.finalResult()
	}
	now := r.e.daemon.now()
	var charge *retryCharge
	if r.deliveredCount > 0 {
		if charge = r.e.takeRetry(r.s, now); charge == nil {
			r.e.daemon.metrics.denied.Inc(1)
			return r.finalResult()
		}
	}
	t, ok := r.chooseUpstream(now)
	if !ok && previousReason == outcome.ReasonWithdrawn || !ok && r.deliveredCount == 0 && len(r.tried) > 0 {
		// No other upstream is left, so those whose guards rejected the request are tried
		// again.
		clear(r.tried)
		t, ok = r.chooseUpstream(now)
	}
	if !ok {
		charge.refund(now)
		return r.finalResult()
	}
	if r.startedCount == 0 && t.choice.MissesDeadline(r.req.deadline.Sub(now)) {
		r.releaseChoice(t)
		return refuse(outcome.ReasonQueueFull, jittered(max(t.choice.Expected/2, minRetryAfter)))
	}
	if r.req.targetTime > 0 && t.choice.MissesTarget(r.fullCount, r.req.targetTime.Sub(now)) {
		r.releaseChoice(t)
		charge.refund(now)
		return r.finalResult()
	}
	t.charge = charge
	if r.deliveredCount > 0 {
		r.e.daemon.metrics.resent.Inc(1)
		r.logDecision(decision.Retried, t, slog.String("reason", string(previousReason)))
	}
	r.startAttempt(t)
	return nil
}

// releaseChoice tells the placer that an attempt is no longer in flight, or was not sent.
func (r *race) releaseChoice(t *try) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.placer.Done(r.e.daemon.now(), t.choice.Upstream.Key, nil)
}

// logDecision logs a retry or a hedge.
func (r *race) logDecision(k decision.Kind, t *try, more ...slog.Attr) {
	r.e.daemon.opts.Decisions.Write(k, r.req.id, append([]slog.Attr{
		slog.String("service", string(r.req.service)), slog.String("upstream", t.choice.Upstream.Key),
		slog.Int("sends", r.deliveredCount), slog.Float64("budget_left", r.s.retryLimiter.left(r.e.daemon.now())),
	}, more...)...)
}

// finalResult returns the result of the request when no further attempt is allowed.
func (r *race) finalResult() *Answer {
	if r.bestFailure != nil && (r.mayHaveRun || r.bestFailure.Outcome.Kind == outcome.Answered) {
		if r.bestFailure.Outcome.Kind == outcome.NotRun {
			return unknown(outcome.ReasonConnectionLost)
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
