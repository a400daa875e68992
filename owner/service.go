package owner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dottereltiller/dottereltiller/core/claims"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// Service routes keyed requests to their owners and owns a share of the keys
// itself. It is safe for concurrent use.
type Service struct {
	opts    Options
	self    claims.Owner
	metrics metrics
	// retryTimeouts may be changed by tests before the first call.
	retryTimeouts retryTimeouts

	// mu guards the fields from ledger to lastCheckpointRead.
	mu sync.Mutex
	// ledger holds the owners of all keys, according to the records read from the
	// log.
	ledger *claims.Ledger
	// table holds the claims of this owner.
	table *claims.Table
	// executions holds the executions in flight.
	executions map[claims.ID]*execution
	// suspectedSince holds when an owner was last found unreachable, by the
	// incarnation of the owner.
	suspectedSince map[uint64]time.Time
	// lastCheckpointRead is when a checkpoint was last read from the log. Before the
	// first one it is the time of New.
	lastCheckpointRead time.Time

	// planner decides when to append a grant. It is used only by Serve.
	planner *claims.Planner
	// candidates holds the last result of Options.Candidates, sorted. It is used
	// only by Serve.
	candidates []model.DaemonID

	// readLock is held during a read of the grants. It guards hasPosition,
	// fromOldest, searchWindow and lastRead. It is a channel instead of a mutex, so
	// that a context can end the wait for it.
	readLock chan struct{}
	// hasPosition is set while the ledger is at the offset of the next record to
	// read. It is unset before the first read, and when the search for a checkpoint
	// has to start again.
	hasPosition bool
	// fromOldest is set if the last search for a checkpoint started at the oldest
	// record that the log then kept.
	fromOldest bool
	// searchWindow is the number of newest records in which this daemon searches
	// for a checkpoint.
	searchWindow recordlog.Offset
	// readCount counts the reads of the grants, including failed ones.
	readCount atomic.Uint64
	// lastRead is when the last read of the grants ended.
	lastRead time.Time
	// caughtUp is set once a read has reached the end of the log.
	caughtUp atomic.Bool
}

// New returns a Service that owns no keys yet.
func New(o Options) *Service {
	o = o.withDefaults()
	self := claims.Owner{Daemon: o.Self, Incarnation: newIncarnation()}
	return &Service{
		opts:               o,
		self:               self,
		metrics:            newMetrics(o.Scope),
		retryTimeouts:      defaultRetryTimeouts(),
		ledger:             claims.NewLedger(o.Ranges, 0),
		table:              claims.NewTable(self, o.Limits),
		executions:         make(map[claims.ID]*execution),
		suspectedSince:     make(map[uint64]time.Time),
		lastCheckpointRead: time.Now(),
		readLock:           make(chan struct{}, 1),
		searchWindow:       initialSearchWindow,
		planner:            claims.NewPlanner(self, o.Ranges, o.GrantDuration),
	}
}

// Incarnation returns the incarnation ID of this owner.
func (s *Service) Incarnation() uint64 { return s.self.Incarnation }

// Counts are the numbers of ranges and claims of an owner.
type Counts struct {
	// Ranges is the number of key ranges whose newest timestamps this owner has
	// been granted.
	Ranges int `json:"ranges"`
	// Claims is the number of claims.
	Claims int `json:"claims"`
	// AnswerBytes is the total size of the retained responses.
	AnswerBytes int `json:"answer_bytes"`
}

// Counts returns the counts of this owner.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counts{Claims: s.table.Len(), AnswerBytes: s.table.AnswerBytes()}
	for r := range claims.Range(s.opts.Ranges) {
		if _, o := s.ledger.Frontier(r); o == s.self {
			c.Ranges++
		}
	}
	return c
}

// RunningCount returns the number of keyed requests that this owner is
// executing.
func (s *Service) RunningCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.executions)
}

// String names the service in the supervisor tree.
func (s *Service) String() string { return "owner" }

// Serve reads and renews grants, appends checkpoints and removes expired claims until
// the context ends.
func (s *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(s.opts.PollInterval)
	defer ticker.Stop()
	for {
		s.refreshCandidates()
		// If shouldRead returns false, no grant or checkpoint is due either.
		if s.shouldRead(ctx) {
			s.readGrants(ctx)
			s.renew(ctx)
		}
		s.expireClaims()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// currentTimestamp returns the current time as the timestamp of a key.
func (s *Service) currentTimestamp() claims.Stamp {
	return claims.Stamp(max(0, s.opts.WallClock().UnixMilli()))
}

// readsPerGrant is the number of reads of the grants in one grant duration. Between
// two reads, the ledger may lag behind the log. The grants in the ledger extend beyond
// the time of the next read, so the ledger usually still names the owner of a key with
// the current timestamp. If the ledger names no owner, the submission causes a read.
const readsPerGrant = 6

// shouldRead reports whether the grants have to be read in this poll interval. If not,
// the daemon saves a read of the log. The grants have to be read in these cases:
//   - No read has reached the end of the log yet.
//   - The ledger is incomplete.
//   - A grant or a checkpoint seems due to be appended. The read shows whether another
//     daemon has appended a record that makes it unnecessary.
//   - The last read ended at least 1/readsPerGrant of a grant duration ago.
//
// If the context ends before the time of the last read is known, shouldRead returns
// false.
func (s *Service) shouldRead(ctx context.Context) bool {
	if !s.caughtUp.Load() || !s.ledgerComplete() || len(s.dueRecords()) > 0 {
		return true
	}
	if !s.lockReads(ctx) {
		return false
	}
	defer s.unlockReads()
	return time.Since(s.lastRead) >= s.opts.GrantDuration/readsPerGrant
}

func (s *Service) ledgerComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.IsComplete()
}

// renew appends a grant and a checkpoint, each if it is due. It appends nothing until a
// read has reached the end of the log. After each successful append it reads the log,
// because only a read shows whether the record took effect.
func (s *Service) renew(ctx context.Context) {
	if !s.caughtUp.Load() {
		return
	}
	for _, rec := range s.dueRecords() {
		_, err := s.opts.Log.Append(ctx, recordlog.StreamGrants, [][]byte{rec.Encode()})
		if err != nil {
			s.metrics.failedAppends.Inc(1)
			continue
		}
		s.metrics.appends.Inc(1)
		s.readGrants(ctx)
	}
}

// dueRecords returns the grant and the checkpoint that this daemon has to append now, as
// far as they are due. It returns none if the claim table is sealed or the ledger is
// incomplete.
func (s *Service) dueRecords() []claims.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.IsSealed() || !s.ledger.IsComplete() {
		return nil
	}
	var out []claims.Record
	if g := s.planner.Plan(s.ledger, s.currentTimestamp()); g != nil {
		out = append(out, claims.Record{Grant: g})
	}
	// The owner of the first range appends the checkpoints.
	_, firstOwner := s.ledger.Frontier(0)
	if firstOwner == s.self && time.Since(s.lastCheckpointRead) > s.opts.CheckpointInterval {
		out = append(out, claims.Record{Checkpoint: s.ledger.Checkpoint()})
	}
	return out
}

// refreshCandidates passes the daemons that may own keys to the planner if they have
// changed since the last call.
func (s *Service) refreshCandidates() {
	candidates := s.opts.Candidates()
	slices.Sort(candidates)
	if !slices.Equal(candidates, s.candidates) {
		s.candidates = candidates
		s.planner.SetCandidates(candidates)
	}
}

// expireClaims removes the claims whose retention has ended, and updates the gauges of the
// claim table. It does nothing if the wall clock is wrong and shows a time no later than
// the Unix epoch plus the retention.
func (s *Service) expireClaims() {
	now := s.currentTimestamp()
	retention := claims.Stamp(s.opts.Retention.Milliseconds())
	if now <= retention {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now - retention)
	s.metrics.claims.Update(float64(s.table.Len()))
	s.metrics.responseBytes.Update(float64(s.table.AnswerBytes()))
}
