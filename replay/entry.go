package replay

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// entry is the entry of one daemon: the real routers and a loop of attempts.
type entry struct {
	sim     *simulation
	index   int
	zone    model.AvailabilityZone
	routers map[model.ServiceName]*routing.Router
}

// request is one request of the trace on its way.
type request struct {
	event   *Event
	entry   *entry
	arrived model.Instant
	// last is the outcome of the attempts so far, not run before the first.
	last       outcome.Outcome
	tried      []model.UpstreamID
	rejections int
	executions int
	// attempts are the sendings under way; done is set once the caller is told.
	attempts []*attempt
	done     bool
}

// attempt is one sending of a request to a guard.
type attempt struct {
	id          uint64
	req         *request
	guard       *guard
	incarnation model.Incarnation
	choice      routing.Choice
	hedge       bool
	sent        model.Instant
	started     model.Instant
	running     bool
	waiting     bool
	generation  uint32
	reply       routing.Reply
}

// maxAttempts bounds the attempts at one request; bounces are not counted.
const maxAttempts = 3

func newEntry(s *simulation, index int, g *guard) (*entry, error) {
	e := &entry{sim: s, index: index, zone: g.upstream.Zone, routers: make(map[model.ServiceName]*routing.Router)}
	for _, svc := range s.topology.Services {
		r, err := routing.New(s.routingOptions(index, e.zone, g.upstream.Daemon))
		if err != nil {
			return nil, err
		}
		e.routers[svc.Name] = r
	}
	return e, nil
}

// place sends the request to the upstream that the router chooses.
func (e *entry) place(req *request) {
	choice, ok := e.routers[req.event.Service].Place(e.sim.now, req.model(), req.tried, req.rejections)
	if !ok {
		e.complete(req, req.last)
		return
	}
	a := e.send(req, choice)
	e.scheduleHedge(a)
}

// send sends the request to the chosen upstream.
func (e *entry) send(req *request, choice routing.Choice) *attempt {
	s := e.sim
	s.nextID++
	a := &attempt{
		id:          s.nextID,
		req:         req,
		guard:       s.guardsByName[string(choice.Upstream.ID)],
		incarnation: choice.Upstream.Incarnation,
		choice:      choice,
		sent:        s.now,
	}
	req.attempts = append(req.attempts, a)
	if s.partitioned(e.index, a.guard.index) {
		a.reply = routing.Reply{Outcome: outcome.NotRunBecause(outcome.ReasonConnect)}
		s.queue.add(task{at: s.now.Add(connectTimeout), kind: taskReply, daemon: e.index, attempt: a})
		return a
	}
	s.queue.add(task{at: s.now.Add(s.delay(e.index, a.guard.index)), kind: taskAttemptArrival, daemon: a.guard.index, attempt: a})
	return a
}

// connectTimeout is how long an entry waits for a connection over a cut link,
// and how long it takes to notice that a connection is lost.
const connectTimeout = 50 * time.Millisecond

// handleReply takes in a reply and sends the request on when that is safe.
func (e *entry) handleReply(a *attempt) {
	req := a.req
	e.sim.removeAttempt(a)
	a.reply.Latency = e.sim.now.Sub(a.sent)
	a.reply.Group, a.reply.Hedge = req.event.Group, a.hedge
	e.routers[req.event.Service].Done(e.sim.now, a.guard.upstream.ID, a.reply)
	o := a.reply.Outcome
	failed := o.Kind != outcome.Answered || a.reply.Failed
	if req.done || failed && a.hedge && len(req.attempts) > 0 {
		return
	}
	if a.choice.Rejected(o) && !a.hedge {
		req.rejections++
		e.place(req)
		return
	}
	req.tried = append(req.tried, a.guard.upstream.ID)
	req.last = o.After(req.last)
	if failed && len(req.attempts) > 0 {
		return
	}
	if failed && len(req.tried) < maxAttempts && o.MayRetry(req.event.Idempotent) && e.sim.now < req.deadline() {
		e.place(req)
		return
	}
	e.complete(req, req.last)
}

// complete books the outcome that the caller is told.
func (e *entry) complete(req *request, o outcome.Outcome) {
	req.done = true
	e.cancel(req)
	latency := e.sim.now.Sub(req.arrived)
	limit := req.deadline().Sub(req.arrived)
	if latency > limit && o.Kind == outcome.Answered {
		o = outcome.UnknownBecause(outcome.ReasonDeadline)
	}
	e.sim.collector.add(req, o, min(latency, limit))
}

func (req *request) deadline() model.Instant {
	return req.arrived.Add(time.Duration(req.event.DeadlineMs) * time.Millisecond)
}

func (req *request) model() model.Request {
	return model.Request{
		Service:    req.event.Service,
		Group:      req.event.Group,
		Caller:     req.event.Caller,
		Idempotent: req.event.Idempotent,
		Deadline:   req.deadline(),
		Attempt:    len(req.tried),
	}
}
