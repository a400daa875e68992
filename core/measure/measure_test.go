package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// ms is one millisecond.
const ms = time.Millisecond

// charge is what a Budget has charged for one measurement.
type charge struct {
	// beganAt is when the measurement began.
	beganAt model.Instant
	// slotTime is the slot time charged, which Settle may reduce.
	slotTime    time.Duration
	reservation *Reservation
}

// drawCost returns a random cost.
func drawCost(t *rapid.T) Cost {
	return Cost{
		SlotTime:    time.Duration(rapid.Int64Range(0, int64(30*ms)).Draw(t, "slot time")),
		Connections: rapid.IntRange(0, 3).Draw(t, "connections"),
		Bytes:       rapid.IntRange(0, 4096).Draw(t, "bytes"),
	}
}

// TestNoWindowExceedsTheBudget draws random sequences of reservations and settlements. In every
// time window that begins and ends with a reservation, the charges must not exceed the share of
// the window's slot time plus one burst.
func TestNoWindowExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.2).Draw(t, "share")
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		b := NewBudget(0, Options{Share: share, Slots: slots})
		now := model.Instant(0)
		var charges []*charge
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(50*ms)).Draw(t, "wait")))
			if len(charges) > 0 && rapid.Bool().Draw(t, "settle") {
				c := charges[rapid.IntRange(0, len(charges)-1).Draw(t, "which")]
				spentBefore := b.Spent()
				b.Settle(now, c.reservation, drawCost(t))
				c.slotTime -= spentBefore - b.Spent()
				continue
			}
			maxCost := drawCost(t)
			if r, ok := b.Reserve(now, maxCost); ok {
				charges = append(charges, &charge{now, b.slotTime(maxCost), &r})
			}
		}
		for i := range charges {
			totalCharged := time.Duration(0)
			for _, c := range charges[i:] {
				totalCharged += c.slotTime
				allowed := float64(c.beganAt.Sub(charges[i].beganAt)) * share * float64(slots)
				require.LessOrEqual(t, float64(totalCharged), allowed+float64(b.Burst())+1)
			}
		}
	})
}

func TestBudgetReservesSettlesAndRefills(t *testing.T) {
	b := NewBudget(0, Options{Share: 0.01, Slots: 6, Burst: 11 * ms})
	r, ok := b.Reserve(0, Cost{SlotTime: 9 * ms, Connections: 1, Bytes: 1000})
	require.True(t, ok, "9 ms, a connection of 1 ms and 10 µs of bytes fit into the burst")
	_, ok = b.Reserve(0, Cost{SlotTime: ms})
	assert.False(t, ok)
	assert.EqualValues(t, 1, b.Refused())
	b.Settle(0, &r, Cost{SlotTime: 2 * ms})
	b.Settle(0, &r, Cost{})
	assert.Equal(t, 2*ms, b.Spent(), "the unused part is returned once")
	_, ok = b.Reserve(0, Cost{SlotTime: 9 * ms})
	assert.True(t, ok)
	_, ok = b.Reserve(model.Instant(10*ms), Cost{SlotTime: ms})
	assert.False(t, ok, "10 ms earn 0.6 ms of slot time")
	_, ok = b.Reserve(model.Instant(17*ms), Cost{SlotTime: ms})
	assert.True(t, ok)
	b.SetShare(model.Instant(17*ms), 0)
	_, ok = b.Reserve(model.Instant(time.Hour), Cost{SlotTime: 1})
	assert.False(t, ok, "a budget of 0 forbids measuring")
}

// TestTrustComparesReportsWithObservations repeats each observation 100 times. It checks how
// the reports are counted, and how many requests from elsewhere are assumed.
func TestTrustComparesReportsWithObservations(t *testing.T) {
	cases := map[string]struct {
		report           Report
		observed         Observation
		externalRequests int
		counts           Counts
	}{
		"late but correct":                     {Report{Running: 3}, Observation{MinRunning: 2, MaxRunning: 5}, 0, Counts{Agreed: 100}},
		"reports too few":                      {Report{Running: 0}, Observation{MinRunning: 4, MaxRunning: 6}, 0, Counts{Contradicted: 100}},
		"reports too many":                     {Report{Running: 60}, Observation{MinRunning: 4, MaxRunning: 6}, 0, Counts{Unsupported: 100}},
		"requests from elsewhere slow it down": {Report{Running: 8}, Observation{MinRunning: 4, MaxRunning: 6, Slowed: true}, 2, Counts{Agreed: 100}},
		"external requests are bounded":        {Report{Running: 60}, Observation{MinRunning: 4, MaxRunning: 6, Slowed: true}, 3, Counts{Agreed: 100}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			trust := NewTrust()
			for range 100 {
				trust.Observe(tc.report, tc.observed)
			}
			assert.Equal(t, tc.externalRequests, trust.ExternalRequests(6))
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

func TestMonitorPollsWithinTheBudget(t *testing.T) {
	m := NewMonitor(0, Options{Share: 0.01, Slots: 6})
	_, ok := m.BeginPoll(0, Cost{SlotTime: ms})
	assert.False(t, ok, "no poll is due yet")
	pollAt := m.NextPoll()
	m.SetRunning(2)
	m.SetRunning(5)
	r, ok := m.BeginPoll(pollAt, Cost{SlotTime: 2 * ms})
	require.True(t, ok)
	m.PollSucceeded(pollAt, &r, Cost{SlotTime: ms}, Report{Running: 7}, true)
	assert.Equal(t, ms, m.Spent())
	load := m.Annotate(model.Load{Running: 5, Limit: 6})
	assert.EqualValues(t, 6, load.Running, "two requests from elsewhere, weighted by a trust of 0.6")
	assert.Less(t, m.NextPoll().Sub(pollAt), time.Second, "a report that differs shortens the interval")

	pollAt = m.NextPoll()
	r, _ = m.BeginPoll(pollAt, Cost{SlotTime: 2 * ms})
	m.PollFailed(pollAt, &r, Cost{SlotTime: 2 * ms})
	assert.Equal(t, 3*ms, m.Spent())
	m.SetShare(pollAt, 0)
	_, ok = m.BeginPoll(m.NextPoll(), Cost{SlotTime: ms})
	assert.False(t, ok)
	assert.EqualValues(t, 1, m.Refused())
	assert.Equal(t, Counts{Agreed: 1}, m.Counts())
}
