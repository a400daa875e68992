package replay

import (
	"container/heap"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// task is something that happens at a virtual instant. Tasks at one instant
// happen in the order they were scheduled.
type task struct {
	at       model.Instant
	sequence uint64
	kind     taskKind
	// daemon is the index of the daemon that acts, or noDaemon.
	daemon  int
	attempt *attempt
	// stamp must equal the call's when a finish is due; a crash raises it.
	stamp uint32
	run   func()
}

type taskKind uint8

const (
	// taskRequestArrival: a trace's request reaches its entry.
	taskRequestArrival taskKind = iota + 1
	// taskAttemptArrival: a call reaches the guard.
	taskAttemptArrival
	// taskFinish: the upstream ends a run.
	taskFinish
	// taskExpire: a waiting call's patience or deadline ends.
	taskExpire
	// taskReply: an answer reaches the entry.
	taskReply
	// taskHedge: a call has outlasted its hedge delay.
	taskHedge
	// taskCancel: a cancellation reaches the guard.
	taskCancel
	// taskFunc: a fault begins or ends, or a view spreads.
	taskFunc
)

const noDaemon = -1

// taskHeap orders tasks by time; it implements heap.Interface.
type taskHeap []*task

func (h taskHeap) Len() int { return len(h) }
func (h taskHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *taskHeap) Push(x any)   { *h = append(*h, x.(*task)) }
func (h *taskHeap) Pop() any {
	old := *h
	n := len(old) - 1
	t := old[n]
	old[n] = nil
	*h = old[:n]
	return t
}

// taskQueue holds the tasks to come and reuses the done ones.
type taskQueue struct {
	tasks        taskHeap
	lastSequence uint64
	free         []*task
}

func (q *taskQueue) add(t task) {
	q.lastSequence++
	t.sequence = q.lastSequence
	var p *task
	if n := len(q.free); n > 0 {
		p, q.free = q.free[n-1], q.free[:n-1]
	} else {
		p = new(task)
	}
	*p = t
	heap.Push(&q.tasks, p)
}

// nextInstant returns the instant of the next task.
func (q *taskQueue) nextInstant() (model.Instant, bool) {
	if len(q.tasks) == 0 {
		return 0, false
	}
	return q.tasks[0].at, true
}

func (q *taskQueue) pop() task {
	p := heap.Pop(&q.tasks).(*task)
	t := *p
	*p = task{}
	q.free = append(q.free, p)
	return t
}
