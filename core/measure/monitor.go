package measure

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Monitor measures one upstream for one service. It decides, within the budget, when to poll
// the upstream for a load report. It also decides how many requests from elsewhere are added,
// because of a report, to the load that the guard knows exactly. A Monitor is not safe for
// concurrent use.
type Monitor struct {
	budget   *Budget
	trust    *Trust
	schedule Schedule
	// nextPoll is when the next poll is due.
	nextPoll model.Instant
	// currentWindow covers the time since the last report. A new report may be late, so the
	// report is compared with currentWindow and previousWindow.
	currentWindow runningRange
	// previousWindow covers the time between the last two reports.
	previousWindow runningRange
	// running is the number of requests that the guard has running now.
	running int
}

// runningRange is the lowest and highest number of the guard's requests that ran at the same
// time during a window.
type runningRange struct{ lowest, highest int }

// NewMonitor returns a Monitor whose first poll is due after the longest interval of
// the schedule.
func NewMonitor(now model.Instant, opts Options) *Monitor {
	m := &Monitor{budget: NewBudget(now, opts), trust: NewTrust()}
	m.nextPoll = now.Add(m.schedule.Next(0, false))
	return m
}

// SetRunning records the current number of requests that the guard has running.
func (m *Monitor) SetRunning(n int) {
	m.running = n
	m.currentWindow.lowest = min(m.currentWindow.lowest, n)
	m.currentWindow.highest = max(m.currentWindow.highest, n)
}

// NextPoll returns the instant at which the next poll is due.
func (m *Monitor) NextPoll() model.Instant { return m.nextPoll }

// BeginPoll reserves slot time for maxCost, the largest possible cost of a poll. It returns
// false if no poll is due yet, or if the budget does not allow a poll. If a poll is due, the
// next one is due after the longest interval of the schedule, whether or not the budget allows
// this one. PollSucceeded may make the next poll due earlier.
func (m *Monitor) BeginPoll(now model.Instant, maxCost Cost) (Reservation, bool) {
	if now < m.nextPoll {
		return Reservation{}, false
	}
	m.nextPoll = now.Add(m.schedule.Next(0, false))
	return m.budget.Reserve(now, maxCost)
}

// PollSucceeded records the report that a poll returned and the actual cost of the poll. slowed
// is set if recent requests have taken clearly longer than usual. PollSucceeded also schedules
// the next poll.
func (m *Monitor) PollSucceeded(now model.Instant, r *Reservation, cost Cost, report Report, slowed bool) {
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

// PollFailed charges the cost of a poll that returned no report.
func (m *Monitor) PollFailed(now model.Instant, r *Reservation, cost Cost) {
	m.budget.Settle(now, r, cost)
}

// SetShare changes the share of slot time that measuring may take from now on.
func (m *Monitor) SetShare(now model.Instant, share float64) { m.budget.SetShare(now, share) }

// Annotate returns load with the assumed number of requests from elsewhere (see
// Trust.ExternalRequests) added to Running.
func (m *Monitor) Annotate(load model.Load) model.Load {
	load.Running += int32(m.trust.ExternalRequests(int(load.Limit)))
	return load
}

// Spent returns the slot time that measuring has been charged.
func (m *Monitor) Spent() time.Duration { return m.budget.Spent() }

// Refused returns the number of polls that the budget did not allow.
func (m *Monitor) Refused() uint64 { return m.budget.Refused() }

// Counts returns how many reports agreed with, contradicted or were not supported by the
// observations.
func (m *Monitor) Counts() Counts { return m.trust.Counts() }
