package slots

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// server is an upstream that always has requests waiting. Above knee concurrent runs
// each of them takes factor times as long. A neighbour on its VM makes all runs four
// times slower for 300 ms at a time, a quarter of the time, as recorded of upstreams
// that share their VMs; what the load header tells of it is known when a run ends.
type server struct {
	knee   int
	factor float64
	told   bool
}

// learn plays a while and returns the limit in use at its end, and how many runs ended.
func (s server) learn(l *Limiter, seed uint64, length time.Duration) (int, int) {
	const tick = time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 1))
	type run struct {
		Run
		left, work float64
	}
	var runs []run
	var now model.Instant
	ended, noise := 0, 1.0
	for ; now < model.Instant(0).Add(length); now = now.Add(tick) {
		if int64(now.Sub(0)/tick)%300 == 0 {
			noise = 1
			if rng.Float64() < 0.25 {
				noise = 4
			}
		}
		speed := 1 / noise
		if len(runs) > s.knee {
			speed /= s.factor
		}
		kept := runs[:0]
		for _, r := range runs {
			r.left -= speed * tick.Seconds()
			if r.left > 0 {
				kept = append(kept, r)
				continue
			}
			ended++
			expected := 0.060
			if s.told {
				expected *= noise
			}
			l.End(r.Run, now, time.Duration(expected*float64(time.Second)))
		}
		runs = kept
		for len(runs) < l.Limit(now, true) {
			work := 0.060 * math.Exp(0.3*rng.NormFloat64())
			runs = append(runs, run{Run: l.Begin(now), left: work, work: work})
		}
		l.Runs(now, len(runs))
	}
	return l.limit, ended
}

func TestLimiterFindsTheBestLimit(t *testing.T) {
	for name, c := range map[string]struct {
		server
		slots, begin, want int
		// share is how many of the seeds must find it within 100 s.
		share float64
	}{
		"slows down near full":     {server{4, 1.7, true}, 6, 4, 4, 0.8},
		"never slows down":         {server{6, 1, true}, 6, 4, 6, 0.8},
		"slows down early":         {server{3, 4, true}, 6, 4, 3, 0.8},
		"few slots":                {server{1, 1.7, true}, 2, 1, 2, 0.8},
		"many slots":               {server{15, 1.7, true}, 20, 12, 15, 0.8},
		"one slot":                 {server{1, 1, true}, 1, 1, 1, 0.8},
		"slowness untold":          {server{4, 1.7, false}, 6, 4, 4, 0.8},
		"slowness untold, no knee": {server{6, 1, false}, 6, 4, 6, 0.6},
		"slows down at half":       {server{2, 2.5, true}, 6, 4, 6, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			const seeds = 20
			found := 0
			for seed := range uint64(seeds) {
				l := NewLimiter(c.begin, c.slots)
				limit, _ := c.learn(l, seed, 100*time.Second)
				require.GreaterOrEqual(t, limit, 1)
				require.LessOrEqual(t, limit, c.slots)
				if limit == c.want {
					found++
				}
			}
			t.Logf("%d of %d seeds", found, seeds)
			require.GreaterOrEqual(t, float64(found), c.share*seeds)
		})
	}
}

// TestLimiterCostsLittle compares what an upstream gets done while its limit is
// compared with what it gets done at the best one.
func TestLimiterCostsLittle(t *testing.T) {
	s := server{4, 1.7, true}
	var with, without int
	for seed := range uint64(10) {
		_, n := s.learn(NewLimiter(4, 6), seed, 20*time.Second)
		with += n
		still := NewLimiter(4, 6)
		still.settledUntil = model.Instant(math.MaxInt64)
		_, n = s.learn(still, seed, 20*time.Second)
		without += n
	}
	t.Logf("%d runs, %d without comparisons", with, without)
	require.Greater(t, float64(with), 0.94*float64(without))
}

func TestLimiterHoldsStillWhileNothingWaits(t *testing.T) {
	l := NewLimiter(4, 6)
	for i := range 100 {
		require.Equal(t, 4, l.Limit(at(i*50), false))
	}
}

func TestLimiterAlternatesWhileRequestsWait(t *testing.T) {
	l := NewLimiter(4, 6)
	seen := map[int]int{}
	for i := range 40 {
		seen[l.Limit(at(i*50), true)]++
	}
	require.Equal(t, map[int]int{4: 20, 3: 20}, seen)
}

func TestLimiterIgnoresRunsUnderBothLimits(t *testing.T) {
	l := NewLimiter(4, 6)
	l.Limit(0, true)
	l.Runs(0, 4)
	r := l.Begin(0)
	l.Runs(at(50), 3)
	l.End(r, at(100), 50*time.Millisecond)
	require.Zero(t, l.arms[armInUse].n)
	require.Zero(t, l.arms[armTrial].n)
}
