package sidecar

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/slots"
	"github.com/dottereltiller/dottereltiller/core/startrate"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/hop"
)

const (
	// healthCheckTimeout limits the wait for a health response. A healthy upstream
	// responds at once.
	healthCheckTimeout = 50 * time.Millisecond
	// startHealthCheckTimeout limits the wait for a health response while the daemon starts. It
	// is longer than healthCheckTimeout, as no request waits for the response then.
	startHealthCheckTimeout = 500 * time.Millisecond
)

// guard is the proxy in front of the local upstream. It admits calls, queues them and
// enforces the concurrency limit. It is safe for concurrent use.
type guard struct {
	opts          *Options
	now           func() model.Instant
	configVersion func() model.Version
	// healthPath returns the path of health checks, empty if there is none.
	healthPath func() string
	// slotsFromPeers returns the number of slots of an upstream according to the records of
	// other daemons, zero if unknown. It is used for an upstream that does not report its slots.
	slotsFromPeers func(lifecycle.Incarnation) int
	// isUrgent reports whether at least one route has a lower priority than the given rank.
	isUrgent func(rank int) bool
	// accountWeight returns the weight of a client account in the shares of the upstream's time.
	accountWeight func(slots.Account) float64
	onPanic       func(component, requestID string, v any)
	// onDeparture is called after a response has shown that the upstream is leaving.
	onDeparture func()
	// isQuarantined reports whether the request of a call must not run, because it crashes upstreams.
	isQuarantined func(c *Call) bool
	// keyRejection returns why a call must not run under its account any more, or ReasonNone.
	keyRejection func(c *Call) outcome.Reason
	// stoppingFor returns how long the daemon has been stopping, zero if it is not.
	stoppingFor func() time.Duration
	// hasAccounts reports whether the configuration in force has client accounts.
	hasAccounts func() bool
	service     model.ServiceName
	metrics     *metrics

	// identityMu is held while the process at the address of the upstream is asked who it is.
	identityMu sync.Mutex

	mu      sync.Mutex
	tracker lifecycle.Tracker
	pool    *hop.Pool
	// healthPool holds the connections for health checks. A response to a health check names no request.
	// Late, on a connection of pool, it would be taken for a refusal of the next request.
	healthPool *hop.Pool
	queue      *slots.Queue
	// starts limits the rate at which calls start.
	starts startrate.Limiter
	cold   coldness
	stated statements
	// identity is what the process at the address of the upstream said of itself last.
	identity lifecycle.Identity
	// refusedLogged is the incarnation whose report was refused in the latest log line about that.
	refusedLogged lifecycle.Incarnation
	// departureLogged is the departure in the latest log line about a stated departure.
	departureLogged statedDeparture
	// waiters holds the calls in the queue by the ids of their queue items.
	waiters    map[uint64]waiter
	lastItemID uint64
	wakeTimer  *time.Timer
	// slowdown is the latest slowdown that the upstream reported, initially 1. A slowdown of 1
	// means the usual service time.
	slowdown   float64
	slowdownAt model.Instant
	// slowdownReported is set once the current incarnation has reported its slowdown.
	slowdownReported bool
	// nextHealthCheck is the earliest time of the next health check of an upstream that
	// does not report its load.
	nextHealthCheck model.Instant
	failures        placement.FailureRate
	// failingLogged is set when the log says that the upstream is failing, and cleared when it
	// says that the upstream has recovered.
	failingLogged bool
	// healthCheckDone is closed when the current health check ends. It is nil if there is none.
	healthCheckDone chan struct{}
	// healthCheckAt is when startHealthCheck started a health check last.
	healthCheckAt model.Instant
	// runCount counts the recent requests that were sent to the local upstream.
	runCount float64
	// callCount counts the recent requests that the upstream or other callers sent from this VM
	// to other services. The ratio of callCount to runCount estimates the calls per run.
	callCount float64
	// callersLeft is when the callers of a stopping daemon have had time to leave, zero if the
	// daemon is not stopping.
	callersLeft model.Instant
	// stopDeadline is when a stopping daemon ends at the latest, zero if the daemon is not
	// stopping.
	stopDeadline model.Instant
	evacuated    bool
	// closed is set when no further call may start.
	closed   bool
	attempts *attemptTable
	crashes  *crashDetector
}

// waiter is a call in the queue.
type waiter struct {
	call *Call
	// dequeueReason receives why the call left the queue. Its buffer has room for it.
	dequeueReason chan slots.DequeueReason
}

func newGuard(o *Options, now func() model.Instant, m *metrics) *guard {
	g := &guard{
		opts: o, now: now, metrics: m, service: o.Service,
		onPanic:       func(string, string, any) {},
		onDeparture:   func() {},
		healthPath:    func() string { return "" },
		isQuarantined: func(*Call) bool { return false },
		accountWeight: func(slots.Account) float64 { return 1 },
		keyRejection:  func(*Call) outcome.Reason { return outcome.ReasonNone },
		hasAccounts:   func() bool { return false },
		stoppingFor:   func() time.Duration { return 0 },
		queue:         slots.New(1),
		waiters:       make(map[uint64]waiter),
		slowdown:      1,
		attempts:      newAttemptTable(now),
		crashes:       &crashDetector{address: o.Addresses.Upstream, now: now, onCrash: func(lostRun) {}},
	}
	g.queue.SetStartLimiter(&g.starts)
	if !o.Bootstrap {
		g.starts.Named.SetPredecessor(model.Instant(-restartGap))
	}
	g.wakeTimer = time.AfterFunc(time.Hour, g.dispatch)
	g.wakeTimer.Stop()
	g.pool, g.healthPool = g.newPool(), g.newPool()
	return g
}

func (g *guard) newPool() *hop.Pool {
	return hop.NewPool(g.opts.Addresses.Upstream, hop.PoolOptions{OnDial: g.metrics.countUpstreamConn})
}

// deregister records that an incarnation leaves permanently. It returns the effect on the state
// of the upstream.
func (g *guard) deregister(i lifecycle.Incarnation) lifecycle.Effect {
	const cause = "deregistered"
	effect := g.changeState(cause, func(t *lifecycle.Tracker, now lifecycle.Moment) lifecycle.Effect { return t.Leave(i, now) })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logDeparture(statedDeparture{i, cause}, effect)
	return effect
}

// restoreDeparted applies the departures that the records of other daemons hold. It returns the effect on the
// state of the upstream.
func (g *guard) restoreDeparted(departed []lifecycle.Departure) lifecycle.Effect {
	return g.changeState("departed according to a peer", func(t *lifecycle.Tracker, now lifecycle.Moment) lifecycle.Effect {
		return t.Restore(departed, now)
	})
}

// stateChange applies a statement that has arrived now to the state of the upstream, and returns its effect.
type stateChange func(t *lifecycle.Tracker, now lifecycle.Moment) lifecycle.Effect

// changeState applies a change to the state of the upstream, and returns its effect. cause names the
// change in the log.
func (g *guard) changeState(cause string, change stateChange) lifecycle.Effect {
	g.mu.Lock()
	effect := change(&g.tracker, g.moment())
	current := g.tracker.Current()
	g.mu.Unlock()
	if effect == lifecycle.Changed {
		g.logUpstreamState(current, cause)
		g.dispatch()
	}
	return effect
}

// statedDeparture is a statement that an incarnation leaves.
type statedDeparture struct {
	incarnation lifecycle.Incarnation
	cause       string
}

// logDeparture logs a stated departure and its effect, unless the latest line tells of the same one. g.mu is held.
func (g *guard) logDeparture(d statedDeparture, effect lifecycle.Effect) {
	if g.departureLogged == d {
		return
	}
	g.departureLogged = d
	current := g.tracker.Current()
	g.opts.Decisions.Write(decision.UpstreamDeparture, "",
		slog.String("upstream", string(d.incarnation.ID)), slog.Int64("born", d.incarnation.Born), slog.String("cause", d.cause),
		slog.String("effect", effect.String()), slog.String("current", string(current.ID)), slog.Int64("current_born", current.Born),
		slog.String("state", current.State.String()))
}

func (g *guard) logUpstreamState(r lifecycle.Report, cause string) {
	g.opts.Decisions.Write(decision.UpstreamState, "",
		slog.String("upstream", string(r.ID)), slog.Int64("born", r.Born), slog.Uint64("sequence", r.Sequence),
		slog.String("state", r.State.String()), slog.String("cause", cause))
}

func (g *guard) setService(s model.ServiceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service = s
}

// Do runs a call on the upstream at most once and returns the result. When the context ends, a
// waiting call is cancelled before its start. A running call is cancelled only if it is
// idempotent.
func (g *guard) Do(ctx context.Context, c *Call) *Result {
	attempt, duplicate := g.registerCall(c)
	if duplicate {
		return g.withLoad(attempt.duplicateResult())
	}
	g.adoptRateLimit(c)
	if c.Alternative > 0 || g.rateLimit().Limited {
		g.refreshSlowdown(ctx)
	}
	id, dequeueReason, rejection := g.enqueue(c)
	if rejection != nil {
		attempt.finish(rejection)
		return g.withLoad(rejection)
	}
	arrivedAt := g.now()
	if result := g.waitForStart(ctx, c, attempt, id, dequeueReason); result != nil {
		attempt.finish(result)
		return g.withLoad(result)
	}
	if c.Idempotent {
		result := g.runCall(ctx, c, attempt, arrivedAt)
		attempt.discardBody(false)
		return g.withLoad(result)
	}
	// A non-idempotent run continues after the connection to its sender has broken. The sender
	// then queries the outcome over another connection.
	c.Responses.Retain()
	attempt.addWaiter()
	go func() {
		defer c.Responses.Release()
		g.runCall(context.WithoutCancel(ctx), c, attempt, arrivedAt)
	}()
	result := attempt.await(ctx)
	attempt.discardBody(true)
	return g.withLoad(result)
}

// registerCall returns the attempt of a call. It adds the attempt of a non-idempotent call to
// the table of attempts, and returns true if the table held it already. The outcome of an
// idempotent call is never queried, so its attempt is not added.
func (g *guard) registerCall(c *Call) (*attempt, bool) {
	if c.Idempotent {
		return newAttempt(c.Key()), false
	}
	return g.attempts.register(c.Key(), c.Deadline)
}

// enqueue adds a call to the queue, and starts it if there is a free slot. It returns the id of
// the call in the queue and a channel that receives why the call leaves the queue. If the call
// is not admitted, enqueue returns the result of its rejection instead.
func (g *guard) enqueue(c *Call) (uint64, <-chan slots.DequeueReason, *Result) {
	id, dequeueReason, newRejection := g.admit(c)
	if newRejection != nil {
		return 0, nil, newRejection()
	}
	g.dispatch()
	return id, dequeueReason, nil
}

// admit adds a call to the queue without starting it. It returns the same id and channel as
// enqueue. If the call is not admitted, admit returns a function that returns the rejection. The
// function may lock g.mu, so the caller must not hold it.
func (g *guard) admit(c *Call) (uint64, <-chan slots.DequeueReason, func() *Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.tracker.Current()
	if reason := g.rejectReason(current, c); reason != outcome.ReasonNone {
		return 0, nil, func() *Result { return notRunResult(reason) }
	}
	number := slots.Account(c.Account.Number())
	item, admission, expectedTime := g.queue.Admit(g.now(), slots.Arrival{
		Rank: c.Rank, Account: number, Weight: g.accountWeight(number), Kind: c.Kind, Urgent: g.isUrgent(c.Rank), ServiceTime: c.ServiceTime,
		UntilTarget: c.TimeToTarget, UntilDeadline: c.Deadline, Alternative: c.Alternative,
	}, slots.Performance{Slowdown: g.currentSlowdown(), FailureRate: g.failures.At(g.now())})
	if admission != slots.Admitted {
		return 0, nil, func() *Result { return g.rejectionResult(c, admission, expectedTime) }
	}
	g.lastItemID++
	item.ID = g.lastItemID
	dequeueReason := make(chan slots.DequeueReason, 1)
	g.waiters[item.ID] = waiter{call: c, dequeueReason: dequeueReason}
	g.queue.Add(item)
	return item.ID, dequeueReason, nil
}

// waitForStart waits until a call may start, and returns nil. If the call is cancelled or
// rejected instead, it returns the result.
func (g *guard) waitForStart(ctx context.Context, c *Call, attempt *attempt, id uint64, dequeueReason <-chan slots.DequeueReason) *Result {
	select {
	case reason := <-dequeueReason:
		return g.dequeueResult(c, reason)
	case <-ctx.Done():
	case <-attempt.cancelSignal:
	}
	if g.cancelWaiting(id) {
		return notRunResult(outcome.ReasonWithdrawn)
	}
	return g.dequeueResult(c, <-dequeueReason)
}

// dequeueResult returns nil if a call left the queue to start. Otherwise it returns the result
// of the rejection, and logs the rejection unless its reason is the deadline.
func (g *guard) dequeueResult(c *Call, reason slots.DequeueReason) *Result {
	switch reason {
	case slots.Start:
		return nil
	case slots.DeadlineUnreachable:
		return notRunResult(outcome.ReasonDeadline)
	case slots.Revoked:
		return notRunResult(cmp.Or(g.keyRejection(c), outcome.ReasonWithdrawn))
	case slots.TooLate:
		g.recordRejection(c, "overdue", 0)
		return notRunResult(outcome.ReasonQueueFull)
	default:
		g.recordRejection(c, "waited", 0)
		return notRunResult(outcome.ReasonWithdrawn)
	}
}

// cancelWaiting removes a call from the queue. It returns false if the call has left the
// queue already.
func (g *guard) cancelWaiting(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Remove(id) {
		return false
	}
	delete(g.waiters, id)
	return true
}

// dispatch starts waiting calls as long as slots are free. It rejects waiting calls that would
// end too late or whose queue timeout has expired. It sets wakeTimer to the time of the next
// such decision. If the upstream is no longer ready, its zone is evacuated or the guard is closed,
// dispatch only rejects all waiting calls.
func (g *guard) dispatch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if g.tracker.Current().State > lifecycle.Ready || g.closed || g.evacuated {
		g.rejectAllWaiting()
		return
	}
	slowdown := g.currentSlowdown()
	for {
		d, ok := g.queue.Next(now, slowdown)
		if !ok {
			break
		}
		g.waiters[d.ID].dequeueReason <- d.Reason
		delete(g.waiters, d.ID)
	}
	if wakeAt := g.queue.NextWakeup(now, slowdown); wakeAt != 0 {
		if g.starts.NeedsProof(now) {
			wakeAt = min(wakeAt, g.requestProof(now))
		}
		g.wakeTimer.Reset(max(wakeAt.Sub(now), time.Millisecond))
	}
}
