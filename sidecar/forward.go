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
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/hop"
)

const (
	// maxGivenBack is how often a request may be given back before a guard must
	// keep it: each time costs a round trip.
	maxGivenBack = 2
	// maxFull is how many guards without room make a request be refused.
	maxFull = 2
	// maxMisses is how many attempts may reach no upstream before a request is
	// refused.
	maxMisses = 6
	// hedgeFactor and hedgeBy tell when an idempotent request that has no answer
	// is sent to a second upstream: so much later than expected.
	hedgeFactor = 1.4
	hedgeBy     = 15 * time.Millisecond
	// lateFactor is the same for a request that can no longer make its target: its
	// upstream may have stopped answering.
	lateFactor = 4
	// ackWait is how long another daemon may take to show that it has got a call:
	// a round trip between regions, acknowledgeAfter, and a pause of its
	// processor.
	ackWait = 120 * time.Millisecond
	// settleFactor and settleBy tell when the guard of a request that must not run
	// twice is asked over a new connection what became of it.
	settleFactor = 3
	settleBy     = 250 * time.Millisecond
	// surelyFull is how old the knowledge may be by which a request is refused
	// without asking any guard. Older, and nobody would learn that there is room
	// again.
	surelyFull = 30 * time.Millisecond
	// refusedRetry is the advice after upstreams refused a request although their
	// guards held them below what they take: such refusals come and go.
	refusedRetry = 50 * time.Millisecond
	// retrySpread spreads the returns of callers that were refused together.
	retrySpread = 0.5
	// askNear and askFar are how many guards of the own zone, and of others where
	// that does not do, are asked for their loads before a request is sent.
	askNear = 4
	askFar  = 3
	// askAge is how old the knowledge of a load may be to do without asking.
	askAge = 15 * time.Millisecond
	// hopeless is the share of the time left that a request must be expected to
	// fit in to be worth a try.
	hopelessShare = 1.0
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
	// charged tells that the budget was charged for it.
	charged bool
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

// forward sends a request to upstreams until one has answered it or nothing more
// may be tried.
func (e *entry) forward(req *request) *Answer {
	s := e.service(req.service)
	s.resends.request(req.began)
	if req.service != e.d.service() {
		// Some of the requests that begin here are calls of the own upstream, and
		// those of a run that is a repeat count as repeats themselves.
		s.resends.charge(req.began, e.d.guard.repeatShare())
	}
	most := req.route.MaxAttempts + maxMisses + maxGivenBack + 1
	r := &race{
		e: e, req: req, s: s, work: e.workOf(req.route.Name),
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
	if r.failure != nil && r.failure.Outcome.Kind == outcome.Answered {
		return r.failure
	}
	return unknown(outcome.ReasonDeadline)
}

func (r *race) cancelAll() {
	for _, t := range r.live {
		t.cancel()
	}
}

// ended takes in the end of an attempt. It returns the request's answer once that
// is known.
func (r *race) ended(end ended) *Answer {
	r.drop(end.try)
	a := end.answer
	r.learn(end.try, a)
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
	if a.Load == nil && a.Outcome.Kind != outcome.Answered {
		r.s.placer.Unreachable(now, t.choice.Upstream.Key)
	}
	r.s.mu.Unlock()
	if a.Outcome.Kind == outcome.Answered && a.Status < http.StatusInternalServerError && a.Load != nil && a.Load.Slow > 0 {
		r.e.worked(r.req.route.Name, a.Ran, a.Load.Slow)
	}
	switch {
	case a.Arrived:
		r.arrived++
		r.req.sends = r.arrived
	case t.charged:
		r.s.resends.refund(now)
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
	if r.arrived >= r.req.route.MaxAttempts || r.misses > maxMisses || r.full >= maxFull {
		return r.final()
	}
	now := r.e.d.now()
	charged := false
	if r.arrived > 0 {
		if charged = r.s.resends.take(now, r.e.d.peers.size()); !charged {
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
		if charged {
			r.s.resends.refund(now)
		}
		return r.final()
	}
	if r.launch == 0 && t.choice.Age < surelyFull && t.choice.Expected > time.Duration(hopelessShare*float64(r.req.deadline.Sub(now))) {
		r.release(t)
		return refuse(outcome.ReasonQueueFull, spread(max(t.choice.Expected/2, busyRetry)))
	}
	t.charged = charged
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
func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - retrySpread/2 + retrySpread*rand.Float64()))
}

// choose picks the upstream for the next attempt.
func (r *race) choose(now model.Instant) (*try, bool) {
	ask := placement.Ask{
		Work:    r.work,
		Target:  r.req.target.Sub(now),
		Exclude: func(u placement.Upstream) bool { return r.tried[u.Key] },
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.e.refresh(r.s, r.req.service)
	r.req.candidates = r.s.placer.Len()
	r.inquire(ask, true, askNear, nearWait)
	if now = r.e.d.now(); !r.s.placer.Comfortable(now, ask) {
		r.inquire(ask, false, askFar, farWait)
		now = r.e.d.now()
	}
	c, ok := r.s.placer.Choose(now, ask)
	if !ok {
		return nil, false
	}
	r.req.expected, r.req.upstream = c.Expected, c.Upstream.Key
	return &try{choice: c, target: r.s.targets[c.Upstream.Key], acknowledged: make(chan struct{})}, true
}

// inquire asks guards for their loads, near or far. A guard that stays silent is
// passed over for a while. r.s.mu is held on entry and return, not between.
func (r *race) inquire(ask placement.Ask, near bool, most int, wait time.Duration) {
	now := r.e.d.now()
	ups := r.s.placer.ToAsk(now, ask, near, askAge, most)
	if len(ups) == 0 || len(ups) == 1 && r.s.placer.Len() == 1 {
		return
	}
	r.s.mu.Unlock()
	loads := r.e.d.asks.ask(ups, r.req.route.Rank, wait)
	r.s.mu.Lock()
	now = r.e.d.now()
	for _, up := range ups {
		if l, ok := loads[up.Key]; ok {
			r.s.placer.Learn(now, up.Key, l)
		} else {
			r.s.placer.Unreachable(now, up.Key)
		}
	}
}

// hedge sends an idempotent request to a second upstream if that is expected to
// help.
func (r *race) hedge() {
	if !r.req.route.Idempotent || len(r.live) != 1 || r.arrived+1 >= r.req.route.MaxAttempts {
		return
	}
	now := r.e.d.now()
	first := r.live[0]
	r.tried[first.choice.Upstream.Key] = true
	t, ok := r.choose(now)
	if !ok {
		return
	}
	end := r.req.target
	if end == 0 || r.late {
		end = r.req.deadline
	}
	if now.Add(t.choice.Expected) > end || !r.s.resends.take(now, r.e.d.peers.size()) {
		r.release(t)
		return
	}
	t.charged = true
	r.e.d.metrics.hedged.Inc(1)
	r.tell(decision.Hedged, t, slog.String("instead_of", first.choice.Upstream.Key),
		slog.Int64("waited_ms", now.Sub(first.sent).Milliseconds()), slog.Int64("expected_ms", t.choice.Expected.Milliseconds()))
	r.start(t)
}

// start sends an attempt.
func (r *race) start(t *try) {
	ctx, cancel := context.WithCancel(r.req.ctx)
	now := r.e.d.now()
	t.cancel, t.sent, t.send = cancel, now, r.launch
	r.launch++
	r.live = append(r.live, t)
	c := &Call{
		ID: r.req.id, Send: t.send,
		Method: r.req.http.Method, Target: r.req.http.RequestURI, Host: r.req.http.Host,
		Header: r.req.http.Header, Body: r.req.body,
		Service: r.req.service, Caller: r.e.d.service(), Upstream: t.target.upstream,
		Idempotent: r.req.route.Idempotent, Repeat: r.arrived > 0 || len(r.live) > 1, Rank: r.req.route.Rank, Work: r.work,
		Deadline: r.req.deadline.Sub(now),
	}
	if r.req.target != 0 {
		c.Within = r.req.target.Sub(now)
	}
	if r.req.givenBack < maxGivenBack && t.choice.Alternative > 0 {
		c.Alternative = t.choice.Alternative
	}
	go func() {
		a := r.e.send(ctx, t, c)
		t.acknowledge()
		r.done <- ended{try: t, answer: a}
	}()
	if t.target.address != r.e.d.opts.Addresses.Peers {
		go r.watch(t)
	}
}

// watch waits for a sign that an attempt has arrived.
func (r *race) watch(t *try) {
	timer := time.NewTimer(ackWait)
	defer timer.Stop()
	select {
	case <-t.acknowledged:
	case <-timer.C:
		r.mute <- t
	}
}

// send has a call run by the guard of its upstream.
func (e *entry) send(ctx context.Context, t *try, c *Call) *Answer {
	if t.target.address == e.d.opts.Addresses.Peers {
		return e.d.guard.Do(ctx, c)
	}
	pool := e.d.peers.pool(t.target.address)
	if pool == nil {
		return notRun(outcome.ReasonNoUpstream)
	}
	if c.Idempotent {
		a, _ := e.sendOnce(ctx, pool, t, c)
		return a
	}
	return e.sendSettled(ctx, pool, t, c)
}

// sendOnce sends a call over one connection. It reports false when the hop broke.
func (e *entry) sendOnce(ctx context.Context, pool *hop.Pool, t *try, c *Call) (*Answer, bool) {
	h := endToEnd(c.Header)
	h.Set(callHeader, c.encode())
	reply, err := pool.Do(ctx, hop.Exchange{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: h, Body: c.Body, Informed: t.acknowledge,
	})
	var lost *hop.LostError
	if errors.As(err, &lost) {
		if ctx.Err() == nil && !lost.Reused {
			e.d.peers.missed(t.target.address, err)
		}
		if !lost.Sent {
			return notRun(outcome.ReasonConnect), true
		}
		return unknown(outcome.ReasonConnectionLost), false
	}
	a := answerOf(reply)
	if a.Version > e.d.config.version() {
		e.d.behind(t.target.address, a.Version)
	}
	return a, true
}

// sendSettled sends a call that must not run twice. When its connection breaks or
// stays silent for long, the guard is asked over a new one what became of it.
func (e *entry) sendSettled(ctx context.Context, pool *hop.Pool, t *try, c *Call) *Answer {
	type result struct {
		answer *Answer
		whole  bool
	}
	first := make(chan result, 1)
	go func() {
		a, whole := e.sendOnce(ctx, pool, t, c)
		first <- result{a, whole}
	}()
	timer := time.NewTimer(time.Duration(settleFactor*float64(t.choice.Expected)) + settleBy)
	defer timer.Stop()
	silent := time.NewTimer(ackWait)
	defer silent.Stop()
	settled := make(chan *Answer, 1)
	asked, answered := false, false
	ask := func() {
		if !asked && ctx.Err() == nil {
			asked = true
			go func() { settled <- e.settle(ctx, pool, t, c) }()
		}
	}
	for broken := false; ; {
		select {
		case got := <-first:
			if got.whole || answered || ctx.Err() != nil {
				return got.answer
			}
			broken = true
			ask()
		case a := <-settled:
			if a.Outcome.Kind != outcome.Unknown || broken {
				return a
			}
			// The guard may be out of reach for a moment; the first connection
			// may still bring the answer.
			answered = true
		case <-timer.C:
			ask()
		case <-silent.C:
			select {
			case <-t.acknowledged:
			default:
				ask()
			}
		}
	}
}

func (e *entry) settle(ctx context.Context, pool *hop.Pool, t *try, c *Call) *Answer {
	e.d.metrics.settled.Inc(1)
	a := askSettle(ctx, pool, c.Key())
	e.d.opts.Decisions.Write(decision.Withdrawn, c.ID, slog.String("upstream", t.choice.Upstream.Key),
		slog.String("result", a.Outcome.Kind.String()))
	return a
}
