package measure

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Monitor measures one upstream for one service: it says when to poll its load
// report within the budget, and what the report adds to the exact load. It is
// not safe for concurrent use.
type Monitor struct {
	budget   *Budget
	trust    *Trust
	schedule Schedule
	nextPoll model.Instant
	// window is the present one, last the one before: a report lags, so what it
	// says is compared with both.
	currentWindow, previousWindow runningRange
	running                       int
}

// span is the fewest and most requests running over a time.
type runningRange struct{ lowest, highest int }

// NewMonitor returns a Monitor that polls for the first time after the
// schedule's longest interval.
func NewMonitor(now model.Instant, opts Options) *Monitor {
	m := &Monitor{budget: NewBudget(now, opts), trust: NewTrust()}
	m.nextPoll = now.Add(m.schedule.Next(0, false))
	return m
}

// Running takes in the number of requests that the guard has running.
func (m *Monitor) Running(n int) {
	m.running = n
	m.currentWindow.lowest = min(m.currentWindow.lowest, n)
	m.currentWindow.highest = max(m.currentWindow.highest, n)
}

// Next returns the instant of the next poll.
func (m *Monitor) Next() model.Instant { return m.nextPoll }

// Poll reserves the most that a poll can cost. It reports false when none is
// due or the budget forbids it; then it is tried again after an interval.
func (m *Monitor) Poll(now model.Instant, maxCost Cost) (Reservation, bool) {
	if now < m.nextPoll {
		return Reservation{}, false
	}
	m.nextPoll = now.Add(m.schedule.Next(0, false))
	return m.budget.Reserve(now, maxCost)
}

// Reported takes in the report that a poll brought and what it cost. slowed is
// set when requests lately take clearly longer than usual.
func (m *Monitor) Reported(now model.Instant, r *Reservation, cost Cost, report Report, slowed bool) {
	m.budget.Settle(now, r, cost)
	m.trust.Observe(report, Observation{
		MinRunning: min(m.currentWindow.lowest, m.previousWindow.lowest),
		MaxRunning: max(m.currentWindow.highest, m.previousWindow.highest),
		Slowed:     slowed,
	})
	m.previousWindow = m.currentWindow
	m.currentWindow = runningRange{m.running, m.running}
	m.nextPoll = now.Add(m.schedule.Next(m.trust.Discrepancy(), slowed))
}

// Failed books a poll that brought no report.
func (m *Monitor) Failed(now model.Instant, r *Reservation, cost Cost) {
	m.budget.Settle(now, r, cost)
}

// SetShare changes the budget from now on.
func (m *Monitor) SetShare(now model.Instant, share float64) { m.budget.SetShare(now, share) }

// Annotate returns the load with the requests from elsewhere that are believed
// to run at the upstream.
func (m *Monitor) Annotate(load model.Load) model.Load {
	load.Running += int32(m.trust.External(int(load.Limit)))
	return load
}

// Spent returns the slot time that measuring has taken.
func (m *Monitor) Spent() time.Duration { return m.budget.Spent() }

// Refused returns the number of polls that the budget forbade.
func (m *Monitor) Refused() uint64 { return m.budget.Refused() }

// Counts returns how reports compared with what was seen.
func (m *Monitor) Counts() Counts { return m.trust.Counts() }
