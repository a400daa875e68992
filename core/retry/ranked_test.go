package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// retryStorm has requests of ranks 1 and 2 arrive at one daemon for half a minute, in turns. A share
// of the attempts of each rank fails; each failed attempt wants a retry. It returns how many retries
// each rank wanted and got.
func retryStorm(requestsPerSecond int, failing map[int]float64) (wanted, got map[int]float64) {
	const seconds = 30
	rng := rand.New(rand.NewPCG(1, 2))
	b := NewRankedBudget(10*time.Second, 0.15)
	b.SetSlack(2)
	wanted, got = make(map[int]float64), make(map[int]float64)
	for i := range seconds * requestsPerSecond {
		now := model.Instant(time.Duration(i) * time.Second / time.Duration(requestsPerSecond))
		rank := 1 + i%2
		b.CountRequest(now)
		for rng.Float64() < failing[rank] {
			wanted[rank]++
			if !b.TryChargeRank(now, rank, 1) {
				break
			}
			got[rank]++
		}
	}
	return wanted, got
}

// TestScarceRetriesGoToUrgentRequests rejects half of all attempts, so that the budget suffices for
// a part of the retries only. This is the pattern of a service that sheds load and whose clients are
// all retried.
func TestScarceRetriesGoToUrgentRequests(t *testing.T) {
	wanted, got := retryStorm(10, map[int]float64{1: 0.55, 2: 0.55})
	require.Greater(t, wanted[1]+wanted[2], 2*(got[1]+got[2]), "the budget is scarce")
	require.Greater(t, got[1], 2*got[2])
	require.Greater(t, got[2], 0.1*(got[1]+got[2]), "less urgent requests keep an open share")
}

// TestLessUrgentRequestsUseTheWholeBudget has only requests of the less urgent rank fail.
func TestLessUrgentRequestsUseTheWholeBudget(t *testing.T) {
	_, alone := retryStorm(10, map[int]float64{2: 0.55})
	_, urgentAlone := retryStorm(10, map[int]float64{1: 0.55})
	require.InDelta(t, urgentAlone[1], alone[2], 0.1*urgentAlone[1])
}

// TestAmpleBudgetServesAllRanks has one request in fifty fail, which the budget covers.
func TestAmpleBudgetServesAllRanks(t *testing.T) {
	wanted, got := retryStorm(10, map[int]float64{1: 0.02, 2: 0.02})
	require.Equal(t, wanted, got)
}

// TestRankedBudgetStaysWithinItsWindow charges retries of random ranks at random times. The budget
// never allows more than a WindowBudget that gets the same requests and retries.
func TestRankedBudgetStaysWithinItsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, plain := NewRankedBudget(10*time.Second, 0.2), NewWindowBudget(10*time.Second, 0.2, 0)
		now := model.Instant(0)
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now)
				plain.CountRequest(now)
				continue
			}
			n := rapid.Float64Range(0, 2).Draw(t, "retries")
			if b.TryChargeRank(now, rapid.IntRange(0, 3).Draw(t, "rank"), n) {
				require.True(t, plain.TryCharge(now, n))
			}
		}
	})
}
