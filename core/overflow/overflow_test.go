package overflow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	target   = 500 * time.Millisecond
	crossing = 40 * time.Millisecond
)

// TestQueueOfOwnZoneOverflows covers a wave of demand in one zone. A slow upstream with a free slot is
// better than a crossing, a queue that takes longer than the crossing is not.
func TestQueueOfOwnZoneOverflows(t *testing.T) {
	for name, c := range map[string]struct {
		local Local
		want  bool
	}{
		"free slot":                              {Local{Expected: 100 * time.Millisecond}, true},
		"free slot of a slow upstream":           {Local{Expected: 400 * time.Millisecond}, true},
		"free slot, but too slow":                {Local{Expected: 430 * time.Millisecond}, false},
		"queue shorter than the crossing":        {Local{Expected: 140 * time.Millisecond, Wait: 40 * time.Millisecond}, true},
		"queue longer than the crossing":         {Local{Expected: 141 * time.Millisecond, Wait: 41 * time.Millisecond}, false},
		"queue that fills the target completely": {Local{Expected: 500 * time.Millisecond, Wait: 400 * time.Millisecond}, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.local.Stays(target, crossing)) })
	}
}

// TestLongerQueueNeverKeepsMore checks that a request that leaves its zone also leaves it if it would
// wait longer there.
func TestLongerQueueNeverKeepsMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 1000).Draw(t, name)) * time.Millisecond
		}
		run, wait, longer := draw("run"), draw("wait"), draw("longer")
		if !(Local{Expected: run + wait, Wait: wait}).Stays(target, crossing) {
			require.False(t, (Local{Expected: run + wait + longer, Wait: wait + longer}).Stays(target, crossing))
		}
	})
}
