package ceiling

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	tickInterval   = 250 * time.Millisecond
	gossipInterval = time.Second
)

// fleet simulates several daemons that share one ceiling, in virtual time. Once
// per second each daemon exchanges reports with one random peer.
type fleet struct {
	rng     *rand.Rand
	now     model.Instant
	daemons []*Ceiling
	// demandPerDaemon is the number of requests per second that arrive at each daemon.
	demandPerDaemon []float64
	// pendingArrivals holds, for each daemon, the fraction of a request that is
	// carried over to the next step.
	pendingArrivals []float64
	// holdTime is the duration of each request.
	holdTime    time.Duration
	completions []completion
	// admittedPerSecond is the number of admitted requests in each second.
	admittedPerSecond []int
	// inFlight is the number of requests in flight at all daemons.
	inFlight int
	// peakInFlight is the highest value of inFlight since the test last reset it.
	peakInFlight int
}

// completion is the end of an admitted request.
type completion struct {
	endsAt model.Instant
	daemon *Ceiling
}

func newFleet(n int, limits Limits) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(5, 6)), demandPerDaemon: make([]float64, n), pendingArrivals: make([]float64, n)}
	for i := range n {
		f.daemons = append(f.daemons, New(0, 1, Daemon(i+1), limits))
	}
	return f
}

// run simulates the given time in steps of one millisecond.
func (f *fleet) run(d time.Duration) {
	const step = time.Millisecond
	for range d / step {
		f.now = f.now.Add(step)
		f.complete()
		for i, c := range f.daemons {
			f.arrive(i, c, step)
		}
		f.peakInFlight = max(f.peakInFlight, f.inFlight)
		if f.now%model.Instant(tickInterval) == 0 {
			for _, c := range f.daemons {
				c.Tick(f.now, uint64(f.now/1e6))
			}
		}
		if f.now%model.Instant(gossipInterval) == 0 {
			f.gossip()
		}
	}
}

// arrive lets the requests of one step arrive at daemon i.
func (f *fleet) arrive(i int, c *Ceiling, step time.Duration) {
	for f.pendingArrivals[i] += f.demandPerDaemon[i] * step.Seconds(); f.pendingArrivals[i] >= 1; f.pendingArrivals[i]-- {
		if _, ok := c.TryAcquire(f.now); !ok {
			continue
		}
		second := int((f.now - 1) / model.Instant(time.Second))
		for len(f.admittedPerSecond) <= second {
			f.admittedPerSecond = append(f.admittedPerSecond, 0)
		}
		f.admittedPerSecond[second]++
		f.inFlight++
		f.completions = append(f.completions, completion{endsAt: f.now.Add(f.holdTime), daemon: c})
	}
}

// complete ends the requests whose holdTime has passed.
func (f *fleet) complete() {
	for len(f.completions) > 0 && f.completions[0].endsAt <= f.now {
		f.completions[0].daemon.Release()
		f.completions = f.completions[1:]
		f.inFlight--
	}
}

// gossip exchanges reports between each daemon and one random peer.
func (f *fleet) gossip() {
	for i, c := range f.daemons {
		peer := f.daemons[(i+1+f.rng.IntN(len(f.daemons)-1))%len(f.daemons)]
		for _, r := range c.Reports() {
			peer.Merge(f.now, r)
		}
		for _, r := range peer.Reports() {
			c.Merge(f.now, r)
		}
	}
}

// TestRateCeilingError limits how far the rate that twelve daemons admit together may
// be from the ceiling. While demand is steady, the error must be at most 5%. While all
// demand moves from three daemons to six others, the rate must not exceed the ceiling
// by more than 25%.
func TestRateCeilingError(t *testing.T) {
	const ceiling = 600
	f := newFleet(12, Limits{Rate: ceiling})
	for i := range 3 {
		f.demandPerDaemon[i] = 400 * float64(i+1)
	}
	f.run(12 * time.Second)
	for _, n := range f.admittedPerSecond[6:] {
		require.InDelta(t, ceiling, n, 0.05*ceiling, "steady")
	}
	clear(f.demandPerDaemon)
	for i := 6; i < 12; i++ {
		f.demandPerDaemon[i] = 400
	}
	f.run(12 * time.Second)
	admittedWhileMoving := f.admittedPerSecond[12:18]
	t.Logf("admitted per second with a ceiling of %d: %v while demand moves, %v afterwards", ceiling, admittedWhileMoving, f.admittedPerSecond[18:])
	for _, n := range admittedWhileMoving {
		require.LessOrEqual(t, float64(n), 1.25*ceiling, "while demand moves")
	}
	for _, n := range f.admittedPerSecond[18:] {
		require.InDelta(t, ceiling, n, 0.05*ceiling, "steady again")
	}
}

// TestConcurrencyCeilingError limits how far the requests in flight at twelve daemons
// may exceed a ceiling: by half until all reports have spread, and not at all
// afterwards. The ceiling must then also be used up, except for one slot.
func TestConcurrencyCeilingError(t *testing.T) {
	const ceiling = 10
	f := newFleet(12, Limits{Concurrency: ceiling})
	f.holdTime = 50 * time.Millisecond
	for i := range 6 {
		f.demandPerDaemon[i] = 200
	}
	f.run(8 * time.Second)
	peakAtStart := f.peakInFlight
	f.peakInFlight = 0
	f.run(8 * time.Second)
	t.Logf("maximum in flight with a ceiling of %d: %d in the first 8 seconds, %d afterwards", ceiling, peakAtStart, f.peakInFlight)
	require.LessOrEqual(t, 2*peakAtStart, 3*ceiling, "before all reports have spread")
	require.LessOrEqual(t, f.peakInFlight, ceiling, "steady: above the ceiling")
	require.GreaterOrEqual(t, f.peakInFlight, ceiling-1, "steady: ceiling not used up")
}

// TestSlotSharesSumToTotal divides a random number of slots among daemons with
// random demand. The slots of all daemons must add up to the total, or to zero if no
// daemon has demand.
func TestSlotSharesSumToTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		totalSlots := rapid.IntRange(0, 500).Draw(t, "slots")
		demands := rapid.SliceOfN(rapid.Float32Range(0, 1e6), 1, 30).Draw(t, "demands")
		table := reportTable{byDaemon: make(map[Daemon]receivedReport)}
		anyDemand := false
		for i, d := range demands {
			table.merge(0, Report{Daemon: Daemon(i), Demand: d, Stamp: 1})
			anyDemand = anyDemand || d > 0
		}
		slotSum := 0
		for i := range demands {
			slotSum += table.slotsOf(Daemon(i), totalSlots)
		}
		if !anyDemand {
			totalSlots = 0
		}
		require.Equal(t, totalSlots, slotSum)
	})
}

// TestSilentDaemonIsExcluded removes one of three daemons with equal demand. When its
// last report has expired, the two others must divide its share between them.
func TestSilentDaemonIsExcluded(t *testing.T) {
	f := newFleet(3, Limits{Rate: 300})
	f.demandPerDaemon = []float64{300, 300, 300}
	f.run(6 * time.Second)
	rate, _ := f.daemons[0].Share()
	require.InDelta(t, 100, rate, 5)
	f.daemons, f.demandPerDaemon = f.daemons[:2], f.demandPerDaemon[:2]
	f.run(15 * time.Second)
	rate, _ = f.daemons[0].Share()
	require.InDelta(t, 150, rate, 5)
}

func TestMergeBoundsAndValidatesReports(t *testing.T) {
	c := New(0, 1, 1, Limits{Rate: 1})
	for i := range 2 * maxDaemons {
		c.Merge(0, Report{Key: 1, Daemon: Daemon(i + 2), Demand: 1, Stamp: 1})
	}
	require.Len(t, c.Reports(), maxDaemons)
	require.False(t, c.Merge(0, Report{Daemon: 1, Demand: 5, Stamp: 9}), "report in this daemon's own name")
	require.False(t, c.Merge(0, Report{Daemon: 2, Demand: -5, Stamp: 9}), "negative")
	require.False(t, c.Merge(0, Report{Daemon: 2, Demand: 5, Stamp: 1}), "not newer")
	require.True(t, c.Merge(0, Report{Daemon: 2, Demand: 5, Stamp: 2}))
}
