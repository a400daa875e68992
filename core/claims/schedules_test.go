package claims

import (
	"flag"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	schedules = flag.Int("claims.schedules", 20_000, "number of random schedules to explore")
	firstSeed = flag.Uint64("claims.seed", 1, "seed of the first schedule")
)

// exploreAll runs schedules until one breaks an invariant. It returns the seed
// and the invariant, and how often each event was seen.
func exploreAll(first uint64, count int, m mutation) (uint64, string, map[string]int) {
	var (
		next           atomic.Int64
		mu             sync.Mutex
		wg             sync.WaitGroup
		total          = make(map[string]int)
		seed           uint64
		firstViolation string
	)
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			eventCounts := make(map[string]int)
			for i := next.Add(1) - 1; i < int64(count); i = next.Add(1) - 1 {
				violation := explore(first+uint64(i), m, eventCounts)
				if violation == "" {
					continue
				}
				mu.Lock()
				if s := first + uint64(i); firstViolation == "" || s < seed {
					seed, firstViolation = s, violation
				}
				mu.Unlock()
				next.Store(int64(count))
			}
			mu.Lock()
			defer mu.Unlock()
			for k, v := range eventCounts {
				total[k] += v
			}
		})
	}
	wg.Wait()
	return seed, firstViolation, total
}

func TestSchedulesRunEachKeyAtMostOnce(t *testing.T) {
	seed, violation, eventCounts := exploreAll(*firstSeed, *schedules, noMutation)
	require.Empty(t, violation, "seed %d", seed)
	for _, event := range []string{
		"run", "in-progress", "replay", "outcome-unknown", "expired", "full", "sealed",
		"not-owner", "owner-lost", "transfer", "reset", "restored", "crash",
	} {
		require.Positive(t, eventCounts[event], "%s never happened", event)
	}
	t.Logf("%d schedules from seed %d: %v", *schedules, *firstSeed, eventCounts)
}

// TestSchedulesThatBrokeOnce keeps the seeds of schedules that found a fault.
func TestRegressionSchedules(t *testing.T) {
	for name, seed := range map[string]uint64{
		"claims dropped by a daemon that held them for another, then handed on": 127153,
	} {
		t.Run(name, func(t *testing.T) {
			require.Empty(t, explore(seed, noMutation, map[string]int{}), "seed %d", seed)
			require.NotEmpty(t, explore(seed, omitExportFloor, map[string]int{}), "the seed no longer shows the fault")
		})
	}
}

func TestSchedulesDetectEachMutation(t *testing.T) {
	for name, tc := range map[string]struct {
		mutation mutation
		// from is the seed to start at, where the first schedule that notices
		// is far from 1.
		from uint64
	}{
		"grant accepted off the frontier":         {skipFrontierCheck, 1},
		"state kept over a trimmed log":           {keepStateAfterTrim, 1},
		"claims of an earlier owner not asked":    {skipPriorOwnerCheck, 1},
		"only the last earlier owner asked":       {checkLastPriorOwnerOnly, 1},
		"another life of the daemon counts":       {ignoreIncarnation, 1},
		"dropped claims forgotten":                {ignoreFloor, 1},
		"sealed table takes submissions":          {ignoreSeal, 1},
		"unknown outcome gives the claim back":    {releaseUnknownOutcome, 1},
		"running claims left out of the handover": {omitRunningClaims, 1},
		"own drops left out of the handover":      {omitExportFloor, 127000},
		"grant counted before it is on the log":   {applyUnloggedGrants, 1},
	} {
		t.Run(name, func(t *testing.T) {
			seed, violation, _ := exploreAll(tc.from, 400_000, tc.mutation)
			require.NotEmpty(t, violation, "no schedule noticed")
			t.Logf("seed %d: %s", seed, violation)
		})
	}
}
