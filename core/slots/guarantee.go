package slots

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// guaranteedShare is how often a flow is served at least, as a share of how often all are. Every
	// account is to be served a quarter as often as all. The rest allows for requests that start and
	// still end too late.
	guaranteedShare = 0.3
	// offeredHalfLife is the time in which a request counts half as much among those offered of late.
	offeredHalfLife = 5 * time.Second
	// maxOwed bounds the starts that a flow is owed, in both directions. A flow that sends nothing for
	// a while must not gain many starts at once.
	maxOwed = 2
	// maxFlows bounds the flows whose guarantees are kept. Flows that are not kept have no guarantee.
	maxFlows = 4096
	// leastOffered is the number of requests offered of late below which a flow is forgotten.
	leastOffered = 1.0 / 64
)

// flow identifies the requests of one account and rank.
type flow struct {
	account Account
	rank    int
}

// guarantee is the state of one flow.
type guarantee struct {
	// offered counts the requests of late, whether they were admitted or not.
	offered float64
	// owed is how many starts the flow lacks of those that it is guaranteed.
	owed float64
}

// guarantees keeps each flow from being served less than guaranteedShare as often as all, however many
// requests of lower ranks wait. At each start, each flow is owed as much of a start as its share of the
// requests offered of late, times guaranteedShare. A flow that is owed a whole start comes first. A flow
// that gets its starts in the order of ranks is owed nothing.
type guarantees struct {
	byFlow map[flow]guarantee
	// decayedAt is when the numbers of requests offered were last decayed.
	decayedAt model.Instant
}

// offer records that a request of a flow arrives.
func (g *guarantees) offer(now model.Instant, f flow) {
	g.decay(now)
	if _, ok := g.byFlow[f]; !ok && len(g.byFlow) >= maxFlows {
		return
	}
	if g.byFlow == nil {
		g.byFlow = make(map[flow]guarantee)
	}
	state := g.byFlow[f]
	state.offered++
	g.byFlow[f] = state
}

// decay reduces the numbers of requests offered and forgets flows that have sent nothing for long.
func (g *guarantees) decay(now model.Instant) {
	factor := math.Exp2(-float64(now.Sub(g.decayedAt)) / float64(offeredHalfLife))
	g.decayedAt = now
	for f, state := range g.byFlow {
		state.offered *= factor
		if state.offered < leastOffered {
			delete(g.byFlow, f)
			continue
		}
		g.byFlow[f] = state
	}
}

// start records that a request of a flow starts.
func (g *guarantees) start(started flow) {
	total := 0.0
	for _, state := range g.byFlow {
		total += state.offered
	}
	for f, state := range g.byFlow {
		state.owed += guaranteedShare * state.offered / total
		if f == started {
			state.owed--
		}
		state.owed = min(max(state.owed, -maxOwed), maxOwed)
		g.byFlow[f] = state
	}
}

// owed returns how many starts a flow is owed.
func (g *guarantees) owed(f flow) float64 { return g.byFlow[f].owed }
