package admission

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// workload is an open-loop stream of requests of one caller: requests arrive at a
// fixed interval, whether or not earlier requests have ended.
type workload struct {
	group  model.GroupName
	caller model.CallerName
	// interval is the time between two arrivals.
	interval time.Duration
	// slotTime draws the slot time of a request.
	slotTime func(*rand.Rand) time.Duration
	// timeout is the time from the arrival of a request to its deadline.
	timeout time.Duration
	// startAt and stopAt are times since the start of the simulation. The first
	// request arrives at startAt, and no request arrives at stopAt or later.
	startAt, stopAt time.Duration
}

// constant returns a slotTime function for requests that all run for d.
func constant(d time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return d }
}

// exponential returns a slotTime function with exponentially distributed values.
func exponential(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration {
		return max(time.Duration(r.ExpFloat64()*float64(mean)), time.Microsecond)
	}
}

// job is one simulated request. slotTime is the time that the request needs a slot for.
type job struct {
	id        ID
	workload  *workload
	slotTime  time.Duration
	arrivedAt model.Instant
	deadline  model.Instant
	startedAt model.Instant
	running   bool
	ended     bool
}

// event is the arrival or the end of a job.
type event struct {
	instant model.Instant
	// seq orders events of the same instant.
	seq uint64
	job *job
	// isEnd is set for the end of the job, and not set for its arrival.
	isEnd bool
}

// eventHeap implements heap.Interface with the earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].instant != h[j].instant {
		return h[i].instant < h[j].instant
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulator drives one Controller in virtual time. After every step it checks
// that no slot is idle while a request waits.
type simulator struct {
	t          require.TestingT
	controller *Controller
	rng        *rand.Rand
	slots      int
	now        model.Instant
	events     eventHeap
	lastSeq    uint64
	jobs       map[ID]*job
	nextID     ID
	// hasMaxRunning is set when a group has a limit on its running requests. A
	// slot may then be idle while requests wait.
	hasMaxRunning bool
	// effects holds the effects of the current step.
	effects []Effect

	// slotTimeByWindow holds the slot time that each group used in each window.
	slotTimeByWindow map[model.GroupName][]time.Duration
	slotTimeByCaller map[model.CallerName]time.Duration
	// latenciesByGroup holds the latencies of the requests that ended by their deadline.
	latenciesByGroup map[model.GroupName][]time.Duration
	// inTimeByWindow holds for each group and window the number of requests that
	// ended by their deadline.
	inTimeByWindow map[model.GroupName][]int
	// refusalCounts holds the number of refused requests by group and reason.
	refusalCounts   map[model.GroupName]map[outcome.Reason]int
	slotTimeByGroup map[model.GroupName]time.Duration
}

// windowLength is the period over which slot time and goodput are counted.
const windowLength = time.Second

func newSimulator(t require.TestingT, slots int, opts Options, groups ...Group) *simulator {
	opts.Slots = slots
	sim := &simulator{
		t: t, controller: New(opts), slots: slots, rng: rand.New(rand.NewPCG(1, 2)),
		jobs:             make(map[ID]*job),
		slotTimeByWindow: make(map[model.GroupName][]time.Duration),
		slotTimeByCaller: make(map[model.CallerName]time.Duration),
		latenciesByGroup: make(map[model.GroupName][]time.Duration),
		inTimeByWindow:   make(map[model.GroupName][]int),
		refusalCounts:    make(map[model.GroupName]map[outcome.Reason]int),
		slotTimeByGroup:  make(map[model.GroupName]time.Duration),
	}
	for _, g := range groups {
		sim.hasMaxRunning = sim.hasMaxRunning || g.MaxRunning > 0
	}
	sim.controller.Configure(0, groups)
	return sim
}

// schedule adds the arrival or the end of a job to the events.
func (s *simulator) schedule(instant model.Instant, j *job, isEnd bool) {
	s.lastSeq++
	heap.Push(&s.events, event{instant: instant, seq: s.lastSeq, job: j, isEnd: isEnd})
}

// scheduleArrivals creates the jobs of a workload and schedules their arrivals.
func (s *simulator) scheduleArrivals(w *workload) {
	for t := w.startAt; t < w.stopAt; t += w.interval {
		s.nextID++
		j := &job{id: s.nextID, workload: w, slotTime: w.slotTime(s.rng), arrivedAt: model.Instant(t)}
		j.deadline = j.arrivedAt.Add(w.timeout)
		s.jobs[j.id] = j
		s.schedule(j.arrivedAt, j, false)
	}
}

// run simulates the workloads until all requests have ended.
func (s *simulator) run(workloads ...workload) {
	for i := range workloads {
		s.scheduleArrivals(&workloads[i])
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.instant
		if e.isEnd {
			s.finishJob(e.job)
		} else {
			s.arriveJob(e.job)
		}
		s.applyEffects()
		load := s.controller.Load(s.now)
		if load.Waiting > 0 && load.Running < load.Limit && !s.hasMaxRunning {
			require.Fail(s.t, "slot idle while a request waits", "%+v at %d", load, s.now)
		}
	}
	for _, j := range s.jobs {
		if !j.ended {
			require.Fail(s.t, "request never ended", "request %d of %s", j.id, j.workload.group)
		}
	}
}

func (s *simulator) arriveJob(j *job) {
	req := model.Request{Group: j.workload.group, Caller: j.workload.caller, Deadline: j.deadline}
	s.effects = s.controller.Arrive(s.now, Arrival{ID: j.id, Request: req}, s.effects[:0])
}

// finishJob records the slot time and latency of a running job, and reports the end of the
// job to the controller.
func (s *simulator) finishJob(j *job) {
	group := j.workload.group
	slotTime := s.now.Sub(j.startedAt)
	s.addSlotTime(group, j.startedAt, s.now)
	s.slotTimeByCaller[j.workload.caller] += slotTime
	s.slotTimeByGroup[group] += slotTime
	j.ended = true
	if s.now <= j.deadline {
		s.latenciesByGroup[group] = append(s.latenciesByGroup[group], s.now.Sub(j.arrivedAt))
		s.inTimeByWindow[group] = addAt(s.inTimeByWindow[group], int(s.now/model.Instant(windowLength)), 1)
	}
	s.effects = s.controller.Finish(s.now, j.id, Result{Outcome: outcome.ResponseComplete(), SlotTime: slotTime}, s.effects[:0])
}

// applyEffects starts or refuses the jobs of the current effects. It fails the test when a
// job gets a second effect, or is refused with an outcome other than not run.
func (s *simulator) applyEffects() {
	for _, e := range s.effects {
		j := s.jobs[e.ID]
		if j.running || j.ended {
			require.Fail(s.t, "second effect for a request that runs or has ended", "request %d", e.ID)
		}
		if e.Kind == Refuse {
			if e.Outcome.Kind != outcome.NotRun {
				require.Fail(s.t, "refused with an outcome other than not run", "request %d: %+v", e.ID, e.Outcome)
			}
			j.ended = true
			if s.refusalCounts[j.workload.group] == nil {
				s.refusalCounts[j.workload.group] = make(map[outcome.Reason]int)
			}
			s.refusalCounts[j.workload.group][e.Outcome.Reason]++
			continue
		}
		j.running, j.startedAt = true, s.now
		// The upstream aborts a request that still runs at its deadline.
		s.schedule(min(s.now.Add(j.slotTime), max(j.deadline, s.now)), j, true)
		if s.now.Add(j.slotTime) > j.deadline {
			j.deadline-- // aborted: finishJob must not count it as ended in time
		}
	}
}

// addSlotTime divides the slot time of one run, from start to end, among the windows
// that the run spans.
func (s *simulator) addSlotTime(group model.GroupName, start, end model.Instant) {
	for start < end {
		windowIndex := start / model.Instant(windowLength)
		partEnd := min(end, (windowIndex+1)*model.Instant(windowLength))
		s.slotTimeByWindow[group] = addAt(s.slotTimeByWindow[group], int(windowIndex), partEnd.Sub(start))
		start = partEnd
	}
}

// addAt adds v to s[i]. It first extends s with zeros up to index i if needed.
func addAt[T int | time.Duration](s []T, i int, v T) []T {
	for len(s) <= i {
		s = append(s, 0)
	}
	s[i] += v
	return s
}

// quantile returns the q-quantile of the durations, or 0 when there are none.
func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), durations...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(q*float64(len(sorted)-1))]
}

func sum[T int | time.Duration](s []T) T {
	var total T
	for _, v := range s {
		total += v
	}
	return total
}
