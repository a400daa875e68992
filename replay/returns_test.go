package replay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/retry"
)

const (
	// togetherEvery is how many ticks lie between moments at which many callers come
	// together.
	togetherEvery = 4000
	// leastAdvice is the least time after which a refused caller is told to come back.
	leastAdvice = 100 * time.Millisecond
)

// refuse turns a request away and tells its caller when to come back.
func (m *mesh) refuse(j *job) {
	m.turned++
	if j.returned >= m.returns {
		return
	}
	advice, random := max(j.work, leastAdvice), m.rng.Float64()
	if !m.unspread {
		advice = retry.JitteredRetryAfter(advice, random)
	}
	again := &job{
		requestKind: j.requestKind, entry: j.entry, left: j.left, tried: map[string]bool{}, returned: j.returned + 1,
	}
	m.after(int(advice/tick), func() {
		again.began = m.now
		m.place(again)
	})
}

// TestCallersRefusedTogether has more callers come in one tick than there is room for, as
// after a loss of power; refused ones come back when they were told. More are served in
// time when they do not come back together.
func TestCallersRefusedTogether(t *testing.T) {
	const seeds, returns = 8, 3
	for name, p := range map[string]pattern{
		"many, nothing else": {rate: 1, slots: 6, noise: 0.25, together: 400, returns: returns},
		"many, usual load":   {rate: 100, slots: 6, noise: 0.25, together: 400, returns: returns},
		"some, usual load":   {rate: 100, slots: 6, noise: 0.25, together: 200, returns: returns},
	} {
		t.Run(name, func(t *testing.T) {
			plain := p
			plain.unspread = true
			var with, without float64
			for seed := range uint64(seeds) {
				with += newMesh(p, byPlacement, seed).play() / seeds
				without += newMesh(plain, byPlacement, seed).play() / seeds
			}
			t.Logf("within target: %.3f; all told the same %.3f", with, without)
			require.Greater(t, with, without)
		})
	}
}
