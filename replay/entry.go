package replay

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// entry is the entry of one daemon: the real routers and a loop of attempts.
type entry struct {
	sim     *sim
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
	last    outcome.Outcome
	tried   []model.UpstreamID
	bounced int
	runs    int
	// calls are the sendings under way; done is set once the caller is told.
	calls []*call
	done  bool
}

// call is one sending of a request to a guard.
type call struct {
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
	stamp       uint32
	reply       routing.Reply
}

// maxAttempts bounds the attempts at one request; bounces are not counted.
const maxAttempts = 3

func newEntry(s *sim, index int, g *guard) (*entry, error) {
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
	choice, ok := e.routers[req.event.Service].Place(e.sim.now, req.model(), req.tried, req.bounced)
	if !ok {
		e.end(req, req.last)
		return
	}
	c := e.send(req, choice)
	e.hedgeLater(c)
}

// send sends the request to the chosen upstream.
func (e *entry) send(req *request, choice routing.Choice) *call {
	s := e.sim
	s.nextID++
	c := &call{
		id:          s.nextID,
		req:         req,
		guard:       s.byName[string(choice.Upstream.ID)],
		incarnation: choice.Upstream.Incarnation,
		choice:      choice,
		sent:        s.now,
	}
	req.calls = append(req.calls, c)
	if s.severed(e.index, c.guard.index) {
		c.reply = routing.Reply{Outcome: outcome.NotRunBecause(outcome.ReasonConnect)}
		s.queue.add(task{at: s.now.Add(connectTimeout), kind: reply, daemon: e.index, call: c})
		return c
	}
	s.queue.add(task{at: s.now.Add(s.delay(e.index, c.guard.index)), kind: reach, daemon: c.guard.index, call: c})
	return c
}

// connectTimeout is how long an entry waits for a connection over a cut link,
// and how long it takes to notice that a connection is lost.
const connectTimeout = 50 * time.Millisecond

// settle takes in a reply and sends the request on when that is safe.
func (e *entry) settle(c *call) {
	req := c.req
	e.sim.drop(c)
	c.reply.Latency = e.sim.now.Sub(c.sent)
	c.reply.Group, c.reply.Hedge = req.event.Group, c.hedge
	e.routers[req.event.Service].Done(e.sim.now, c.guard.upstream.ID, c.reply)
	o := c.reply.Outcome
	failed := o.Kind != outcome.Answered || c.reply.Failed
	if req.done || failed && c.hedge && len(req.calls) > 0 {
		return
	}
	if c.choice.Rejected(o) && !c.hedge {
		req.bounced++
		e.place(req)
		return
	}
	req.tried = append(req.tried, c.guard.upstream.ID)
	req.last = o.After(req.last)
	if failed && len(req.calls) > 0 {
		return
	}
	if failed && len(req.tried) < maxAttempts && o.MayRetry(req.event.Idempotent) && e.sim.now < req.deadline() {
		e.place(req)
		return
	}
	e.end(req, req.last)
}

// end books the outcome that the caller is told.
func (e *entry) end(req *request, o outcome.Outcome) {
	req.done = true
	e.cancel(req)
	latency := e.sim.now.Sub(req.arrived)
	limit := req.deadline().Sub(req.arrived)
	if latency > limit && o.Kind == outcome.Answered {
		o = outcome.UnknownBecause(outcome.ReasonDeadline)
	}
	e.sim.book.end(req, o, min(latency, limit))
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
