package routing

import (
	"math/rand/v2"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// WaitForDeadline is the Choice.QueueTimeout of a request that may wait at the guard
// until its deadline.
const WaitForDeadline time.Duration = -1

// Choice is the upstream chosen for a request.
type Choice struct {
	Upstream model.Upstream
	// QueueTimeout is the longest time for which the request may wait at the guard. If
	// it has not started by then, the guard rejects it as "not run". Zero means that
	// the guard either starts or rejects the request at once. WaitForDeadline means
	// that only the deadline bounds the wait.
	QueueTimeout time.Duration
}

// Reply is the result of one attempt.
type Reply struct {
	Outcome outcome.Outcome
	// Failed is set if the upstream responded with a server error.
	Failed bool
	// Load is the load that the guard reported.
	Load model.Load
	// HasLoad is set if the guard reported a load.
	HasLoad bool
	// Latency is the time from sending the request to receiving the response headers.
	Latency time.Duration
	// Group is the group of the request.
	Group model.GroupName
	// Hedge is set on the reply to a hedge, the second copy of a slow request.
	Hedge bool
}

// Rejected reports whether the guard rejected the request, without running it, because
// the queue timeout had expired. o is the outcome of the attempt.
func (c Choice) Rejected(o outcome.Outcome) bool {
	return c.QueueTimeout >= 0 && o.Kind == outcome.NotRun && o.Reason == outcome.ReasonWithdrawn
}

// Stats counts events since the Router was created.
type Stats struct {
	// Picks counts placements. A request is placed again after each rejection.
	Picks uint64
	// Rejections counts placements after which the guard withdrew the request from the queue.
	// The usual cause is that the queue timeout had expired.
	Rejections uint64
	// CrossZone counts placements in another zone than the entry's.
	CrossZone uint64
	// Ejections counts ejections of upstreams.
	Ejections uint64
	// Panics counts placements for which ejections were ignored because too many
	// upstreams were ejected.
	Panics uint64
	// Hedges counts hedged requests.
	Hedges uint64
	// HedgesRefused counts hedges that the budget did not allow.
	HedgesRefused uint64
	// NoUpstream counts calls of Place for which no upstream was usable.
	NoUpstream uint64
}

// Router chooses among the upstreams of one service on behalf of one entry. It is not
// safe for concurrent use.
type Router struct {
	opts   Options
	policy policy
	rng    *rand.Rand
	// candidates holds all candidates in the order in which they were passed to SetUpstreams.
	candidates []*candidate
	// localCandidates holds the candidates in the entry's zone.
	localCandidates []*candidate
	// remoteCandidates holds the candidates in other zones.
	remoteCandidates []*candidate
	byID             map[model.UpstreamID]*candidate
	pool             pool
	hedging          hedging
	stats            Stats
	// hadUpstreams is set once SetUpstreams has been called with at least one upstream.
	// Upstreams that join later ramp up.
	hadUpstreams bool
}

// New returns a Router without upstreams. It returns an *UnknownPolicyError if
// opts.Policy is not the name of a policy.
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
		hedging: hedging{estimatesByGroup: make(map[model.GroupName]*quantileEstimate)},
	}, nil
}

// Stats returns the counters.
func (r *Router) Stats() Stats { return r.stats }

// SetUpstreams replaces the candidates. The Router keeps what it knows about an upstream
// as long as the incarnation of the upstream stays the same.
func (r *Router) SetUpstreams(now model.Instant, ups []model.Upstream) {
	byID := make(map[model.UpstreamID]*candidate, len(ups))
	r.candidates, r.localCandidates, r.remoteCandidates = r.candidates[:0], r.localCandidates[:0], r.remoteCandidates[:0]
	r.pool.ejectedCount, r.pool.unreachableCount, r.pool.healthyCount = 0, 0, 0
	for _, u := range ups {
		c := r.candidateFor(now, u)
		byID[u.ID] = c
		r.candidates = append(r.candidates, c)
		if u.Zone == r.opts.Zone {
			r.localCandidates = append(r.localCandidates, c)
		} else {
			r.remoteCandidates = append(r.remoteCandidates, c)
		}
		r.countEjected(c, 1)
		if !c.unhealthy {
			r.pool.healthyCount++
		}
	}
	r.byID = byID
	r.hadUpstreams = r.hadUpstreams || len(ups) > 0
}

// candidateFor returns the existing candidate of the upstream's incarnation, with its upstream
// and its one-way delay updated. If there is none, candidateFor returns a new candidate. A new
// candidate ramps up if the Router has had upstreams before.
func (r *Router) candidateFor(now model.Instant, u model.Upstream) *candidate {
	c := r.byID[u.ID]
	if c == nil || c.upstream.Incarnation != u.Incarnation {
		c = &candidate{lastLoadReplyAt: longAgo}
		if r.hadUpstreams && r.opts.Ramp > 0 {
			c.rampEnd = now.Add(r.opts.Ramp)
		}
	}
	c.upstream = u
	c.oneWayDelay = r.oneWayDelay(u)
	return c
}

// oneWayDelay returns the one-way delay to the upstream (see Options.ZoneDelay).
func (r *Router) oneWayDelay(u model.Upstream) time.Duration {
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

// Pick is like Place, but returns only the upstream. The request may wait in that upstream's
// queue until its deadline.
func (r *Router) Pick(now model.Instant, req model.Request, exclude []model.UpstreamID) (model.Upstream, bool) {
	c, ok := r.Place(now, req, exclude, MaxRejections)
	return c.Upstream, ok
}

// MaxRejections is how many times guards may reject a request. After MaxRejections rejections,
// the request waits in the queue of the next upstream to which it is sent.
const MaxRejections = 3

// Place chooses the upstream for a request and counts the request as sent. Upstreams in exclude
// are not chosen. rejectionCount is the number of times that guards have rejected the request
// so far (see Choice.Rejected). Place returns false if no upstream is usable. Every call that
// returns true must be followed by one call of Done.
func (r *Router) Place(now model.Instant, req model.Request, exclude []model.UpstreamID, rejectionCount int) (Choice, bool) {
	r.pool.placingGroup = req.Group
	defer func() { r.pool.placingGroup = "" }()
	c := r.choose(now, exclude)
	if c == nil {
		r.stats.NoUpstream++
		return Choice{}, false
	}
	queueTimeout := WaitForDeadline
	if rejectionCount < MaxRejections {
		queueTimeout = r.policy.queueTimeout(r, now, c, rejectionCount)
	}
	r.stats.Picks++
	if rejectionCount == 0 {
		r.addHedgeTokens()
	}
	if c.upstream.Zone != r.opts.Zone {
		r.stats.CrossZone++
	}
	c.recordSent(now)
	return Choice{Upstream: c.upstream, QueueTimeout: queueTimeout}, true
}

// choose asks the policy for a candidate. Ejected candidates are considered too if too
// many are ejected or no other candidate is usable.
func (r *Router) choose(now model.Instant, exclude []model.UpstreamID) *candidate {
	if r.checkPanicMode() {
		return r.policy.choose(r, now, exclude, true)
	}
	c := r.policy.choose(r, now, exclude, false)
	if c == nil && r.pool.ejectedCount+r.pool.unreachableCount > 0 {
		return r.policy.choose(r, now, exclude, true)
	}
	return c
}

// Done records the result of an attempt at an upstream. It does nothing if the upstream is no
// longer a candidate.
func (r *Router) Done(now model.Instant, id model.UpstreamID, reply Reply) {
	c := r.byID[id]
	if c == nil {
		return
	}
	c.recordReply(now)
	if reply.Outcome.Kind == outcome.NotRun && reply.Outcome.Reason == outcome.ReasonWithdrawn {
		r.stats.Rejections++
	}
	r.updateHealth(now, c, reply)
	r.recordLatency(reply)
	if reply.HasLoad {
		c.recordQueueShare(reply.Group, reply.Load)
		r.Observe(now, id, reply.Load)
	}
}

// Observe records a load that was received from a probe or a peer. Loads in replies are
// recorded by Done. Observe ignores a load that is older than the known one, and loads of
// upstreams that are not candidates.
func (r *Router) Observe(now model.Instant, id model.UpstreamID, load model.Load) {
	c := r.byID[id]
	if c == nil || load.Seq < c.load.Seq {
		return
	}
	c.load = load
	c.loadReceivedAt = now
	c.inFlightAtLoad = c.inFlight
	c.hasLoad = true
	r.pool.observe(c)
}

// usable reports whether the candidate may be sent a request. If ignoreEjections is set,
// ejections are ignored.
func (c *candidate) usable(now model.Instant, exclude []model.UpstreamID, ignoreEjections bool) bool {
	if c.upstream.Draining || c.load.Draining {
		return false
	}
	if c.ejected && !ignoreEjections && !c.allowsTrial(now) {
		return false
	}
	for _, id := range exclude {
		if id == c.upstream.ID {
			return false
		}
	}
	return true
}

// randomTries is the number of random candidates that randomUsable tries before it scans all
// candidates.
const randomTries = 8

// randomUsable returns a random usable candidate, or nil if there is none.
func (r *Router) randomUsable(now model.Instant, exclude []model.UpstreamID, ignoreEjections bool) *candidate {
	n := len(r.candidates)
	if n == 0 {
		return nil
	}
	for range randomTries {
		c := r.candidates[r.rng.IntN(n)]
		if c.usable(now, exclude, ignoreEjections) {
			return c
		}
	}
	start := r.rng.IntN(n)
	for i := range n {
		c := r.candidates[(start+i)%n]
		if c.usable(now, exclude, ignoreEjections) {
			return c
		}
	}
	return nil
}
