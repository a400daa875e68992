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
	// Self is the ID of this daemon.
	Self model.DaemonID
	// Now reads the monotonic clock.
	Now func() model.Instant
	// WallClock reads the wall clock. Default: time.Now.
	WallClock func() time.Time
	// Scope receives the counters. Nil turns them off.
	Scope tally.Scope
}

// Store enforces a daemon's shares of the ceilings. It is safe for concurrent
// use.
type Store struct {
	opts Options
	// selfHash is the hash of Options.Self that identifies this daemon in reports.
	selfHash ceiling.Daemon
	// refusals counts the requests that TryAcquire refused.
	refusals tally.Counter
	// unreadableDeltas counts deltas from peers that cannot be decoded.
	unreadableDeltas tally.Counter

	mu       sync.Mutex
	ceilings map[ceiling.Key]*ceiling.Ceiling
	// ceilingByHash holds the same ceilings as the map ceilings, by keyHash.
	ceilingByHash map[uint64]*ceiling.Ceiling
	// recentReports holds the reports that are relayed to other daemons. A report is
	// removed relayPeriod after this daemon made or received it.
	recentReports map[reportKey]recentReport
	// deltaCount counts the non-empty results of Delta. It determines the report
	// with which the next result starts.
	deltaCount uint64
}

// reportKey identifies the newest report of a daemon on a ceiling.
type reportKey struct {
	// ceilingHash is the keyHash of the ceiling.
	ceilingHash uint64
	daemon      ceiling.Daemon
}

// recentReport is a report that is still relayed.
type recentReport struct {
	ceiling.Report
	// addedAt is when this daemon made or received the report.
	addedAt model.Instant
}

// NewStore returns a Store without ceilings.
func NewStore(opts Options) *Store {
	if opts.WallClock == nil {
		opts.WallClock = time.Now
	}
	scope := telemetry.OrNoop(opts.Scope)
	return &Store{
		opts:             opts,
		selfHash:         ceiling.Daemon(xxhash.Sum64String(string(opts.Self))),
		refusals:         scope.Counter("refusals"),
		unreadableDeltas: scope.Counter("reports_unread"),
		ceilings:         make(map[ceiling.Key]*ceiling.Ceiling),
		ceilingByHash:    make(map[uint64]*ceiling.Ceiling),
		recentReports:    make(map[reportKey]recentReport),
	}
}

// Configure replaces the ceilings in force by ceilings with the given limits. A
// ceiling whose key was already in force keeps its counts and the reports that it
// received.
func (s *Store) Configure(limits map[ceiling.Key]ceiling.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.ceilings
	s.ceilings = make(map[ceiling.Key]*ceiling.Ceiling, len(limits))
	clear(s.ceilingByHash)
	for k, l := range limits {
		hash := keyHash(k)
		c := old[k]
		if c == nil {
			c = ceiling.New(s.opts.Now(), hash, s.selfHash, l)
		}
		c.SetLimits(l)
		s.ceilings[k], s.ceilingByHash[hash] = c, c
	}
}

// TryAcquire admits or refuses a request of a group to a service. If ok is true,
// the request is admitted, and release must be called once when the request has
// ended. Otherwise release is nil and retryAfter is the Retry-After value for the
// caller. A request without a ceiling is always admitted.
func (s *Store) TryAcquire(service model.ServiceName, group model.GroupName) (release func(), retryAfter time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.ceilings[ceiling.Key{Service: service, Group: group}]
	if c == nil {
		return noRelease, 0, true
	}
	if retryAfter, ok = c.TryAcquire(s.opts.Now()); !ok {
		s.refusals.Inc(1)
		return nil, retryAfter, false
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		c.Release()
	}, 0, true
}

func noRelease() {}

// tickInterval is the time between two updates of the shares.
const tickInterval = 250 * time.Millisecond

// Serve keeps the shares up to date until the context ends.
func (s *Store) Serve(ctx context.Context) error {
	return interval.Run(ctx, tickInterval, s.tick)
}

// String names the service in the supervisor tree.
func (s *Store) String() string { return "ceiling" }

// tick updates the shares and adds this daemon's due reports to s.recentReports. It removes
// the reports from s.recentReports that are older than relayPeriod or whose ceiling is no
// longer in force.
func (s *Store) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, timestamp := s.opts.Now(), uint64(s.opts.WallClock().UnixMilli())
	for _, c := range s.ceilings {
		if r, due := c.Tick(now, timestamp); due {
			s.recentReports[reportKey{r.Key, r.Daemon}] = recentReport{Report: r, addedAt: now}
		}
	}
	for k, r := range s.recentReports {
		if now.Sub(r.addedAt) > relayPeriod || s.ceilingByHash[k.ceilingHash] == nil {
			delete(s.recentReports, k)
		}
	}
}

// Share is this daemon's share of one ceiling, as shown in the status.
type Share struct {
	Service model.ServiceName `json:"service"`
	Group   model.GroupName   `json:"group"`
	// Rate is this daemon's share of the rate limit, in requests per second.
	Rate float64 `json:"rate_per_second"`
	// Concurrency is this daemon's share of the concurrency limit.
	Concurrency int `json:"concurrency"`
}

// Shares returns this daemon's shares of the ceilings in force.
func (s *Store) Shares() []Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Share, 0, len(s.ceilings))
	for k, c := range s.ceilings {
		rate, concurrency := c.Share()
		out = append(out, Share{Service: k.Service, Group: k.Group, Rate: rate, Concurrency: concurrency})
	}
	return out
}

// keyHash returns the hash that identifies a ceiling in reports. All daemons
// compute the same hash.
func keyHash(k ceiling.Key) uint64 {
	b := binary.AppendUvarint(nil, uint64(len(k.Service)))
	b = append(b, k.Service...)
	return xxhash.Sum64(append(b, k.Group...))
}
