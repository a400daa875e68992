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
	maxMisses = 6
	// maxAttempts bounds the attempts of one request, whatever its route allows.
	maxAttempts = 64
	// refusedRetry is the advice after upstreams refused a request although their
	// guards held them below what they take: such refusals come and go.
	refusedRetry = 50 * time.Millisecond
)

// errMute is why a daemon that does not show that it gets calls is looked for.
var errMute = errors.New("no sign that a call has arrived")

// try is one attempt under way.
type try struct {
	choice placement.Choice
	target target
	send   int
	sent   model.Instant
	cancel context.CancelFunc
	// taken is what it took from the budgets for re-sends.
	taken *resend
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
	e    *entry
	req  *request
	s    *service
	work time.Duration
	done chan ended
	// mute receives the attempts whose daemon has not shown in time that it got
	// them.
	mute chan *try
	live []*try
	// tried holds the keys that are not to be tried again.
	tried map[string]bool
	// ran tells that an attempt may have run, arrived counts the attempts that
	// reached an upstream or may have.
	ran     bool
	arrived int
	launch  int
	misses  int
	// full counts the guards that had no room in time.
	full int
	// failure is the best answer so far that is no success.
	failure *Answer
	late    bool
}

// attempts returns how many upstreams the request may be sent to.
func (r *request) attempts() int { return min(r.route.MaxAttempts, maxAttempts) }

// forward sends a request to upstreams until one has answered it or nothing more
// may be tried.
func (e *entry) forward(req *request) *Answer {
	s := e.service(req.service)
	s.resends.request(req.began)
	if req.service != e.d.service() {
		e.d.guard.called()
	}
	most := req.attempts() + maxMisses + placement.MaxGivenBack + 1
	r := &race{
		e: e, req: req, s: s, work: e.workOf(req.route.Name, req.deadline.Sub(req.began)),
		done: make(chan ended, most), mute: make(chan *try, most), tried: make(map[string]bool),
	}
	defer r.cancelAll()
	if a := r.next(outcome.ReasonNone); a != nil {
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
			if a := r.ended(end); a != nil {
				return a
			}
		case t := <-r.mute:
			r.muted(t)
		case <-timer.C:
			r.hedge()
			if !r.late {
				r.late = true
				timer.Reset(r.hedgeDelay(lateFactor))
			}
		case <-r.req.ctx.Done():
			return r.timeout()
		case <-r.e.d.ending:
			return r.atEnd()
		}
	}
}

// muted takes in that nothing shows that an attempt has arrived. An idempotent
// request is sent elsewhere; for any other its guard is asked.
func (r *race) muted(t *try) {
	now := r.e.d.now()
	r.s.mu.Lock()
	r.s.placer.Unreachable(now, t.choice.Upstream.Key)
	r.s.mu.Unlock()
	r.e.d.peers.missed(t.target.address, errMute)
	r.hedge()
}

// hedgeDelay returns how long from now a hedge is due.
func (r *race) hedgeDelay(factor float64) time.Duration {
	due := r.live[0].sent.Add(time.Duration(factor*float64(r.live[0].choice.Expected)) + hedgeBy)
	return max(due.Sub(r.e.d.now()), time.Millisecond)
}

// timeout answers a request whose time is over or whose caller has left.
func (r *race) timeout() *Answer {
	if errors.Is(r.req.ctx.Err(), context.Canceled) {
		return unknown(outcome.ReasonCancelled)
	}
	return r.givenUp(outcome.ReasonDeadline)
}

// atEnd answers a request that the daemon gives up as it ends. An answer that has come
// counts.
func (r *race) atEnd() *Answer {
	select {
	case end := <-r.done:
		if a := r.ended(end); a != nil {
			return a
		}
	default:
	}
	return r.givenUp(outcome.ReasonDraining)
}

// finalAtEnd answers a request of which no attempt is under way as the daemon ends.
func (r *race) finalAtEnd() *Answer {
	if r.failure == nil {
		return refuse(outcome.ReasonDraining, noUpstreamRetry)
	}
	return r.final()
}

// givenUp answers a request whose attempts are no longer waited for.
func (r *race) givenUp(why outcome.Reason) *Answer {
	if r.failure != nil && r.failure.Outcome.Kind == outcome.Answered {
		return r.failure
	}
	return unknown(why)
}

// cancelAll ends the attempts that nobody waits for any longer.
func (r *race) cancelAll() {
	for _, t := range r.live {
		t.cancel()
		r.release(t)
	}
}

// ended takes in the end of an attempt. It returns the request's answer once that
// is known.
func (r *race) ended(end ended) *Answer {
	r.drop(end.try)
	a := end.answer
	r.learn(end.try, a)
	if a.Outcome.Kind == outcome.Answered {
		r.e.d.suspects.answered(r.req)
	}
	if a.Outcome.Kind == outcome.Answered && (a.Status < http.StatusInternalServerError || !r.req.route.Idempotent) {
		return a
	}
	r.keep(a)
	r.tried[end.try.choice.Upstream.Key] = true
	if len(r.live) > 0 {
		return nil
	}
	if a.Outcome.Kind == outcome.Unknown && !r.req.route.Idempotent {
		return a
	}
	return r.next(reasonOf(a))
}

// reasonOf returns why an attempt ended, as logged.
func reasonOf(a *Answer) outcome.Reason {
	if a.Outcome.Kind == outcome.Answered {
		return outcome.ReasonUpstreamRefused
	}
	return a.Outcome.Reason
}

func (r *race) drop(t *try) {
	t.cancel()
	for i := range r.live {
		if r.live[i] == t {
			r.live = append(r.live[:i], r.live[i+1:]...)
			return
		}
	}
}

// learn takes in what an attempt tells of its upstream and of the route.
func (r *race) learn(t *try, a *Answer) {
	now := r.e.d.now()
	r.s.mu.Lock()
	r.s.placer.Done(now, t.choice.Upstream.Key, a.Load)
	if a.Load != nil {
		r.s.callsPerRun = a.CallsPerRun
	}
	if a.Load == nil && a.Outcome.Kind != outcome.Answered {
		r.s.placer.Unreachable(now, t.choice.Upstream.Key)
	}
	r.s.mu.Unlock()
	if a.Outcome.Kind == outcome.Answered && a.Status < http.StatusInternalServerError && a.Work > 0 {
		r.e.worked(r.req.route.Name, a.Work)
	}
	switch {
	case a.Arrived:
		r.arrived++
		r.req.sends = r.arrived
	default:
		t.taken.refund(now)
	}
	if !a.Arrived {
		r.misses++
	}
	switch a.Outcome.Reason {
	case outcome.ReasonWithdrawn:
		r.req.givenBack++
	case outcome.ReasonQueueFull:
		r.req.givenBack++
		r.full++
	}
	r.ran = r.ran || a.Outcome.Kind != outcome.NotRun
}

// keep remembers the failure to tell the caller: an upstream's own answer before
// an unknown end before a refusal.
func (r *race) keep(a *Answer) {
	if r.failure == nil || a.Outcome.Kind == outcome.Answered || r.failure.Outcome.Kind == outcome.NotRun {
		r.failure = a
	}
}

// next starts another attempt. It returns the answer when there can be none.
func (r *race) next(why outcome.Reason) *Answer {
	if r.req.ctx.Err() != nil {
		return r.timeout()
	}
	if inbound.Left(r.req.ctx) {
		return unknown(outcome.ReasonCancelled)
	}
	if r.e.d.isEnding() {
		return r.finalAtEnd()
	}
	if a := r.e.d.suspects.refused(r.req); a != nil {
		if r.failure == nil {
			return a
		}
		return r.final()
	}
	if r.arrived >= r.req.attempts() || r.misses > maxMisses || r.full >= placement.MaxFull {
		return r.final()
	}
	now := r.e.d.now()
	var taken *resend
	if r.arrived > 0 {
		if taken = r.e.takeResend(r.s, now); taken == nil {
			r.e.d.metrics.denied.Inc(1)
			return r.final()
		}
	}
	t, ok := r.choose(now)
	if !ok && why == outcome.ReasonWithdrawn || !ok && r.arrived == 0 && len(r.tried) > 0 {
		// Those that gave it back are better than none.
		clear(r.tried)
		t, ok = r.choose(now)
	}
	if !ok {
		taken.refund(now)
		return r.final()
	}
	if r.launch == 0 && t.choice.Unservable(r.req.deadline.Sub(now)) {
		r.release(t)
		return refuse(outcome.ReasonQueueFull, spread(max(t.choice.Expected/2, busyRetry)))
	}
	if r.req.target > 0 && t.choice.OutOfReach(r.full, r.req.target.Sub(now)) {
		r.release(t)
		taken.refund(now)
		return r.final()
	}
	t.taken = taken
	if r.arrived > 0 {
		r.e.d.metrics.resent.Inc(1)
		r.tell(decision.Resent, t, slog.String("reason", string(why)))
	}
	r.start(t)
	return nil
}

func (r *race) release(t *try) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.placer.Done(r.e.d.now(), t.choice.Upstream.Key, nil)
}

func (r *race) tell(k decision.Kind, t *try, more ...slog.Attr) {
	r.e.d.opts.Decisions.Write(k, r.req.id, append([]slog.Attr{
		slog.String("service", string(r.req.service)), slog.String("upstream", t.choice.Upstream.Key),
		slog.Int("sends", r.arrived), slog.Float64("budget_left", r.s.resends.left(r.e.d.now())),
	}, more...)...)
}

// final returns the answer when nothing more can be tried.
func (r *race) final() *Answer {
	if r.failure != nil && (r.ran || r.failure.Outcome.Kind == outcome.Answered) {
		if r.failure.Outcome.Kind == outcome.NotRun {
			return unknown(outcome.ReasonConnectionLost)
		}
		return r.failure
	}
	if r.failure != nil && r.failure.Outcome.Reason == outcome.ReasonUpstreamRefused {
		return refuse(outcome.ReasonUpstreamRefused, spread(refusedRetry))
	}
	if r.failure != nil {
		return refuse(r.failure.Outcome.Reason, spread(max(r.work, busyRetry)))
	}
	return refuse(outcome.ReasonNoUpstream, noUpstreamRetry)
}

// spread returns a time drawn around d.
func spread(d time.Duration) time.Duration { return retry.Advice(d, rand.Float64()) }
