package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

// limitOf returns the limit of a member's guard.
func (m *member) limitOf() int { return m.guard.snapshot().Limit }

// TestFoundLimitsAreShared has one guard find a limit: those of its service go on from it,
// also ones that start later, and others do not.
func TestFoundLimitsAreShared(t *testing.T) {
	const usual, better = 4, 3
	require.Equal(t, usual, placement.LimitOf(6))
	s := newStore(documentOf(1, "b"))
	b1, b2, other := join(t, s, "b", "b1"), join(t, s, "b", "b2"), join(t, s, "a", "a1")
	b1.knows(t, "b", 2)
	b2.knows(t, "b", 2)
	other.knows(t, "b", 2)
	require.Equal(t, usual, b2.limitOf())
	b1.guard.hearFound(foundLimit{Limit: better, Slots: 6, At: time.Now().UnixMilli()}, "test")
	b1.guard.tellFound(b1.guard.newestFound())
	for _, m := range []*member{b1, b2} {
		eventually(t, "the limit", func() bool { return m.limitOf() == better })
	}
	late := join(t, s, "b", "b3")
	eventually(t, "the limit at a new daemon", func() bool { return late.limitOf() == better })
	require.Equal(t, usual, other.limitOf())
}

// TestWhichFoundLimitsAreTaken hands a guard what others have found.
func TestWhichFoundLimitsAreTaken(t *testing.T) {
	const usual = 4
	for name, c := range map[string]struct {
		heard []foundLimit
		want  int
	}{
		"none":                {nil, usual},
		"one":                 {[]foundLimit{{Limit: 5, Slots: 6, At: 10}}, 5},
		"the newest":          {[]foundLimit{{Limit: 5, Slots: 6, At: 10}, {Limit: 3, Slots: 6, At: 11}}, 3},
		"an older one":        {[]foundLimit{{Limit: 5, Slots: 6, At: 10}, {Limit: 3, Slots: 6, At: 9}}, 5},
		"of other slots":      {[]foundLimit{{Limit: 9, Slots: 14, At: 10}}, usual},
		"more than the slots": {[]foundLimit{{Limit: 7, Slots: 6, At: 10}}, usual},
		"less than one":       {[]foundLimit{{Limit: 0, Slots: 6, At: 10}}, usual},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGuard(&Options{}, func() model.Instant { return 1 }, newMetrics(nil))
			g.setSlots(6)
			for _, f := range c.heard {
				g.hearFound(f, "test")
			}
			require.Equal(t, c.want, g.queue.Limit())
		})
	}
}

// TestRestartedUpstreamKeepsTheLimit has the upstream start anew, and move to another number
// of slots.
func TestRestartedUpstreamKeepsTheLimit(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	b := join(t, s, "b", "b1")
	b.guard.hearFound(foundLimit{Limit: 3, Slots: 6, At: 1}, "test")
	b.Report(ready("b2", 2, 1, "b"))
	require.Equal(t, 3, b.limitOf())
	more := ready("b3", 3, 1, "b")
	more.Slots = 14
	b.Report(more)
	require.Equal(t, placement.LimitOf(14), b.limitOf())
}
