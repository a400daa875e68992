package replay

import (
	"container/heap"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/latency"
)

// addIdealBound sets the Ideal latencies of a result. They are the latencies of one
// central queue per service, with perfect knowledge and no network. The queue assigns
// requests in order of arrival, each to the slot that completes it first. It knows
// when every slot becomes free and how fast every upstream runs. It learns of a fault
// when the fault begins. From then on it knows how long the fault lasts.
func addIdealBound(t *Topology, events []Event, r *Result) {
	total := latency.NewHistogram()
	histogramsByGroup := make(map[groupKey]*latency.Histogram)
	central := newCentralQueue(t)
	for i := range events {
		e := &events[i]
		if e.Fault != "" {
			central.applyFault(e)
			continue
		}
		d := central.assign(e)
		k := groupKey{e.Service, e.Group}
		if histogramsByGroup[k] == nil {
			histogramsByGroup[k] = latency.NewHistogram()
		}
		histogramsByGroup[k].Record(d)
		total.Record(d)
	}
	r.Total.Ideal = total.Percentiles()
	for i := range r.Groups {
		stats := &r.Groups[i]
		stats.Ideal = histogramsByGroup[groupKey{stats.Service, stats.Group}].Percentiles()
	}
}

// centralQueue simulates one central queue for each service.
type centralQueue struct {
	serversByService map[model.ServiceName][]*server
	serversByName    map[string]*server
}

// server is an upstream of the central queue.
type server struct {
	// freeAt holds the instant at which each slot becomes free, as a heap with the
	// earliest instant first.
	freeAt instantHeap
	faults faultState
	// unavailableUntil is the end of the latest FailFast, Drain or Crash.
	unavailableUntil model.Instant
	// straggleUntil is the end of the latest Straggle.
	straggleUntil model.Instant
}

func newCentralQueue(t *Topology) *centralQueue {
	c := &centralQueue{serversByService: make(map[model.ServiceName][]*server), serversByName: make(map[string]*server)}
	for i := range t.Services {
		s := &t.Services[i]
		for j, u := range s.Upstreams {
			slots := u.Slots
			if u.RealSlots > 0 {
				slots = u.RealSlots
			}
			sv := &server{freeAt: make(instantHeap, slots), faults: faultState{straggleFactor: 1}}
			c.serversByService[s.Name] = append(c.serversByService[s.Name], sv)
			c.serversByName[upstreamName(s.Name, j)] = sv
		}
	}
	return c
}

// assign assigns a request to the slot that completes it first and returns the
// request's latency.
func (c *centralQueue) assign(e *Event) time.Duration {
	now := instant(e.AtUs)
	cost := time.Duration(e.CostUs) * time.Microsecond
	var best *server
	var bestEnd model.Instant
	for _, s := range c.serversByService[e.Service] {
		start := max(now, s.freeAt[0], s.unavailableUntil)
		end := start.Add(time.Duration(float64(cost) * s.slowdown(start)))
		if best == nil || end < bestEnd {
			best, bestEnd = s, end
		}
	}
	best.freeAt[0] = bestEnd
	heap.Fix(&best.freeAt, 0)
	return bestEnd.Sub(now)
}

// slowdown returns the factor on the service time of a request that starts at
// the given instant.
func (s *server) slowdown(start model.Instant) float64 {
	f := s.faults
	if start >= s.straggleUntil {
		f.straggleFactor = 1
	}
	return f.slowdown(start)
}

// applyFault applies a fault to its target. It ignores faults that do not change how
// long requests take in the central queue.
func (c *centralQueue) applyFault(e *Event) {
	s := c.serversByName[e.Target]
	if s == nil {
		return
	}
	now := instant(e.AtUs)
	duration := time.Duration(e.ForMs) * time.Millisecond
	until := forever
	if duration > 0 {
		until = now.Add(duration)
	}
	switch e.Fault {
	case Straggle:
		s.faults.straggleFactor, s.straggleUntil = e.Factor, until
	case ColdStart:
		s.faults.coldFactor, s.faults.coldFrom, s.faults.coldUntil = e.Factor, now, now.Add(max(duration, time.Second))
	case FailFast, Drain, Crash:
		s.unavailableUntil = until
	case Recover:
		s.faults = faultState{straggleFactor: 1}
		s.unavailableUntil = now
	}
}

// instantHeap is a min-heap of instants. It implements heap.Interface.
type instantHeap []model.Instant

func (h instantHeap) Len() int           { return len(h) }
func (h instantHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h instantHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface. It is never called, as the number of slots
// does not change.
func (h *instantHeap) Push(x any) { *h = append(*h, x.(model.Instant)) }

// Pop implements heap.Interface. It is never called, as the number of slots does not
// change.
func (h *instantHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
