package guard

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/admission"
	"github.com/dottereltiller/dottereltiller/core/calltoken"
	"github.com/dottereltiller/dottereltiller/core/limit"
	"github.com/dottereltiller/dottereltiller/core/measure"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/startrate"
	"github.com/dottereltiller/dottereltiller/hop"
	"github.com/dottereltiller/dottereltiller/membership"
	"github.com/dottereltiller/dottereltiller/trace"
	"github.com/dottereltiller/dottereltiller/wire"
)

// upstreamProxy admits and forwards the calls to one incarnation of one upstream.
type upstreamProxy struct {
	upstream membership.LocalUpstream
	client   *hop.Client
	now      func() model.Instant
	tokens   *calltoken.Signer
	// onLeaving is called when a response states that the upstream is about to leave.
	onLeaving func(model.Upstream)
	// countStatement counts a statement by its kind.
	countStatement func(statement)

	mu sync.Mutex
	// starts limits the rate of calls while the upstream names a limit.
	starts     startrate.Limiter
	controller *admission.Controller
	limiter    *limit.Limiter
	// monitor decides when to poll the load report, and evaluates the reports.
	monitor *measure.Monitor
	// polling is set while a poll of the load report is in progress.
	polling bool
	// pending holds a channel for each waiting call. The effect that starts or
	// refuses the call is sent to this channel.
	pending map[admission.ID]chan admission.Effect
	nextID  admission.ID
	// effects holds the effects that the last call of the controller returned. An
	// effect says that a call starts or is refused. The slice is reused.
	effects []admission.Effect
}

func newUpstreamProxy(upstream membership.LocalUpstream, client *hop.Client, now func() model.Instant) *upstreamProxy {
	monitor := measure.NewMonitor(now(), measure.Options{Share: DefaultMeasuringBudget, Slots: upstream.Slots})
	limiter := limit.New(limit.Options{Slots: upstream.Slots})
	u := &upstreamProxy{
		upstream:       upstream,
		client:         client,
		now:            now,
		onLeaving:      func(model.Upstream) {},
		countStatement: func(statement) {},
		limiter:        limiter,
		monitor:        monitor,
		pending:        make(map[admission.ID]chan admission.Effect),
	}
	u.controller = admission.New(admission.Options{Slots: upstream.Slots, Limiter: limiter, Starts: &u.starts})
	u.starts.Named.SetPredecessor(now())
	return u
}

// do admits a call, sends it to the upstream and returns the response with the
// upstream's load.
func (u *upstreamProxy) do(ctx context.Context, c *wire.Call) *wire.Result {
	id, refused := u.admit(ctx, c)
	if refused != nil {
		return u.withLoad(wire.NoResponse(*refused), c.Group)
	}
	return u.withLoad(u.send(ctx, id, c), c.Group)
}

// admit waits until the call may start, and then returns a nil outcome. It returns an
// outcome when the call is refused. It also returns an outcome when the call was
// withdrawn from the queue because its queue timeout expired or its context ended.
func (u *upstreamProxy) admit(ctx context.Context, c *wire.Call) (admission.ID, *outcome.Outcome) {
	id, effectCh := u.submit(c)
	if c.HasQueueTimeout && c.QueueTimeout <= 0 && u.withdraw(id) {
		return id, withdrawnOutcome()
	}
	var queueTimeout <-chan time.Time
	if c.HasQueueTimeout && c.QueueTimeout > 0 {
		timer := time.NewTimer(c.QueueTimeout)
		defer timer.Stop()
		queueTimeout = timer.C
	}
	select {
	case e := <-effectCh:
		return id, refusedOutcome(e)
	case <-queueTimeout:
	case <-ctx.Done():
	}
	if !u.withdraw(id) {
		return id, refusedOutcome(<-effectCh)
	}
	if ctx.Err() == context.DeadlineExceeded {
		o := outcome.NotRunBecause(outcome.ReasonDeadline)
		return id, &o
	}
	return id, withdrawnOutcome()
}

// submit passes the call to the controller. The effect that starts or refuses the
// call is sent to the returned channel.
func (u *upstreamProxy) submit(c *wire.Call) (admission.ID, <-chan admission.Effect) {
	effectCh := make(chan admission.Effect, 1)
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.nextID++
	id := u.nextID
	u.pending[id] = effectCh
	u.effects = u.controller.Arrive(now, admission.Arrival{ID: id, Request: requestOf(c, now)}, u.effects[:0])
	u.dispatch()
	return id, effectCh
}

// withdrawnOutcome returns the outcome of a call that was withdrawn from the queue.
// With this outcome the guard rejects the call, and the entry may choose another
// upstream.
func withdrawnOutcome() *outcome.Outcome {
	o := outcome.NotRunBecause(outcome.ReasonWithdrawn)
	return &o
}

// refusedOutcome returns the outcome of an effect that refuses a call. It returns nil
// for an effect that starts a call.
func refusedOutcome(e admission.Effect) *outcome.Outcome {
	if e.Kind == admission.Start {
		return nil
	}
	return &e.Outcome
}

// requestOf returns the call in the form that the controller takes.
func requestOf(c *wire.Call, now model.Instant) model.Request {
	return model.Request{
		Service:    c.Service,
		Group:      c.Group,
		Caller:     c.Caller,
		Idempotent: c.Idempotent,
		Deadline:   now.Add(c.Timeout),
		Attempt:    c.Attempt,
	}
}

// dispatch sends the effects in u.effects to the calls that wait for them, and
// reports the number of running requests to the monitor. The caller must hold
// u.mu.
func (u *upstreamProxy) dispatch() {
	for _, e := range u.effects {
		if ch := u.pending[e.ID]; ch != nil {
			ch <- e
			delete(u.pending, e.ID)
		}
	}
	u.monitor.SetRunning(int(u.controller.Load(u.now()).Running))
}

// withdraw removes a waiting call from the queue. It reports false when the call
// has been started or refused.
func (u *upstreamProxy) withdraw(id admission.ID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.controller.Withdraw(u.now(), id) {
		return false
	}
	delete(u.pending, id)
	return true
}

// finish releases the slot of a started call.
func (u *upstreamProxy) finish(id admission.ID, result admission.Result) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.effects = u.controller.Finish(u.now(), id, result, u.effects[:0])
	u.dispatch()
}

// drain refuses the waiting calls and all calls that arrive later.
func (u *upstreamProxy) drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.effects = u.controller.Drain(u.now(), u.effects[:0])
	u.dispatch()
}

// setEvacuated sets whether the zone of the upstream is evacuated. The waiting calls and all calls that
// arrive meanwhile are refused.
func (u *upstreamProxy) setEvacuated(evacuated bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !evacuated {
		u.controller.Resume()
		return
	}
	u.effects = u.controller.Suspend(u.effects[:0])
	u.dispatch()
}

// advance refuses the waiting calls whose deadline has passed, and starts those that the rate limit of the
// upstream lets start.
func (u *upstreamProxy) advance() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.effects = u.controller.Advance(u.now(), u.effects[:0])
	u.dispatch()
}

// configure replaces the configuration of the groups and the measuring budget, which is a
// share of the upstream's slot time.
func (u *upstreamProxy) configure(groups []admission.Group, measuringBudget float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.controller.Configure(u.now(), groups)
	u.monitor.SetShare(u.now(), measuringBudget)
}

func (u *upstreamProxy) load() model.Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.monitor.Annotate(u.limiter.Annotate(u.controller.Load(u.now())))
}

// withLoad adds the upstream's load to a response. group is the group of the call, on
// which the number of requests ahead depends; see admission.Controller.LoadFor.
func (u *upstreamProxy) withLoad(response *wire.Result, group model.GroupName) *wire.Result {
	u.mu.Lock()
	defer u.mu.Unlock()
	load := u.controller.LoadFor(u.now(), group)
	response.Load, response.HasLoad = u.monitor.Annotate(u.limiter.Annotate(load)), true
	return response
}

// send forwards a started call to the upstream and returns the response. When the
// attempt fails, send releases the slot. Otherwise the slot is released when the body
// of the response has been read or closed, or when the call's context has ended.
func (u *upstreamProxy) send(ctx context.Context, id admission.ID, c *wire.Call) *wire.Result {
	ctx, span := trace.Start(ctx, "upstream")
	span.SetCallAttributes(c)
	startedAt := u.now()
	release := func(o outcome.Outcome, failed bool) {
		span.End(o)
		slotTime := u.now().Sub(startedAt)
		failed = failed && o.Reason != outcome.ReasonCancelled
		u.finish(id, admission.Result{Outcome: o, SlotTime: slotTime, Failed: failed})
	}
	httpResponse, o, err := u.client.Do(ctx, u.upstreamRequest(ctx, c))
	if err != nil {
		o = u.detectCrash(o)
		release(o, true)
		return wire.NoResponse(o)
	}
	u.recordStatements(httpResponse.Header, startedAt)
	if httpResponse.StatusCode == http.StatusSwitchingProtocols {
		// No call asks to switch protocols, so the upstream's further data is not
		// a response.
		_ = httpResponse.Body.Close()
		o := outcome.UnknownBecause(outcome.ReasonUpgradeForbidden)
		release(o, true)
		return wire.NoResponse(o)
	}
	if refusedBeforeStart(httpResponse) {
		o := outcome.NotRunBecause(outcome.ReasonUpstreamRefused)
		o.RetryAfter = retryAfter(httpResponse)
		_ = httpResponse.Body.Close()
		release(o, true)
		return wire.NoResponse(o)
	}
	wire.StripInternalHeaders(httpResponse.Header)
	wire.StripHopByHopHeaders(httpResponse.Header)
	response := wire.ResultFromResponse(httpResponse)
	body := &slotReleasingBody{
		body:        response.Body,
		releaseSlot: release,
		failed:      httpResponse.StatusCode >= http.StatusInternalServerError,
	}
	body.releaseAtContextEnd(ctx)
	response.Body = body
	return bufferSmallResponse(response)
}

// upstreamRequest returns the request to send to the upstream for a call.
func (u *upstreamProxy) upstreamRequest(ctx context.Context, c *wire.Call) hop.Request {
	h := c.Header
	wire.StripInternalHeaders(h)
	wire.StripHopByHopHeaders(h)
	trace.Inject(ctx, h)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline)
		h.Set(wire.HeaderTimeout, remaining.Round(time.Microsecond).String())
		u.setToken(h, c, remaining)
	}
	if c.Key != "" {
		h.Set(wire.HeaderIdempotencyKey, c.Key)
	}
	return hop.Request{
		Address:       u.upstream.Address,
		Method:        c.Method,
		Target:        c.Target,
		Host:          c.Host,
		Header:        h,
		Body:          c.Body,
		ContentLength: c.ContentLength,
	}
}
