package configuration

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/config"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/pause"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// InForce is the configuration that the data path uses. It is immutable.
type InForce struct {
	Version model.Version
	// Set holds the compiled documents of Version.
	Set *policy.Set
}

// Options configure a Store.
type Options struct {
	// Log is the platform's log.
	Log recordlog.Log
	// Interval is the time between two reads of the log by a log reader.
	// Default: 200ms.
	Interval time.Duration
	// IdleInterval is the time between two reads of the log by a daemon that receives
	// updates from its peers. Default: 15s.
	IdleInterval time.Duration
	// CheckpointInterval is the longest time after a checkpoint until the next one
	// is due. It must be well below the retention of the log. Default: 10min.
	CheckpointInterval time.Duration
	// IsLogReader reports whether this daemon reads the log at Interval rather
	// than IdleInterval. Nil means that this daemon is always a log reader.
	IsLogReader func() bool
	// OnUpdate is called when new records were read from the log. It should
	// start a relay of these records to peers. Nil means no call.
	OnUpdate func()
	// Seed seeds the random delays.
	Seed uint64
	// Scope receives the metrics. Nil turns them off.
	Scope tally.Scope
	// Logger logs state changes. Nil means no logging.
	Logger *slog.Logger
}

const (
	defaultInterval           = 200 * time.Millisecond
	defaultIdleInterval       = 15 * time.Second
	defaultCheckpointInterval = 10 * time.Minute
	// checkpointRecords is the number of records after which a new checkpoint is
	// due, counted from the newest checkpoint and regardless of the time.
	checkpointRecords = 1024
	// readLimit is the maximum number of records in one read.
	readLimit = 1024
	// readTimeout bounds each single read of the log, and each append of a
	// checkpoint.
	readTimeout = 5 * time.Second
)

// Store holds the configuration in force. It is safe for concurrent use.
type Store struct {
	opts    Options
	metrics metrics
	// rng and backoff are used by Serve alone.
	rng     *rand.Rand
	backoff pause.Backoff

	current atomic.Pointer[InForce]

	// notifyMu serializes putInForce, so that listeners see versions in order.
	notifyMu  sync.Mutex
	listeners []func(*InForce)

	// mu guards the fields below.
	mu      sync.Mutex
	machine *config.StateMachine
	status  Status
	// lastCheckpointOffset is the offset of the newest checkpoint read from the log.
	lastCheckpointOffset uint64
	// checkpointDueAt is when this daemon appends the next checkpoint. It is set
	// to a random time after each checkpoint, so that the log readers do not
	// append at the same time.
	checkpointDueAt time.Time
}

// Status describes the state of a Store.
type Status struct {
	Version model.Version `json:"version"`
	// ChangeID is the ID of the change that produced Version, and Author the
	// operator who proposed the change.
	ChangeID string `json:"change_id,omitempty"`
	Author   string `json:"author,omitempty"`
	// Next is the offset of the first record of the config stream that has not
	// been applied.
	Next uint64 `json:"next"`
	// Chain is a hash chain over all accepted changes.
	Chain string `json:"chain"`
	// CaughtUp is set once this daemon has read to the end of the log after its
	// start. Until then a newer version may exist that no reachable peer has.
	CaughtUp bool `json:"sure"`
	// LogRead is when the log was last read to its end. Zero means never.
	LogRead time.Time `json:"log_read,omitzero"`
	// LogError is the error of the last read, empty if it succeeded.
	LogError string `json:"log_problem,omitempty"`
	// CompileError is the reason why the newest accepted version does not
	// compile. It is empty if that version compiles.
	CompileError string `json:"unusable,omitempty"`
	// Conflict is set once this daemon has received the digest of a peer that
	// applied the same records but has another state. It is never unset.
	Conflict bool `json:"conflict,omitempty"`
}

// NewStore returns a Store that has applied no records.
func NewStore(opts Options) *Store {
	opts.setDefaults()
	s := &Store{
		opts:    opts,
		metrics: newMetrics(opts.Scope),
		rng:     rand.New(rand.NewPCG(opts.Seed, opts.Seed+1)),
		machine: NewStateMachine(),
	}
	s.scheduleCheckpoint(0)
	return s
}

func (o *Options) setDefaults() {
	if o.Interval <= 0 {
		o.Interval = defaultInterval
	}
	if o.IdleInterval <= 0 {
		o.IdleInterval = defaultIdleInterval
	}
	if o.CheckpointInterval <= 0 {
		o.CheckpointInterval = defaultCheckpointInterval
	}
	if o.IsLogReader == nil {
		o.IsLogReader = func() bool { return true }
	}
	if o.OnUpdate == nil {
		o.OnUpdate = func() {}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
}

// Current returns the configuration in force, or nil if there is none yet.
func (s *Store) Current() *InForce { return s.current.Load() }

// OnChange registers a function that is called with every new configuration in
// force, in order of version. It must be called before Serve.
func (s *Store) OnChange(f func(*InForce)) { s.listeners = append(s.listeners, f) }

// Status returns the status of the Store.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.machine.State()
	status := s.status
	status.Version, status.Next, status.Chain = state.Version, state.Next, state.Chain.String()
	status.ChangeID, status.Author = state.ChangeID, state.Author
	return status
}

// State returns the state after the records applied so far.
func (s *Store) State() config.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.State()
}

// putInForce compiles the documents of the current state if the state has a newer
// version than the configuration in force. If the documents compile, putInForce makes
// them the configuration in force and calls the listeners. Otherwise the previous
// configuration stays in force, and the status shows the first problem.
func (s *Store) putInForce() {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	state := s.State()
	if old := s.current.Load(); state.Version == 0 || old != nil && old.Version >= state.Version {
		return
	}
	set, problems := policy.Compile(Documents(state))
	if len(problems) > 0 {
		s.setCompileError(state.Version, problems[0].Error())
		return
	}
	s.setCompileError(state.Version, "")
	inForce := &InForce{Version: state.Version, Set: set}
	s.current.Store(inForce)
	s.metrics.version.Update(float64(state.Version))
	s.opts.Logger.Info("configuration in force", "version", state.Version, "change", state.ChangeID, "author", state.Author)
	for _, listener := range s.listeners {
		listener(inForce)
	}
}

// setCompileError records in the status why version v, the newest accepted one, does
// not compile. An empty problem means that v compiles. A problem that differs from the
// recorded one is also counted and logged.
func (s *Store) setCompileError(v model.Version, problem string) {
	s.mu.Lock()
	changed := s.status.CompileError != problem
	s.status.CompileError = problem
	s.mu.Unlock()
	if changed && problem != "" {
		s.metrics.compileErrors.Inc(1)
		s.opts.Logger.Error("accepted configuration does not compile, the previous one stays in force", "version", v, "error", problem)
	}
}
