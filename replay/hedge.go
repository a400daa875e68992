package replay

import (
	"slices"

	"github.com/dottereltiller/dottereltiller/core/admission"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// scheduleHedge schedules a hedge for an attempt. A hedge is a second attempt at
// another upstream. It is due after the router's hedge delay. The method hedge then
// decides whether to send it. scheduleHedge does nothing if the router does not hedge.
func (e *entry) scheduleHedge(a *attempt) {
	router := e.routersByService[a.req.event.Service]
	delay, ok := router.HedgeDelay(a.req.routingRequest())
	if !ok {
		return
	}
	e.sim.queue.add(task{dueAt: e.sim.now.Add(delay), kind: taskHedge, daemonIndex: e.index, attempt: a})
}

// hedge sends the request to a second upstream if the given attempt is still
// the only attempt in flight.
func (e *entry) hedge(a *attempt) {
	req := a.req
	if req.completed || len(req.inFlight) != 1 || req.inFlight[0] != a {
		return
	}
	exclude := append(slices.Clone(req.triedUpstreams), a.guard.upstream.ID)
	choice, ok := e.routersByService[req.event.Service].Hedge(e.sim.now, a.guard.upstream.ID, a.sentAt, exclude)
	if !ok {
		return
	}
	e.send(req, choice).isHedge = true
}

// cancel sends cancellations for the attempts of a completed request that are still
// in flight. Cancellations over a partitioned link are lost.
func (e *entry) cancel(req *request) {
	s := e.sim
	for _, a := range req.inFlight {
		if s.partitioned(e.index, a.guard.index) {
			continue
		}
		s.queue.add(task{dueAt: s.now.Add(s.delay(e.index, a.guard.index)), kind: taskCancel, daemonIndex: a.guard.index, attempt: a})
	}
}

// removeAttempt removes an attempt from its request's attempts in flight. It is
// called when the reply to the attempt has arrived.
func (s *simulation) removeAttempt(a *attempt) {
	a.req.inFlight = slices.DeleteFunc(a.req.inFlight, func(inFlight *attempt) bool { return inFlight == a })
}

// cancel withdraws a waiting attempt. It ends a running attempt with an unknown
// outcome, as an upstream that supports cancellation does.
func (g *guard) cancel(a *attempt) {
	switch {
	case a.isWaiting:
		if g.controller.Withdraw(g.sim.now, admission.ID(a.id)) {
			a.isWaiting = false
			delete(g.attemptsByID, admission.ID(a.id))
			g.sendReply(a, outcome.NotRunBecause(outcome.ReasonCancelled), false)
		}
	case a.isRunning:
		a.generation++
		a.reply = routing.Reply{Outcome: outcome.UnknownBecause(outcome.ReasonCancelled)}
		g.finish(a, a.generation)
	}
}
