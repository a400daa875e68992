package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/decision"
	"github.com/dottereltiller/dottereltiller/hop"
)

// Record is what a daemon tells the others of itself. It is its only writer, and
// of two records of a daemon the one with the higher (Incarnation, Sequence)
// holds.
type Record struct {
	Address     string                 `json:"a"`
	Incarnation int64                  `json:"i"`
	Sequence    uint64                 `json:"n"`
	Zone        model.AvailabilityZone `json:"z"`
	// Service, Upstream, State and Slots tell of the upstream beside it.
	Service  model.ServiceName     `json:"s,omitempty"`
	Upstream lifecycle.Incarnation `json:"u,omitzero"`
	State    lifecycle.State       `json:"st,omitempty"`
	Slots    int                   `json:"sl,omitempty"`
	// ColdMS is how much longer the upstream is slow after its start.
	ColdMS int64 `json:"c,omitempty"`
	// Stopping tells that the daemon is about to stop. It takes calls where no other can.
	Stopping bool `json:"x,omitempty"`
	// Departed are the last incarnations beside it that left, so that a daemon
	// that starts anew learns of them from the others.
	Departed []lifecycle.Incarnation `json:"d,omitempty"`
}

// newer reports whether r wins over old.
func (r *Record) newer(old *Record) bool { return recordVersionOf(r).supersedes(recordVersionOf(old)) }

// maxTold bounds the departed incarnations in a record.
const maxDeparted = 8

// peer is another daemon.
type peer struct {
	record    Record
	coldUntil model.Instant
	pool      *hop.Pool
	// due tells that the peer has not got the own record yet, syncing that a
	// goroutine sees to it.
	pushDue bool
	syncing bool
	// full asks for everything that the peer knows.
	needsFullSync bool
	// verified is when the peer was last looked at for its silence.
	verified model.Instant
	// lost is set while the peer cannot be reached, since when in lostAt.
	lost   bool
	lostAt model.Instant
}

const (
	// syncTimeout bounds one exchange of records.
	syncTimeout = 1500 * time.Millisecond
	// minPause and maxPause bound the pause after a failed exchange. A
	// daemon that restarts is back within one or two seconds.
	minSyncBackoff = 100 * time.Millisecond
	maxPause       = 2 * time.Second
	// lookClosely is how long a lost daemon is looked for with pauses of at most
	// maxPause, and lookPause bounds them after that. Two regions that lose each other
	// for minutes must find each other again: neither starts anew, and so neither
	// would announce itself.
	fastRetryPeriod = time.Minute
	lookPause       = 15 * time.Second
	// forgetAfter is how long a daemon is looked for in all.
	forgetAfter = time.Hour
	// lookers is how many daemons look for one that has stopped as planned, and
	// lookAfter when they begin: it may be back while the store is away, and then
	// it knows nobody.
	restartCheckers   = 3
	restartCheckDelay = 2500 * time.Millisecond
	// fullAsks is how many daemons a starting one asks for all that they know.
	fullAsks = 2
	// relaysPerZone is how many daemons of another zone are told of a change.
	relaysPerZone = 2
	// peerIdle is how long connections between daemons are kept.
	peerIdleTimeout = 20 * time.Second
	// peerDial bounds connecting to a daemon: a few round trips between regions.
	// One that is cut off does not answer at all.
	peerDialTimeout = 150 * time.Millisecond
)

// peers holds the records of all daemons. It is safe for concurrent use.
type peers struct {
	now       func() model.Instant
	decisions *decision.Log
	version   func() model.Version
	// behind is told which version of the configuration a daemon has.
	onVersion func(address string, v model.Version)
	// tellByDatagram sends a record to a daemon without a connection, and reports
	// whether it was noted.
	pushByDatagram func(address string, r Record) bool
	// regained is told that a daemon can be reached again, met that one has answered the
	// question for all that it knows.
	regained   func()
	onFullSync func(address string)
	// restore is told what others remember of the upstreams of this VM.
	restoreDeparted func([]lifecycle.Incarnation)

	// draw draws from 0 to 1.
	random func() float64

	mu  sync.Mutex
	own Record
	// before is what others hold of the daemon that had this address before.
	predecessor Record
	all         map[string]*peer
	generation  uint64
	asked       int
	learned     learnedLimiter
	// told is set once the own record has been sent to everybody.
	announced bool
	ctx       context.Context
	// greeted is closed once another daemon has answered, or there is none.
	firstContact     chan struct{}
	firstContactOnce sync.Once
	// listed is closed once the list of daemons has been asked for.
	directoryRead     chan struct{}
	directoryReadOnce sync.Once
}

func newPeers(own Record, now func() model.Instant, d *decision.Log) *peers {
	return &peers{
		now: now, decisions: d, own: own,
		all:           make(map[string]*peer),
		random:        rand.Float64,
		ctx:           context.Background(),
		firstContact:  make(chan struct{}),
		directoryRead: make(chan struct{}),

		regained:   func() {},
		onFullSync: func(string) {},
	}
}

// self returns the own record.
func (p *peers) self() Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.own
}

// update changes the own record and tells everybody.
func (p *peers) updateLocal(change func(*Record)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.own)
	p.own.Sequence++
	p.generation++
	p.announceToAll()
}

// tellAll sends the own record to the own zone and to relays of the others, which hand it
// on there. p.mu is held.
func (p *peers) announceToAll() {
	p.announced = true
	relays := make(map[model.AvailabilityZone]int)
	// The order of a map differs each time, and so do the relays.
	for _, q := range p.all {
		zone := q.record.Zone
		switch {
		case zone == p.own.Zone:
			p.owe(q)
		case !q.lost && !q.record.Stopping && relays[zone] < relaysPerZone:
			relays[zone]++
			p.owe(q)
		}
	}
}

// introduce sends the own record to everybody unless that has been done.
func (p *peers) announceOnce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.announced {
		p.announceToAll()
	}
}

// heardFrom takes in that a daemon has asked for the own record, and so gets it.
func (p *peers) handlePull(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.all[address]
	if q == nil {
		return
	}
	q.pushDue = q.needsFullSync
	p.regain(q)
}

// owe has the own record sent to a peer. p.mu is held.
func (p *peers) owe(q *peer) {
	q.pushDue = true
	if q.syncing || p.ctx.Err() != nil {
		return
	}
	q.syncing = true
	go p.syncLoop(q)
}

func newPeerPool(address string) *hop.Pool {
	return hop.NewPool(address, hop.PoolOptions{IdleLimit: peerIdleTimeout, DialTimeout: peerDialTimeout})
}

// merge takes in records and returns those that are news.
func (p *peers) merge(records []Record) []Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	var newer []Record
	for i := range records {
		r := &records[i]
		switch {
		case r.Address == "":
		case r.Address == p.own.Address:
			p.mergeLocal(r)
		case p.mergePeer(r):
			newer = append(newer, *r)
		}
	}
	return newer
}

// meetSelf takes in what others hold of this daemon. A record of a life that
// seems later than this one comes from a clock that was ahead. p.mu is held.
func (p *peers) mergeLocal(r *Record) {
	if r.Incarnation > p.own.Incarnation {
		p.own.Incarnation = r.Incarnation + 1
		p.announceToAll()
	}
	if r.newer(&p.predecessor) && r.Incarnation != p.own.Incarnation {
		p.predecessor = *r
	}
	departed := r.Departed
	if len(departed) > 0 && p.restoreDeparted != nil {
		go p.restoreDeparted(slices.Clone(departed))
	}
}

// mergeOne takes in a record of another daemon, and reports whether it is news.
func (p *peers) mergePeer(r *Record) bool {
	q := p.all[r.Address]
	if q == nil {
		q = p.addPeer(Record{Address: r.Address, Zone: r.Zone})
		p.startSync(q)
	} else if !r.newer(&q.record) {
		return false
	}
	restarted := r.Incarnation != q.record.Incarnation && q.record.Incarnation != 0 && q.record.Sequence != 0
	changed := r.State != q.record.State || r.Upstream != q.record.Upstream || r.Stopping != q.record.Stopping
	wasStopping := q.record.Stopping && q.record.Incarnation == r.Incarnation
	previous := q.record
	q.record = *r
	if len(r.Departed) == 0 {
		q.record.Departed = previous.Departed
	}
	q.coldUntil = p.now().Add(time.Duration(r.ColdMS) * time.Millisecond)
	p.generation++
	if restarted {
		// Its memory of this daemon is gone, and so are the old connections.
		q.pool.Close()
		q.pool = newPeerPool(r.Address)
		p.startSync(q)
	}
	if r.Stopping && !wasStopping && r.State != lifecycle.Gone && p.random()*float64(len(p.all)) < restartCheckers {
		time.AfterFunc(restartCheckDelay, func() { p.missed(r.Address, errStopped) })
	}
	if changed {
		p.logPeerState(&previous, r)
	}
	return true
}

// slotsOf returns the slots of an upstream of this VM that does not tell them itself: as
// it told the daemon before, else as those of its service tell. Zero means that nobody
// knows.
func (p *peers) slotsOf(i lifecycle.Incarnation) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.predecessor.Upstream.ID == i.ID && p.predecessor.Slots > 0 {
		return p.predecessor.Slots
	}
	most := 0
	for _, q := range p.all {
		if q.record.Service == p.own.Service {
			most = max(most, q.record.Slots)
		}
	}
	return most
}

// known returns every record held, the own first.
func (p *peers) known() []Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	records := []Record{p.own}
	for _, q := range p.all {
		if q.record.Sequence > 0 {
			records = append(records, q.record)
		}
	}
	return records
}

// of returns the record held of a daemon.
func (p *peers) of(address string) (Record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.all[address]
	if q == nil {
		return Record{}, false
	}
	return q.record, true
}

// pool returns the connections to a daemon, nil when it is not known.
func (p *peers) pool(address string) *hop.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.all[address]; q != nil {
		return q.pool
	}
	return nil
}
