package quota

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// exchange is a request to a holder.
type exchange struct {
	account ID
	to      string
	need    float64
	// refused is the number of refusals that the request reported.
	refused  int
	sentAt   model.Instant
	deadline model.Instant
	// borrow is set if the request is of this daemon as a holder, nil if it is of its entry.
	borrow *borrow
	// expired is set once nobody waits for the reply. The tokens of a late reply are still used.
	expired bool
}

// lateReplyWindow is how long the tokens of a late reply are accepted after the request was sent.
const lateReplyWindow = leaseValidity

// startExchange sends a request and returns the exchange.
func (n *Node) startExchange(now model.Instant, to *member, r Request, timeout time.Duration, b *borrow) *exchange {
	r.ReturnedAgo = to.returnedAgo(now)
	r.Need, r.Want = min(r.Need, maxAmountPerMessage), min(max(r.Want, r.Need), maxAmountPerMessage)
	x := &exchange{account: r.Account, to: to.Address, need: r.Need, refused: r.Refused, sentAt: now, deadline: now.Add(timeout), borrow: b}
	n.nextExchange++
	n.exchanges[n.nextExchange] = x
	n.sendRequest(to.Address, n.nextExchange, r)
	return x
}

// expireExchanges ends the exchanges whose replies are late.
func (n *Node) expireExchanges(now model.Instant) {
	for number, x := range n.exchanges {
		if x.expired {
			if now >= x.sentAt.Add(lateReplyWindow) {
				delete(n.exchanges, number)
			}
			continue
		}
		if now < x.deadline {
			continue
		}
		x.expired = true
		n.markSilent(now, x.to)
		if x.borrow != nil {
			x.borrow.unanswered = true
			n.continueBorrow(now, x.account, x.borrow)
			continue
		}
		if e := n.entries[x.account]; e != nil && e.active == x {
			e.active = nil
			e.lease.refused += x.refused
			e.tried++
			n.ask(now, x.account, e)
		}
	}
}

// receiveReply passes a reply to its exchange. A reply without one is ignored.
func (n *Node) receiveReply(now model.Instant, number uint32, r Reply) {
	x := n.exchanges[number]
	if x == nil {
		return
	}
	delete(n.exchanges, number)
	n.markAnswering(x.to)
	switch {
	case r.Status != NotHolder || x.to == n.cfg.Self:
	case n.members.isHolder(x.to, x.account):
		n.record(HolderDisputed, x.to)
	default:
		// It was asked for what it might have left.
		r.AskAgain = maxAskInterval
	}
	granted := min(amount(r.Granted), maxAmountPerMessage)
	if x.borrow != nil {
		n.receiveLoan(now, x, granted, r)
		return
	}
	e := n.entries[x.account]
	if e == nil {
		return
	}
	e.lease.add(now, int(math.Floor(granted+rounding)), x.sentAt.Add(leaseValidity))
	if e.active != x {
		n.serve(now, e)
		return
	}
	e.active = nil
	n.serve(now, e)
	switch {
	case r.Status != Decided:
		e.lease.refused += x.refused
		e.tried++
		n.ask(now, x.account, e)
	case granted+rounding < x.need:
		e.lease.deny(now, r)
		n.denyWaiting(now, e)
	default:
		e.tried = 0
		n.ask(now, x.account, e)
	}
}

// markSilent records that a holder did not answer.
func (n *Node) markSilent(now model.Instant, address string) {
	if address == n.cfg.Self {
		return
	}
	if _, ok := n.silent[address]; !ok {
		n.record(HolderSilent, address)
	}
	n.silent[address] = now.Add(holderRetryInterval)
}

// markAnswering records that a holder answered.
func (n *Node) markAnswering(address string) {
	if _, ok := n.silent[address]; ok {
		delete(n.silent, address)
		n.record(HolderAnswers, address)
	}
}

// holderToAsk returns the holder of an account in a zone, unless it did not answer of late.
func (n *Node) holderToAsk(now model.Instant, id ID, i int) (*member, bool) {
	zone, _ := n.zone(id, i)
	holder, ok := n.members.holder(zone, id)
	if !ok || now < n.silent[holder.Address] {
		return nil, false
	}
	return holder, true
}
