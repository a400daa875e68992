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
	// ackWait is how long another daemon may take to acknowledge a call: a round trip
	// between regions, acknowledgeAfter, and a scheduling delay.
	ackWait = 120 * time.Millisecond
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
func (r *race) startAttempt(t *try) {
	ctx, cancel := context.WithCancel(r.req.ctx)
	now := r.e.daemon.now()
	t.cancel, t.sent, t.attemptIndex = cancel, now, r.startedCount
	if r.startedCount == 0 {
		r.e.daemon.metrics.stage(stageChoose, r.req.service, now.Sub(r.req.began))
	}
	r.e.daemon.metrics.stage(stageLoadAge, r.req.service, t.choice.Age)
	r.startedCount++
	r.live = append(r.live, t)
	c := &Call{
		ID: r.req.id, AttemptIndex: t.attemptIndex,
		Method: r.req.http.Method, Target: r.req.http.RequestURI, Host: r.req.http.Host,
		Header: r.req.http.Header, Body: r.req.body,
		Service: r.req.service, Caller: r.e.daemon.service(), Upstream: t.endpoint.upstream,
		Idempotent: r.req.route.Idempotent, Rank: r.req.route.Rank, Kind: kindOf(r.req.route), ServiceTime: r.serviceTime,
		Deadline: r.req.deadline.Sub(now),
	}
	if r.req.targetTime != 0 {
		c.TimeToTarget = r.req.targetTime.Sub(now)
	}
	if r.req.rejectionCount < placement.MaxRejections && t.choice.Alternative > 0 {
		c.Alternative = t.choice.Alternative
	}
	go func() {
		a := contain(c.ID, r.e.daemon.panicked, func() *Answer { return r.e.sendCall(ctx, t, c) })
		r.e.daemon.metrics.stage(stageSend, c.Service, r.e.daemon.now().Sub(now))
		t.acknowledge()
		r.done <- ended{try: t, answer: a}
	}()
	if t.endpoint.address != r.e.daemon.opts.Addresses.Peers {
		go r.awaitAcknowledgement(t)
	}
}

// awaitAcknowledgement waits until an attempt is acknowledged, and reports it to the race
// if that takes longer than ackWait.
func (r *race) awaitAcknowledgement(t *try) {
	timer := time.NewTimer(ackWait)
	defer timer.Stop()
	select {
	case <-t.acknowledged:
	case <-timer.C:
		r.unacknowledged <- t
	}
}

// sendCall sends a call to the guard of its upstream and returns the result.
func (e *entry) sendCall(ctx context.Context, t *try, c *Call) *Answer {
	if t.endpoint.address == e.daemon.opts.Addresses.Peers {
		return e.daemon.guard.Do(ctx, c)
	}
	pool := e.daemon.peers.pool(t.endpoint.address)
	if pool == nil {
		return notRun(outcome.ReasonNoUpstream)
	}
	if c.Idempotent {
		a, _ := e.sendOnConnection(ctx, pool, t, c)
		return a
	}
	return e.sendNonIdempotent(ctx, pool, t, c)
}

// sendOnConnection sends a call over a pooled connection. It returns false if the
// connection broke after the call may have been sent.
func (e *entry) sendOnConnection(ctx context.Context, pool *hop.Pool, t *try, c *Call) (*Answer, bool) {
	h := endToEnd(c.Header)
	h.Set(callHeader, c.encode())
	reply, err := pool.Do(ctx, hop.PoolRequest{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: h, Body: c.Body, OnInformational: t.acknowledge,
	})
	var lost *hop.RequestError
	if errors.As(err, &lost) {
		if ctx.Err() == nil && !lost.Reused {
			e.daemon.peers.missed(t.endpoint.address, err)
		}
		if !lost.Sent {
			return notRun(outcome.ReasonConnect), true
		}
		return unknown(outcome.ReasonConnectionLost), false
	}
	a := answerOf(reply)
	e.daemon.behind(t.endpoint.address, a.Version)
	return a, true
}

// sendNonIdempotent sends a call that must not run twice. If the connection breaks or
// there is no result for long, it queries the outcome over a new connection.
func (e *entry) sendNonIdempotent(ctx context.Context, pool *hop.Pool, t *try, c *Call) *Answer {
	type reply struct {
		result *Answer
		// complete reports whether a complete result was received from the daemon.
		complete bool
	}
	direct := make(chan reply, 1)
	go func() {
		var complete bool
		a := contain(c.ID, e.daemon.panicked, func() (a *Answer) {
			a, complete = e.sendOnConnection(ctx, pool, t, c)
			return a
		})
		direct <- reply{a, complete}
	}()
	sentAt := e.bootClock()
	queryTimer := time.NewTimer(time.Duration(outcomeQueryFactor*float64(t.choice.Expected)) + outcomeQueryMargin)
	defer queryTimer.Stop()
	ackTimer := time.NewTimer(ackWait)
	defer ackTimer.Stop()
	queried := make(chan reply, 1)
	querying, guardReached := false, false
	queryOnce := func() {
		if !querying && ctx.Err() == nil {
			querying = true
			go func() {
				var reached bool
				a := contain(c.ID, e.daemon.panicked, func() (a *Answer) {
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
			return unknown(outcome.ReasonCancelled)
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
func (e *entry) dropExpiredProof(a *Answer, sentAt time.Duration, c *Call) *Answer {
	if a.Outcome.Kind == outcome.NotRun && e.bootClock()-sentAt > retentionPeriod(c.Deadline) {
		return unknown(outcome.ReasonConnectionLost)
	}
	return a
}

// queryOutcome queries the outcome of a call, and cancels the call if it has not started.
// It returns false if the guard was not reached.
func (e *entry) queryOutcome(ctx context.Context, pool *hop.Pool, t *try, c *Call) (*Answer, bool) {
	e.daemon.metrics.settled.Inc(1)
	a, reached := askSettle(ctx, pool, settleQuestion{key: c.Key(), life: t.endpoint.daemonIncarnation, left: c.Deadline})
	e.daemon.opts.Decisions.Write(decision.Withdrawn, c.ID, slog.String("upstream", t.choice.Upstream.Key),
		slog.String("result", a.Outcome.Kind.String()))
	return a, reached
}
