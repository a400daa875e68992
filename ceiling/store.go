package ceiling

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/ceiling"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/interval"
	"github.com/dottereltiller/dottereltiller/telemetry"
)

// Options configure a Store.
type Options struct {
	// Self is this daemon.
	Self model.DaemonID
	// Now reads the monotonic clock.
	Now func() model.Instant
	// WallClock reads the wall clock. Default: time.Now.
	WallClock func() time.Time
	// Scope receives the counters. Nil means none.
	Scope tally.Scope
}

// Store is a daemon's parts of the ceilings. It is safe for concurrent use.
type Store struct {
	opts       Options
	self       ceiling.Daemon
	refusals   tally.Counter
	unreadable tally.Counter

	mu       sync.Mutex
	ceilings map[ceiling.Key]*ceiling.Ceiling
	byHash   map[uint64]*ceiling.Ceiling
	// recent holds the reports that are handed on, until they are too old.
	recent map[reportKey]recentReport
	deltas uint64
}

type reportKey struct {
	key    uint64
	daemon ceiling.Daemon
}

type recentReport struct {
	ceiling.Report
	since model.Instant
}

// NewStore returns a Store without ceilings.
func NewStore(opts Options) *Store {
	if opts.WallClock == nil {
		opts.WallClock = time.Now
	}
	scope := telemetry.OrNoop(opts.Scope)
	return &Store{
		opts:       opts,
		self:       ceiling.Daemon(xxhash.Sum64String(string(opts.Self))),
		refusals:   scope.Counter("refusals"),
		unreadable: scope.Counter("reports_unread"),
		ceilings:   make(map[ceiling.Key]*ceiling.Ceiling),
		byHash:     make(map[uint64]*ceiling.Ceiling),
		recent:     make(map[reportKey]recentReport),
	}
}

// Configure replaces the ceilings in force. What is known of those that stay is
// kept.
func (s *Store) Configure(limits map[ceiling.Key]ceiling.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.ceilings
	s.ceilings = make(map[ceiling.Key]*ceiling.Ceiling, len(limits))
	clear(s.byHash)
	for k, l := range limits {
		hash := keyHash(k)
		c := before[k]
		if c == nil {
			c = ceiling.New(s.opts.Now(), hash, s.self, l)
		}
		c.SetLimits(l)
		s.ceilings[k], s.byHash[hash] = c, c
	}
}

// TryAcquire asks to let in a request of a group at a service. When it reports true
// leave must be called once the request has ended. Otherwise it returns what to
// tell the caller to wait.
func (s *Store) TryAcquire(service model.ServiceName, group model.GroupName) (leave func(), wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.ceilings[ceiling.Key{Service: service, Group: group}]
	if c == nil {
		return noRelease, 0, true
	}
	if wait, ok = c.TryAcquire(s.opts.Now()); !ok {
		s.refusals.Inc(1)
		return nil, wait, false
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		c.Release()
	}, 0, true
}

func noRelease() {}

const tickInterval = 250 * time.Millisecond

// Serve brings the parts up to date until the context ends.
func (s *Store) Serve(ctx context.Context) error {
	return interval.Run(ctx, tickInterval, s.tick)
}

// String names the service in the supervisor tree.
func (s *Store) String() string { return "ceiling" }

func (s *Store) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, stamp := s.opts.Now(), uint64(s.opts.WallClock().UnixMilli())
	for _, c := range s.ceilings {
		if r, due := c.Tick(now, stamp); due {
			s.recent[reportKey{r.Key, r.Daemon}] = recentReport{Report: r, since: now}
		}
	}
	for k, r := range s.recent {
		if now.Sub(r.since) > relayPeriod || s.byHash[k.key] == nil {
			delete(s.recent, k)
		}
	}
}

// Share is one ceiling as the status shows it.
type Share struct {
	Service model.ServiceName `json:"service"`
	Group   model.GroupName   `json:"group"`
	// Rate and Concurrency are this daemon's parts.
	Rate        float64 `json:"rate_per_second"`
	Concurrency int     `json:"concurrency"`
}

// Shares returns this daemon's parts of the ceilings in force.
func (s *Store) Shares() []Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Share, 0, len(s.ceilings))
	for k, c := range s.ceilings {
		rate, slots := c.Share()
		out = append(out, Share{Service: k.Service, Group: k.Group, Rate: rate, Concurrency: slots})
	}
	return out
}

// keyHash is the same in all daemons.
func keyHash(k ceiling.Key) uint64 {
	b := binary.AppendUvarint(nil, uint64(len(k.Service)))
	b = append(b, k.Service...)
	return xxhash.Sum64(append(b, k.Group...))
}
