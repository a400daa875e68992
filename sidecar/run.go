package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/quarantine"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/hop"
	"github.com/dottereltiller/dottereltiller/inbound"
)

const (
	// maxIdleNonIdempotent is the longest idle time of a connection that may carry a request
	// that must not run twice. An upstream that has closed an idle connection resets it on the
	// next request. It is then unknown whether the request ran.
	maxIdleNonIdempotent = time.Second
	// noLoadRecheckInterval is how long the guard waits after a response without a load before
	// it sends a health check to obtain the load. Most upstreams that omit their load never
	// report it, and each health check is one more request to them.
	noLoadRecheckInterval = 10 * time.Second
	// failingRate is the failure rate (see placement.FailureRate) at which the upstream is logged
	// as failing.
	failingRate = 0.5
	// recoveredRate is the failure rate at which a failing upstream is logged as recovered. It
	// is lower than failingRate so that random fluctuation does not cause many log entries.
	recoveredRate = 0.1
	// minTimeLeft is the least time that a request must have left until its deadline. With less,
	// the request is not sent to the upstream.
	minTimeLeft = 2 * time.Millisecond
)

// runCall sends a call to the upstream and stores the result in attempt. It does not send a call
// that was cancelled, whose sender has disconnected, whose deadline is too close, or whose request was
// quarantined or whose key was removed while the call waited, nor one that a stopping daemon might have
// to abort. At the end, it frees the slot of the call
// for waiting calls. arrivedAt is when the call arrived.
func (g *guard) runCall(ctx context.Context, c *Call, attempt *attempt, arrivedAt model.Instant) *Result {
	timeLeft := c.Deadline - g.now().Sub(arrivedAt)
	result := notRunResult(outcome.ReasonDeadline)
	keyRejection := g.keyRejection(c)
	switch {
	case timeLeft < minTimeLeft:
	case keyRejection != outcome.ReasonNone:
		result = notRunResult(keyRejection)
	case !g.endsBeforeStop(c.ServiceTime, timeLeft):
		result = notRunResult(outcome.ReasonDraining)
	case inbound.ClosedByClient(ctx), g.isQuarantined(c), !attempt.start():
		result = notRunResult(outcome.ReasonWithdrawn)
	default:
		result = recoverPanic(c.ID, g.onPanic, func() *Result { return g.sendToUpstream(ctx, c, timeLeft, g.now().Sub(arrivedAt)) })
	}
	g.mu.Lock()
	g.queue.Finish()
	g.mu.Unlock()
	attempt.finish(result)
	g.dispatch()
	return result
}

// sendToUpstream sends a call to the upstream and returns the result. It updates the metrics,
// the failure rate, the state of the upstream and the crash detector, and logs the execution.
// timeLeft is the time until the deadline of the call. waited is the time from the arrival of
// the call until now.
func (g *guard) sendToUpstream(ctx context.Context, c *Call, timeLeft, waited time.Duration) *Result {
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	defer cancel()
	h := endToEndHeaders(c.Header)
	if c.Account != "" || g.hasAccounts() {
		g.opts.Codec.RemoveAccountHeaders(h)
	}
	g.opts.Codec.WriteRequestInfo(h, RequestInfo{ID: c.ID, Deadline: timeLeft, Caller: c.Caller, Upstream: c.Upstream.ID, Account: c.Account})
	var info ResponseInfo
	req := hop.PoolRequest{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: h, Body: c.Body, ID: c.ID, Memory: c.Responses,
		Accept: func(r *http.Response) bool {
			info = g.opts.Codec.ReadResponseInfo(r.StatusCode, r.Header)
			return info.belongsTo(c)
		},
		CloseAfter: func(*http.Response) bool { return info.isAnonymousRefusal() },
	}
	if !c.Idempotent {
		req.MaxIdleTime = maxIdleNonIdempotent
	}
	g.mu.Lock()
	g.countRun()
	pool, running, incarnation := g.pool, g.queue.Running(), g.tracker.Current().Incarnation
	g.mu.Unlock()
	start := g.now()
	reply, err := pool.Do(ctx, req)
	duration := g.now().Sub(start)
	result := g.interpretResponse(ctx, c, &response{upstream: c.Upstream, sentAt: start, info: info}, reply, err)
	result.ServiceTime = g.serviceTimeOf(duration)
	g.metrics.recordStage(stageGuardWait, c.Service, waited)
	g.metrics.recordStage(stageUpstreamRun, c.Service, duration)
	g.recordOutcome(ctx, result)
	if err == nil {
		g.crashes.recordResponse()
	}
	if result.Outcome.Reason == outcome.ReasonConnectionLost {
		go g.crashes.recordLoss(newLostRun(c, incarnation))
	}
	g.logRun(ctx, &run{call: c, result: result, exchange: exchangeOf(reply, err), info: info, err: err, waited: waited, duration: duration, running: running})
	return result
}

// run describes how the upstream executed a call, or did not, for the log.
type run struct {
	call   *Call
	result *Result
	// exchange tells on which connection the response was read.
	exchange hop.Exchange
	// info is what the headers of the response state. It is empty if there was none.
	info ResponseInfo
	err  error
	// waited is the time from the arrival of the call until it was sent, duration the time from then
	// until its end.
	waited, duration time.Duration
	// running is the number of running calls when the call was sent.
	running int
}

// exchangeOf returns where the response was read, or the error that took its place occurred.
func exchangeOf(reply *hop.PoolResponse, err error) hop.Exchange {
	var requestErr *hop.RequestError
	switch {
	case reply != nil:
		return reply.Exchange
	case errors.As(err, &requestErr):
		return requestErr.Exchange
	default:
		return hop.Exchange{}
	}
}

// serviceTimeOf returns how long an execution that took the given duration would have taken at
// slowdown 1, that is in an upstream that is as fast as usual. If the upstream does not
// report its slowdown, serviceTimeOf returns the duration unchanged.
func (g *guard) serviceTimeOf(duration time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.slowdownReported {
		return duration
	}
	return time.Duration(float64(duration) / max(g.slowdown, 1))
}

// newLostRun describes a call whose connection was lost. It omits the body, which is needed only
// for the fingerprint.
func newLostRun(c *Call, incarnation lifecycle.Incarnation) lostRun {
	r := fingerprintInput(c.Service, c.Method, c.Target, c.Body)
	f := quarantine.FingerprintOf(r)
	r.Body = nil
	return lostRun{id: c.ID, fingerprint: f, request: r, upstream: incarnation}
}

// belongsTo reports whether a response belongs to a call. All attempts of a request share its id, but no
// two of them share a connection (see hop.PoolRequest.ID). The response may lack the id only if the
// upstream did not run the call.
func (r *ResponseInfo) belongsTo(c *Call) bool { return r.ID == c.ID || r.isAnonymousRefusal() }

// isAnonymousRefusal reports whether a response states that its request has not run, but does not name
// the request. A late copy of it would be taken for the response to the next request on the connection,
// which may run, so the connection must not carry another one.
func (r *ResponseInfo) isAnonymousRefusal() bool { return r.ID == "" && (r.NotRun || r.Misdirected) }

// interpretResponse returns the result of a call, given the response or the error. If there is a
// response, r describes it. interpretResponse stores the load and the statements from its headers, and
// calls handleWrongUpstream if a different upstream responded.
func (g *guard) interpretResponse(ctx context.Context, c *Call, r *response, reply *hop.PoolResponse, err error) *Result {
	var requestErr *hop.RequestError
	if errors.As(err, &requestErr) {
		var tooLarge *hop.BodyTooLargeError
		switch {
		case errors.As(err, &tooLarge):
			return unknownResult(outcome.ReasonResponseTooLarge)
		case !requestErr.Sent:
			return notRunResult(outcome.ReasonConnect)
		case errors.Is(ctx.Err(), context.Canceled):
			return unknownResult(outcome.ReasonCancelled)
		case ctx.Err() != nil:
			return unknownResult(outcome.ReasonDeadline)
		default:
			return unknownResult(outcome.ReasonConnectionLost)
		}
	}
	info := &r.info
	g.recordLoad(info.Load)
	if !info.Misdirected {
		g.recordStatements(r)
	}
	switch {
	case info.Misdirected:
		g.handleWrongUpstream(c, info.Instance)
		return notRunResult(outcome.ReasonNoUpstream)
	case info.NotRun:
		result := notRunResult(outcome.ReasonUpstreamRefused)
		result.Delivered = true
		return result
	case !info.Intact:
		return unknownResult(outcome.ReasonTruncated)
	}
	return &Result{Outcome: outcome.ResponseComplete(), Status: reply.Status, Header: endToEndHeaders(reply.Header), Body: reply.Body, Delivered: true}
}

// handleWrongUpstream is called when a different upstream, with the id respondingID, has
// responded at the address of the local upstream. It marks the expected upstream as departed,
// unless the call was meant for an upstream that has been replaced already, or respondingID is
// the id of the current upstream.
func (g *guard) handleWrongUpstream(c *Call, respondingID model.UpstreamID) {
	g.recordDeparture("address taken by "+string(respondingID), func(t *lifecycle.Tracker, now lifecycle.Moment) lifecycle.Effect {
		current := t.Current()
		if current.ID != c.Upstream.ID || respondingID == current.ID {
			return lifecycle.Same
		}
		return t.Leave(current.Incarnation, now)
	})
}

// recordLoad stores the load that the upstream reported. If it reported none, load is nil, and the
// next health check is postponed, unless an earlier response had a slowdown.
func (g *guard) recordLoad(load *UpstreamLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if load == nil {
		if !g.slowdownReported {
			g.nextHealthCheck = g.now().Add(noLoadRecheckInterval)
		}
		return
	}
	if load.Slowdown > 0 {
		g.slowdown, g.slowdownAt, g.slowdownReported = load.Slowdown, g.now(), true
	}
	if load.Slots > 0 {
		g.queue.SetLimit(placement.DefaultLimit(load.Slots))
	}
}

// loadUnreported reports whether the upstream is known not to report its load. g.mu is
// held.
func (g *guard) loadUnreported() bool { return !g.slowdownReported && g.now() < g.nextHealthCheck }

// recordOutcome updates the failure rate of the upstream. It logs when the upstream starts to
// fail and when it recovers. A call with an unknown outcome is ignored if it was cancelled.
func (g *guard) recordOutcome(ctx context.Context, result *Result) {
	failed := false
	switch {
	case result.Outcome.Kind == outcome.Unknown && errors.Is(ctx.Err(), context.Canceled):
		return
	case result.Outcome.Kind != outcome.Answered, result.Status >= http.StatusInternalServerError:
		failed = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures.Record(g.now(), failed)
	rate := g.failures.At(g.now())
	switch {
	case !g.failingLogged && rate >= failingRate:
		g.logFailureChange(decision.UpstreamFailing, rate)
	case g.failingLogged && rate <= recoveredRate:
		g.logFailureChange(decision.UpstreamRecovered, rate)
	}
}

// logFailureChange logs that the upstream is failing or has recovered, and sets failingLogged
// accordingly. g.mu is held.
func (g *guard) logFailureChange(k decision.Kind, rate float64) {
	g.failingLogged = k == decision.UpstreamFailing
	g.opts.Decisions.Write(k, "", slog.String("upstream", string(g.tracker.Current().ID)), slog.Float64("failing", rate))
}

// logRun logs the execution of a call. Of the executions that succeeded, that is with a status
// below 500, it logs only a sample, and those with responses to other requests on their connection.
func (g *guard) logRun(ctx context.Context, r *run) {
	attrs := []slog.Attr{
		slog.String("upstream", string(r.call.Upstream.ID)), slog.Int("attempt", r.call.AttemptIndex), slog.Int("status", r.result.Status),
		slog.Int64("ran_ms", r.duration.Milliseconds()), slog.Uint64("conn", r.exchange.Conn), slog.Int("conn_request", r.exchange.Index),
		slog.Int("unmatched", r.exchange.Unmatched),
	}
	if r.result.Outcome.Kind == outcome.Answered && r.result.Status < http.StatusInternalServerError {
		if r.exchange.Unmatched > 0 || g.opts.Decisions.Sampled(r.call.ID) {
			g.mu.Lock()
			slowdown := g.slowdown
			g.mu.Unlock()
			g.opts.Decisions.Write(decision.Ran, r.call.ID, append(attrs, slog.Int64("waited_ms", r.waited.Milliseconds()),
				slog.Float64("slow", slowdown), slog.Int("running", r.running))...)
		}
		return
	}
	if r.err != nil {
		attrs = append(attrs, slog.String("error", r.err.Error()))
	}
	g.opts.Decisions.Write(decision.RunFailed, r.call.ID, append(attrs,
		slog.Bool("response_named", r.info.ID != ""),
		slog.String("outcome", r.result.Outcome.Kind.String()), slog.String("reason", string(r.result.Outcome.Reason)),
		slog.Bool("idempotent", r.call.Idempotent), slog.Bool("sender_gone", inbound.ClosedByClient(ctx)),
		slog.Int64("stopping_ms", g.stoppingFor().Milliseconds()))...)
}
