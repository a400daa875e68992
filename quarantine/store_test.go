package quarantine

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/quarantine"
)

// fleet holds the stores of a few daemons with a common clock.
type fleet struct {
	now    time.Time
	stores []*Store
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.UnixMilli(1_000_000)}
	for range n {
		f.stores = append(f.stores, NewStore(Options{
			Rule:      func(model.ServiceName) quarantine.Rule { return quarantine.Rule{Crashes: 2, Duration: time.Minute} },
			WallClock: func() time.Time { return f.now },
			Logger:    slog.New(slog.DiscardHandler),
		}))
	}
	return f
}

// advance advances the clock, exchanges deltas of at most limit bytes between
// neighbouring stores, then evaluates the tables of all stores.
func (f *fleet) advance(t *testing.T, d time.Duration, limit int) {
	f.now = f.now.Add(d)
	for i := range f.stores {
		a, b := f.stores[i], f.stores[(i+1)%len(f.stores)]
		require.NoError(t, b.Apply(a.Delta(b.Digest(), limit)))
		require.NoError(t, a.Apply(b.Delta(a.Digest(), limit)))
	}
	for _, s := range f.stores {
		s.update(s.evaluate)
	}
}

func newRequest(target string) quarantine.Request {
	return quarantine.Request{Service: "s", Caller: "c", Method: "GET", Target: target}
}

// recordTestCrash records that the upstream with the given number crashed while it ran
// the request with the given target.
func (s *Store) recordTestCrash(target string, upstream int) {
	r := newRequest(target)
	s.RecordCrash(quarantine.FingerprintOf(r), r, quarantine.Crash{Upstream: model.UpstreamID(fmt.Sprint("s-", upstream)), Incarnation: 1})
}

func (s *Store) refusesTarget(target string) bool {
	_, ok := s.RefusedFor(quarantine.FingerprintOf(newRequest(target)))
	return ok
}

// TestCrashingRequestThroughDifferentDaemonsIsQuarantined records two crashes by the same
// request at two different daemons. Every daemon must refuse the request within a second
// of the second crash, but not a request that ran during only one crash. When one daemon
// releases the request, every daemon must admit it again.
func TestCrashingRequestThroughDifferentDaemonsIsQuarantined(t *testing.T) {
	f := newFleet(4)
	f.stores[0].recordTestCrash("/crashing", 1)
	f.stores[0].recordTestCrash("/bystander", 1)
	f.advance(t, 100*time.Millisecond, 4096)
	f.stores[2].recordTestCrash("/crashing", 2)
	for range 9 {
		f.advance(t, 100*time.Millisecond, 4096)
	}
	for i, s := range f.stores {
		require.True(t, s.refusesTarget("/crashing"), "daemon %d", i)
		require.False(t, s.refusesTarget("/bystander"), "daemon %d", i)
	}
	require.True(t, f.stores[3].Release(quarantine.FingerprintOf(newRequest("/crashing"))))
	f.advance(t, 100*time.Millisecond, 4096)
	f.advance(t, 100*time.Millisecond, 4096)
	for i, s := range f.stores {
		require.False(t, s.refusesTarget("/crashing"), "daemon %d after the release", i)
	}
}

func TestDeltaRespectsLimitAndRotatesThroughAllRecords(t *testing.T) {
	f := newFleet(2)
	for i := range 50 {
		f.stores[0].recordTestCrash(fmt.Sprint("/", i), i)
	}
	const limit = 1000
	require.LessOrEqual(t, len(f.stores[0].Delta(nil, limit)), limit)
	for range 60 {
		f.advance(t, time.Millisecond, limit)
	}
	require.Len(t, f.stores[1].List(), 50)
	require.Equal(t, f.stores[0].Digest(), f.stores[1].Digest())
	require.Nil(t, f.stores[0].Delta(f.stores[1].Digest(), limit))
}

func TestEmptyStoreSendsNothing(t *testing.T) {
	s := newFleet(1).stores[0]
	require.False(t, s.HasRecords())
	require.Empty(t, s.Digest())
	require.Nil(t, s.Delta(nil, 100))
	require.Error(t, s.Apply([]byte("{broken")))
	require.False(t, s.HasRecords(), "a delta that cannot be decoded changes nothing")
}
