package ceiling

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/ceiling"
	"github.com/dottereltiller/dottereltiller/core/model"
)

var testKey = ceiling.Key{Service: "s", Group: "g"}

// fleet holds the stores of several daemons with a common clock.
type fleet struct {
	now    model.Instant
	stores []*Store
}

func newFleet(n int, l ceiling.Limits) *fleet {
	f := &fleet{}
	for i := range n {
		s := NewStore(Options{
			Self:      model.DaemonID(fmt.Sprint("daemon-", i)),
			Now:       func() model.Instant { return f.now },
			WallClock: func() time.Time { return time.UnixMilli(int64(f.now / 1e6)) },
		})
		s.Configure(map[ceiling.Key]ceiling.Limits{testKey: l})
		f.stores = append(f.stores, s)
	}
	return f
}

// runSecond simulates one second, in which every store receives the given number of
// requests, spread evenly. At the end of the second, neighbouring stores exchange
// deltas of at most maxDeltaBytes. runSecond returns the number of requests admitted by
// all stores together.
func (f *fleet) runSecond(t *testing.T, requestsPerStore, maxDeltaBytes int) int {
	admitted := 0
	for range 4 {
		for range requestsPerStore / 4 {
			f.now = f.now.Add(time.Second / time.Duration(requestsPerStore))
			for _, s := range f.stores {
				if release, _, ok := s.TryAcquire("s", "g"); ok {
					admitted++
					release()
				}
			}
		}
		for _, s := range f.stores {
			s.tick()
		}
	}
	for i := range f.stores {
		a, b := f.stores[i], f.stores[(i+1)%len(f.stores)]
		require.NoError(t, b.Apply(a.Delta(b.Digest(), maxDeltaBytes)))
		require.NoError(t, a.Apply(b.Delta(a.Digest(), maxDeltaBytes)))
	}
	return admitted
}

func TestStoresTogetherKeepRateLimit(t *testing.T) {
	f := newFleet(4, ceiling.Limits{Rate: 100})
	for range 8 {
		f.runSecond(t, 200, 4096)
	}
	for range 4 {
		require.InDelta(t, 100, f.runSecond(t, 200, 4096), 8)
	}
	require.InDelta(t, 25, f.stores[2].Shares()[0].Rate, 2)
}

func TestDeltaRespectsLimit(t *testing.T) {
	f := newFleet(4, ceiling.Limits{Rate: 100})
	for range 12 {
		f.runSecond(t, 200, reportBytes+5)
	}
	require.InDelta(t, 100, f.runSecond(t, 200, reportBytes+5), 15, "one report a round reaches all stores")
	require.Len(t, f.stores[0].Delta(nil, reportBytes+5), reportBytes)
}

func TestGroupWithoutCeilingIsNotLimited(t *testing.T) {
	s := newFleet(1, ceiling.Limits{Rate: 1e-9}).stores[0]
	release, _, ok := s.TryAcquire("s", "other")
	require.True(t, ok)
	release()
	_, _, ok = s.TryAcquire("s", "g")
	require.True(t, ok, "the first request is admitted")
	_, wait, ok := s.TryAcquire("s", "g")
	require.False(t, ok)
	require.Equal(t, time.Second, wait)
	s.Configure(nil)
	_, _, ok = s.TryAcquire("s", "g")
	require.True(t, ok, "the ceiling is no longer in force")
}

func TestApplyRejectsPartialReports(t *testing.T) {
	s := newFleet(1, ceiling.Limits{Rate: 1}).stores[0]
	require.ErrorIs(t, s.Apply(make([]byte, reportBytes+1)), errPartialReport)
	require.NoError(t, s.Apply(make([]byte, reportBytes)), "a report on an unknown ceiling is ignored")
	require.Empty(t, s.recentReports)
}
