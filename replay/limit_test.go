package replay_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// throughput is how many runs at full speed an upstream's runs under a limit amount to.
func (p pattern) throughput(limit int) float64 {
	if float64(limit) >= p.knee*float64(p.slots) {
		return float64(limit) / p.kneeFactor
	}
	return float64(limit)
}

// bestLimit returns the limit under which upstreams get most done.
func (p pattern) bestLimit() int {
	best := 1
	for n := 1; n <= p.slots; n++ {
		if p.throughput(n) > p.throughput(best) {
			best = n
		}
	}
	return best
}

// TestLimitIsLearned has upstreams slow down at different shares of their slots, with nearly
// as much to do as they can at best. For 100 s, guards that learn are compared with the usual
// limit and with the best one that never changes.
func TestLimitIsLearned(t *testing.T) {
	const (
		lasts = 100_000
		// load is the share of what the best limit can do that comes, beside neighbours
		// that take away noiseCost.
		load, noise = 0.9, 0.25
		noiseCost   = noise * (1 - 1/noiseFactor)
		upstreams   = meshZones * upstreamsPerZone
		// mayLose is what trying other limits may cost where the usual one is best, and
		// least the share of what the usual limit loses that is won back elsewhere.
		mayLose = 0.02
		least   = 0.25
	)
	for _, c := range []struct {
		slots        int
		knee, factor float64
		untold       bool
	}{
		{slots: 2, knee: 0.8, factor: 1.7},
		{slots: 6, knee: 0.8, factor: 1.7},
		{slots: 6, knee: 0.8, factor: 3, untold: true},
		{slots: 14, knee: 0.8, factor: 3},
		{slots: 20, knee: 0.8, factor: 1.7, untold: true},
		{slots: 6, knee: 0.5, factor: 3},
		{slots: 6, knee: 0.6, factor: 3},
		{slots: 14, knee: 0.5, factor: 3},
		{slots: 14, knee: 0.6, factor: 3, untold: true},
		{slots: 20, knee: 0.6, factor: 3},
		{slots: 6, knee: 2, factor: 1},
		{slots: 14, knee: 2, factor: 1},
		{slots: 20, knee: 0.9, factor: 1.7},
	} {
		t.Run(fmt.Sprintf("%d slots, %.1f times as long from %.1f of them on, untold %t", c.slots, c.factor, c.knee, c.untold), func(t *testing.T) {
			t.Parallel()
			p := pattern{slots: c.slots, noise: noise, knee: c.knee, kneeFactor: c.factor, untold: c.untold, lasts: lasts}
			p.rate = load * upstreams * p.throughput(p.bestLimit()) * (1 - noiseCost) / meshWork.Seconds()
			learns, best := p, p
			learns.learns, best.limit = true, p.bestLimit()
			shares := make([]float64, 3)
			var wg sync.WaitGroup
			for i, q := range []pattern{p, learns, best} {
				wg.Go(func() { shares[i] = newMesh(q, byPlacement, 1).play() })
			}
			wg.Wait()
			t.Logf("within target: usual limit %.3f, learned %.3f, best %.3f", shares[0], shares[1], shares[2])
			usual, learned, most := shares[0], shares[1], shares[2]
			assert.GreaterOrEqual(t, learned, usual+least*(most-usual)-mayLose)
		})
	}
}
