package load

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/replay"
)

// Recorder records the requests of a run as events of a trace. It keeps all
// events in memory.
type Recorder struct {
	mu     sync.Mutex
	events []replay.Event
}

// add records a request. due is the time from the start of the run until the request
// was due. took is the time from sending the request until its response was complete.
// If the plan does not state the cost, took is recorded as the cost, although it
// includes time spent waiting.
func (r *Recorder) add(req *Request, due, took time.Duration) {
	cost := time.Duration(req.Cost)
	if cost == 0 {
		cost = took
	}
	e := replay.Event{
		AtUs:       due.Microseconds(),
		Caller:     req.Caller,
		Group:      req.Group,
		Service:    req.Service,
		CostUs:     max(cost.Microseconds(), 1),
		Idempotent: req.isIdempotent(),
		DeadlineMs: time.Duration(req.Deadline).Milliseconds(),
		Key:        req.Key,
		Zone:       req.Target.Zone,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// Write writes the trace as JSON lines, in the order in which the requests were due.
func (r *Recorder) Write(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.events, func(a, b replay.Event) int { return cmp.Compare(a.AtUs, b.AtUs) })
	buffered := bufio.NewWriter(w)
	enc := json.NewEncoder(buffered)
	for i := range r.events {
		if err := enc.Encode(&r.events[i]); err != nil {
			return err
		}
	}
	return buffered.Flush()
}
