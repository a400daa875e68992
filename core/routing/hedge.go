package routing

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

const (
	// hedgeQuantile is the quantile of its group's latency that a request must
	// outlast to be hedged.
	hedgeQuantile = 0.98
	// quantileStep is the relative step down of the quantile's estimate; the
	// step up is larger in proportion.
	quantileStep = 0.001
	// hedgeSamples is the number of latencies seen before a group is hedged.
	hedgeSamples = 200
	// maxHedgeGroups bounds the groups with an estimate of their own; the rest
	// share one.
	maxHedgeGroups = 64
	// hedgeBurst is the number of hedges that may be saved up.
	hedgeBurst = 20
	// hedgeFloor is the least delay in mean slot times.
	minHedgeDelay = 2
)

// defaultHedgeBudget is the number of hedges allowed for each request.
const defaultHedgeBudget = 0.02

// hedging holds when requests are hedged and how many still may be.
type hedging struct {
	groups map[model.GroupName]*quantileEstimate
	shared quantileEstimate
	tokens float64
}

// quantile follows a quantile of latencies, in nanoseconds.
type quantileEstimate struct {
	value float64
	n     int
}

func (q *quantileEstimate) add(x float64) {
	q.n++
	switch {
	case q.value == 0:
		q.value = x
	case x > q.value:
		q.value *= 1 + quantileStep*hedgeQuantile/(1-hedgeQuantile)
	default:
		q.value *= 1 - quantileStep
	}
}

// HedgeDelay returns how long to wait for an answer before the request is sent
// to a second upstream. It reports false when the request must not be hedged:
// it is not idempotent, the policy does not hedge, or too little is known.
func (r *Router) HedgeDelay(req model.Request) (time.Duration, bool) {
	if !req.Idempotent || !r.policy.hedges() || r.opts.HedgeBudget <= 0 {
		return 0, false
	}
	q := r.hedging.estimate(req.Group)
	if q.n < hedgeSamples {
		return 0, false
	}
	return time.Duration(max(q.value, minHedgeDelay*r.pool.meanService())), true
}

// Hedge chooses the second upstream for a request that was sent to the first at
// the given instant and outlasted HedgeDelay there, and counts it as sent. exclude names the upstreams that have had
// it. The choice has no patience: a hedge only uses a slot that is free. It
// reports false when the first upstream looks well, so that only the request is
// long, when the budget is spent, or when no other upstream may take it.
func (r *Router) Hedge(now model.Instant, first model.UpstreamID, sent model.Instant, exclude []model.UpstreamID) (Choice, bool) {
	if !r.upstreamSlow(now, first, sent) {
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
	return Choice{Upstream: c.upstream, Patience: 0}, true
}

// suspect reports whether the upstream itself, not just the request sent at the
// given instant, is slow: it has answered nothing since.
func (r *Router) upstreamSlow(now model.Instant, id model.UpstreamID, sent model.Instant) bool {
	c := r.byID[id]
	if c == nil {
		return true
	}
	return c.ejected || c.slowdown(now, &r.pool) > 1 || c.lastReplyAt < sent
}

// earn adds a request's part to the budget.
func (r *Router) addHedgeTokens() {
	r.hedging.tokens = min(r.hedging.tokens+r.opts.HedgeBudget, hedgeBurst)
}

// learn takes in the latency of a request. One that was cancelled because its
// hedge answered first counts with the time it had taken by then.
func (r *Router) recordLatency(reply Reply) {
	cancelled := reply.Outcome.Reason == outcome.ReasonCancelled
	if reply.Hedge || reply.Failed || reply.Outcome.Kind != outcome.Answered && !cancelled {
		return
	}
	r.hedging.estimateToUpdate(reply.Group).add(float64(reply.Latency))
}

// of returns the estimate that counts for a group.
func (h *hedging) estimate(g model.GroupName) *quantileEstimate {
	if q := h.groups[g]; q != nil {
		return q
	}
	return &h.shared
}

// keep returns the group's own estimate, or the shared one when there are too
// many groups.
func (h *hedging) estimateToUpdate(g model.GroupName) *quantileEstimate {
	if q := h.groups[g]; q != nil {
		return q
	}
	if len(h.groups) >= maxHedgeGroups {
		return &h.shared
	}
	q := &quantileEstimate{}
	h.groups[g] = q
	return q
}
