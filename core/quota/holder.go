package quota

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// borrow is the state that a holder keeps of an account while it takes tokens from other zones.
type borrow struct {
	waiting []pendingGrant
	// lenders are the daemons to ask, tried is the place among them of the one that was asked last.
	lenders   []*member
	tried     int
	startedAt model.Instant
	// unanswered is set if a lender was not asked, or did not answer in time.
	unanswered bool
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
		n.sendReply(from, number, n.replyOfFormerHolder(now, r, s))
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
	b := &borrow{waiting: []pendingGrant{g}, lenders: n.lenders(now, r.Account, p), tried: -1, startedAt: now}
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

// replyOfFormerHolder replies to a request for tokens of an account of which this daemon is not the
// holder. The holder gets what is left in the bucket of a daemon that was the holder before.
func (n *Node) replyOfFormerHolder(now model.Instant, r Request, s share) Reply {
	if !r.FromHolder {
		return Reply{Status: NotHolder}
	}
	p := n.pools[r.Account]
	if since, until, ok := n.members.held(now, r.Account); ok && p == nil {
		// Buckets that are full and not in use are dropped.
		p = newPool(until, since, s)
		p.setFlow(until, draining)
		n.pools[r.Account] = p
	}
	if p == nil || p.flow == filling {
		return Reply{Status: NotHolder}
	}
	if r.ReturnedAgo >= 0 {
		p.limitTo(now, now.Add(-r.ReturnedAgo))
	}
	return Reply{Granted: p.grantToHolder(now, r.Need, r.Need), AskAgain: maxAskInterval}
}

// lenders returns the daemons that a holder asks for tokens of an account that it lacks: the holders of the other
// zones, then the former holders of its own zone and of the others.
func (n *Node) lenders(now model.Instant, id ID, p *pool) []*member {
	drainTime := p.share.fillTime()
	former := n.members.formerHolders(now, n.cfg.Zone, id, drainTime)
	var lenders []*member
	for i := 1; i < len(n.cfg.Zones); i++ {
		zone, _ := n.zone(id, i)
		if holder, ok := n.members.holder(zone, id); ok {
			lenders = append(lenders, holder)
		}
		former = append(former, n.members.formerHolders(now, zone, id, drainTime)...)
	}
	return append(lenders, former...)
}

// continueBorrow asks the next lender for the tokens that are lacking. If there is
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
		for b.tried++; b.tried < len(b.lenders); b.tried++ {
			lender := b.lenders[b.tried]
			if now < p.loanDeniedUntil[lender.Address] {
				continue
			}
			if now < n.silent[lender.Address] {
				b.unanswered = true
				continue
			}
			need := max(p.shortOf(now, lacking), 0)
			r := Request{Account: id, Need: need, Want: need + p.capacity(now), FromHolder: true}
			n.startExchange(now, lender, r, borrowTimeout, b)
			return
		}
	}
	delete(n.borrows, id)
	undecided := (b.unanswered || b.tried+1 < len(b.lenders)) && n.isNewHolder(now, id)
	for i := range b.waiting {
		g := &b.waiting[i]
		reply := Reply{}
		switch short := g.short(); {
		case short <= 0 || p == nil:
		case undecided:
			reply.Status = Undecided
		default:
			reply = p.refusal(now, g.request.Refused+int(short))
		}
		reply.Granted = g.granted
		n.sendReply(g.from, g.exchange, reply)
	}
}

// isNewHolder reports whether this daemon has held the share of an account for less time than a bucket takes to fill.
// That its bucket lacks tokens then does not mean that the account has used them.
func (n *Node) isNewHolder(now model.Instant, id ID) bool {
	since, ok := n.members.holds(now, id)
	return ok && now.Sub(since) < n.accounts[id].fillTime()
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
			p.denyLoans(now, x.to, r.AskAgain)
		} else {
			// The lender may have more for requests that have arrived since.
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

// denyLoans records that a daemon has no tokens to lend before a time has passed.
func (p *pool) denyLoans(now model.Instant, lender string, retryAfter time.Duration) {
	for address, until := range p.loanDeniedUntil {
		if now >= until {
			delete(p.loanDeniedUntil, address)
		}
	}
	if p.loanDeniedUntil == nil {
		p.loanDeniedUntil = make(map[string]model.Instant)
	}
	p.loanDeniedUntil[lender] = now.Add(min(max(retryAfter, minAskInterval), maxAskInterval))
}
