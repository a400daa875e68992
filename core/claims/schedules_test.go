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
	scheduleCount = flag.Int("claims.schedules", 20_000, "number of random schedules to explore")
	firstSeed     = flag.Uint64("claims.seed", 1, "seed of the first schedule")
)

// exploreAll runs up to count schedules in parallel, with consecutive seeds from first
// on. When a schedule violates an invariant, exploreAll starts no other schedule. It
// returns the seed and the violation of that schedule, and how often each event
// occurred in all schedules. If several of the schedules that ran in parallel violate
// an invariant, it returns the one with the smallest seed.
func exploreAll(first uint64, count int, m mutation) (uint64, string, map[string]int) {
	var (
		nextIndex      atomic.Int64
		mu             sync.Mutex
		wg             sync.WaitGroup
		totalCounts    = make(map[string]int)
		seed           uint64
		firstViolation string
	)
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			eventCounts := make(map[string]int)
			for i := nextIndex.Add(1) - 1; i < int64(count); i = nextIndex.Add(1) - 1 {
				violation := explore(first+uint64(i), m, eventCounts)
				if violation == "" {
					continue
				}
				mu.Lock()
				if s := first + uint64(i); firstViolation == "" || s < seed {
					seed, firstViolation = s, violation
				}
				mu.Unlock()
				nextIndex.Store(int64(count))
			}
			mu.Lock()
			defer mu.Unlock()
			for k, v := range eventCounts {
				totalCounts[k] += v
			}
		})
	}
	wg.Wait()
	return seed, firstViolation, totalCounts
}

// TestSchedulesRunEachKeyAtMostOnce explores random schedules. None may violate an
// invariant, and each of the listed events must occur at least once.
func TestSchedulesRunEachKeyAtMostOnce(t *testing.T) {
	seed, violation, eventCounts := exploreAll(*firstSeed, *scheduleCount, noMutation)
	require.Empty(t, violation, "seed %d", seed)
	for _, event := range []string{
		"run", "in-progress", "replay", "outcome-unknown", "expired", "full", "sealed",
		"not-owner", "owner-lost", "transfer", "reset", "restored", "crash",
	} {
		require.Positive(t, eventCounts[event], "event %s never occurred", event)
	}
	t.Logf("%d schedules from seed %d: %v", *scheduleCount, *firstSeed, eventCounts)
}

// TestRegressionSchedules runs the schedules that have found a fault in the past.
// Each schedule must pass now, and must fail again when the mutation brings the
// fault back.
func TestRegressionSchedules(t *testing.T) {
	for name, seed := range map[string]uint64{
		"successor deletes imported claims, then hands its table over": 127153,
	} {
		t.Run(name, func(t *testing.T) {
			require.Empty(t, explore(seed, noMutation, map[string]int{}), "seed %d", seed)
			require.NotEmpty(t, explore(seed, omitExportFloor, map[string]int{}), "the seed no longer shows the fault")
		})
	}
}

// TestSchedulesDetectEachMutation disables one safety check at a time and requires
// that some schedule violates an invariant.
func TestSchedulesDetectEachMutation(t *testing.T) {
	for name, tc := range map[string]struct {
		mutation mutation
		// startSeed is the first seed to try. It is usually 1. It is larger if no
		// schedule with a small seed detects the mutation.
		startSeed uint64
	}{
		"grant accepted with a wrong base":                   {skipFrontierCheck, 1},
		"state kept after the log was trimmed":               {keepStateAfterTrim, 1},
		"claims of earlier owners not required":              {skipPriorOwnerCheck, 1},
		"only the claims of the last earlier owner required": {checkLastPriorOwnerOnly, 1},
		"another incarnation accepted as owner":              {ignoreIncarnation, 1},
		"floor of deleted claims ignored":                    {ignoreFloor, 1},
		"sealed table accepts submissions":                   {ignoreSeal, 1},
		"claim with unknown outcome deleted":                 {releaseUnknownOutcome, 1},
		"running claims left out of the handover":            {omitRunningClaims, 1},
		"floor left out of the handover":                     {omitExportFloor, 127000},
		"grant applied before it is on the log":              {applyUnloggedGrants, 1},
	} {
		t.Run(name, func(t *testing.T) {
			seed, violation, _ := exploreAll(tc.startSeed, 400_000, tc.mutation)
			require.NotEmpty(t, violation, "no schedule detected the mutation")
			t.Logf("seed %d: %s", seed, violation)
		})
	}
}
