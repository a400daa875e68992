package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Request is one request of a run.
type Request struct {
	*Source
	// Name identifies the request within the run.
	Name   string
	Target Target
	// Due is the time for which the plan schedules the request. It can be sent later.
	Due time.Time
	// Key is the idempotency key, if any.
	Key string
}

// Sender sends requests. It must be safe for concurrent use.
type Sender interface {
	// Send sends a request once, without retries, and returns when the response
	// is complete.
	Send(ctx context.Context, r *Request) Reply
}

// Options configure a run.
type Options struct {
	// Sender sends the requests. Default: an HTTPSender.
	Sender Sender
	// Progress, if set, is called about once a second with intermediate results.
	Progress func(Progress)
	// Observe, if set, is called with every completed request. It must be safe
	// for concurrent use.
	Observe func(*Request, Reply)
	// Recorder, if set, records every completed request.
	Recorder *Recorder
}

const progressInterval = time.Second

// Run executes a plan, which must have passed Check, and returns the result. If
// the context is cancelled, Run sends no further requests, cancels those in
// flight and returns the results so far. It returns an error only if the plan's
// certificates cannot be used.
func Run(ctx context.Context, p Plan, o Options) (*Result, error) {
	if o.Sender == nil {
		s, err := NewHTTPSender(p.TLS)
		if err != nil {
			return nil, err
		}
		defer s.Close()
		o.Sender = s
	}
	r := &run{
		plan:      p,
		opts:      o,
		startedAt: time.Now(),
		collector: newCollector(p),
		inFlight:  make(chan struct{}, p.MaxInFlight),
	}
	stop := r.reportProgress(ctx)
	var sourcesWG sync.WaitGroup
	for i := range p.Sources {
		sourcesWG.Go(func() { r.runSource(ctx, i) })
	}
	sourcesWG.Wait()
	r.requestsWG.Wait()
	stop()
	return r.collector.result(p), nil
}

// run is the state of one run of a plan.
type run struct {
	plan      Plan
	opts      Options
	startedAt time.Time
	collector *collector
	// inFlight holds one element for each request in flight. Its capacity limits
	// their number.
	inFlight   chan struct{}
	requestsWG sync.WaitGroup
}

// runSource sends the requests of one source, each at the time when it is due.
// sourceIndex is the position of the source in Plan.Sources.
func (r *run) runSource(ctx context.Context, sourceIndex int) {
	s := &r.plan.Sources[sourceIndex]
	rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(sourceIndex)))
	due := time.Duration(0)
	for n := 0; ; n++ {
		due += time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second))
		if due >= time.Duration(r.plan.Duration) || !sleepUntil(ctx, r.startedAt.Add(due)) {
			return
		}
		req := r.newRequest(s, sourceIndex, n, due)
		if !r.acquire(ctx) {
			return
		}
		r.requestsWG.Go(func() { r.send(ctx, req) })
	}
}

// newRequest returns the n-th request of a source, counted from 0. The requests of a
// source go to the targets in turn.
func (r *run) newRequest(s *Source, sourceIndex, n int, due time.Duration) *Request {
	req := &Request{
		Source: s,
		Name:   strconv.Itoa(sourceIndex) + "-" + strconv.Itoa(n),
		Target: r.plan.Targets[(sourceIndex+n)%len(r.plan.Targets)],
		Due:    r.startedAt.Add(due),
	}
	if s.Keyed {
		req.Key = uuid.Must(uuid.NewV7()).String()
	}
	return req
}

// acquire adds a request to those in flight. While MaxInFlight requests are in flight,
// acquire waits for one to complete. Latency includes this wait. It returns false if
// the context is cancelled first.
func (r *run) acquire(ctx context.Context) bool {
	select {
	case r.inFlight <- struct{}{}:
		return true
	default:
	}
	r.collector.countHeld()
	select {
	case r.inFlight <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends a request and records the sample.
func (r *run) send(ctx context.Context, req *Request) {
	defer func() { <-r.inFlight }()
	sentAt := time.Now()
	reply := r.opts.Sender.Send(ctx, req)
	completedAt := time.Now()
	r.collector.add(sample{
		request: req,
		reply:   reply,
		due:     req.Due.Sub(r.startedAt),
		sendLag: sentAt.Sub(req.Due),
		latency: completedAt.Sub(req.Due),
	})
	if r.opts.Observe != nil {
		r.opts.Observe(req, reply)
	}
	if r.opts.Recorder != nil {
		r.opts.Recorder.add(req, req.Due.Sub(r.startedAt), completedAt.Sub(sentAt))
	}
}

// sleepUntil waits until the given time. It returns false if the context is
// cancelled first.
func sleepUntil(ctx context.Context, wakeTime time.Time) bool {
	timer := time.NewTimer(time.Until(wakeTime))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// reportProgress calls Options.Progress, if set, every progressInterval until stop is
// called or the context is cancelled.
func (r *run) reportProgress(ctx context.Context) (stop func()) {
	if r.opts.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				r.opts.Progress(r.collector.progress(time.Since(r.startedAt), len(r.inFlight)))
			}
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}
