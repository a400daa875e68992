package replay_test

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/slots"
)

// reach has a guard take a request.
func (m *mesh) reach(j *job, alternative time.Duration) {
	n := j.at
	if n.away {
		m.giveBack(j, false)
		return
	}
	if m.policy == fewestStraight {
		m.start(n, j)
		return
	}
	m.load(n)
	took := m.now.Sub(j.began)
	it, admission, _ := n.queue.Admit(m.now, slots.Arrival{
		Rank: j.rank, Urgent: j.rank == 0, ServiceTime: m.usual(j), Alternative: alternative,
		UntilTarget: max(j.target-took, 0), UntilDeadline: j.deadline - took,
	}, slots.Performance{Slowdown: n.slow})
	if admission != slots.Admitted {
		m.giveBack(j, admission == slots.Full)
		return
	}
	m.nextID++
	it.ID = m.nextID
	n.waiting[it.ID] = j
	n.queue.Add(it)
	m.pump(n)
}

func (m *mesh) giveBack(j *job, full bool) {
	from := j.at
	l := m.load(from)
	m.after(nearTicks, func() {
		m.done(j, from, &l)
		j.tried[from.key] = true
		j.givenBack++
		if full {
			j.full++
		}
		m.place(j)
	})
}

func (m *mesh) done(j *job, from *meshNode, l *placement.Load) {
	if m.policy == byPlacement {
		j.entry.placer.Done(m.now, from.key, l)
	}
	j.entry.mine[from]--
}

func (m *mesh) pump(n *meshNode) {
	for {
		d, ok := n.queue.Next(m.now, n.slow)
		if !ok {
			return
		}
		j := n.waiting[d.ID]
		delete(n.waiting, d.ID)
		switch d.Reason {
		case slots.Start:
			m.start(n, j)
		case slots.DeadlineUnreachable:
			m.done(j, n, nil)
			m.refuse(j)
		default:
			m.giveBack(j, d.Reason == slots.TooLate)
		}
	}
}

// start hands a request to an upstream, which resets the connection of one too many.
func (m *mesh) start(n *meshNode, j *job) {
	if len(n.runs) >= n.slots+m.queue {
		m.resets++
		m.done(j, n, nil)
		return
	}
	n.runs = append(n.runs, j)
}

// work lets an upstream work for a tick.
func (m *mesh) work(n *meshNode) {
	speed := n.speeds[m.ticks]
	if n.coldUntil > m.now {
		speed /= coldFactor
	}
	if float64(len(n.runs)) >= kneeShare*float64(n.slots) {
		speed /= kneeFactor
	}
	kept := n.runs[:0]
	for i, j := range n.runs {
		if i >= n.slots {
			kept = append(kept, j)
			continue
		}
		if j.left -= speed * tick.Seconds(); j.left > 0 {
			kept = append(kept, j)
			continue
		}
		n.queue.Finish()
		m.finish(j)
	}
	n.runs = kept
	m.pump(n)
}

// noisyRun is how long requests run on the mean beside the usual neighbours.
const noisyRun = 210 * time.Millisecond

func (m *mesh) finish(j *job) {
	l := m.load(j.at)
	m.done(j, j.at, &l)
	switch took := m.now.Sub(j.began); {
	case took <= j.target:
		m.inTime++
	default:
		m.late++
	}
}
