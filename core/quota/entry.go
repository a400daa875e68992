package quota

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// entryAccount is the state that an entry keeps of an account.
type entryAccount struct {
	lease lease
	// waiting holds the requests that wait for tokens, by ticket, oldest first.
	waiting []uint64
	// active is the exchange that they wait for.
	active *exchange
	// tried is the number of zones that were asked without success.
	tried int
}

// Take asks for a token for one request. If the verdict is Waiting, it follows in the effects of a later
// call.
func (n *Node) Take(now model.Instant, id ID) (Verdict, Effects) {
	s, known := n.accounts[id]
	if known && !s.limited() {
		return Verdict{Kind: Allowed}, Effects{}
	}
	e := n.entries[id]
	if e == nil {
		e = &entryAccount{}
		n.entries[id] = e
	}
	if len(e.waiting) == 0 {
		if t, ok := e.lease.take(now); ok {
			return Verdict{Kind: Allowed, Token: t}, Effects{}
		}
	}
	if e.lease.denied(now) || len(e.waiting) >= maxWaiters {
		return n.denial(now, e), Effects{}
	}
	n.nextTicket++
	ticket := n.nextTicket
	e.waiting = append(e.waiting, ticket)
	if e.active == nil {
		e.tried = 0
		n.ask(now, id, e)
	}
	effects := n.finish(now)
	for i, v := range effects.Verdicts {
		if v.Ticket == ticket {
			effects.Verdicts = append(effects.Verdicts[:i], effects.Verdicts[i+1:]...)
			return v, effects
		}
	}
	return Verdict{Ticket: ticket}, effects
}

// GiveBack returns the token of a request that has provably not run.
func (n *Node) GiveBack(now model.Instant, id ID, t Token) {
	if e := n.entries[id]; e != nil {
		e.lease.giveBack(now, t)
	}
}

// Withdraw ends the wait of a request.
func (n *Node) Withdraw(id ID, ticket uint64) {
	e := n.entries[id]
	if e == nil {
		return
	}
	for i, t := range e.waiting {
		if t == ticket {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

// ask sends a request for the tokens that requests wait for, to the first zone that was not tried. If
// there is none, the requests end with Unknown.
func (n *Node) ask(now model.Instant, id ID, e *entryAccount) {
	if len(e.waiting) == 0 || e.active != nil {
		return
	}
	n.members.refresh(now)
	for ; e.tried < max(len(n.cfg.Zones), 1); e.tried++ {
		holder, ok := n.holderToAsk(now, id, e.tried)
		if !ok {
			continue
		}
		timeout := localTimeout
		if e.tried > 0 {
			timeout = remoteTimeout
		}
		need := float64(len(e.waiting))
		r := Request{Account: id, Need: need, Want: need + e.lease.usage.expected(now), Refused: e.lease.refused}
		e.lease.refused = 0
		e.active = n.startExchange(now, holder, r, timeout, nil)
		return
	}
	for _, ticket := range e.waiting {
		n.effects.Verdicts = append(n.effects.Verdicts, Verdict{
			Kind: Unknown, Ticket: ticket, RetryAfter: unknownRetryAfter + time.Duration(n.cfg.Random()*float64(unknownRetryAfter)),
		})
	}
	e.waiting, e.tried = nil, 0
}

// serve gives the tokens of the lease to the requests that wait.
func (n *Node) serve(now model.Instant, e *entryAccount) {
	for len(e.waiting) > 0 {
		t, ok := e.lease.take(now)
		if !ok {
			return
		}
		n.effects.Verdicts = append(n.effects.Verdicts, Verdict{Kind: Allowed, Ticket: e.waiting[0], Token: t})
		e.waiting = e.waiting[1:]
	}
}

// denial returns the verdict that refuses a request of an account.
func (n *Node) denial(now model.Instant, e *entryAccount) Verdict {
	e.lease.refused++
	return Verdict{Kind: Denied, RetryAfter: e.lease.retryAfter(now, n.cfg.Random())}
}

// denyWaiting refuses all requests that wait.
func (n *Node) denyWaiting(now model.Instant, e *entryAccount) {
	for _, ticket := range e.waiting {
		v := n.denial(now, e)
		v.Ticket = ticket
		n.effects.Verdicts = append(n.effects.Verdicts, v)
	}
	e.waiting, e.tried = nil, 0
}
