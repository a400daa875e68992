package quota

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// borrow is the state that a holder keeps of an account while it takes tokens from other zones.
type borrow struct {
	waiting []pendingGrant
	// tried is the number of zones that were asked.
	tried     int
	startedAt model.Instant
}

// pendingGrant is a request that a holder has not granted in full.
type pendingGrant struct {
	from     string
	exchange uint32
	request  Request
	granted  float64
}

func (p *pendingGrant) short() float64 { return p.request.Need - p.granted }

// receiveRequest grants a request as far as the bucket allows. If it is of an entry and the bucket has
// too few tokens, the reply waits until other zones have been asked.
func (n *Node) receiveRequest(now model.Instant, from string, number uint32, r Request) {
	s, ok := n.accounts[r.Account]
	if !ok {
		n.sendReply(from, number, Reply{Status: UnknownAccount})
		return
	}
	if !s.limited() {
		n.sendReply(from, number, Reply{Granted: r.Want})
		return
	}
	n.members.refresh(now)
	since, ok := n.members.holds(now, r.Account)
	if !ok {
		n.sendReply(from, number, Reply{Status: NotHolder})
		return
	}
	p := n.poolOf(now, r.Account, s)
	if r.ReturnedAgo >= 0 {
		since = max(since, now.Add(-r.ReturnedAgo))
	}
	p.limitTo(now, since)
	p.asks.add(now, 1)
	if r.FromHolder {
		granted := p.grantToHolder(now, r.Need, r.Want)
		n.sendReply(from, number, Reply{Granted: granted, AskAgain: p.askAgain(now)})
		return
	}
	g := pendingGrant{from: from, exchange: number, request: r}
	if b := n.borrows[r.Account]; b != nil {
		if len(b.waiting) >= maxWaiters {
			n.sendReply(from, number, p.refusal(now, r.Refused+int(r.Need)))
			return
		}
		b.waiting = append(b.waiting, g)
		return
	}
	g.granted = p.grantWhole(now, r.Need, r.Want)
	if g.short() <= 0 {
		n.sendReply(from, number, Reply{Granted: g.granted})
		n.borrowAhead(now, r.Account, p)
		return
	}
	b := &borrow{waiting: []pendingGrant{g}, startedAt: now}
	n.borrows[r.Account] = b
	n.continueBorrow(now, r.Account, b)
}

// poolOf returns the bucket of an account, and creates it if necessary.
func (n *Node) poolOf(now model.Instant, id ID, s share) *pool {
	p := n.pools[id]
	if p == nil {
		since, _ := n.members.holds(now, id)
		p = newPool(now, since, s)
		n.pools[id] = p
	}
	return p
}

// continueBorrow asks the holder of the next zone for the tokens that are lacking. If there is
// none, it replies to the requests that wait.
func (n *Node) continueBorrow(now model.Instant, id ID, b *borrow) {
	if n.borrows[id] != b {
		return
	}
	p := n.pools[id]
	lacking := 0.0
	for i := range b.waiting {
		lacking += b.waiting[i].short()
	}
	if p != nil && lacking > 0 && now.Sub(b.startedAt) < borrowLimit {
		for b.tried++; b.tried < len(n.cfg.Zones); b.tried++ {
			holder, ok := n.holderToAsk(now, id, b.tried)
			if !ok || now < p.noLoanUntil(b.tried) {
				continue
			}
			need := max(p.shortOf(now, lacking), 0)
			r := Request{Account: id, Need: need, Want: need + p.capacity(now), FromHolder: true}
			n.startExchange(now, holder, r, borrowTimeout, b)
			return
		}
	}
	delete(n.borrows, id)
	for i := range b.waiting {
		g := &b.waiting[i]
		reply := Reply{}
		if short := g.short(); short > 0 && p != nil {
			reply = p.refusal(now, g.request.Refused+int(short))
		}
		reply.Granted = g.granted
		n.sendReply(g.from, g.exchange, reply)
	}
}

// borrowAhead asks the other zones for tokens that no request waits for, if the bucket needs them, once in
// each quarter of usagePeriod.
func (n *Node) borrowAhead(now model.Instant, id ID, p *pool) {
	others := len(n.cfg.Zones) - 1
	if others < 1 || !p.needsAhead(now) {
		return
	}
	p.nextAheadAt = now.Add(usagePeriod / 4)
	for i := 1; i <= others; i++ {
		if holder, ok := n.holderToAsk(now, id, i); ok {
			r := Request{Account: id, Want: max(p.capacity(now)-p.level, 0) / float64(others), FromHolder: true}
			n.startExchange(now, holder, r, borrowTimeout, &borrow{})
		}
	}
}

// receiveLoan adds the tokens that another holder granted and serves the requests that wait.
func (n *Node) receiveLoan(now model.Instant, x *exchange, granted float64, r Reply) {
	p := n.pools[x.account]
	if p == nil {
		return
	}
	p.deposit(now, granted)
	b := n.borrows[x.account]
	if b == nil {
		p.trim(now)
		return
	}
	if b == x.borrow && !x.expired {
		if granted+rounding < x.need {
			p.denyLoans(now, b.tried, r.AskAgain)
		} else {
			// The zone may have more for requests that have arrived since.
			b.tried, b.startedAt = b.tried-1, now
		}
	}
	lacking := false
	for i := range b.waiting {
		g := &b.waiting[i]
		if short := g.short(); short > 0 {
			g.granted += p.grantWhole(now, short, short)
			lacking = lacking || g.short() > 0
		}
	}
	p.trim(now)
	if n.borrows[x.account] == x.borrow && !x.expired || !lacking {
		n.continueBorrow(now, x.account, b)
	}
}

// refusal returns the reply to a request that gets less than it needs. refused is the number of callers that
// are refused, with those that the sender has refused since its last request.
func (p *pool) refusal(now model.Instant, refused int) Reply {
	reply := Reply{AskAgain: p.askAgain(now)}
	reply.RetryFirst, reply.RetryLast = p.retryTimes(now, refused)
	return reply
}

// noLoanUntil returns until when the zone that is asked at place i is known to have no tokens to lend.
func (p *pool) noLoanUntil(i int) model.Instant {
	if i < len(p.loanDeniedUntil) {
		return p.loanDeniedUntil[i]
	}
	return 0
}

// denyLoans records that the zone that is asked at place i has no tokens before a time has passed.
func (p *pool) denyLoans(now model.Instant, i int, retryAfter time.Duration) {
	for len(p.loanDeniedUntil) <= i {
		p.loanDeniedUntil = append(p.loanDeniedUntil, 0)
	}
	p.loanDeniedUntil[i] = now.Add(min(max(retryAfter, minAskInterval), maxAskInterval))
}
