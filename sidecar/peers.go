package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/hop"
	"github.com/dottereltiller/dottereltiller/pause"
)

// Record is the state that a daemon announces about itself and its upstream. Only that daemon
// writes it. Of two records of a daemon, the one with the higher Incarnation supersedes the other.
// If the incarnations are equal, it is the one with the higher Sequence. The local record is the
// record that a daemon writes about itself.
type Record struct {
	// Address is the address at which other daemons reach the daemon. Incarnation is when the
	// daemon started, in Unix milliseconds, or a higher number if its clock was set back. Sequence
	// counts the changes of the record.
	Address     string                 `json:"a"`
	Incarnation int64                  `json:"i"`
	Sequence    uint64                 `json:"n"`
	Zone        model.AvailabilityZone `json:"z"`
	// Service, Upstream, State and Slots describe the daemon's upstream.
	Service  model.ServiceName     `json:"s,omitempty"`
	Upstream lifecycle.Incarnation `json:"u,omitzero"`
	State    lifecycle.State       `json:"st,omitempty"`
	Slots    int                   `json:"sl,omitempty"`
	// ColdMS is for how many milliseconds, from the announcement of State on, the upstream is
	// expected to be slow because it has just started.
	ColdMS int64 `json:"c,omitempty"`
	// Stopping is set once the daemon is about to stop. Until it stops, it still accepts calls, for
	// the case that no other daemon can.
	Stopping bool `json:"x,omitempty"`
	// Departed holds incarnations of the daemon's upstream that have left, started to drain or
	// were replaced. It holds only the newest of those that lifecycle.Tracker.Departed returns.
	// A restarted daemon gets them back from its peers.
	Departed []lifecycle.Departure `json:"d,omitempty"`
}

func (r *Record) supersedes(old *Record) bool {
	return recordVersionOf(r).supersedes(recordVersionOf(old))
}

// maxDeparted bounds the departed incarnations in a record.
const maxDeparted = 8

// peer is the state that this daemon keeps of another daemon.
type peer struct {
	record Record
	// coldUntil is when the upstream of the peer is expected to be as fast as usual.
	coldUntil model.Instant
	// forwarded is what responses of the peer's upstream state that this daemon has forwarded.
	forwarded forwardedStatements
	pool      *hop.Pool
	// pushDue is set while the peer does not have the current local record.
	pushDue bool
	// syncing is set while a goroutine runs syncLoop for the peer.
	syncing bool
	// needsFullSync is set while the peer is to be asked for all of its records.
	needsFullSync bool
	// verifiedAt is when verifyReachable last contacted the peer, because the peer had not replied
	// to a load query. Zero means never.
	verifiedAt       model.Instant
	unreachable      bool
	unreachableSince model.Instant
	// contactAt is when the newest message was sent that the peer has acknowledged, probedAt when it was asked to
	// acknowledge one.
	contactAt, probedAt model.Instant
}

const (
	// syncTimeout bounds one request to another daemon.
	syncTimeout = 1500 * time.Millisecond
	// minSyncBackoff bounds the pause between a first failed exchange and the next attempt. The
	// bound doubles with each further failure.
	minSyncBackoff = 100 * time.Millisecond
	// maxSyncBackoff is the longest such pause in the first fastRetryPeriod for which a daemon is
	// unreachable. A daemon that restarts is back within one or two seconds.
	maxSyncBackoff = 2 * time.Second
	// fastRetryPeriod is how long an unreachable daemon is retried with a backoff of at most
	// maxSyncBackoff.
	fastRetryPeriod = time.Minute
	// unreachableSyncBackoff is the longest such pause after fastRetryPeriod. Retries must go on,
	// because daemons of two regions that lose their connection for minutes have no other way to
	// find each other. No daemon restarts in that case, and so none announces itself again.
	unreachableSyncBackoff = 15 * time.Second
	// removalDelay is how long an unreachable daemon is retried before its record is removed.
	removalDelay = time.Hour
	// numRestartCheckers is how many daemons, on average, try to reach a daemon that stopped as
	// planned. That daemon may restart while the directory is unavailable. It then knows no other
	// daemon.
	numRestartCheckers = 3
	// restartCheckDelay is the time between the announcement of a planned stop and the first
	// attempt to reach the daemon again.
	restartCheckDelay = 2500 * time.Millisecond
	// numBootstrapPeers is how many daemons a starting daemon asks for all records.
	numBootstrapPeers = 2
	// relaysPerZone is how many daemons of each remote zone a change of the local record is pushed
	// to. They relay the change inside their zone.
	relaysPerZone = 2
	// peerIdleTimeout is how long idle connections between daemons are kept.
	peerIdleTimeout = 20 * time.Second
	// peerDialTimeout bounds the time to connect to a daemon. It allows for a few round trips
	// between regions. Without it, connecting to a daemon that is cut off from the network would
	// take far longer, as such a daemon does not respond at all.
	peerDialTimeout = 150 * time.Millisecond
)

// peers holds the records of all daemons and keeps them up to date. It is safe for concurrent
// use.
type peers struct {
	now           func() model.Instant
	decisions     *decision.Log
	configVersion func() model.Version
	evacuations   *evacuations
	// onVersion is called with the version of the configuration that a daemon has in force.
	onVersion func(address string, v model.Version)
	// pushByDatagram sends a record to a daemon without a connection, and reports whether the
	// daemon acknowledged it.
	pushByDatagram func(address string, r Record) bool
	// onReachable is called when a daemon is reachable again.
	onReachable func()
	// onFullSync is called when a daemon has returned all of its records.
	onFullSync func(address string)
	// restoreDeparted is called with departed incarnations of the local upstream (see
	// Record.Departed) that another daemon holds in a record of this daemon.
	restoreDeparted func([]lifecycle.Departure)

	// random returns a random number in [0, 1).
	random func() float64

	mu sync.Mutex
	// local is the record of this daemon.
	local Record
	// incarnationRaised is set once the incarnation of the local record has been raised. A previous daemon
	// at this address may then have had the same one.
	incarnationRaised bool
	// predecessor is the newest record received of the previous daemon at this address.
	predecessor Record
	// others holds the other daemons by address.
	others map[string]*peer
	// generation counts the changes to the records held, the local record included, and to the
	// set of reachable peers.
	generation uint64
	// fullSyncCount counts the peers that addPeer has chosen to be asked for all records.
	fullSyncCount int
	// readyLog limits the log lines about upstreams that become ready.
	readyLog readyLogLimiter
	// announced is set once the local record has been announced to other daemons.
	announced bool
	// ctx ends when the daemon stops. The goroutines that run syncLoop then end.
	ctx context.Context
	// listed is set once this daemon knows all daemons of the directory: it has read the directory, or has got all
	// records of a daemon that knows them.
	listed bool
	// listedBackoff paces the requests for all records while no daemon has been found that knows all.
	listedBackoff pause.Backoff
	// firstContact is closed after the first successful exchange with another daemon, or when
	// there is no other daemon.
	firstContact     chan struct{}
	firstContactOnce sync.Once
	// directoryRead is closed after the first attempt to read the directory, whether or not it
	// succeeds.
	directoryRead     chan struct{}
	directoryReadOnce sync.Once
}

func newPeers(local Record, now func() model.Instant, d *decision.Log) *peers {
	return &peers{
		now: now, decisions: d, local: local,
		evacuations:   newEvacuations(d),
		others:        make(map[string]*peer),
		random:        rand.Float64,
		ctx:           context.Background(),
		firstContact:  make(chan struct{}),
		directoryRead: make(chan struct{}),
		listedBackoff: pause.Backoff{Min: minListedBackoff, Max: maxListedBackoff},

		onReachable:     func() {},
		onFullSync:      func(string) {},
		restoreDeparted: func([]lifecycle.Departure) {},
	}
}

func (p *peers) localRecord() Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.local
}

// localIncarnation returns the incarnation of the local record, and whether a previous daemon at this
// address may have had the same one.
func (p *peers) localIncarnation() (incarnation int64, raised bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.local.Incarnation, p.incarnationRaised
}

// updateLocal changes the local record and announces it.
func (p *peers) updateLocal(change func(*Record)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.local)
	p.local.Sequence++
	p.generation++
	p.announceToAll()
}

// announceToAll schedules a push of the local record to all daemons of the local zone. It also
// schedules a push to relaysPerZone daemons of each remote zone, which relay the record there.
// The caller holds p.mu.
func (p *peers) announceToAll() {
	p.announced = true
	relayCountByZone := make(map[model.AvailabilityZone]int)
	// Map iteration starts at a random element, so the relays vary.
	for _, q := range p.others {
		zone := q.record.Zone
		switch {
		case zone == p.local.Zone:
			p.schedulePush(q)
		case !q.unreachable && !q.record.Stopping && relayCountByZone[zone] < relaysPerZone:
			relayCountByZone[zone]++
			p.schedulePush(q)
		}
	}
}

func (p *peers) announceOnce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.announced {
		p.announceToAll()
	}
}

// handleSyncRequest is called when the daemon at address has started an exchange, and marks that
// daemon as reachable. The reply carries the local record, so no push to that daemon is due any
// more. If that daemon is still to be asked for all of its records, the exchange for that stays
// due.
func (p *peers) handleSyncRequest(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.others[address]
	if q == nil {
		return
	}
	q.pushDue = q.needsFullSync
	p.markReachable(q)
}

// schedulePush schedules a push of the local record to a peer, together with the request for all
// records if that is due. The caller holds p.mu.
func (p *peers) schedulePush(q *peer) {
	q.pushDue = true
	if q.syncing || p.ctx.Err() != nil {
		return
	}
	q.syncing = true
	go p.syncLoop(q)
}

func newPeerPool(address string) *hop.Pool {
	return hop.NewPool(address, hop.PoolOptions{IdleTimeout: peerIdleTimeout, DialTimeout: peerDialTimeout})
}

// merge merges received records and returns those that superseded the records held. Before it
// returns, it passes the departed incarnations in records of this daemon to restoreDeparted.
func (p *peers) merge(records []Record) []Record {
	var newerRecords []Record
	var departed []lifecycle.Departure
	p.mu.Lock()
	for i := range records {
		r := &records[i]
		switch {
		case r.Address == "":
		case r.Address == p.local.Address:
			p.mergeLocal(r)
			departed = append(departed, r.Departed...)
		case p.mergePeer(r):
			newerRecords = append(newerRecords, *r)
		}
	}
	p.mu.Unlock()
	if len(departed) > 0 {
		p.restoreDeparted(departed)
	}
	return newerRecords
}

// mergeLocal merges a record of this daemon that another daemon holds. A previous daemon at this
// address may have written it. If the record supersedes the local one, the clock of the previous daemon
// was ahead, or it had raised its incarnation as this one has. This daemon then raises its own
// incarnation above that of the record and announces its record. The caller holds p.mu.
func (p *peers) mergeLocal(held *Record) {
	if held.supersedes(&p.local) {
		p.local.Incarnation, p.incarnationRaised = held.Incarnation+1, true
		p.announceToAll()
	}
	if held.supersedes(&p.predecessor) && held.Incarnation != p.local.Incarnation {
		p.predecessor = *held
	}
}

// mergePeer merges a record of another daemon and reports whether it superseded the one held.
// The caller holds p.mu.
func (p *peers) mergePeer(r *Record) bool {
	q := p.others[r.Address]
	if q == nil {
		q = p.addPeer(Record{Address: r.Address, Zone: r.Zone})
		p.scheduleFirstExchange(q)
	} else if !r.supersedes(&q.record) {
		return false
	}
	restarted := r.Incarnation != q.record.Incarnation && q.record.Incarnation != 0 && q.record.Sequence != 0
	stateChanged := r.State != q.record.State || r.Upstream != q.record.Upstream || r.Stopping != q.record.Stopping
	wasStopping := q.record.Stopping && q.record.Incarnation == r.Incarnation
	previous := q.record
	q.record = *r
	if len(r.Departed) == 0 {
		q.record.Departed = previous.Departed
	}
	q.forwarded.setBorn(r.Upstream)
	q.coldUntil = p.now().Add(time.Duration(r.ColdMS) * time.Millisecond)
	p.generation++
	if restarted {
		// The restarted daemon has no record of this one, and the old connections are broken.
		q.pool.Close()
		q.pool = newPeerPool(r.Address)
		p.scheduleFirstExchange(q)
	}
	if r.Stopping && !wasStopping && r.State != lifecycle.Gone && p.random()*float64(len(p.others)) < numRestartCheckers {
		time.AfterFunc(restartCheckDelay, func() { p.reportUnreachable(r.Address, errStopped) })
	}
	if stateChanged {
		p.logPeerState(&previous, r)
	}
	return true
}

// inferSlots infers the number of slots (requests that may run at once) of an upstream of this VM
// that does not report them. It returns the number that the upstream reported to the previous
// daemon at this address. If that is unknown, it returns the largest number among other upstreams
// of the same service. Zero means that neither is known.
func (p *peers) inferSlots(i lifecycle.Incarnation) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.predecessor.Upstream.ID == i.ID && p.predecessor.Slots > 0 {
		return p.predecessor.Slots
	}
	largestSlots := 0
	for _, q := range p.others {
		if q.record.Service == p.local.Service {
			largestSlots = max(largestSlots, q.record.Slots)
		}
	}
	return largestSlots
}

// records returns all records held, the local record first. Daemons whose record has not been
// received are left out.
func (p *peers) records() []Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	records := []Record{p.local}
	for _, q := range p.others {
		if q.record.Sequence > 0 {
			records = append(records, q.record)
		}
	}
	return records
}

// recordOf returns the record of another daemon, and whether that daemon is known. The Sequence of
// the record is 0 if the record has not been received yet.
func (p *peers) recordOf(address string) (Record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.others[address]
	if q == nil {
		return Record{}, false
	}
	return q.record, true
}

// pool returns the connection pool of a daemon, or nil if the daemon is unknown.
func (p *peers) pool(address string) *hop.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.others[address]; q != nil {
		return q.pool
	}
	return nil
}
