package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// server is an upstream that slows all runs down by a factor from a share of its slots on,
// and by another while it has a neighbour, which changes a few times a second.
type server struct {
	slots        int
	knee, factor float64
	// noise is the share of the time with a neighbour; told has the Learner know of it.
	noise float64
	told  bool
	// load is what comes, as a share of the most that gets done.
	load float64
}

const (
	simTick     = time.Millisecond
	simWork     = 0.1
	noiseLength = 250
	noiseFactor = 4.0
)

func (s server) throughput(limit int) float64 {
	if float64(limit) >= s.knee*float64(s.slots) {
		return float64(limit) / s.factor
	}
	return float64(limit)
}

// best returns the limit at which most gets done.
func (s server) best() int {
	best := 1
	for n := 1; n <= s.slots; n++ {
		if s.throughput(n) > s.throughput(best) {
			best = n
		}
	}
	return best
}

type simRun struct {
	left float64
	run  Run
}

// play lets a Learner guard the server for a while and returns how much was done of what
// the best limit would have done, or of what came where that is less.
func (s server) play(l *Learner, seconds int, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 9))
	rate := s.load * s.throughput(s.best()) * (1 - s.noise + s.noise/noiseFactor) / simWork
	now, queue, done, came := model.Instant(1), 0, 0.0, 0.0
	var runs []simRun
	speed := 1.0
	for tick := range seconds * 1000 {
		now = now.Add(simTick)
		if tick%noiseLength == 0 {
			speed = 1
			if rng.Float64() < s.noise {
				speed = 1 / noiseFactor
			}
			if s.told {
				l.Slow(now, 1/speed)
			}
		}
		for p := rng.Float64(); p > math.Exp(-rate*simTick.Seconds()); p *= rng.Float64() {
			came += simWork
			queue = min(queue+1, 50*s.slots)
		}
		v := speed * simTick.Seconds()
		if float64(len(runs)) >= s.knee*float64(s.slots) {
			v /= s.factor
		}
		kept := runs[:0]
		for _, r := range runs {
			if r.left -= v; r.left > 0 {
				kept = append(kept, r)
				continue
			}
			l.End(now, r.run, time.Duration(simWork*float64(time.Second)), true)
			done += simWork
		}
		runs = kept
		for queue > 0 && len(runs) < l.Limit(now, true) {
			queue--
			runs = append(runs, simRun{simWork * math.Exp(0.3*rng.NormFloat64()-0.045), l.Begin(now)})
		}
		if queue == 0 {
			l.Limit(now, false)
		}
	}
	most := s.throughput(s.best()) * float64(seconds) * (1 - s.noise + s.noise/noiseFactor)
	return done / min(most, came)
}

// TestLearnerFindsTheKnee starts at the usual limit below saturation, at different knees,
// with more to do than can be done.
func TestLearnerFindsTheKnee(t *testing.T) {
	const seconds = 240
	for _, slots := range []int{4, 6, 14, 20, 100} {
		for _, knee := range []float64{0.5, 0.6, 0.8, 0.9, 2} {
			for _, told := range []bool{true, false} {
				s := server{slots: slots, knee: knee, factor: 3, noise: 0.25, told: told, load: 1.3}
				t.Run(fmt.Sprintf("%d slots, knee %.1f, told %t", slots, knee, told), func(t *testing.T) {
					start := int(math.Ceil(0.8*float64(slots))) - 1
					l := NewLearner(slots, start, func() bool { return true })
					done := s.play(l, seconds, 2)
					t.Logf("best %d, learned %d; done %.2f", s.best(), l.InUse(), done)
					found, best := s.throughput(l.InUse()), s.throughput(s.best())
					if told {
						require.GreaterOrEqual(t, found, 0.85*best)
					}
					require.GreaterOrEqual(t, found, 0.95*s.throughput(start))
				})
			}
		}
	}
}

// TestIdleUpstreamsAreLeftAlone never has a limit tried where nothing waits.
func TestIdleUpstreamsAreLeftAlone(t *testing.T) {
	s := server{slots: 6, knee: 0.8, factor: 3, noise: 0.25, told: true, load: 0.2}
	l := NewLearner(6, 4, func() bool { return true })
	s.play(l, 120, 1)
	require.Equal(t, 4, l.InUse())
}

// TestAdoptedLimitsAreBounded takes over what others found, within the slots.
func TestAdoptedLimitsAreBounded(t *testing.T) {
	l := NewLearner(6, 4, func() bool { return true })
	for adopted, want := range map[int]int{3: 3, 0: 1, -2: 1, 9: 6} {
		l.Adopt(adopted)
		require.Equal(t, want, l.Limit(1, false))
	}
}

// TestOthersTry has a Learner whose turn it never is keep its limit.
func TestOthersTry(t *testing.T) {
	s := server{slots: 6, knee: 2, factor: 1, noise: 0, told: true, load: 1.3}
	l := NewLearner(6, 4, func() bool { return false })
	s.play(l, 60, 1)
	require.Equal(t, 4, l.InUse())
}

// TestResetKeepsTheLimit starts the upstream anew in the middle of a comparison.
func TestResetKeepsTheLimit(t *testing.T) {
	s := server{slots: 6, knee: 2, factor: 1, noise: 0, told: true, load: 1.3}
	l := NewLearner(6, 4, func() bool { return true })
	for range 200 {
		s.play(l, 1, 1)
		if l.trial != 0 {
			break
		}
	}
	require.NotZero(t, l.trial)
	before := l.InUse()
	l.Reset()
	require.Equal(t, before, l.Limit(l.at, false))
}
