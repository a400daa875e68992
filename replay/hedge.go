package replay

import (
	"slices"

	"github.com/dottereltiller/dottereltiller/core/admission"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// scheduleHedge sends the request a second time when the call outlasts the
// router's delay.
func (e *entry) scheduleHedge(a *attempt) {
	router := e.routers[a.req.event.Service]
	delay, ok := router.HedgeDelay(a.req.model())
	if !ok {
		return
	}
	e.sim.queue.add(task{at: e.sim.now.Add(delay), kind: taskHedge, daemon: e.index, attempt: a})
}

// hedge sends the request to a second upstream while the first call is out.
func (e *entry) hedge(a *attempt) {
	req := a.req
	if req.done || len(req.attempts) != 1 || req.attempts[0] != a {
		return
	}
	exclude := append(slices.Clone(req.tried), a.guard.upstream.ID)
	choice, ok := e.routers[req.event.Service].Hedge(e.sim.now, a.guard.upstream.ID, a.sent, exclude)
	if !ok {
		return
	}
	e.send(req, choice).hedge = true
}

// cancel withdraws the calls of a request that is settled.
func (e *entry) cancel(req *request) {
	s := e.sim
	for _, a := range req.attempts {
		if s.partitioned(e.index, a.guard.index) {
			continue
		}
		s.queue.add(task{at: s.now.Add(s.delay(e.index, a.guard.index)), kind: taskCancel, daemon: a.guard.index, attempt: a})
	}
}

// removeAttempt forgets a call whose reply has come.
func (s *simulation) removeAttempt(a *attempt) {
	a.req.attempts = slices.DeleteFunc(a.req.attempts, func(other *attempt) bool { return other == a })
}

// cancel withdraws a waiting call, or ends a running one as an upstream that
// accepts cancellation does.
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
