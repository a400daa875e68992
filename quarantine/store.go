package quarantine

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/quarantine"
	"github.com/dottereltiller/dottereltiller/interval"
	"github.com/dottereltiller/dottereltiller/telemetry"
)

// Options configure a Store.
type Options struct {
	// Rule returns the quarantine rule of a service.
	Rule func(model.ServiceName) quarantine.Rule
	// WallClock returns the wall-clock time. Default: time.Now.
	WallClock func() time.Time
	// OnUpdate is called when there are changes to send to other daemons. Nil
	// means no call.
	OnUpdate func()
	// Scope receives the counters. Nil turns them off.
	Scope tally.Scope
	// Logger logs state changes. Default: slog.Default.
	Logger *slog.Logger
}

// Store is a daemon's table of suspected and quarantined requests. It is safe
// for concurrent use.
type Store struct {
	opts Options
	// crashes counts the calls of RecordCrash.
	crashes tally.Counter
	// refusals counts the requests that RefusedFor found to be refused.
	refusals tally.Counter
	// unreadableDeltas counts deltas from peers that cannot be decoded.
	unreadableDeltas tally.Counter
	// nonEmpty is set while the table holds any record. While it is not set, the
	// data path need not compute fingerprints.
	nonEmpty atomic.Bool

	mu    sync.Mutex
	table *quarantine.Table
	// loggedRefused is true for the requests that were refused when logChanges was
	// last called.
	loggedRefused map[quarantine.Fingerprint]bool
	// deltaStart is the index, in the list of all records, of the record at which
	// the next delta starts.
	deltaStart int
	// cachedChecksum is the checksum of the table at version checksumVersion.
	cachedChecksum  uint64
	checksumVersion uint64
	// hasNewCrash is set if RecordCrash was called since NextPush last returned a
	// message.
	hasNewCrash bool
}

// NewStore returns a Store with an empty table.
func NewStore(opts Options) *Store {
	if opts.WallClock == nil {
		opts.WallClock = time.Now
	}
	if opts.OnUpdate == nil {
		opts.OnUpdate = func() {}
	}
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	scope := telemetry.OrNoop(opts.Scope)
	return &Store{
		opts:             opts,
		crashes:          scope.Counter("deaths"),
		refusals:         scope.Counter("refusals"),
		unreadableDeltas: scope.Counter("records_unread"),
		table:            quarantine.NewTable(quarantine.Options{Rule: opts.Rule}),
		loggedRefused:    make(map[quarantine.Fingerprint]bool),
	}
}

// Version returns the version of the table, which increases with every change.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Version()
}

// HasRecords reports whether any request is suspected or quarantined.
func (s *Store) HasRecords() bool { return s.nonEmpty.Load() }

// RefusedFor returns for how much longer a request is refused, and counts the
// refusal. The second result is false if the request is not refused.
func (s *Store) RefusedFor(f quarantine.Fingerprint) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	until, ok := s.table.Refused(now, f)
	if !ok {
		return 0, false
	}
	s.refusals.Inc(1)
	return time.Duration(until-now) * time.Millisecond, true
}

// RecordCrash records that an upstream crashed while it ran a request.
func (s *Store) RecordCrash(f quarantine.Fingerprint, r quarantine.Request, c quarantine.Crash) {
	s.crashes.Inc(1)
	s.update(func(now int64) {
		s.table.RecordCrash(now, f, r, c)
		s.hasNewCrash = true
	})
}

// RecordResponse records that a request received a complete response.
func (s *Store) RecordResponse(f quarantine.Fingerprint) {
	s.update(func(now int64) { s.table.RecordResponse(now, f) })
}

// Release ends the suspicion or quarantine of a request. It reports whether the
// table had a record of the request.
func (s *Store) Release(f quarantine.Fingerprint) bool {
	hadRecord := false
	s.update(func(now int64) { hadRecord = s.table.Release(now, f) })
	return hadRecord
}

// ListedRecord is a record of the table as listed for operators.
type ListedRecord struct {
	quarantine.Record
	// Refused is set while all daemons refuse the request. Otherwise the
	// request is only suspected.
	Refused bool `json:"refused"`
}

// List returns all records, the most recently updated first.
func (s *Store) List() []ListedRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	records := s.table.List()
	out := make([]ListedRecord, 0, len(records))
	for _, r := range records {
		out = append(out, ListedRecord{Record: r, Refused: r.Refused(now)})
	}
	return out
}

// tickInterval is the time between two evaluations of the table.
const tickInterval = 100 * time.Millisecond

// Serve quarantines requests and deletes expired records until the context ends.
func (s *Store) Serve(ctx context.Context) error {
	return interval.Run(ctx, tickInterval, func() {
		if s.HasRecords() {
			s.update(s.evaluate)
		}
	})
}

// String names the service in the supervisor tree.
func (s *Store) String() string { return "quarantine" }

// evaluate quarantines the requests that were running during enough crashes, and
// deletes expired records. now is in Unix milliseconds.
func (s *Store) evaluate(now int64) {
	s.table.Evaluate(now)
	s.table.Expire(now)
}

// update calls f with s.mu held; f may change the table and gets the time in Unix
// milliseconds. If the table has changed, update logs the quarantines that have begun or
// ended, and calls OnUpdate without holding s.mu.
func (s *Store) update(f func(now int64)) {
	s.mu.Lock()
	versionBefore := s.table.Version()
	now := s.now()
	f(now)
	changed := s.table.Version() != versionBefore
	if changed {
		s.nonEmpty.Store(s.table.Len() > 0)
		s.logChanges(now)
	}
	s.mu.Unlock()
	if changed {
		s.opts.OnUpdate()
	}
}

// logChanges logs each request that is newly refused or no longer refused. s.mu
// is held.
func (s *Store) logChanges(now int64) {
	refused := make(map[quarantine.Fingerprint]bool)
	for _, r := range s.table.List() {
		if !r.Refused(now) {
			continue
		}
		refused[r.Fingerprint] = true
		if !s.loggedRefused[r.Fingerprint] {
			s.opts.Logger.Warn("request quarantined", "fingerprint", r.Fingerprint.String(),
				"service", r.Service, "caller", r.Caller, "request", r.Request)
		}
	}
	for f := range s.loggedRefused {
		if !refused[f] {
			s.opts.Logger.Info("request no longer quarantined", "fingerprint", f.String())
		}
	}
	s.loggedRefused = refused
}

// now returns the wall-clock time in Unix milliseconds.
func (s *Store) now() int64 { return s.opts.WallClock().UnixMilli() }
