package replay

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// entry simulates the entry of one daemon. It accepts requests, picks upstreams
// with the production routers and retries failed attempts.
type entry struct {
	sim   *simulation
	index int // position in simulation.entries; simulation.guards has the same order
	zone  model.AvailabilityZone
	// routersByService holds one router for each service.
	routersByService map[model.ServiceName]*routing.Router
}

// request is a request of the trace and the state of its attempts.
type request struct {
	event     *Event
	entry     *entry
	arrivedAt model.Instant
	// outcomeSoFar is the combined outcome of the attempts in triedUpstreams. It is
	// NotRun while triedUpstreams is empty.
	outcomeSoFar outcome.Outcome
	// triedUpstreams lists the upstreams of the finished attempts. It leaves out the
	// attempts that rejectionCount counts. It also leaves out hedges that failed while
	// another attempt at the request was in flight.
	triedUpstreams []model.UpstreamID
	// rejectionCount counts the attempts that a guard rejected, that is, returned
	// unexecuted. Hedges are not counted.
	rejectionCount int
	// executionCount counts the executions of the request at all upstreams together.
	executionCount int
	// inFlight holds the attempts without a reply so far.
	inFlight []*attempt
	// completed is set when the caller has its response. Attempts may still be in
	// flight then.
	completed bool
}

// attempt is one attempt at a request: the request sent to one guard.
type attempt struct {
	id    uint64
	req   *request
	guard *guard
	// incarnation is the upstream's incarnation when the router chose it.
	incarnation model.Incarnation
	choice      routing.Choice
	// isHedge is set if the attempt was sent while an earlier, slow attempt at the
	// same request was still in flight.
	isHedge   bool
	sentAt    model.Instant
	startedAt model.Instant
	isRunning bool // in the upstream
	isWaiting bool // in the guard's queue
	// generation increases when a crash or a cancellation ends the execution
	// early. Tasks that were scheduled for an earlier generation are ignored.
	generation uint32
	// reply holds the result of the execution until the guard replies. From then on it
	// holds the reply that the entry receives.
	reply routing.Reply
}

// maxAttempts is the number of attempts after which a failed request is not retried.
// Only the attempts in request.triedUpstreams count, so rejected attempts do not.
const maxAttempts = 3

func newEntry(s *simulation, index int, g *guard) (*entry, error) {
	e := &entry{sim: s, index: index, zone: g.upstream.Zone, routersByService: make(map[model.ServiceName]*routing.Router)}
	for _, svc := range s.topology.Services {
		r, err := routing.New(s.routingOptions(index, e.zone, g.upstream.Daemon))
		if err != nil {
			return nil, err
		}
		e.routersByService[svc.Name] = r
	}
	return e, nil
}

// place sends the request to the upstream that the router chooses. If the router
// has no upstream left to try, place completes the request with outcomeSoFar.
func (e *entry) place(req *request) {
	choice, ok := e.routersByService[req.event.Service].Place(e.sim.now, req.routingRequest(), req.triedUpstreams, req.rejectionCount)
	if !ok {
		e.complete(req, req.outcomeSoFar)
		return
	}
	a := e.send(req, choice)
	e.scheduleHedge(a)
}

// send starts an attempt at the chosen upstream. If a partition separates the entry from
// the guard of this upstream, the attempt fails after connectTimeout with outcome NotRun.
func (e *entry) send(req *request, choice routing.Choice) *attempt {
	s := e.sim
	s.lastAttemptID++
	a := &attempt{
		id:          s.lastAttemptID,
		req:         req,
		guard:       s.guardsByName[string(choice.Upstream.ID)],
		incarnation: choice.Upstream.Incarnation,
		choice:      choice,
		sentAt:      s.now,
	}
	req.inFlight = append(req.inFlight, a)
	if s.partitioned(e.index, a.guard.index) {
		a.reply = routing.Reply{Outcome: outcome.NotRunBecause(outcome.ReasonConnect)}
		s.queue.add(task{dueAt: s.now.Add(connectTimeout), kind: taskReply, daemonIndex: e.index, attempt: a})
		return a
	}
	s.queue.add(task{dueAt: s.now.Add(s.delay(e.index, a.guard.index)), kind: taskAttemptArrival, daemonIndex: a.guard.index, attempt: a})
	return a
}

// connectTimeout is how long an entry waits for a new connection across a zone partition.
// It is also the time after which an entry detects that a partition has broken an open
// connection.
const connectTimeout = 50 * time.Millisecond

// handleReply processes the reply to an attempt. If a guard rejected the attempt, the
// request is placed again. A rejected hedge is treated as a failed attempt instead.
//
// After a failed attempt, the request is retried if Outcome.MayRetry allows it, maxAttempts
// is not reached and the deadline has not passed. Otherwise the request is completed. While
// another attempt at the request is in flight, a failed attempt neither retries nor
// completes the request. The reply to the other attempt decides.
func (e *entry) handleReply(a *attempt) {
	req := a.req
	e.sim.removeAttempt(a)
	a.reply.Latency = e.sim.now.Sub(a.sentAt)
	a.reply.Group, a.reply.Hedge = req.event.Group, a.isHedge
	e.routersByService[req.event.Service].Done(e.sim.now, a.guard.upstream.ID, a.reply)
	o := a.reply.Outcome
	failed := o.Kind != outcome.Answered || a.reply.Failed
	if req.completed || failed && a.isHedge && len(req.inFlight) > 0 {
		return
	}
	if a.choice.Rejected(o) && !a.isHedge {
		req.rejectionCount++
		e.place(req)
		return
	}
	req.triedUpstreams = append(req.triedUpstreams, a.guard.upstream.ID)
	req.outcomeSoFar = o.After(req.outcomeSoFar)
	if failed && len(req.inFlight) > 0 {
		return
	}
	if failed && len(req.triedUpstreams) < maxAttempts && o.MayRetry(req.event.Idempotent) && e.sim.now < req.deadline() {
		e.place(req)
		return
	}
	e.complete(req, req.outcomeSoFar)
}

// complete records the outcome and the latency that the caller observes, and cancels the
// attempts still in flight. The caller stops waiting at the deadline, so a later answer is
// recorded as unknown and the latency is capped at the deadline.
func (e *entry) complete(req *request, o outcome.Outcome) {
	req.completed = true
	e.cancel(req)
	latency := e.sim.now.Sub(req.arrivedAt)
	timeout := req.deadline().Sub(req.arrivedAt)
	if latency > timeout && o.Kind == outcome.Answered {
		o = outcome.UnknownBecause(outcome.ReasonDeadline)
	}
	e.sim.collector.add(req, o, min(latency, timeout))
}

func (req *request) deadline() model.Instant {
	return req.arrivedAt.Add(time.Duration(req.event.DeadlineMs) * time.Millisecond)
}

// routingRequest returns the request in the form that the routers and the admission
// controllers take.
func (req *request) routingRequest() model.Request {
	return model.Request{
		Service:    req.event.Service,
		Group:      req.event.Group,
		Caller:     req.event.Caller,
		Idempotent: req.event.Idempotent,
		Deadline:   req.deadline(),
		Attempt:    len(req.triedUpstreams),
	}
}
