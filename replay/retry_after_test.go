package replay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/retry"
)

const (
	// burstPeriodTicks is the number of ticks between two bursts of requests.
	burstPeriodTicks = 4000
	// minRetryAfter is the smallest Retry-After value before jitter.
	minRetryAfter = 100 * time.Millisecond
)

// refuse refuses a request. If the caller has retries left, the caller sends the request
// again after the Retry-After value.
func (m *mesh) refuse(r *meshRequest) {
	m.refusalCount++
	if r.retryCount >= m.maxCallerRetries {
		return
	}
	retryAfter, jitterRandom := max(r.serviceTime, minRetryAfter), m.rng.Float64()
	if !m.noJitter {
		retryAfter = retry.JitteredRetryAfter(retryAfter, jitterRandom)
	}
	retryRequest := &meshRequest{
		requestKind: r.requestKind, entry: r.entry, remainingSeconds: r.remainingSeconds, isRejectedByKey: map[string]bool{}, retryCount: r.retryCount + 1,
	}
	m.schedule(int(retryAfter/tickLength), func() {
		retryRequest.arrivedAt = m.now
		m.place(retryRequest)
	})
}

// TestRetryAfterJitterSpreadsBursts checks that jitter in the Retry-After value makes
// more requests succeed in time after a burst. In a burst, as after a power failure, more
// requests arrive in one tick than the upstreams have capacity for. The refused callers
// retry after the Retry-After value. Without jitter, they all retry at the same time.
func TestRetryAfterJitterSpreadsBursts(t *testing.T) {
	const seeds, retries = 8, 3
	for name, w := range map[string]workload{
		"large burst, almost no other load": {rate: 1, slots: 6, noiseShare: 0.25, burstSize: 400, maxCallerRetries: retries},
		"large burst, normal load":          {rate: 100, slots: 6, noiseShare: 0.25, burstSize: 400, maxCallerRetries: retries},
		"small burst, normal load":          {rate: 100, slots: 6, noiseShare: 0.25, burstSize: 200, maxCallerRetries: retries},
	} {
		t.Run(name, func(t *testing.T) {
			unjitteredWorkload := w
			unjitteredWorkload.noJitter = true
			var withJitter, withoutJitter float64
			for seed := range uint64(seeds) {
				withJitter += newMesh(w, usePlacement, seed).simulate() / seeds
				withoutJitter += newMesh(unjitteredWorkload, usePlacement, seed).simulate() / seeds
			}
			t.Logf("share within target: %.3f with jitter, %.3f without", withJitter, withoutJitter)
			require.Greater(t, withJitter, withoutJitter)
		})
	}
}
