package replay

import (
	"container/heap"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// task is a scheduled step of the simulation. Tasks due at the same instant run
// in the order in which they were scheduled.
type task struct {
	dueAt model.Instant
	// sequence numbers the tasks in the order in which they were scheduled.
	sequence uint64
	kind     taskKind
	// daemonIndex is the index of the daemon that the task runs on, or noDaemon.
	daemonIndex int
	attempt     *attempt
	// generation is the attempt's generation when the task was scheduled. If the
	// attempt's generation has changed since, taskFinish and taskExpire are ignored.
	generation uint32
	run        func()
}

type taskKind uint8

const (
	// taskRequestArrival: a request of the trace arrives at its entry.
	taskRequestArrival taskKind = iota + 1
	// taskAttemptArrival: an attempt arrives at its guard.
	taskAttemptArrival
	// taskFinish: the upstream finishes executing an attempt.
	taskFinish
	// taskExpire: a waiting attempt's queue timeout or deadline expires.
	taskExpire
	// taskReply: a guard's reply arrives at the entry.
	taskReply
	// taskHedge: an attempt's hedge delay has passed.
	taskHedge
	// taskCancel: a cancellation arrives at the guard.
	taskCancel
	// taskFunc: the function task.run is called, for example to end a fault, to
	// poll an upstream or to update the routers.
	taskFunc
)

// noDaemon is the daemon of tasks that do not depend on a daemon.
const noDaemon = -1

// taskHeap is a min-heap of tasks by time; it implements heap.Interface.
type taskHeap []*task

func (h taskHeap) Len() int { return len(h) }
func (h taskHeap) Less(i, j int) bool {
	if h[i].dueAt != h[j].dueAt {
		return h[i].dueAt < h[j].dueAt
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

// taskQueue is the priority queue of scheduled tasks.
type taskQueue struct {
	tasks        taskHeap
	lastSequence uint64
	// reusableTasks holds the memory of popped tasks for later tasks.
	reusableTasks []*task
}

func (q *taskQueue) add(t task) {
	q.lastSequence++
	t.sequence = q.lastSequence
	var p *task
	if n := len(q.reusableTasks); n > 0 {
		p, q.reusableTasks = q.reusableTasks[n-1], q.reusableTasks[:n-1]
	} else {
		p = new(task)
	}
	*p = t
	heap.Push(&q.tasks, p)
}

// nextInstant returns the instant of the next task, and whether there is one.
func (q *taskQueue) nextInstant() (model.Instant, bool) {
	if len(q.tasks) == 0 {
		return 0, false
	}
	return q.tasks[0].dueAt, true
}

func (q *taskQueue) pop() task {
	p := heap.Pop(&q.tasks).(*task)
	t := *p
	*p = task{}
	q.reusableTasks = append(q.reusableTasks, p)
	return t
}
