package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

const (
	// meanDepartureInterval is the mean time between two departures of kind kindDepart in a plan.
	meanDepartureInterval = 12 * time.Second
	// departureAttempts and departureRetryInterval bound how long an upstream tries to state its departure to a daemon
	// that is starting.
	departureAttempts      = 40
	departureRetryInterval = 50 * time.Millisecond
	// departedServing is how long an upstream serves after its departure must have taken effect.
	departedServing = 3 * time.Second
)

// departures draws departures around kills of the daemon. They have a random sequence of their own, so that the other
// faults of a seed are those of plans without them.
func departures(seed uint64, vms int, from, end time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	var faults []Fault
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanDepartureInterval)).Round(time.Millisecond)
		if at >= end {
			return faults
		}
		modes := faultModes[kindDepart]
		d := time.Duration(rng.Float64() * float64(maxReportDelay)).Round(time.Millisecond)
		faults = append(faults, Fault{At: at, Kind: kindDepart, VM: 1 + rng.IntN(vms), Mode: modes[rng.IntN(len(modes))], Duration: min(d, end-at)})
	}
}

// merge merges faults into the plan by their times.
func (p *Plan) merge(faults []Fault) {
	p.Faults = append(p.Faults, faults...)
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// departAroundKill kills the daemon of a VM. The first statement that the daemon hears after its start is that its upstream
// departs. A report that the upstream made before arrives after the duration of the fault. The upstream goes
// on serving, and then starts again, under a new id in mode start, unless another fault has restarted it meanwhile.
func (h *harness) departAroundKill(m *vm, f Fault) {
	incarnation, id := m.upstream.Incarnation(), m.upstream.ID()
	deliverLate := m.upstream.HoldReport()
	m.signal(syscall.SIGKILL)
	depart := m.upstream.Drain
	if f.Mode != "draining" {
		depart = func() bool { return m.upstream.Deregister(f.Mode == "start") }
	}
	// The daemon may have asked the upstream for its health before, or not.
	time.Sleep(f.Duration / 2)
	for range departureAttempts {
		if depart() {
			h.checker.recordDrain(incarnation)
			break
		}
		time.Sleep(departureRetryInterval)
	}
	time.Sleep(f.Duration / 2)
	deliverLate()
	time.Sleep(drainAllowance + departedServing)
	if m.upstream.Incarnation() != incarnation {
		return
	}
	m.upstream.Crash()
	if f.Mode == "start" {
		id = h.newID(f.VM)
	}
	_ = m.upstream.Start(id)
}
