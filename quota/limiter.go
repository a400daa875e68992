package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/account"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/quota"
	"github.com/dottereltiller/dottereltiller/decision"
)

// MessageKind is the kind of a message between limiters.
type MessageKind uint8

const (
	// RequestMessage asks a holder for tokens.
	RequestMessage MessageKind = iota
	// ReplyMessage answers a RequestMessage.
	ReplyMessage
)

// Membership is the list of the other daemons.
type Membership struct {
	// Generation identifies the list. It changes whenever the list does.
	Generation uint64
	Members    []quota.Member
	// Complete is set once this daemon has learned of the others.
	Complete bool
}

// Options configures a Limiter.
type Options struct {
	// Self is the address of this daemon.
	Self  string
	Zone  model.AvailabilityZone
	Zones []model.AvailabilityZone
	Rules quota.Rules
	Now   func() model.Instant
	// Members returns the current Membership. Members and Complete may be empty if its Generation is
	// lastGeneration.
	Members func(lastGeneration uint64) Membership
	// Contact returns when this daemon sent the oldest of the newest messages that a majority of the other
	// daemons of its zone has acknowledged. It is called every contactInterval while there are quotas. Nil: contacts are
	// not tracked.
	Contact func() model.Instant
	// Send sends a message to another daemon. The message may be lost. Send must not block.
	Send      func(to string, k MessageKind, exchange uint32, body []byte)
	Decisions *decision.Log
	Scope     tally.Scope
}

// Limiter decides which requests are within the quotas of their accounts. It is safe for concurrent use.
type Limiter struct {
	opts    Options
	metrics *metrics
	// wake makes Serve look for timeouts.
	wake chan struct{}

	mu         sync.Mutex
	node       *quota.Node
	generation uint64
	// limited is set while an account has a quota, and limitedSince is since when. Contacts count from then on.
	limited      bool
	limitedSince model.Instant
	// nextContact is when Options.Contact is called next.
	nextContact model.Instant
	// waiting holds the channels of the requests that wait for a verdict, by ticket.
	waiting map[uint64]chan quota.Verdict
	events  eventLog
}

const (
	// tickInterval is the time between two searches for timeouts while replies are due. It is short
	// compared with the timeouts.
	tickInterval = 5 * time.Millisecond
	// watchInterval is the time between two looks at the list of daemons while there are quotas. What a
	// new holder may grant counts from when it noticed that it is the holder.
	watchInterval = 100 * time.Millisecond
	// contactInterval is the time between two looks at the contacts with the zone.
	contactInterval = 250 * time.Millisecond
	// idleInterval replaces watchInterval while there are no quotas.
	idleInterval = 10 * time.Second
)

// New returns the Limiter of a daemon that starts now.
func New(o Options) *Limiter {
	l := &Limiter{opts: o, metrics: newMetrics(o.Scope), wake: make(chan struct{}, 1), waiting: make(map[uint64]chan quota.Verdict)}
	l.events.decisions = o.Decisions
	l.node = quota.NewNode(o.Now(), quota.Config{Self: o.Self, Zone: o.Zone, Zones: o.Zones, Rules: o.Rules, Random: rand.Float64})
	return l
}

// String implements fmt.Stringer. The supervisor logs this name.
func (l *Limiter) String() string { return "quotas" }

// Serve handles timeouts until the context ends.
func (l *Limiter) Serve(ctx context.Context) error {
	ticker := time.NewTicker(l.idleInterval())
	defer ticker.Stop()
	// A reset starts the interval anew, so the ticker is not reset while replies are due: they would
	// never time out.
	ticking := false
	for {
		select {
		case <-ctx.Done():
			return suture.ErrDoNotRestart
		case <-l.wake:
			if !ticking {
				ticking = true
				ticker.Reset(tickInterval)
			}
		case <-ticker.C:
			if ticking = l.tick(); !ticking {
				ticker.Reset(l.idleInterval())
			}
		}
	}
}

// idleInterval returns the time between two ticks while no replies are due.
func (l *Limiter) idleInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limited {
		return watchInterval
	}
	return idleInterval
}

// tick handles timeouts and reports whether replies are due.
func (l *Limiter) tick() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	l.updateMembers(now)
	l.updateContact(now)
	l.handle(now, l.node.Tick(now))
	return l.node.Busy()
}

// SetAccounts puts the accounts of a new configuration into force.
func (l *Limiter) SetAccounts(x *account.Index) {
	quotas := x.Quotas()
	l.mu.Lock()
	defer l.mu.Unlock()
	now, wasLimited := l.opts.Now(), l.limited
	l.limited = false
	for _, q := range quotas {
		l.limited = l.limited || q.Limited()
	}
	if !wasLimited {
		l.limitedSince = now
	}
	l.updateMembers(now)
	l.node.SetAccounts(now, quotas)
	l.wakeServe()
}

// Stop has the daemon hold no shares any more. It must be called before the other daemons learn that this one
// is stopping.
func (l *Limiter) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.Stop(l.opts.Now())
}

// wakeServe makes Serve look for timeouts, at the latest after tickInterval.
func (l *Limiter) wakeServe() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Take returns whether a request of an account may pass. It waits for a holder if there is no token
// here. If the context ends first, it returns a Verdict of the kind quota.Waiting.
func (l *Limiter) Take(ctx context.Context, a *account.Account) quota.Verdict {
	if a == nil || !a.Quota.Limited() {
		return quota.Verdict{Kind: quota.Allowed}
	}
	id := quota.IDOf(a.Name)
	l.mu.Lock()
	now := l.opts.Now()
	l.updateMembers(now)
	verdict, effects := l.node.Take(now, id)
	var reply chan quota.Verdict
	if verdict.Kind == quota.Waiting {
		reply = make(chan quota.Verdict, 1)
		l.waiting[verdict.Ticket] = reply
	}
	l.handle(now, effects)
	l.mu.Unlock()
	if reply != nil {
		verdict = l.await(ctx, id, verdict.Ticket, reply)
		l.metrics.wait.Record(l.opts.Now().Sub(now))
	}
	l.metrics.countVerdict(verdict.Kind)
	return verdict
}

// await waits for the verdict of a request.
func (l *Limiter) await(ctx context.Context, id quota.ID, ticket uint64, reply <-chan quota.Verdict) quota.Verdict {
	select {
	case v := <-reply:
		return v
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting[ticket] != nil {
		delete(l.waiting, ticket)
		l.node.Withdraw(id, ticket)
		return quota.Verdict{Ticket: ticket}
	}
	// The verdict was sent before the lock was taken.
	return <-reply
}

// Return gives back the token of a request that has provably not run. The zero Token is ignored.
func (l *Limiter) Return(a *account.Account, t quota.Token) {
	if a == nil || t == (quota.Token{}) {
		return
	}
	l.metrics.returned.Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.GiveBack(l.opts.Now(), quota.IDOf(a.Name), t)
}

// HandleRequest handles a RequestMessage. A malformed one is ignored.
func (l *Limiter) HandleRequest(from string, exchange uint32, body []byte) {
	r, ok := quota.DecodeRequest(body)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	l.updateMembers(now)
	l.handle(now, l.node.HandleRequest(now, from, exchange, r))
}

// HandleReply handles a ReplyMessage. A malformed one is ignored.
func (l *Limiter) HandleReply(exchange uint32, body []byte) {
	r, ok := quota.DecodeReply(body)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	l.handle(now, l.node.HandleReply(now, exchange, r))
}

// updateMembers passes on the list of daemons if it has changed. The caller holds l.mu.
func (l *Limiter) updateMembers(now model.Instant) {
	m := l.opts.Members(l.generation)
	if m.Generation != l.generation {
		l.generation = m.Generation
		l.node.SetMembers(now, m.Members, m.Complete)
	}
}

// updateContact passes on when the daemon was in contact with its zone. The caller holds l.mu.
func (l *Limiter) updateContact(now model.Instant) {
	if l.opts.Contact == nil || !l.limited || now < l.nextContact {
		return
	}
	l.nextContact = now.Add(contactInterval)
	l.node.SetContact(now, max(l.opts.Contact(), l.limitedSince))
}

// handle sends the messages, verdicts and events of a call. The caller holds l.mu.
func (l *Limiter) handle(now model.Instant, e quota.Effects) {
	for _, m := range e.Messages {
		if m.Request != nil {
			l.opts.Send(m.To, RequestMessage, m.Exchange, m.Request.AppendTo(nil))
		} else {
			l.opts.Send(m.To, ReplyMessage, m.Exchange, m.Reply.AppendTo(nil))
		}
	}
	for _, v := range e.Verdicts {
		// A request that is no longer waiting has given up: its token is lost.
		if reply, ok := l.waiting[v.Ticket]; ok {
			delete(l.waiting, v.Ticket)
			reply <- v
		}
	}
	for _, event := range e.Events {
		l.metrics.countEvent(event.Kind)
		l.events.log(now, event)
	}
	if l.node.Busy() {
		l.wakeServe()
	}
}

// Held returns for how many accounts this daemon holds the share of its zone.
func (l *Limiter) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Pools()
}

// Leases returns for how many accounts this daemon has unused tokens, and since when the oldest.
func (l *Limiter) Leases() (count int, oldest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Leases(l.opts.Now())
}
