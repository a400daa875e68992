package replay

import (
	"slices"

	"github.com/dottereltiller/dottereltiller/core/admission"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// scheduleHedge schedules a hedge for the attempt: a second attempt at another
// upstream, sent when the first has taken as long as the router's hedge delay.
// scheduleHedge does nothing if the router does not hedge.
func (e *entry) scheduleHedge(a *attempt) {
	router := e.routers[a.req.event.Service]
	delay, ok := router.HedgeDelay(a.req.model())
	if !ok {
		return
	}
	e.sim.queue.add(task{at: e.sim.now.Add(delay), kind: taskHedge, daemon: e.index, attempt: a})
}

// hedge sends the request to a second upstream if the given attempt is still
// the only attempt in flight.
func (e *entry) hedge(a *attempt) {
	req := a.req
	if req.completed || len(req.inFlight) != 1 || req.inFlight[0] != a {
		return
	}
	exclude := append(slices.Clone(req.tried), a.guard.upstream.ID)
	choice, ok := e.routers[req.event.Service].Hedge(e.sim.now, a.guard.upstream.ID, a.sentAt, exclude)
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
		s.queue.add(task{at: s.now.Add(s.delay(e.index, a.guard.index)), kind: taskCancel, daemon: a.guard.index, attempt: a})
	}
}

// removeAttempt removes an attempt from its request's attempts in flight. It is
// called when the reply to the attempt has arrived.
func (s *simulation) removeAttempt(a *attempt) {
	a.req.inFlight = slices.DeleteFunc(a.req.inFlight, func(other *attempt) bool { return other == a })
}

// cancel withdraws a waiting attempt. It ends a running attempt with an unknown
// outcome, as an upstream that supports cancellation does.
func (g *guard) cancel(a *attempt) {
	switch {
	case a.waiting:
		if g.controller.Withdraw(g.sim.now, admission.ID(a.id)) {
			a.waiting = false
			delete(g.attempts, admission.ID(a.id))
			g.sendReply(a, outcome.NotRunBecause(outcome.ReasonCancelled), false)
		}
	case a.running:
		a.generation++
		a.reply = routing.Reply{Outcome: outcome.UnknownBecause(outcome.ReasonCancelled)}
		g.finish(a, a.generation)
	}
}
