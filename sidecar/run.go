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
	// keptIdle is how long a connection may have been idle to carry a request
	// that must not run twice: an upstream that forgets connections resets the
	// request, and then nobody knows whether it ran.
	keptIdle = time.Second
	// silentFor is how long an upstream that has answered without telling its load is
	// not asked for it. Most such never tell, and each question is a request more.
	silentFor = 10 * time.Second
	// suspectShare of failures has a line say that the upstream fails, trustShare that
	// it is well again: apart, so that chance does not write many.
	suspectShare = 0.5
	trustShare   = 0.1
	// minDeadline is the least time that an upstream is given.
	minDeadline = 2 * time.Millisecond
)

// run sends a started call to the upstream.
func (g *guard) run(ctx context.Context, c *Call, at *attempt, arrived model.Instant) *Answer {
	left := c.Deadline - g.now().Sub(arrived)
	a := notRun(outcome.ReasonDeadline)
	switch {
	case left < minDeadline:
	case inbound.Left(ctx), !at.start():
		a = notRun(outcome.ReasonWithdrawn)
	default:
		a = contain(c.ID, g.panicked, func() *Answer { return g.send(ctx, c, left, g.now().Sub(arrived)) })
	}
	g.mu.Lock()
	g.queue.Finish()
	g.mu.Unlock()
	at.end(a)
	g.pump()
	return a
}

func (g *guard) send(ctx context.Context, c *Call, left, waited time.Duration) *Answer {
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	h := endToEnd(c.Header)
	g.opts.Edge.Dress(h, Dressing{ID: c.ID, Deadline: left, Caller: c.Caller, Upstream: c.Upstream.ID})
	var reading Reading
	x := hop.Exchange{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: h, Body: c.Body,
		Accept: func(r *http.Response) bool {
			reading = g.opts.Edge.Read(r.StatusCode, r.Header)
			return reading.isOf(c)
		},
	}
	if !c.Idempotent {
		x.MaxIdle = keptIdle
	}
	g.mu.Lock()
	g.countRun()
	pool, running, life := g.pool, g.queue.Running(), g.tracker.Current().Incarnation
	g.mu.Unlock()
	began := g.now()
	reply, err := pool.Do(ctx, x)
	ran := g.now().Sub(began)
	a := g.read(ctx, c, reading, reply, err)
	a.Work = g.workOf(ran)
	g.metrics.stage(stageGuard, c.Service, waited)
	g.metrics.stage(stageUpstream, c.Service, ran)
	g.judge(ctx, a)
	if err == nil {
		g.crashes.answer()
	}
	if a.Outcome.Reason == outcome.ReasonConnectionLost {
		go g.crashes.lose(lostRunOf(c, life))
	}
	g.tellRun(c, a, err, waited, ran, running)
	return a
}

// workOf returns how long a run would have taken where nothing slows it, or as it was
// where the upstream does not tell how slow it is.
func (g *guard) workOf(ran time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.told {
		return ran
	}
	return time.Duration(float64(ran) / max(g.slow, 1))
}

func lostRunOf(c *Call, life lifecycle.Incarnation) lostRun {
	r := asked(c.Service, c.Method, c.Target, c.Body)
	f := quarantine.Of(r)
	r.Body = nil
	return lostRun{id: c.ID, print: f, request: r, upstream: life}
}

// isOf reports whether a response belongs to a call.
func (r *Reading) isOf(c *Call) bool {
	return r.ID == c.ID || r.ID == "" && (r.NotRun || r.Mistaken)
}

// read turns what came back into an answer. Reading is of the response, if there is one.
func (g *guard) read(ctx context.Context, c *Call, reading Reading, reply *hop.Reply, err error) *Answer {
	var lost *hop.LostError
	if errors.As(err, &lost) {
		switch {
		case !lost.Sent:
			return notRun(outcome.ReasonConnect)
		case errors.Is(ctx.Err(), context.Canceled):
			return unknown(outcome.ReasonCancelled)
		case ctx.Err() != nil:
			return unknown(outcome.ReasonDeadline)
		default:
			return unknown(outcome.ReasonConnectionLost)
		}
	}
	g.learn(reading.Load)
	switch {
	case reading.Mistaken:
		g.mistaken(c, reading.Instance)
		return notRun(outcome.ReasonNoUpstream)
	case reading.NotRun:
		a := notRun(outcome.ReasonUpstreamRefused)
		a.Arrived = true
		return a
	case !reading.Whole:
		return unknown(outcome.ReasonTruncated)
	}
	return &Answer{Outcome: outcome.Done(), Status: reply.Status, Header: endToEnd(reply.Header), Body: reply.Body, Arrived: true}
}

// mistaken takes in that the upstream at the address is another than expected.
func (g *guard) mistaken(c *Call, found model.UpstreamID) {
	g.mu.Lock()
	cur := g.tracker.Current()
	if cur.ID != c.Upstream.ID || found == cur.ID {
		g.mu.Unlock()
		return
	}
	g.tracker.Leave(cur.Incarnation)
	cur = g.tracker.Current()
	g.mu.Unlock()
	g.tell(cur, "address taken by "+string(found))
}

// learn takes in what the upstream says of its load.
func (g *guard) learn(l *UpstreamLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l == nil {
		if !g.told {
			g.silentUntil = g.now().Add(silentFor)
		}
		return
	}
	if l.Slow > 0 {
		g.slow, g.slowAt, g.told = l.Slow, g.now(), true
	}
	if l.Slots > 0 {
		g.queue.SetLimit(placement.LimitOf(l.Slots))
	}
}

// silent reports whether the upstream is known not to tell its load. g.mu is held.
func (g *guard) silent() bool { return !g.told && g.now() < g.silentUntil }

// judge takes in whether a run failed.
func (g *guard) judge(ctx context.Context, a *Answer) {
	failed := false
	switch {
	case a.Outcome.Kind == outcome.Unknown && errors.Is(ctx.Err(), context.Canceled):
		return
	case a.Outcome.Kind != outcome.Answered, a.Status >= http.StatusInternalServerError:
		failed = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failing.Count(g.now(), failed)
	share := g.failing.Share(g.now())
	switch {
	case !g.suspected && share >= suspectShare:
		g.tellTrust(decision.UpstreamFailing, share)
	case g.suspected && share <= trustShare:
		g.tellTrust(decision.UpstreamTrusted, share)
	}
}

// tellTrust notes that the upstream is suspected or trusted again. g.mu is held.
func (g *guard) tellTrust(k decision.Kind, share float64) {
	g.suspected = k == decision.UpstreamFailing
	g.opts.Decisions.Write(k, "", slog.String("upstream", string(g.tracker.Current().ID)), slog.Float64("failing", share))
}

func (g *guard) tellRun(c *Call, a *Answer, err error, waited, ran time.Duration, running int) {
	attrs := []slog.Attr{slog.String("upstream", string(c.Upstream.ID)), slog.Int("status", a.Status), slog.Int64("ran_ms", ran.Milliseconds())}
	if a.Outcome.Kind == outcome.Answered && a.Status < http.StatusInternalServerError {
		if g.opts.Decisions.Keeps(c.ID) {
			g.mu.Lock()
			slow := g.slow
			g.mu.Unlock()
			g.opts.Decisions.Write(decision.Ran, c.ID, append(attrs, slog.Int64("waited_ms", waited.Milliseconds()),
				slog.Float64("slow", slow), slog.Int("running", running))...)
		}
		return
	}
	if err != nil {
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	g.opts.Decisions.Write(decision.RunFailed, c.ID, append(attrs,
		slog.String("outcome", a.Outcome.Kind.String()), slog.String("reason", string(a.Outcome.Reason)),
		slog.Bool("idempotent", c.Idempotent))...)
}
