package limit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// sharedUpstream is a simulated upstream that runs up to capacity requests at full speed. If
// more requests run, all of them take longer, by the factor running/capacity.
type sharedUpstream struct {
	capacity float64
	// slowdown is a factor by which all requests take longer, whatever their number.
	slowdown float64
}

// simulate has the limiter observe n requests with log-normal slot times. Most requests run
// at the limit, and every eighth runs at half of the limit.
func simulate(l *Limiter, u sharedUpstream, n int, rng *rand.Rand) {
	for i := range n {
		running := l.Limit()
		if i%8 == 0 {
			running = max(running/2, 1)
		}
		slotTime := 2e6 * math.Exp(0.6*rng.NormFloat64()) * u.slowdown * max(1, float64(running)/u.capacity)
		l.Observe(model.Instant(i), time.Duration(slotTime), running, false)
	}
}

func TestLimiterFindsTheUpstreamsCapacity(t *testing.T) {
	cases := map[string]struct {
		upstream           sharedUpstream
		optionsMax         int
		minLimit, maxLimit int
	}{
		"announced slots are correct":  {upstream: sharedUpstream{capacity: 6, slowdown: 1}, minLimit: 6, maxLimit: 6},
		"announces twice its capacity": {upstream: sharedUpstream{capacity: 3, slowdown: 1}, minLimit: 2, maxLimit: 5},
		"straggler keeps its limit":    {upstream: sharedUpstream{capacity: 6, slowdown: 8}, minLimit: 6, maxLimit: 6},
		"announces too few slots":      {upstream: sharedUpstream{capacity: 12, slowdown: 1}, optionsMax: 12, minLimit: 10, maxLimit: 12},
		"one slot":                     {upstream: sharedUpstream{capacity: 1, slowdown: 1}, minLimit: 1, maxLimit: 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			l := New(Options{Slots: 6, Max: tc.optionsMax})
			simulate(l, tc.upstream, 50_000, rng)
			for range 100 {
				simulate(l, tc.upstream, 64, rng)
				assert.LessOrEqual(t, l.limit, tc.maxLimit)
				assert.GreaterOrEqual(t, l.limit, tc.minLimit)
			}
		})
	}
}

// TestSurgeOfCostlyRequestsKeepsTheLimit has phases of 48 requests at the limit, of which about
// 40% take ten times as long as the others. In between, only 1 to 3 requests run at a time, and
// 5% take longer. The upstream has no contention, so the limit must not fall by more than one.
func TestSurgeOfCostlyRequestsKeepsTheLimit(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	l := New(Options{Slots: 6})
	lowestLimit := 6
	for i := range 200_000 {
		running, costlyShare := 1+i%3, 0.05
		if i%64 >= 16 {
			running, costlyShare = l.Limit(), 0.4
		}
		slotTime := 2e6 * math.Exp(0.6*rng.NormFloat64())
		if rng.Float64() < costlyShare {
			slotTime *= 10
		}
		l.Observe(model.Instant(i), time.Duration(slotTime), running, false)
		lowestLimit = min(lowestLimit, l.limit)
	}
	assert.GreaterOrEqual(t, lowestLimit, 5)
}

// TestLimiterProbesRarelyUnderFullLoad has requests always run at the limit. Probes must occur,
// but fewer than 1% of the requests may be affected.
func TestLimiterProbesRarelyUnderFullLoad(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	l := New(Options{Slots: 6})
	const requestCount = 200_000
	probingCount := 0
	for i := range requestCount {
		if l.Limit() < 6 {
			probingCount++
		}
		slotTime := 2e6 * math.Exp(0.6*rng.NormFloat64())
		l.Observe(model.Instant(i), time.Duration(slotTime), l.Limit(), false)
	}
	assert.Positive(t, probingCount)
	assert.Less(t, probingCount, requestCount/100)
}

func TestLimitRisesWhenTheUpstreamRecovers(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	l := New(Options{Slots: 6})
	simulate(l, sharedUpstream{capacity: 2, slowdown: 1}, 20_000, rng)
	assert.Less(t, l.limit, 6)
	simulate(l, sharedUpstream{capacity: 6, slowdown: 1}, 20_000, rng)
	assert.Equal(t, 6, l.limit)
}

func TestAnnotateCarriesFailuresAndSlotTime(t *testing.T) {
	l := New(Options{Slots: 2})
	for range 100 {
		l.Observe(0, 3*time.Millisecond, 1, false)
	}
	assert.Equal(t, 3*time.Millisecond, l.Annotate(model.Load{}).ServiceTime)
	assert.Zero(t, l.Annotate(model.Load{}).FailureRate)
	assert.False(t, l.Slowed())
	for range 30 {
		l.Observe(0, time.Microsecond, 1, true)
	}
	load := l.Annotate(model.Load{})
	assert.Greater(t, load.FailureRate, float32(0.9))
	assert.False(t, l.Slowed())
	assert.Equal(t, 3*time.Millisecond, load.ServiceTime, "failed requests do not count towards the service time")
	for range 20 {
		l.Observe(0, 24*time.Millisecond, 1, false)
	}
	assert.True(t, l.Slowed())
}
