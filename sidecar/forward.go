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
	// maxMisses is how many attempts may reach no upstream before a request is
	// refused.
	maxUndelivered = 6
	// maxAttempts bounds the attempts of one request, whatever its route allows.
	maxAttemptsPerRequest = 64
	// refusedRetry is the advice after upstreams refused a request although their
	// guards held them below what they take: such refusals come and go.
	upstreamRefusedRetryAfter = 50 * time.Millisecond
)

// errMute is why a daemon that does not show that it gets calls is looked for.
var errNotAcknowledged = errors.New("no sign that a call has arrived")

// try is one attempt under way.
type try struct {
	choice   placement.Choice
	endpoint endpoint
	index    int
	sent     model.Instant
	cancel   context.CancelFunc
	// taken is what it took from the budgets for re-sends.
	charge *retryCharge
	// acknowledged is closed once the daemon beside the upstream has shown that
	// it got the call.
	acknowledged chan struct{}
	once         sync.Once
}

func (t *try) acknowledge() { t.once.Do(func() { close(t.acknowledged) }) }

// ended is a try with what came of it.
type ended struct {
	try    *try
	answer *Answer
}

// race is a request with the attempts made of it.
type race struct {
	e           *entry
	req         *request
	s           *service
	serviceTime time.Duration
	done        chan ended
	// mute receives the attempts whose daemon has not shown in time that it got
	// them.
	unacknowledged chan *try
	live           []*try
	// tried holds the keys that are not to be tried again.
	tried map[string]bool
	// ran tells that an attempt may have run, arrived counts the attempts that
	// reached an upstream or may have.
	mayHaveRun  bool
	delivered   int
	started     int
	undelivered int
	// full counts the guards that had no room in time.
	fullCount int
	// failure is the best answer so far that is no success.
	bestFailure *Answer
	lateHedge   bool
}

// attempts returns how many upstreams the request may be sent to.
func (r *request) maxAttempts() int { return min(r.route.MaxAttempts, maxAttemptsPerRequest) }

// forward sends a request to upstreams until one has answered it or nothing more
// may be tried.
func (e *entry) forward(req *request) *Answer {
	s := e.service(req.service)
	s.retryLimiter.countRequest(req.began)
	if req.service != e.daemon.service() {
		e.daemon.guard.called()
	}
	most := req.maxAttempts() + maxUndelivered + placement.MaxGivenBack + 1
	r := &race{
		e: e, req: req, s: s, serviceTime: e.serviceTimeOf(req.route.Name, req.deadline.Sub(req.began)),
		done: make(chan ended, most), unacknowledged: make(chan *try, most), tried: make(map[string]bool),
	}
	defer r.cancelAll()
	if a := r.startNext(outcome.ReasonNone); a != nil {
		return a
	}
	return r.run()
}

// run waits for the attempts to end.
func (r *race) run() *Answer {
	timer := time.NewTimer(r.hedgeDelay(hedgeFactor))
	defer timer.Stop()
	for {
		select {
		case end := <-r.done:
			if a := r.handleResult(end); a != nil {
				return a
			}
		case t := <-r.unacknowledged:
			r.handleUnacknowledged(t)
		case <-timer.C:
			r.hedge()
			if !r.lateHedge {
				r.lateHedge = true
				timer.Reset(r.hedgeDelay(lateHedgeFactor))
			}
		case <-r.req.ctx.Done():
			return r.timeoutResult()
		case <-r.e.daemon.ending:
			return r.shutdownResult()
		}
	}
}

// muted takes in that nothing shows that an attempt has arrived. An idempotent
// request is sent elsewhere; for any other its guard is asked.
func (r *race) handleUnacknowledged(t *try) {
	now := r.e.daemon.now()
	r.s.mu.Lock()
	r.s.placer.Unreachable(now, t.choice.Upstream.Key)
	r.s.mu.Unlock()
	r.e.daemon.peers.missed(t.endpoint.address, errNotAcknowledged)
	r.hedge()
}

// hedgeDelay returns how long from now a hedge is due.
func (r *race) hedgeDelay(factor float64) time.Duration {
	due := r.live[0].sent.Add(time.Duration(factor*float64(r.live[0].choice.Expected)) + hedgeMargin)
	return max(due.Sub(r.e.daemon.now()), time.Millisecond)
}

// timeout answers a request whose time is over or whose caller has left.
func (r *race) timeoutResult() *Answer {
	if errors.Is(r.req.ctx.Err(), context.Canceled) {
		return unknown(outcome.ReasonCancelled)
	}
	return r.abandonedResult(outcome.ReasonDeadline)
}

// atEnd answers a request that the daemon gives up as it ends. An answer that has come
// counts.
func (r *race) shutdownResult() *Answer {
	select {
	case end := <-r.done:
		if a := r.handleResult(end); a != nil {
			return a
		}
	default:
	}
	return r.abandonedResult(outcome.ReasonDraining)
}

// finalAtEnd answers a request of which no attempt is under way as the daemon ends.
func (r *race) finalShutdownResult() *Answer {
	if r.bestFailure == nil {
		return refuse(outcome.ReasonDraining, noUpstreamRetryAfter)
	}
	return r.finalResult()
}

// givenUp answers a request whose attempts are no longer waited for.
func (r *race) abandonedResult(why outcome.Reason) *Answer {
	if r.bestFailure != nil && r.bestFailure.Outcome.Kind == outcome.Answered {
		return r.bestFailure
	}
	return unknown(why)
}

// cancelAll ends the attempts that nobody waits for any longer.
func (r *race) cancelAll() {
	for _, t := range r.live {
		t.cancel()
		r.releaseChoice(t)
	}
}

// ended takes in the end of an attempt. It returns the request's answer once that
// is known.
func (r *race) handleResult(end ended) *Answer {
	r.removeInFlight(end.try)
	a := end.answer
	r.recordResult(end.try, a)
	if a.Outcome.Kind == outcome.Answered {
		r.e.daemon.suspects.answered(r.req)
	}
	if a.Outcome.Kind == outcome.Answered && (a.Status < http.StatusInternalServerError || !r.req.route.Idempotent) {
		return a
	}
	r.keepFailure(a)
	r.tried[end.try.choice.Upstream.Key] = true
	if len(r.live) > 0 {
		return nil
	}
	if a.Outcome.Kind == outcome.Unknown && !r.req.route.Idempotent {
		return a
	}
	return r.startNext(reasonOf(a))
}

// reasonOf returns why an attempt ended, as logged.
func reasonOf(a *Answer) outcome.Reason {
	if a.Outcome.Kind == outcome.Answered {
		return outcome.ReasonUpstreamRefused
	}
	return a.Outcome.Reason
}

func (r *race) removeInFlight(t *try) {
	t.cancel()
	for i := range r.live {
		if r.live[i] == t {
			r.live = append(r.live[:i], r.live[i+1:]...)
			return
		}
	}
}

// learn takes in what an attempt tells of its upstream and of the route.
func (r *race) recordResult(t *try, a *Answer) {
	now := r.e.daemon.now()
	r.s.mu.Lock()
	r.s.placer.Done(now, t.choice.Upstream.Key, a.Load)
	if a.Load != nil {
		r.s.callsPerRun = a.CallsPerRun
	}
	if a.Load == nil && a.Outcome.Kind != outcome.Answered {
		r.s.placer.Unreachable(now, t.choice.Upstream.Key)
	}
	r.s.mu.Unlock()
	if a.Outcome.Kind == outcome.Answered && a.Status < http.StatusInternalServerError && a.ServiceTime > 0 {
		r.e.recordServiceTime(r.req.route.Name, a.ServiceTime)
	}
	switch {
	case a.Arrived:
		r.delivered++
		r.req.attemptsDelivered = r.delivered
	default:
		t.charge.refund(now)
	}
	if !a.Arrived {
		r.undelivered++
	}
	switch a.Outcome.Reason {
	case outcome.ReasonWithdrawn:
		r.req.rejections++
	case outcome.ReasonQueueFull:
		r.req.rejections++
		r.fullCount++
	}
	r.mayHaveRun = r.mayHaveRun || a.Outcome.Kind != outcome.NotRun
}

// keep remembers the failure to tell the caller: an upstream's own answer before
// an unknown end before a refusal.
func (r *race) keepFailure(a *Answer) {
	if r.bestFailure == nil || a.Outcome.Kind == outcome.Answered || r.bestFailure.Outcome.Kind == outcome.NotRun {
		r.bestFailure = a
	}
}

// next starts another attempt. It returns the answer when there can be none.
func (r *race) startNext(why outcome.Reason) *Answer {
	if r.req.ctx.Err() != nil {
		return r.timeoutResult()
	}
	if inbound.Left(r.req.ctx) {
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
	if r.delivered >= r.req.maxAttempts() || r.undelivered > maxUndelivered || r.fullCount >= placement.MaxFull {
		return r.finalResult()
	}
	now := r.e.daemon.now()
	var taken *retryCharge
	if r.delivered > 0 {
		if taken = r.e.takeRetry(r.s, now); taken == nil {
			r.e.daemon.metrics.denied.Inc(1)
			return r.finalResult()
		}
	}
	t, ok := r.chooseUpstream(now)
	if !ok && why == outcome.ReasonWithdrawn || !ok && r.delivered == 0 && len(r.tried) > 0 {
		// Those that gave it back are better than none.
		clear(r.tried)
		t, ok = r.chooseUpstream(now)
	}
	if !ok {
		taken.refund(now)
		return r.finalResult()
	}
	if r.started == 0 && t.choice.Unservable(r.req.deadline.Sub(now)) {
		r.releaseChoice(t)
		return refuse(outcome.ReasonQueueFull, jittered(max(t.choice.Expected/2, minRetryAfter)))
	}
	if r.req.targetTime > 0 && t.choice.OutOfReach(r.fullCount, r.req.targetTime.Sub(now)) {
		r.releaseChoice(t)
		taken.refund(now)
		return r.finalResult()
	}
	t.charge = taken
	if r.delivered > 0 {
		r.e.daemon.metrics.resent.Inc(1)
		r.logDecision(decision.Resent, t, slog.String("reason", string(why)))
	}
	r.startAttempt(t)
	return nil
}

func (r *race) releaseChoice(t *try) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.placer.Done(r.e.daemon.now(), t.choice.Upstream.Key, nil)
}

func (r *race) logDecision(k decision.Kind, t *try, more ...slog.Attr) {
	r.e.daemon.opts.Decisions.Write(k, r.req.id, append([]slog.Attr{
		slog.String("service", string(r.req.service)), slog.String("upstream", t.choice.Upstream.Key),
		slog.Int("sends", r.delivered), slog.Float64("budget_left", r.s.retryLimiter.left(r.e.daemon.now())),
	}, more...)...)
}

// final returns the answer when nothing more can be tried.
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

// spread returns a time drawn around d.
func jittered(d time.Duration) time.Duration { return retry.Advice(d, rand.Float64()) }
