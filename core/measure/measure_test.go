package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const ms = time.Millisecond

// booking is what one measurement cost in the end, at the instant it began.
type charge struct {
	at          model.Instant
	slotTime    time.Duration
	reservation *Reservation
}

func drawCost(t *rapid.T) Cost {
	return Cost{
		SlotTime:    time.Duration(rapid.Int64Range(0, int64(30*ms)).Draw(t, "slot time")),
		Connections: rapid.IntRange(0, 3).Draw(t, "connections"),
		Bytes:       rapid.IntRange(0, 4096).Draw(t, "bytes"),
	}
}

// TestNoWindowExceedsTheBudget draws sequences of reservations that are settled
// at any later time, and checks every window between two of them.
func TestNoWindowExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.2).Draw(t, "share")
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		l := NewBudget(0, Options{Share: share, Slots: slots})
		now := model.Instant(0)
		var charges []*charge
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(50*ms)).Draw(t, "wait")))
			if len(charges) > 0 && rapid.Bool().Draw(t, "settle") {
				b := charges[rapid.IntRange(0, len(charges)-1).Draw(t, "which")]
				before := l.Spent()
				l.Settle(now, b.reservation, drawCost(t))
				b.slotTime -= before - l.Spent()
				continue
			}
			maxCost := drawCost(t)
			if r, ok := l.Reserve(now, maxCost); ok {
				charges = append(charges, &charge{now, l.slotTime(maxCost), &r})
			}
		}
		for i := range charges {
			sum := time.Duration(0)
			for _, b := range charges[i:] {
				sum += b.slotTime
				budget := float64(b.at.Sub(charges[i].at)) * share * float64(slots)
				require.LessOrEqual(t, float64(sum), budget+float64(l.Burst())+1)
			}
		}
	})
}

func TestBudget(t *testing.T) {
	l := NewBudget(0, Options{Share: 0.01, Slots: 6, Burst: 11 * ms})
	r, ok := l.Reserve(0, Cost{SlotTime: 9 * ms, Connections: 1, Bytes: 1000})
	require.True(t, ok, "9 ms, a connection of 1 ms and 10 µs of bytes fit into the burst")
	_, ok = l.Reserve(0, Cost{SlotTime: ms})
	assert.False(t, ok)
	assert.EqualValues(t, 1, l.Refused())
	l.Settle(0, &r, Cost{SlotTime: 2 * ms})
	l.Settle(0, &r, Cost{})
	assert.Equal(t, 2*ms, l.Spent(), "what was not used is given back, once")
	_, ok = l.Reserve(0, Cost{SlotTime: 9 * ms})
	assert.True(t, ok)
	_, ok = l.Reserve(model.Instant(10*ms), Cost{SlotTime: ms})
	assert.False(t, ok, "10 ms earn 0.6 ms")
	_, ok = l.Reserve(model.Instant(17*ms), Cost{SlotTime: ms})
	assert.True(t, ok)
	l.SetShare(model.Instant(17*ms), 0)
	_, ok = l.Reserve(model.Instant(time.Hour), Cost{SlotTime: 1})
	assert.False(t, ok, "a budget of 0 forbids measuring")
}

func TestTrust(t *testing.T) {
	cases := map[string]struct {
		report   Report
		observed Observation
		external int
		counts   Counts
	}{
		"late but true":            {Report{Running: 3}, Observation{MinRunning: 2, MaxRunning: 5}, 0, Counts{Agreed: 100}},
		"lies low":                 {Report{Running: 0}, Observation{MinRunning: 4, MaxRunning: 6}, 0, Counts{Contradicted: 100}},
		"lies high":                {Report{Running: 60}, Observation{MinRunning: 4, MaxRunning: 6}, 0, Counts{Unsupported: 100}},
		"other work, and it shows": {Report{Running: 8}, Observation{MinRunning: 4, MaxRunning: 6, Slowed: true}, 2, Counts{Agreed: 100}},
		"never takes itself out":   {Report{Running: 60}, Observation{MinRunning: 4, MaxRunning: 6, Slowed: true}, 3, Counts{Agreed: 100}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			trust := NewTrust()
			for range 100 {
				trust.Observe(tc.report, tc.observed)
			}
			assert.Equal(t, tc.external, trust.External(6))
			assert.Equal(t, tc.counts, trust.Counts())
		})
	}
}

func TestSchedulePollsMoreOftenOnDiscrepancy(t *testing.T) {
	var s Schedule
	assert.Equal(t, 2*time.Second, s.Next(0, false))
	assert.Equal(t, time.Second, s.Next(0, true))
	assert.Equal(t, 100*ms, s.Next(50, false))
}

func TestMonitor(t *testing.T) {
	m := NewMonitor(0, Options{Share: 0.01, Slots: 6})
	_, ok := m.Poll(0, Cost{SlotTime: ms})
	assert.False(t, ok, "not due")
	at := m.Next()
	m.Running(2)
	m.Running(5)
	r, ok := m.Poll(at, Cost{SlotTime: 2 * ms})
	require.True(t, ok)
	m.Reported(at, &r, Cost{SlotTime: ms}, Report{Running: 7}, true)
	assert.Equal(t, ms, m.Spent())
	load := m.Annotate(model.Load{Running: 5, Limit: 6})
	assert.EqualValues(t, 6, load.Running, "two more claimed, 0.6 trusted")
	assert.Less(t, m.Next().Sub(at), time.Second, "what it says is news")

	at = m.Next()
	r, _ = m.Poll(at, Cost{SlotTime: 2 * ms})
	m.Failed(at, &r, Cost{SlotTime: 2 * ms})
	assert.Equal(t, 3*ms, m.Spent())
	m.SetShare(at, 0)
	_, ok = m.Poll(m.Next(), Cost{SlotTime: ms})
	assert.False(t, ok)
	assert.EqualValues(t, 1, m.Refused())
	assert.Equal(t, Counts{Agreed: 1}, m.Counts())
}
