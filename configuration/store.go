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
	Set     *policy.Set
}

// Options configure a Store.
type Options struct {
	Log recordlog.Log
	// Interval is the time between two reads by a reader. Default: 200ms.
	Interval time.Duration
	// IdleInterval is the time between two reads by a daemon that hears the
	// news from its peers. Default: 15s.
	IdleInterval time.Duration
	// CheckpointInterval is the time after which a checkpoint is appended
	// again. It must be well under the log's retention. Default: 10min.
	CheckpointInterval time.Duration
	// IsLogReader reports whether this daemon reads the log at Interval. Nil means
	// that it always does.
	IsLogReader func() bool
	// OnUpdate is called when the log had news, so that peers hear of it at once.
	// Nil means that nobody is told.
	OnUpdate func()
	// Seed seeds the jitter.
	Seed   uint64
	Scope  tally.Scope
	Logger *slog.Logger
}

const (
	defaultInterval           = 200 * time.Millisecond
	defaultIdleInterval       = 15 * time.Second
	defaultCheckpointInterval = 10 * time.Minute
	// checkpointRecords is the number of records after which a checkpoint is
	// due, whatever the time.
	checkpointRecords = 1024
	readLimit         = 1024
	readTimeout       = 5 * time.Second
)

// Store holds the configuration in force. It is safe for concurrent use.
type Store struct {
	opts    Options
	metrics metrics
	rng     *rand.Rand
	backoff pause.Backoff

	current atomic.Pointer[InForce]

	// notifyMu orders the calls of the listeners.
	notifyMu  sync.Mutex
	listeners []func(*InForce)

	// mu guards what follows. rng and pause are used by Serve alone.
	mu      sync.Mutex
	machine *config.StateMachine
	status  Status
	// lastCheckpoint is the offset of the last checkpoint on the log.
	lastCheckpoint uint64
	// checkpointDue is when this daemon appends one. It is drawn once after
	// each checkpoint, so that the readers differ.
	checkpointDue time.Time
}

// Status is what a Store knows about its version.
type Status struct {
	Version model.Version `json:"version"`
	// ChangeID and Author are those of the change that made the version.
	ChangeID string `json:"change_id,omitempty"`
	Author   string `json:"author,omitempty"`
	// Next is the offset of the next record of the config stream.
	Next uint64 `json:"next"`
	// Chain is the digest over all accepted changes.
	Chain string `json:"chain"`
	// CaughtUp is set once this daemon has read to the end of the log. Until then
	// a newer version may exist that no reachable peer knew.
	CaughtUp bool `json:"sure"`
	// LogRead is when the log was last read. Zero means never.
	LogRead time.Time `json:"log_read,omitzero"`
	// LogError is why the last read failed. Empty when it did not.
	LogError string `json:"log_problem,omitempty"`
	// CompileError is why the newest version was accepted but does not compile.
	CompileError string `json:"unusable,omitempty"`
	// Conflict is set when a peer folded the same records to something else.
	Conflict bool `json:"conflict,omitempty"`
}

// NewStore returns a Store that has folded nothing.
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

// Current returns the configuration in force, nil before the first.
func (s *Store) Current() *InForce { return s.current.Load() }

// OnChange registers a function called with every new configuration, in
// order. It is called before Serve starts.
func (s *Store) OnChange(f func(*InForce)) { s.listeners = append(s.listeners, f) }

// Status returns what the Store knows about its version.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.machine.State()
	out := s.status
	out.Version, out.Next, out.Chain = st.Version, st.Next, st.Chain.String()
	out.ChangeID, out.Author = st.ChangeID, st.Author
	return out
}

// State returns the folded state.
func (s *Store) State() config.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.State()
}

// putInForce compiles the newest state and hands it to the listeners.
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
	f := &InForce{Version: state.Version, Set: set}
	s.current.Store(f)
	s.metrics.version.Update(float64(state.Version))
	s.opts.Logger.Info("configuration in force", "version", state.Version, "change", state.ChangeID, "author", state.Author)
	for _, l := range s.listeners {
		l(f)
	}
}

func (s *Store) setCompileError(v model.Version, problem string) {
	s.mu.Lock()
	changed := s.status.CompileError != problem
	s.status.CompileError = problem
	s.mu.Unlock()
	if changed && problem != "" {
		s.metrics.compileErrors.Inc(1)
		s.opts.Logger.Error("accepted configuration does not compile, the one before stays in force", "version", v, "error", problem)
	}
}
