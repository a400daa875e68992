package startrate

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

func at(d time.Duration) model.Instant { return model.Instant(d) }

// limits are those of an upstream that tolerates 10 requests per second, with half as many again
// and 8 more in any second.
var limits = ColdLimits{Rate: 10, Max: 23, Duration: 3 * time.Second}

// startAll starts as many requests as the limiter allows at one instant.
func startAll(l *Cold, now model.Instant) int {
	n := 0
	for ; n < 1000 && l.NextStart(now) == now; n++ {
		l.RecordStart(now)
	}
	return n
}

func TestUnlimitedWithoutRate(t *testing.T) {
	var l Cold
	require.Equal(t, 1000, startAll(&l, 0))
	l.SetLimits(ColdLimits{Rate: 1e9, Max: 1e9})
	require.Equal(t, 1000, startAll(&l, 0))
	require.Empty(t, l.starts.times, "no memory is spent")
}

// TestColdUpstreamGetsItsRate sends as many requests as possible to an upstream that is known to be
// cold. It must get its rate and, once it is warm, everything.
func TestColdUpstreamGetsItsRate(t *testing.T) {
	var l Cold
	l.SetLimits(limits)
	l.Observe(0, 0, 3*time.Second)
	total := 0
	for now := time.Duration(0); now < 3*time.Second; now += time.Millisecond {
		total += startAll(&l, at(now))
	}
	require.Equal(t, 30, total)
	require.False(t, l.IsCold(at(3*time.Second)))
	l.Observe(at(3*time.Second), at(3*time.Second), 0)
	require.Equal(t, 21, startAll(&l, at(3*time.Second)), "until the next proof")
	require.True(t, l.NeedsProof(at(3*time.Second)))
	l.Observe(at(3052*time.Millisecond), at(3051*time.Millisecond), 0)
	require.Equal(t, 21, startAll(&l, at(3052*time.Millisecond)))
}

// TestFractionalRate checks a rate of less than one request per second.
func TestFractionalRate(t *testing.T) {
	var l Cold
	l.SetLimits(ColdLimits{Rate: 0.5, Max: 1})
	l.Observe(0, 0, 10*time.Second)
	require.Equal(t, 1, startAll(&l, 0))
	require.Equal(t, at(2*time.Second), l.NextStart(at(time.Second)))
	require.Equal(t, 4*time.Second, l.Delay(0, 1))
}

// TestSmallestRateIsKept checks a rate whose inverse is longer than any time.
func TestSmallestRateIsKept(t *testing.T) {
	var l Cold
	l.SetLimits(ColdLimits{Rate: math.SmallestNonzeroFloat64, Max: 3})
	l.Observe(0, 0, 10*time.Second)
	require.Equal(t, 1, startAll(&l, 0))
	require.Equal(t, at(10*time.Second), l.NextStart(at(time.Second)))
}

// TestStartsBeforeColdnessWasKnownCount guards against an upstream that becomes cold right after a
// burst: what it got before its guard knew counts against what it tolerates.
func TestStartsBeforeColdnessWasKnownCount(t *testing.T) {
	var l Cold
	l.SetLimits(limits)
	require.Equal(t, 21, startAll(&l, at(time.Second)))
	l.Report(at(1100*time.Millisecond), 2900*time.Millisecond)
	require.Equal(t, at(time.Second+coldWindow), l.NextStart(at(1100*time.Millisecond)))
}

// TestRestartedGuardAssumesStarts guards against twice the tolerated number of requests around the
// restart of a guard.
func TestRestartedGuardAssumesStarts(t *testing.T) {
	for name, c := range map[string]struct {
		left time.Duration
		want int
	}{
		"warm":                   {0, 21},
		"cold since before":      {2 * time.Second, 0},
		"cold since the restart": {3 * time.Second, 10},
		"colder than it can be":  {time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var l Cold
			l.SetLimits(limits)
			l.AssumeFull(0)
			require.Zero(t, startAll(&l, 0))
			l.Observe(at(60*time.Millisecond), at(60*time.Millisecond), c.left)
			require.Equal(t, c.want, startAll(&l, at(60*time.Millisecond)))
			require.Positive(t, startAll(&l, at(2*coldWindow)))
		})
	}
}

// TestColdPhaseIsRecognized has a guard learn of a cold phase from a report, and then from a health
// check when it began. Starts before the phase count no longer, unless another cold phase was on.
func TestColdPhaseIsRecognized(t *testing.T) {
	for name, c := range map[string]struct {
		reportedLeft time.Duration
		want         int
	}{
		"same phase":                        {2980 * time.Millisecond, 10},
		"same phase, late report":           {3 * time.Second, 10},
		"cold again before it became warm":  {2 * time.Second, 0},
		"cold again, earlier phase is over": {10 * time.Millisecond, 10},
	} {
		t.Run(name, func(t *testing.T) {
			var l Cold
			l.SetLimits(limits)
			l.AssumeFull(at(-100 * time.Millisecond))
			l.Report(at(10*time.Millisecond), c.reportedLeft)
			l.Observe(at(100*time.Millisecond), at(100*time.Millisecond), 2920*time.Millisecond)
			require.Equal(t, c.want, startAll(&l, at(100*time.Millisecond)))
		})
	}
}

// TestDelayCountsWaitingRequests compares Delay with the starts that follow.
func TestDelayCountsWaitingRequests(t *testing.T) {
	var l Cold
	l.SetLimits(limits)
	l.Observe(0, 0, 3*time.Second)
	require.Zero(t, l.Delay(0, 9))
	require.Equal(t, 100*time.Millisecond, l.Delay(0, 10))
	startAll(&l, 0)
	require.Equal(t, time.Second, l.Delay(0, 0))
	require.Equal(t, 1500*time.Millisecond, l.Delay(0, 5))
	require.Equal(t, 3*time.Second, l.Delay(0, 500), "it is warm then")
}

// coldPhase is a period in which the upstream of simulation is cold.
type coldPhase struct{ from, to model.Instant }

// simulation is an upstream with random cold phases and a guard that learns of them late.
type simulation struct {
	rt       *rapid.T
	limiter  *Cold
	phases   []coldPhase
	arrivals []model.Instant
	// lastArrival keeps the order of requests on the way.
	lastArrival model.Instant
}

func (s *simulation) left(now model.Instant) time.Duration {
	for _, p := range s.phases {
		if p.from <= now && now < p.to {
			return p.to.Sub(now)
		}
	}
	return 0
}

func millis(rt *rapid.T, label string, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(rt, label)) * time.Millisecond
}

// checkWindows fails if any second holds more than limits.Max arrivals at the cold upstream.
func (s *simulation) checkWindows() {
	var cold []model.Instant
	for _, a := range s.arrivals {
		if s.left(a) > 0 {
			cold = append(cold, a)
		}
	}
	for i := range cold {
		n := 0
		for j := i; j < len(cold) && cold[j].Sub(cold[i]) <= time.Second; j++ {
			n++
		}
		if n > limits.Max {
			s.rt.Fatalf("%d requests in the second from %v", n, time.Duration(cold[i]))
		}
	}
}

// step advances the time by a random step and lets one event happen.
func (s *simulation) step(now model.Instant, replaced bool) {
	switch rapid.IntRange(0, 9).Draw(s.rt, "event") {
	case 0:
		sent := now
		answered := now.Add(millis(s.rt, "way of the health check", 20))
		s.limiter.Observe(answered.Add(millis(s.rt, "way back", 5)), sent, s.left(answered))
	case 1:
		s.limiter.Report(now, s.left(now.Add(-millis(s.rt, "age of the report", 500))))
	case 2:
		// The guard is replaced.
		s.limiter = &Cold{}
		s.limiter.SetLimits(limits)
		s.limiter.AssumeFull(now)
	case 3:
		if replaced {
			s.limiter.Replaced(now)
		}
	default:
		for range rapid.IntRange(1, 30).Draw(s.rt, "offered") {
			if s.limiter.NextStart(now) > now {
				break
			}
			s.limiter.RecordStart(now)
			s.lastArrival = max(s.lastArrival, now.Add(millis(s.rt, "way", 50)))
			s.arrivals = append(s.arrivals, s.lastArrival)
		}
	}
}

// TestNoSecondExceedsMax plays random arrivals, health checks, reports, restarts of the guard and
// replacements of the upstream. The upstream becomes cold at any moment. No second may hold more
// requests to the cold upstream than ColdLimits.Max.
func TestNoSecondExceedsMax(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &simulation{rt: rt, limiter: &Cold{}}
		s.limiter.SetLimits(limits)
		var from model.Instant
		for range rapid.IntRange(1, 3).Draw(rt, "phases") {
			from = from.Add(coldWindow + millis(rt, "warm for", 4000))
			to := from.Add(3 * time.Second)
			s.phases = append(s.phases, coldPhase{from, to})
			from = to
		}
		var now model.Instant
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			now = now.Add(millis(rt, "pause", 150))
			s.step(now, s.left(now) > 0)
		}
		s.checkWindows()
	})
}

// TestPeakRateServesWaitingRequests sends as many requests as possible to an upstream that bears
// more than its rate. Delay must still tell the rate.
func TestPeakRateServesWaitingRequests(t *testing.T) {
	var l Cold
	l.SetLimits(ColdLimits{Rate: 10, PeakRate: 15, Max: 23})
	l.Observe(0, 0, 3*time.Second)
	require.Equal(t, 100*time.Millisecond, l.Delay(0, 10))
	total := 0
	for now := time.Duration(0); now < 3*time.Second; now += time.Millisecond {
		total += startAll(&l, at(now))
	}
	require.Equal(t, 45, total)
}

// TestProofIsDueBeforeRequestsWait starts requests without a proof that the upstream is warm. A proof must be due before
// one is needed, so that no request waits for it, and not while few starts lack one.
func TestProofIsDueBeforeRequestsWait(t *testing.T) {
	c := &Cold{}
	require.False(t, c.ProofDue(0), "nothing is limited")
	c.SetLimits(ColdLimits{Rate: 4, PeakRate: 4, Max: 12})
	now := model.Instant(time.Hour)
	for range 6 {
		require.False(t, c.ProofDue(now))
		c.RecordStart(now)
	}
	require.True(t, c.ProofDue(now))
	require.False(t, c.NeedsProof(now))
	c.Observe(now.Add(maxTransit+1), now.Add(maxTransit+1), 0)
	require.False(t, c.ProofDue(now), "all starts are proven")
	c.Report(now, time.Second)
	require.True(t, c.ProofDue(now), "the upstream is cold")
}
