package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAdmit has a request arrive at a queue with the given numbers of running and waiting
// requests. It checks the decision, the expected time and the item for an admitted request.
func TestAdmit(t *testing.T) {
	arrival := func(change func(*Arrival)) Arrival {
		a := Arrival{Rank: 1, ServiceTime: 100 * ms, UntilTarget: 300 * ms, UntilDeadline: 1000 * ms}
		change(&a)
		return a
	}
	for name, c := range map[string]struct {
		running, waiting int
		arrival          Arrival
		performance      Performance
		want             Admission
		expected         time.Duration
	}{
		"idle":                        {0, 0, arrival(func(*Arrival) {}), Performance{Slowdown: 1}, Admitted, 100 * ms},
		"no worse than elsewhere":     {0, 0, arrival(func(a *Arrival) { a.Alternative = 80 * ms }), Performance{Slowdown: 1}, Admitted, 100 * ms},
		"slower than elsewhere":       {0, 0, arrival(func(a *Arrival) { a.Alternative = 80 * ms }), Performance{Slowdown: 2}, SlowerHere, 200 * ms},
		"failing more than elsewhere": {0, 0, arrival(func(a *Arrival) { a.Alternative = 80 * ms }), Performance{Slowdown: 1, FailureRate: 0.5}, SlowerHere, 200 * ms},
		"full, soon enough":           {4, 4, arrival(func(*Arrival) {}), Performance{Slowdown: 1}, Admitted, 225 * ms},
		"full, too late":              {4, 20, arrival(func(*Arrival) {}), Performance{Slowdown: 1}, Full, 625 * ms},
		"full, late but urgent":       {4, 20, arrival(func(a *Arrival) { a.Urgent = true }), Performance{Slowdown: 1}, Admitted, 625 * ms},
		"slow, free slots":            {0, 0, arrival(func(*Arrival) {}), Performance{Slowdown: 7}, Admitted, 700 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			q := New(4)
			for i := range c.running + c.waiting {
				q.Add(newItem(uint64(i+1), 1, 100, 300))
			}
			for range c.running {
				q.Next(0, 1)
			}
			item, got, expected := q.Admit(at(5), c.arrival, c.performance)
			require.Equal(t, c.want, got)
			require.Equal(t, c.expected, expected)
			if got == Admitted {
				require.Equal(t, at(5).Add(c.arrival.UntilTarget), item.Target)
				require.Equal(t, at(5).Add(c.arrival.UntilDeadline), item.Deadline)
			}
		})
	}
}
