package quota

import (
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/account"
	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// localTimeout is how long an entry waits for the holder of its zone. It has room for the
	// time that the holder takes to borrow, and for a scheduling delay on a slow processor.
	localTimeout = 40 * time.Millisecond
	// remoteTimeout is how long an entry waits for the holder of another zone.
	remoteTimeout = 60 * time.Millisecond
	// borrowTimeout is how long a holder waits for the holder of another zone, borrowLimit for those
	// of all zones together.
	borrowTimeout = 12 * time.Millisecond
	borrowLimit   = 25 * time.Millisecond
	// holderRetryInterval is how long a holder that did not answer is not asked again.
	holderRetryInterval = time.Second
	// unknownRetryAfter is when callers may return, at least, if no holder was reached.
	unknownRetryAfter = 200 * time.Millisecond
	// maxWaiters bounds the requests that wait for the tokens of one account, at an entry and at a
	// holder.
	maxWaiters = 8192
	// sweepInterval is the time between two searches for pools and leases that are not used.
	sweepInterval = 10 * time.Second
)

// Config configures a Node.
type Config struct {
	Self string
	Zone model.AvailabilityZone
	// Zones holds all availability zones of the deployment.
	Zones []model.AvailabilityZone
	Rules Rules
	// Random returns a random number in [0, 1).
	Random func() float64
}

// Kind is what a Verdict says.
type Kind uint8

const (
	// Waiting means that the verdict follows in a later call.
	Waiting Kind = iota
	// Allowed means that the request may pass.
	Allowed
	// Denied means that the account has used up its quota.
	Denied
	// Unknown means that no holder was reached, so nobody knows.
	Unknown
)

// Verdict states whether a request may pass.
type Verdict struct {
	Kind Kind
	// Ticket identifies the request that waited.
	Ticket uint64
	// RetryAfter is when the caller of a request that may not pass may return.
	RetryAfter time.Duration
	Token      Token
}

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// HolderSilent means that a holder did not answer a request for tokens. Other zones are asked instead.
	HolderSilent EventKind = iota
	// HolderAnswers means that a holder answers again.
	HolderAnswers
	// HolderReplaced means that a daemon of the zone has been silent for so long that others hold its shares.
	HolderReplaced
	// HolderDisputed means that a daemon that was asked as the holder regards another one as the holder.
	HolderDisputed
)

// Event is a change of state that an operator may want to know of.
type Event struct {
	Kind EventKind
	// Holder is the address of the daemon.
	Holder string
}

// Effects are what a call of a Node leads to.
type Effects struct {
	Messages []Outgoing
	Verdicts []Verdict
	Events   []Event
}

// Node is the part of one daemon. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	members *members
	// accounts holds the shares of all accounts of the configuration. It bounds the three maps after
	// it, which are keyed by account too: accounts come from the configuration, not from callers.
	accounts map[ID]share
	entries  map[ID]*entryAccount
	pools    map[ID]*pool
	borrows  map[ID]*borrow
	// exchanges holds the requests without a reply, by number.
	exchanges    map[uint32]*exchange
	nextExchange uint32
	nextTicket   uint64
	// silent holds the holders that did not answer and until when they are not asked.
	silent    map[string]model.Instant
	nextSweep model.Instant
	// granting is set while this daemon may grant anything as a holder, as of the last call of updateGranting.
	granting bool
	// effects collects what the current call leads to. local holds the messages of the node to itself
	// that it has not handled yet.
	effects Effects
	local   []localMessage
	// zoneOrdinal is the place of the own zone in cfg.Zones.
	zoneOrdinal int
}

// localMessage is a message of the node to itself.
type localMessage struct {
	exchange uint32
	request  *Request
	reply    *Reply
}

// NewNode returns the node of a daemon that starts now.
func NewNode(now model.Instant, c Config) *Node {
	if !slices.Contains(c.Zones, c.Zone) {
		c.Zones = append(slices.Clone(c.Zones), c.Zone)
	}
	n := &Node{
		cfg: c, members: newMembers(c.Self, c.Zone, now, c.Rules.startCredit()), accounts: make(map[ID]share),
		entries: make(map[ID]*entryAccount), pools: make(map[ID]*pool), borrows: make(map[ID]*borrow),
		exchanges: make(map[uint32]*exchange), silent: make(map[string]model.Instant),
		// A reply to the daemon that was at the address before must not match an exchange.
		nextExchange: uint32(c.Random() * (1 << 32)),
		nextSweep:    now.Add(sweepInterval),
		zoneOrdinal:  slices.Index(c.Zones, c.Zone),
	}
	return n
}

// SetAccounts replaces the accounts. Buckets and leases are cut to the new bounds.
func (n *Node) SetAccounts(now model.Instant, quotas map[account.Name]account.Quota) {
	previous := n.accounts
	n.accounts = make(map[ID]share, len(quotas))
	for name, q := range quotas {
		n.accounts[IDOf(name)] = n.cfg.Rules.shareOf(q, len(n.cfg.Zones))
	}
	for id, p := range n.pools {
		if s, ok := n.accounts[id]; ok {
			p.setShare(now, s)
		}
	}
	for id, e := range n.entries {
		if s := n.accounts[id]; s != previous[id] {
			e.lease.tokens = 0
		}
	}
}

// SetMembers replaces the list of daemons. complete states whether the local daemon has learned of the
// others. Until then it holds no shares.
func (n *Node) SetMembers(now model.Instant, list []Member, complete bool) {
	n.members.set(now, list, complete)
	n.updateFlows(now)
}

// SetContact states when the local daemon sent the oldest of the newest messages that a majority of the other daemons
// of its zone has acknowledged. Once that is too long ago, it holds no shares. It is to be called several times a second.
func (n *Node) SetContact(now, at model.Instant) {
	n.members.setContact(now, at)
	n.updateGranting(now)
}

// updateGranting determines which buckets are filled if this daemon begins or ends to grant anything as a holder.
func (n *Node) updateGranting(now model.Instant) {
	if granting := n.members.mayGrant(now); granting != n.granting {
		n.granting = granting
		n.updateFlows(now)
	}
}

// Stop has the daemon hold no shares any more. Until it ends it gives the new holders what its buckets have
// left. The others must learn of the stop only after this call, or their buckets would fill at the same time.
func (n *Node) Stop(now model.Instant) {
	if n.members.stoppedAt == 0 {
		n.members.stop(now)
		n.updateFlows(now)
	}
}

// updateFlows determines which buckets are filled.
func (n *Node) updateFlows(now model.Instant) {
	for id, p := range n.pools {
		f := n.members.flowOf(now, id)
		if f == p.flow {
			continue
		}
		p.setFlow(now, f)
		if n.members.isolatedSince != 0 {
			// Others may have replaced this daemon meanwhile.
			p.cutTo(0)
		}
	}
}

// Pools returns the number of buckets that the daemon holds and that are filled.
func (n *Node) Pools() int {
	count := 0
	for _, p := range n.pools {
		if p.flow == filling {
			count++
		}
	}
	return count
}

// Leases returns the number of accounts of which the daemon has unused tokens, and the age of the oldest.
func (n *Node) Leases(now model.Instant) (count int, oldest time.Duration) {
	for _, e := range n.entries {
		if e.lease.tokens > 0 && now < e.lease.expiresAt {
			count++
			oldest = max(oldest, leaseValidity-e.lease.expiresAt.Sub(now))
		}
	}
	return count, oldest
}

// Busy reports whether Tick has anything to do soon.
func (n *Node) Busy() bool { return len(n.exchanges) > 0 }

// Tick handles timeouts. It is to be called every few milliseconds while Busy, and now and then otherwise.
func (n *Node) Tick(now model.Instant) Effects {
	n.members.refresh(now)
	n.updateGranting(now)
	n.expireExchanges(now)
	if now >= n.nextSweep {
		n.nextSweep = now.Add(sweepInterval)
		n.sweep(now)
	}
	return n.finish(now)
}

// sweep drops the state of accounts that are not used.
func (n *Node) sweep(now model.Instant) {
	for id, e := range n.entries {
		if e.active == nil && len(e.waiting) == 0 && e.lease.idle(now) {
			delete(n.entries, id)
		}
	}
	for id, p := range n.pools {
		if p.idle(now) && n.borrows[id] == nil {
			delete(n.pools, id)
		}
	}
	for address, until := range n.silent {
		if now >= until.Add(holderRetryInterval) {
			delete(n.silent, address)
		}
	}
}

// finish delivers the messages of the node to itself and returns what the call has led to.
func (n *Node) finish(now model.Instant) Effects {
	for len(n.local) > 0 {
		m := n.local[0]
		n.local = n.local[1:]
		if m.request != nil {
			n.receiveRequest(now, n.cfg.Self, m.exchange, *m.request)
		} else {
			n.receiveReply(now, m.exchange, *m.reply)
		}
	}
	for _, address := range n.members.replaced {
		n.record(HolderReplaced, address)
	}
	n.members.replaced = nil
	effects := n.effects
	n.effects = Effects{}
	return effects
}

func (n *Node) record(k EventKind, holder string) {
	n.effects.Events = append(n.effects.Events, Event{Kind: k, Holder: holder})
}

func (n *Node) sendRequest(to string, exchange uint32, r Request) {
	if to == n.cfg.Self {
		n.local = append(n.local, localMessage{exchange: exchange, request: &r})
		return
	}
	n.effects.Messages = append(n.effects.Messages, Outgoing{To: to, Exchange: exchange, Request: &r})
}

func (n *Node) sendReply(to string, exchange uint32, r Reply) {
	if to == n.cfg.Self {
		n.local = append(n.local, localMessage{exchange: exchange, reply: &r})
		return
	}
	n.effects.Messages = append(n.effects.Messages, Outgoing{To: to, Exchange: exchange, Reply: &r})
}

// HandleRequest handles a request of another daemon.
func (n *Node) HandleRequest(now model.Instant, from string, exchange uint32, r Request) Effects {
	n.receiveRequest(now, from, exchange, r)
	return n.finish(now)
}

// HandleReply handles a reply of another daemon.
func (n *Node) HandleReply(now model.Instant, exchange uint32, r Reply) Effects {
	n.receiveReply(now, exchange, r)
	return n.finish(now)
}

// zone returns the i-th zone in the order in which this daemon asks for tokens of an account: its own
// zone first. The order of the others differs between accounts.
func (n *Node) zone(id ID, i int) (model.AvailabilityZone, bool) {
	zones := n.cfg.Zones
	switch {
	case i == 0:
		return n.cfg.Zone, true
	case i >= len(zones):
		return "", false
	}
	others := len(zones) - 1
	step := 1 + (i-1+int(uint64(id)%uint64(others)))%others
	return zones[(n.zoneOrdinal+step)%len(zones)], true
}
