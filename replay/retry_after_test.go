package replay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/retry"
)

const (
	// burstPeriodTicks is how many ticks lie between moments at which many callers come
	// together.
	burstPeriodTicks = 4000
	// minRetryAfter is the least time after which a refused caller is told to come back.
	minRetryAfter = 100 * time.Millisecond
)

// refuse turns a request away and tells its caller when to come back.
func (m *mesh) refuse(j *meshRequest) {
	m.refused++
	if j.retries >= m.callerRetries {
		return
	}
	advice, random := max(j.serviceTime, minRetryAfter), m.rng.Float64()
	if !m.noJitter {
		advice = retry.JitteredRetryAfter(advice, random)
	}
	again := &meshRequest{
		requestKind: j.requestKind, entry: j.entry, remaining: j.remaining, rejectedBy: map[string]bool{}, retries: j.retries + 1,
	}
	m.schedule(int(advice/tickLength), func() {
		again.arrivedAt = m.now
		m.place(again)
	})
}

// TestRetryAfterJitterSpreadsBursts has more callers come in one tick than there is room for, as
// after a loss of power; refused ones come back when they were told. More are served in
// time when they do not come back together.
func TestRetryAfterJitterSpreadsBursts(t *testing.T) {
	const seeds, returns = 8, 3
	for name, p := range map[string]workload{
		"many, nothing else": {rate: 1, slots: 6, noise: 0.25, burst: 400, callerRetries: returns},
		"many, usual load":   {rate: 100, slots: 6, noise: 0.25, burst: 400, callerRetries: returns},
		"some, usual load":   {rate: 100, slots: 6, noise: 0.25, burst: 200, callerRetries: returns},
	} {
		t.Run(name, func(t *testing.T) {
			plain := p
			plain.noJitter = true
			var with, without float64
			for seed := range uint64(seeds) {
				with += newMesh(p, usePlacement, seed).play() / seeds
				without += newMesh(plain, usePlacement, seed).play() / seeds
			}
			t.Logf("within target: %.3f; all told the same %.3f", with, without)
			require.Greater(t, with, without)
		})
	}
}
