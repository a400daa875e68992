package routing

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

const (
	// hedgeQuantile is a quantile of the latencies of a group of callers. A request of the
	// group that takes longer than the quantile is hedged: a second copy of it is sent to
	// another upstream.
	hedgeQuantile = 0.98
	// quantileStep is the relative step by which the quantile estimate falls. The step
	// up is larger by the factor hedgeQuantile/(1-hedgeQuantile), so that the estimate
	// settles at the quantile.
	quantileStep = 0.001
	// minHedgeSamples is the number of latencies needed before requests of a group are
	// hedged.
	minHedgeSamples = 200
	// maxHedgeGroups bounds the number of groups with their own latency estimate. All
	// other groups share one estimate.
	maxHedgeGroups = 64
	// hedgeBurst is the largest number of hedges that can be saved up in the budget.
	hedgeBurst = 20
	// minHedgeDelay is the shortest time before a request is hedged, in typical service times
	// (see pool.typicalServiceTime).
	minHedgeDelay = 2
)

// defaultHedgeBudget is the default of Options.HedgeBudget, in hedges per request.
const defaultHedgeBudget = 0.02

// hedging holds the latency estimates and the hedge budget.
type hedging struct {
	// estimatesByGroup holds the estimates of up to maxHedgeGroups groups.
	estimatesByGroup map[model.GroupName]*quantileEstimate
	// sharedEstimate is the estimate of the groups that have none of their own.
	sharedEstimate quantileEstimate
	// tokens is the number of hedges that the budget allows now.
	tokens float64
}

// quantileEstimate is a running estimate of the quantile hedgeQuantile of the latencies added to
// it, in nanoseconds.
type quantileEstimate struct {
	value float64
	// n is the number of latencies added so far.
	n int
}

// add updates the estimate with a latency.
func (q *quantileEstimate) add(latency float64) {
	q.n++
	switch {
	case q.value == 0:
		q.value = latency
	case latency > q.value:
		q.value *= 1 + quantileStep*hedgeQuantile/(1-hedgeQuantile)
	default:
		q.value *= 1 - quantileStep
	}
}

// HedgeDelay returns how long to wait for a response before the request is hedged, that is
// before a second copy is sent to another upstream. HedgeDelay returns false if the request
// must not be hedged: it is not idempotent, hedging is disabled, the policy does not hedge,
// or too few latencies are known.
func (r *Router) HedgeDelay(req model.Request) (time.Duration, bool) {
	if !req.Idempotent || !r.policy.hedges() || r.opts.HedgeBudget <= 0 {
		return 0, false
	}
	q := r.hedging.estimate(req.Group)
	if q.n < minHedgeSamples {
		return 0, false
	}
	return time.Duration(max(q.value, minHedgeDelay*r.pool.typicalServiceTime())), true
}

// Hedge chooses the upstream for the second copy of a request and counts that copy as sent. The
// caller must have waited for HedgeDelay without a response to the first copy. firstUpstream is
// the upstream of the first copy, and sentAt is the instant at which that copy was sent.
// Upstreams in exclude are not chosen, because they already have the request. The queue timeout
// of the second copy is zero, so the second copy only uses a free slot.
//
// Hedge returns false in each of these cases:
//   - The first upstream is not slow, so the delay is due to the request itself.
//   - The hedge budget is used up.
//   - No other upstream is usable.
func (r *Router) Hedge(now model.Instant, firstUpstream model.UpstreamID, sentAt model.Instant, exclude []model.UpstreamID) (Choice, bool) {
	if !r.upstreamSlow(now, firstUpstream, sentAt) {
		return Choice{}, false
	}
	if r.hedging.tokens < 1 {
		r.stats.HedgesRefused++
		return Choice{}, false
	}
	c := r.choose(now, exclude)
	if c == nil {
		return Choice{}, false
	}
	r.hedging.tokens--
	r.stats.Hedges++
	c.recordSent(now)
	return Choice{Upstream: c.upstream, QueueTimeout: 0}, true
}

// upstreamSlow reports whether an upstream that has not responded to a request is itself
// slow or failing. If not, the request is a long one. sentAt is when the request was sent.
// An upstream that has sent no reply with a load since sentAt counts as slow, and so does
// an upstream that is no longer a candidate.
func (r *Router) upstreamSlow(now model.Instant, id model.UpstreamID, sentAt model.Instant) bool {
	c := r.byID[id]
	if c == nil {
		return true
	}
	return c.ejected || c.slowdown(now, &r.pool) > 1 || c.lastLoadReplyAt < sentAt
}

// addHedgeTokens credits the hedge budget for one request.
func (r *Router) addHedgeTokens() {
	r.hedging.tokens = min(r.hedging.tokens+r.opts.HedgeBudget, hedgeBurst)
}

// recordLatency updates the latency estimate of the request's group. It ignores replies
// to hedges and replies without a successful response. The exception is a request that was
// cancelled because its hedge completed first: its latency is the time until the
// cancellation.
func (r *Router) recordLatency(reply Reply) {
	cancelled := reply.Outcome.Reason == outcome.ReasonCancelled
	if reply.Hedge || reply.Failed || reply.Outcome.Kind != outcome.Answered && !cancelled {
		return
	}
	r.hedging.ensureEstimate(reply.Group).add(float64(reply.Latency))
}

// estimate returns the latency estimate of a group: its own, or else the shared one.
func (h *hedging) estimate(g model.GroupName) *quantileEstimate {
	if q := h.estimatesByGroup[g]; q != nil {
		return q
	}
	return &h.sharedEstimate
}

// ensureEstimate returns the group's own estimate, creating it if necessary. It returns the
// shared estimate if there are too many groups.
func (h *hedging) ensureEstimate(g model.GroupName) *quantileEstimate {
	if q := h.estimatesByGroup[g]; q != nil {
		return q
	}
	if len(h.estimatesByGroup) >= maxHedgeGroups {
		return &h.sharedEstimate
	}
	q := &quantileEstimate{}
	h.estimatesByGroup[g] = q
	return q
}
