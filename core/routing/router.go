package routing

import (
	"math/rand/v2"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// WaitForDeadline is the patience of a request that waits at the guard until
// its deadline.
const WaitForDeadline time.Duration = -1

// Choice is where a request goes.
type Choice struct {
	Upstream model.Upstream
	// Patience is how long the request may wait at the guard. When it has not
	// started by then the guard gives it back as "not run". Zero: start at once
	// or give back at once. WaitForDeadline: no limit but the deadline.
	Patience time.Duration
}

// Reply is what came back from one attempt.
type Reply struct {
	Outcome outcome.Outcome
	// Failed is set when the upstream answered with a server error.
	Failed bool
	// Load is what the guard said; HasLoad tells whether it said anything.
	Load    model.Load
	HasLoad bool
	// Latency is the time from sending to the head of the answer.
	Latency time.Duration
	// Group is the group of the request; Hedge is set on the reply to a hedge.
	Group model.GroupName
	Hedge bool
}

// Bounced reports whether the guard gave the request back unrun because its
// patience had ended.
func (c Choice) Bounced(o outcome.Outcome) bool {
	return c.Patience >= 0 && o.Kind == outcome.NotRun && o.Reason == outcome.ReasonWithdrawn
}

// Stats counts decisions since the Router was made.
type Stats struct {
	// Picks counts placements, Bounces requests given back, Spills placements
	// in another zone.
	Picks, Bounces, Spills uint64
	// Ejections counts upstreams left out because they fail, Panics picks that
	// ignored ejections because too many were ejected.
	Ejections, Panics uint64
	// Hedges counts requests sent a second time, HedgesRefused those that the
	// budget forbade.
	Hedges, HedgesRefused uint64
	// NoUpstream counts requests for which no upstream was usable.
	NoUpstream uint64
}

// Router chooses upstreams of one service for one entry. It is not safe for
// concurrent use.
type Router struct {
	opts         Options
	policy       policy
	rng          *rand.Rand
	candidates   []*candidate
	local        []*candidate
	remote       []*candidate
	byID         map[model.UpstreamID]*candidate
	pool         pool
	hedging      hedging
	stats        Stats
	hadUpstreams bool
}

// New returns a Router without upstreams. The error is an *UnknownPolicyError.
func New(opts Options) (*Router, error) {
	p, err := newPolicy(opts.Policy)
	if err != nil {
		return nil, err
	}
	if opts.Ramp == 0 {
		opts.Ramp = defaultRamp
	}
	if opts.HedgeBudget == 0 {
		opts.HedgeBudget = defaultHedgeBudget
	}
	return &Router{
		opts:    opts,
		policy:  p,
		rng:     rand.New(rand.NewPCG(opts.Seed, opts.Seed+1)),
		byID:    make(map[model.UpstreamID]*candidate),
		hedging: hedging{groups: make(map[model.GroupName]*quantileEstimate)},
	}, nil
}

// Stats returns the counts so far.
func (r *Router) Stats() Stats { return r.stats }

// SetUpstreams replaces the candidates. What is known of an upstream stays as
// long as its incarnation does.
func (r *Router) SetUpstreams(now model.Instant, ups []model.Upstream) {
	byID := make(map[model.UpstreamID]*candidate, len(ups))
	r.candidates, r.local, r.remote = r.candidates[:0], r.local[:0], r.remote[:0]
	r.pool.ejected, r.pool.unreachable, r.pool.healthy = 0, 0, 0
	for _, u := range ups {
		c := r.candidateFor(now, u)
		byID[u.ID] = c
		r.candidates = append(r.candidates, c)
		if u.Zone == r.opts.Zone {
			r.local = append(r.local, c)
		} else {
			r.remote = append(r.remote, c)
		}
		r.countEjected(c, 1)
		if !c.unhealthy {
			r.pool.healthy++
		}
	}
	r.byID = byID
	r.hadUpstreams = r.hadUpstreams || len(ups) > 0
}

// keep returns what is known of the upstream, or a new candidate for a new
// incarnation. One that joins a running pool ramps up.
func (r *Router) candidateFor(now model.Instant, u model.Upstream) *candidate {
	c := r.byID[u.ID]
	if c == nil || c.upstream.Incarnation != u.Incarnation {
		c = &candidate{lastReplyAt: longAgo}
		if r.hadUpstreams && r.opts.Ramp > 0 {
			c.rampEnd = now.Add(r.opts.Ramp)
		}
	}
	c.upstream = u
	c.oneWayDelay = r.delay(u)
	return c
}

func (r *Router) delay(u model.Upstream) time.Duration {
	if u.Daemon == r.opts.Self && u.Daemon != "" {
		return 0
	}
	if d, ok := r.opts.ZoneDelay[u.Zone]; ok {
		return d
	}
	if u.Zone == r.opts.Zone {
		return 0
	}
	return DefaultZoneDelay
}

// Pick chooses the upstream for a request that waits there until its deadline,
// and counts it as sent. See Place.
func (r *Router) Pick(now model.Instant, req model.Request, exclude []model.UpstreamID) (model.Upstream, bool) {
	c, ok := r.Place(now, req, exclude, MaxBounces)
	return c.Upstream, ok
}

// MaxBounces is the number of times that a request may be given back before it
// waits wherever it is sent.
const MaxBounces = 3

// Place chooses the upstream for a request and counts it as sent. Upstreams in
// exclude are left out. bounced counts how often guards have given the request
// back (see Choice.Bounced). It reports false when no upstream may take the
// request. Every Place that reports true is followed by one Done.
func (r *Router) Place(now model.Instant, req model.Request, exclude []model.UpstreamID, rejections int) (Choice, bool) {
	r.pool.placingGroup = req.Group
	defer func() { r.pool.placingGroup = "" }()
	c := r.choose(now, exclude)
	if c == nil {
		r.stats.NoUpstream++
		return Choice{}, false
	}
	queueTimeout := WaitForDeadline
	if rejections < MaxBounces {
		queueTimeout = r.policy.queueTimeout(r, now, c, rejections)
	}
	r.stats.Picks++
	if rejections == 0 {
		r.addHedgeTokens()
	}
	if c.upstream.Zone != r.opts.Zone {
		r.stats.Spills++
	}
	c.recordSent(now)
	return Choice{Upstream: c.upstream, Patience: queueTimeout}, true
}

// choose takes ejected candidates too when too many are ejected, or when there
// are no others.
func (r *Router) choose(now model.Instant, exclude []model.UpstreamID) *candidate {
	if r.panicking() {
		return r.policy.choose(r, now, exclude, true)
	}
	c := r.policy.choose(r, now, exclude, false)
	if c == nil && r.pool.ejected+r.pool.unreachable > 0 {
		return r.policy.choose(r, now, exclude, true)
	}
	return c
}

// Done tells how the attempt at an upstream went.
func (r *Router) Done(now model.Instant, id model.UpstreamID, reply Reply) {
	c := r.byID[id]
	if c == nil {
		return
	}
	c.recordReply(now)
	if reply.Outcome.Kind == outcome.NotRun && reply.Outcome.Reason == outcome.ReasonWithdrawn {
		r.stats.Bounces++
	}
	r.updateHealth(now, c, reply)
	r.recordLatency(reply)
	if reply.HasLoad {
		c.recordQueueShare(reply.Group, reply.Load)
		r.Observe(now, id, reply.Load)
	}
}

// Observe takes in a load figure that came outside a reply, from a probe or
// from a peer. An older figure than the one known changes nothing.
func (r *Router) Observe(now model.Instant, id model.UpstreamID, load model.Load) {
	c := r.byID[id]
	if c == nil || load.Seq < c.load.Seq {
		return
	}
	c.load = load
	c.loadAt = now
	c.inFlightAtLoad = c.inFlight
	c.hasLoad = true
	r.pool.observe(c)
}

// usable reports whether the candidate may take a request. panicking ignores
// ejections.
func (c *candidate) usable(now model.Instant, exclude []model.UpstreamID, panicking bool) bool {
	if c.upstream.Draining || c.load.Draining {
		return false
	}
	if c.ejected && !panicking && !c.mayRetry(now) {
		return false
	}
	for _, id := range exclude {
		if id == c.upstream.ID {
			return false
		}
	}
	return true
}

// randomTries is the number of random candidates looked at before a scan.
const randomTries = 8

// random returns a random usable candidate, or nil.
func (r *Router) random(now model.Instant, exclude []model.UpstreamID, panicking bool) *candidate {
	n := len(r.candidates)
	if n == 0 {
		return nil
	}
	for range randomTries {
		c := r.candidates[r.rng.IntN(n)]
		if c.usable(now, exclude, panicking) {
			return c
		}
	}
	start := r.rng.IntN(n)
	for i := range n {
		c := r.candidates[(start+i)%n]
		if c.usable(now, exclude, panicking) {
			return c
		}
	}
	return nil
}
