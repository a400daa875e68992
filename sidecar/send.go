package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/hop"
)

const (
	// ackTimeout is how long another daemon may take to acknowledge a call: a round trip
	// between regions, acknowledgeAfter, and a scheduling delay.
	ackTimeout = 120 * time.Millisecond
	// The outcome of an attempt that must not run twice is queried over a new connection
	// if there is no result after outcomeQueryFactor times the expected time plus
	// outcomeQueryMargin.
	outcomeQueryFactor = 3
	outcomeQueryMargin = 250 * time.Millisecond
	// outcomeQueryRetryDelay is the pause before an outcome query is repeated that did
	// not reach the guard.
	outcomeQueryRetryDelay = 250 * time.Millisecond
)

// startAttempt sends an attempt in the background.
func (r *forwarder) startAttempt(t *attemptState) {
	ctx, cancel := context.WithCancel(r.request.ctx)
	now := r.entry.daemon.now()
	t.cancel, t.sentAt, t.attemptIndex = cancel, now, r.startedCount
	if r.startedCount == 0 {
		r.entry.daemon.metrics.recordStage(stageChoose, r.request.service, now.Sub(r.request.startedAt))
	}
	r.entry.daemon.metrics.recordStage(stageLoadAge, r.request.service, t.choice.Age)
	r.startedCount++
	r.inFlight = append(r.inFlight, t)
	c := &Call{
		ID: r.request.id, AttemptIndex: t.attemptIndex,
		Method: r.request.httpRequest.Method, Target: r.request.httpRequest.RequestURI, Host: r.request.httpRequest.Host,
		Header: r.request.httpRequest.Header, Body: r.request.body,
		Service: r.request.service, Caller: r.entry.daemon.service(), Upstream: t.endpoint.upstream,
		Idempotent: r.request.route.Idempotent, Rank: r.request.route.Rank, Kind: kindOf(r.request.route), ServiceTime: r.serviceTime,
		Deadline: r.request.deadline.Sub(now),
	}
	if r.request.targetTime != 0 {
		c.TimeToTarget = r.request.targetTime.Sub(now)
	}
	if r.request.rejectionCount < placement.MaxRejections && t.choice.Alternative > 0 {
		c.Alternative = t.choice.Alternative
	}
	go func() {
		a := recoverPanic(c.ID, r.entry.daemon.recordPanic, func() *Result { return r.entry.sendCall(ctx, t, c) })
		r.entry.daemon.metrics.recordStage(stageSend, c.Service, r.entry.daemon.now().Sub(now))
		t.acknowledge()
		r.results <- attemptResult{attempt: t, result: a}
	}()
	if t.endpoint.address != r.entry.daemon.opts.Addresses.Peers {
		go r.awaitAcknowledgement(t)
	}
}

// awaitAcknowledgement waits until an attempt is acknowledged, and reports it to the race
// if that takes longer than ackTimeout.
func (r *forwarder) awaitAcknowledgement(t *attemptState) {
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	select {
	case <-t.acknowledged:
	case <-timer.C:
		r.unacknowledged <- t
	}
}

// sendCall sends a call to the guard of its upstream and returns the result.
func (e *entry) sendCall(ctx context.Context, t *attemptState, c *Call) *Result {
	if t.endpoint.address == e.daemon.opts.Addresses.Peers {
		return e.daemon.guard.Do(ctx, c)
	}
	pool := e.daemon.peers.pool(t.endpoint.address)
	if pool == nil {
		return notRunResult(outcome.ReasonNoUpstream)
	}
	if c.Idempotent {
		a, _ := e.sendOnConnection(ctx, pool, t, c)
		return a
	}
	return e.sendNonIdempotent(ctx, pool, t, c)
}

// sendOnConnection sends a call over a pooled connection. It returns false if the
// connection broke after the call may have been sent.
func (e *entry) sendOnConnection(ctx context.Context, pool *hop.Pool, t *attemptState, c *Call) (*Result, bool) {
	h := endToEndHeaders(c.Header)
	h.Set(callHeader, c.encode())
	reply, err := pool.Do(ctx, hop.PoolRequest{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: h, Body: c.Body, OnInformational: t.acknowledge,
	})
	var lost *hop.RequestError
	if errors.As(err, &lost) {
		if ctx.Err() == nil && !lost.Reused {
			e.daemon.peers.reportUnreachable(t.endpoint.address, err)
		}
		if !lost.Sent {
			return notRunResult(outcome.ReasonConnect), true
		}
		return unknownResult(outcome.ReasonConnectionLost), false
	}
	a := resultFromReply(reply)
	e.daemon.onPeerVersion(t.endpoint.address, a.Version)
	return a, true
}

// sendNonIdempotent sends a call that must not run twice. If the connection breaks or
// there is no result for long, it queries the outcome over a new connection.
func (e *entry) sendNonIdempotent(ctx context.Context, pool *hop.Pool, t *attemptState, c *Call) *Result {
	type reply struct {
		result *Result
		// complete reports whether a complete result was received from the daemon.
		complete bool
	}
	direct := make(chan reply, 1)
	go func() {
		var complete bool
		a := recoverPanic(c.ID, e.daemon.recordPanic, func() (a *Result) {
			a, complete = e.sendOnConnection(ctx, pool, t, c)
			return a
		})
		direct <- reply{a, complete}
	}()
	sentAt := e.bootClock()
	queryTimer := time.NewTimer(time.Duration(outcomeQueryFactor*float64(t.choice.Expected)) + outcomeQueryMargin)
	defer queryTimer.Stop()
	ackTimer := time.NewTimer(ackTimeout)
	defer ackTimer.Stop()
	queried := make(chan reply, 1)
	querying, guardReached := false, false
	queryOnce := func() {
		if !querying && ctx.Err() == nil {
			querying = true
			go func() {
				var reached bool
				a := recoverPanic(c.ID, e.daemon.recordPanic, func() (a *Result) {
					a, reached = e.queryOutcome(ctx, pool, t, c)
					return e.dropExpiredProof(a, sentAt, c)
				})
				queried <- reply{a, reached}
			}()
		}
	}
	for broken := false; ; {
		select {
		case got := <-direct:
			if got.complete || guardReached || ctx.Err() != nil {
				return got.result
			}
			broken = true
			queryOnce()
		case got := <-queried:
			if got.result.Outcome.Kind != outcome.Unknown || broken {
				return got.result
			}
			// The result may still arrive over the first connection. A guard that was not
			// reached may be unreachable only for a moment, so the query is repeated.
			if guardReached = got.complete; !guardReached {
				querying = false
				queryTimer.Reset(outcomeQueryRetryDelay)
			}
		case <-ctx.Done():
			// The request has ended, so nobody uses the result.
			return unknownResult(outcome.ReasonCancelled)
		case <-queryTimer.C:
			queryOnce()
		case <-ackTimer.C:
			select {
			case <-t.acknowledged:
			default:
				queryOnce()
			}
		}
	}
}

// dropExpiredProof checks the result of an outcome query. A statement of the guard that
// the call has not run is proof only as long as the guard cannot have evicted the attempt;
// later, an unknown outcome is returned instead. sentAt is when the call was sent, by
// bootClock. The deadline of the call is no substitute for this check, as its clock stops
// while this VM is suspended.
func (e *entry) dropExpiredProof(a *Result, sentAt time.Duration, c *Call) *Result {
	if a.Outcome.Kind == outcome.NotRun && e.bootClock()-sentAt > retentionPeriod(c.Deadline) {
		return unknownResult(outcome.ReasonConnectionLost)
	}
	return a
}

// queryOutcome queries the outcome of a call, and cancels the call if it has not started.
// It returns false if the guard was not reached.
func (e *entry) queryOutcome(ctx context.Context, pool *hop.Pool, t *attemptState, c *Call) (*Result, bool) {
	e.daemon.metrics.resolved.Inc(1)
	a, reached := sendResolveRequest(ctx, pool, resolveRequest{key: c.Key(), incarnation: t.endpoint.daemonIncarnation, timeLeft: c.Deadline})
	e.daemon.opts.Decisions.Write(decision.Withdrawn, c.ID, slog.String("upstream", t.choice.Upstream.Key),
		slog.String("result", a.Outcome.Kind.String()))
	return a, reached
}
