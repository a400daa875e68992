package replay_test

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/slots"
)

// arriveAtGuard has a guard take a request.
func (m *mesh) arriveAtGuard(j *meshRequest, alternative time.Duration) {
	n := j.guard
	if n.down {
		m.reject(j, false)
		return
	}
	if m.policy == useLeastOutstandingWithoutGuards {
		m.start(n, j)
		return
	}
	m.load(n)
	took := m.now.Sub(j.arrivedAt)
	it, admission, _ := n.queue.Admit(m.now, slots.Arrival{
		Rank: j.rank, Urgent: j.rank == 0, ServiceTime: m.expectedServiceTime(j), Alternative: alternative,
		UntilTarget: max(j.target-took, 0), UntilDeadline: j.deadline - took,
	}, slots.Performance{Slowdown: n.slowdown})
	if admission != slots.Admitted {
		m.reject(j, admission == slots.Full)
		return
	}
	m.nextID++
	it.ID = m.nextID
	n.waiting[it.ID] = j
	n.queue.Add(it)
	m.startWaiting(n)
}

func (m *mesh) reject(j *meshRequest, full bool) {
	from := j.guard
	l := m.load(from)
	m.schedule(localDelayTicks, func() {
		m.attemptDone(j, from, &l)
		j.rejectedBy[from.key] = true
		j.rejections++
		if full {
			j.fullGuards++
		}
		m.place(j)
	})
}

func (m *mesh) attemptDone(j *meshRequest, from *meshNode, l *placement.Load) {
	if m.policy == usePlacement {
		j.entry.placer.Done(m.now, from.key, l)
	}
	j.entry.outstanding[from]--
}

func (m *mesh) startWaiting(n *meshNode) {
	for {
		d, ok := n.queue.Next(m.now, n.slowdown)
		if !ok {
			return
		}
		j := n.waiting[d.ID]
		delete(n.waiting, d.ID)
		switch d.Reason {
		case slots.Start:
			m.start(n, j)
		case slots.DeadlineUnreachable:
			m.attemptDone(j, n, nil)
			m.refuse(j)
		default:
			m.reject(j, d.Reason == slots.TooLate)
		}
	}
}

// start hands a request to an upstream, which resets the connection of one too many.
func (m *mesh) start(n *meshNode, j *meshRequest) {
	if len(n.running) >= n.slots+m.upstreamQueue {
		m.resets++
		m.attemptDone(j, n, nil)
		return
	}
	n.running = append(n.running, j)
}

// runUpstream lets an upstream work for a tick.
func (m *mesh) runUpstream(n *meshNode) {
	speed := n.speeds[m.tick]
	if n.coldUntil > m.now {
		speed /= coldSlowdown
	}
	if float64(len(n.running)) >= kneeUtilization*float64(n.slots) {
		speed /= kneeSlowdown
	}
	kept := n.running[:0]
	for i, j := range n.running {
		if i >= n.slots {
			kept = append(kept, j)
			continue
		}
		if j.remaining -= speed * tickLength.Seconds(); j.remaining > 0 {
			kept = append(kept, j)
			continue
		}
		n.queue.Finish()
		m.recordFinish(j)
	}
	n.running = kept
	m.startWaiting(n)
}

// meanNoisyServiceTime is how long requests run on the mean beside the usual neighbours.
const meanNoisyServiceTime = 210 * time.Millisecond

func (m *mesh) recordFinish(j *meshRequest) {
	l := m.load(j.guard)
	m.attemptDone(j, j.guard, &l)
	switch took := m.now.Sub(j.arrivedAt); {
	case took <= j.target:
		m.inTime++
	default:
		m.late++
	}
}
