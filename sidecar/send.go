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
	// ackTimeout is how long another daemon may take to acknowledge a call. It covers a round
	// trip between regions, the wait of acknowledgeDelay at the other daemon, and a scheduling
	// delay.
	ackTimeout = 120 * time.Millisecond
	// outcomeQueryFactor and outcomeQueryMargin determine when the outcome of an attempt that
	// must not run twice is queried over a new connection. The query is sent if there is no
	// result after the query delay. The query delay is outcomeQueryFactor times the expected
	// time of the attempt plus outcomeQueryMargin.
	outcomeQueryFactor = 3
	// outcomeQueryMargin is the constant part of the query delay.
	outcomeQueryMargin = 250 * time.Millisecond
	// outcomeQueryRetryDelay is the pause before an outcome query that did not reach the guard
	// is repeated.
	outcomeQueryRetryDelay = 250 * time.Millisecond
)

// startAttempt sends an attempt in the background. Its result goes to f.results.
func (f *forwarder) startAttempt(attempt *attemptState) {
	ctx, cancel := context.WithCancel(f.request.ctx)
	now := f.entry.daemon.now()
	attempt.cancel, attempt.sentAt, attempt.attemptIndex = cancel, now, f.startedCount
	if f.startedCount == 0 {
		f.entry.daemon.metrics.recordStage(stageChoose, f.request.service, now.Sub(f.request.startedAt))
	}
	f.entry.daemon.metrics.recordStage(stageLoadAge, f.request.service, attempt.choice.LoadAge)
	if attempt.choice.Upstream.Zone != f.entry.daemon.opts.Zone {
		f.entry.daemon.metrics.sentToOtherZone.Inc(1)
	}
	f.startedCount++
	f.inFlight = append(f.inFlight, attempt)
	c := &Call{
		ID: f.request.id, AttemptIndex: attempt.attemptIndex,
		Method: f.request.httpRequest.Method, Target: f.request.httpRequest.RequestURI, Host: f.request.httpRequest.Host,
		Header: f.request.httpRequest.Header, Body: f.request.body,
		Service: f.request.service, Caller: f.entry.daemon.service(), Upstream: attempt.endpoint.upstream,
		Idempotent: f.request.route.Idempotent, Rank: f.request.rank, Kind: kindOf(f.request.route), ServiceTime: f.serviceTime,
		Deadline: f.request.deadline.Sub(now), RateLimit: attempt.endpoint.limit, Credential: f.request.credential,
		Responses: f.request.responses,
	}
	if f.request.account != nil {
		c.Account, c.AccountVersion = f.request.account.Name, f.request.routeTable.Version()
	}
	if f.request.targetTime != 0 {
		c.TimeToTarget = f.request.targetTime.Sub(now)
	}
	if f.request.rejectionCount < placement.MaxRejections && attempt.choice.Alternative > 0 {
		c.Alternative = attempt.choice.Alternative
	}
	go func() {
		result := recoverPanic(c.ID, f.entry.daemon.recordPanic, func() *Result { return f.entry.sendCall(ctx, attempt, c) })
		f.entry.daemon.metrics.recordStage(stageSend, c.Service, f.entry.daemon.now().Sub(now))
		attempt.acknowledge()
		f.results <- attemptResult{attempt: attempt, result: result}
	}()
	if attempt.endpoint.address != f.entry.daemon.opts.Addresses.Peers {
		go f.awaitAcknowledgement(attempt)
	}
}

// awaitAcknowledgement waits until an attempt is acknowledged. If that takes longer than
// ackTimeout, it passes the attempt to f.unacknowledged.
func (f *forwarder) awaitAcknowledgement(attempt *attemptState) {
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	select {
	case <-attempt.acknowledged:
	case <-timer.C:
		f.unacknowledged <- attempt
	}
}

// sendCall sends a call to the guard of its upstream and returns the result.
func (e *entry) sendCall(ctx context.Context, attempt *attemptState, c *Call) *Result {
	if attempt.endpoint.address == e.daemon.opts.Addresses.Peers {
		return e.daemon.guard.Do(ctx, c)
	}
	pool := e.daemon.peers.pool(attempt.endpoint.address)
	if pool == nil {
		return notRunResult(outcome.ReasonNoUpstream)
	}
	if c.Idempotent {
		result, _ := e.sendOnConnection(ctx, pool, attempt, c)
		return result
	}
	return e.sendNonIdempotent(ctx, pool, attempt, c)
}

// sendOnConnection sends a call over a connection of the pool. It returns false if the
// connection broke after the call may have been sent. A response that is too large for the memory
// has an unknown outcome. If a new connection fails, it marks the
// daemon as unreachable.
func (e *entry) sendOnConnection(ctx context.Context, pool *hop.Pool, attempt *attemptState, c *Call) (*Result, bool) {
	h := endToEndHeaders(c.Header)
	h.Set(callHeader, c.encode())
	if c.RateLimit.Limited {
		h.Set(rateLimitHeader, c.RateLimit.encode())
	}
	if c.Account != "" {
		h.Set(accountHeader, c.encodeAccount())
	}
	reply, err := pool.Do(ctx, hop.PoolRequest{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: h, Body: c.Body, OnInformational: attempt.acknowledge,
		Memory: c.Responses,
	})
	var tooLarge *hop.BodyTooLargeError
	if errors.As(err, &tooLarge) {
		return unknownResult(outcome.ReasonResponseTooLarge), true
	}
	var requestErr *hop.RequestError
	if errors.As(err, &requestErr) {
		if ctx.Err() == nil && !requestErr.Reused {
			e.daemon.peers.reportUnreachable(attempt.endpoint.address, err)
		}
		if !requestErr.Sent {
			return notRunResult(outcome.ReasonConnect), true
		}
		lost := unknownResult(outcome.ReasonConnectionLost)
		lost.PeerError = requestErr
		return lost, false
	}
	result := resultFromReply(reply)
	e.daemon.onPeerVersion(attempt.endpoint.address, result.Version)
	return result, true
}

// sendNonIdempotent sends a call that must not run twice. It queries the outcome over a new
// connection in three cases: the connection breaks, the call is not acknowledged within
// ackTimeout, or there is no result after the query delay (see outcomeQueryFactor).
func (e *entry) sendNonIdempotent(ctx context.Context, pool *hop.Pool, attempt *attemptState, c *Call) *Result {
	type reply struct {
		result *Result
		// complete is set unless the connection broke after the call may have been sent. For an
		// outcome query, it is set if the guard was reached.
		complete bool
	}
	directReplies := make(chan reply, 1)
	go func() {
		var complete bool
		result := recoverPanic(c.ID, e.daemon.recordPanic, func() (result *Result) {
			result, complete = e.sendOnConnection(ctx, pool, attempt, c)
			return result
		})
		directReplies <- reply{result, complete}
	}()
	sentAt := e.bootClock()
	queryTimer := time.NewTimer(time.Duration(outcomeQueryFactor*float64(attempt.choice.Expected)) + outcomeQueryMargin)
	defer queryTimer.Stop()
	ackTimer := time.NewTimer(ackTimeout)
	defer ackTimer.Stop()
	queryReplies := make(chan reply, 1)
	querying, guardReached := false, false
	startQuery := func() {
		if !querying && ctx.Err() == nil {
			querying = true
			go func() {
				var reached bool
				result := recoverPanic(c.ID, e.daemon.recordPanic, func() (result *Result) {
					result, reached = e.queryOutcome(ctx, pool, attempt, c)
					return e.dropExpiredProof(result, sentAt, c)
				})
				queryReplies <- reply{result, reached}
			}()
		}
	}
	for broken := false; ; {
		select {
		case directReply := <-directReplies:
			if directReply.complete || guardReached || ctx.Err() != nil {
				return directReply.result
			}
			broken = true
			startQuery()
		case queryReply := <-queryReplies:
			if queryReply.result.Outcome.Kind != outcome.Unknown || broken {
				return queryReply.result
			}
			// The result may still arrive over the first connection. If the guard was not
			// reached, it may be unreachable only for a moment, so the query is repeated.
			if guardReached = queryReply.complete; !guardReached {
				querying = false
				queryTimer.Reset(outcomeQueryRetryDelay)
			}
		case <-ctx.Done():
			select {
			case directReply := <-directReplies:
				return directReply.result
			default:
				return unknownResult(outcome.ReasonCancelled)
			}
		case <-queryTimer.C:
			startQuery()
		case <-ackTimer.C:
			select {
			case <-attempt.acknowledged:
			default:
				startQuery()
			}
		}
	}
}

// dropExpiredProof returns the result of an outcome query if it is still reliable. A statement
// of the guard that the call has not run is proof only as long as the guard cannot have evicted
// the attempt. Later, dropExpiredProof returns an unknown outcome instead.
//
// sentAt is when the call was sent, by bootClock. The deadline of the call cannot replace this
// check, because the clock by which the deadline is measured stops while this VM is suspended.
func (e *entry) dropExpiredProof(result *Result, sentAt time.Duration, c *Call) *Result {
	if result.Outcome.Kind == outcome.NotRun && e.bootClock()-sentAt > retentionPeriod(c.Deadline) {
		return unknownResult(outcome.ReasonConnectionLost)
	}
	return result
}

// queryOutcome sends an outcome query to the guard of an attempt. The guard cancels the call if
// it has not started, and waits for its end if it is running. Then the guard returns the
// outcome. queryOutcome returns false if the guard was not reached.
func (e *entry) queryOutcome(ctx context.Context, pool *hop.Pool, attempt *attemptState, c *Call) (*Result, bool) {
	e.daemon.metrics.resolved.Inc(1)
	result, reached := sendResolveRequest(ctx, pool, resolveRequest{key: c.Key(), incarnation: attempt.endpoint.daemonIncarnation, timeLeft: c.Deadline}, c.Responses)
	e.daemon.opts.Decisions.Write(decision.Withdrawn, c.ID, slog.String("upstream", attempt.choice.Upstream.Key),
		slog.String("result", result.Outcome.Kind.String()))
	return result, reached
}
