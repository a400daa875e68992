package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"runtime"
	"runtime/debug"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/invariant"
	"github.com/dottereltiller/dottereltiller/exitcode"
	"github.com/dottereltiller/dottereltiller/inbound"
)

// part is a long-lived part of the daemon. Serve runs until the context ends;
// an earlier return is a failure and the part is started again. String names
// it.
type part interface {
	Serve(ctx context.Context) error
	String() string
}

const (
	// restartThreshold is how many failures in quick succession are met by an
	// immediate restart; further ones wait for restartBackoff.
	restartThreshold = 3
	restartBackoff   = 2 * time.Second
	restartDecay     = 10 * time.Second
	stopTimeout      = 10 * time.Second
)

// InvariantError tells that the daemon stopped because an invariant broke.
type InvariantError struct {
	Broken *invariant.Broken
	// Part is where it broke.
	Part string
	// Stack is the stack of the goroutine that found it.
	Stack []byte
}

// Error names the part and the invariant.
func (e *InvariantError) Error() string { return e.Part + ": " + e.Broken.Error() }

// Unwrap returns the broken invariant.
func (e *InvariantError) Unwrap() error { return e.Broken }

// ExitCode makes the process exit as for a broken invariant.
func (e *InvariantError) ExitCode() int { return exitcode.Invariant }

// Dump returns the error, the stack that found it and the stacks of all
// goroutines.
func (e *InvariantError) Dump() string {
	const maxStacks = 1 << 20
	all := make([]byte, maxStacks)
	all = all[:runtime.Stack(all, true)]
	return fmt.Sprintf("%s\n\n%s\nall goroutines:\n%s", e.Error(), e.Stack, all)
}

// tree is the supervisor tree. Each part has a supervisor of its own, so that
// the backoff of one does not hold up others.
type tree struct {
	root   *suture.Supervisor
	logger *slog.Logger
	scope  tally.Scope
	fatal  chan *InvariantError

	mu    sync.Mutex
	parts []*supervised
}

func newTree(name string, logger *slog.Logger, scope tally.Scope) *tree {
	t := &tree{logger: logger, scope: scope, fatal: make(chan *InvariantError, 1)}
	t.root = suture.New(name, suture.Spec{Timeout: stopTimeout, EventHook: t.event})
	return t
}

// Add supervises a part.
func (t *tree) Add(p part) {
	s := &supervised{part: p, tree: t, restarts: t.scope.Tagged(map[string]string{"part": p.String()}).Counter("restarts")}
	t.mu.Lock()
	t.parts = append(t.parts, s)
	t.mu.Unlock()
	sup := suture.New(p.String(), suture.Spec{
		FailureThreshold: restartThreshold,
		FailureDecay:     restartDecay.Seconds(),
		FailureBackoff:   restartBackoff,
		Timeout:          stopTimeout,
	})
	sup.Add(s)
	t.root.Add(sup)
}

// event logs what supervisors report besides failures, which supervised logs.
func (t *tree) event(e suture.Event) {
	switch e := e.(type) {
	case suture.EventStopTimeout:
		t.logger.Warn("part did not stop in time", "part", e.SupervisorName)
	case suture.EventBackoff:
		t.logger.Warn("part in backoff", "part", e.SupervisorName)
	case suture.EventResume:
		t.logger.Info("part resumed", "part", e.SupervisorName)
	}
}

// stop ends the process for a broken invariant. The first one counts.
func (t *tree) stop(e *InvariantError) {
	select {
	case t.fatal <- e:
	default:
	}
}

// PartStatus is one part as the status endpoint shows it.
type PartStatus struct {
	Name     string `json:"name"`
	Restarts int64  `json:"restarts"`
	// LastError is why it failed last. Empty when it never did.
	LastError string `json:"last_error,omitempty"`
}

// status returns the parts, ordered by name.
func (t *tree) status() []PartStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]PartStatus, 0, len(t.parts))
	for _, s := range t.parts {
		p := PartStatus{Name: s.String(), Restarts: s.failures.Load()}
		if err := s.lastError.Load(); err != nil {
			p.LastError = *err
		}
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// supervised counts the failures of a part and turns its panics into errors.
type supervised struct {
	part     part
	tree     *tree
	restarts tally.Counter

	failures  atomic.Int64
	lastError atomic.Pointer[string]
}

// String names the part.
func (s *supervised) String() string { return s.part.String() }

// Serve runs the part once.
func (s *supervised) Serve(ctx context.Context) error {
	err := s.run(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, suture.ErrDoNotRestart) {
		return err
	}
	var broken *InvariantError
	if errors.As(err, &broken) {
		s.tree.stop(broken)
		<-ctx.Done()
		return ctx.Err()
	}
	s.failed(err)
	return err
}

func (s *supervised) failed(err error) {
	message := "returned without an error"
	if err != nil {
		message = err.Error()
	}
	line, _, _ := strings.Cut(message, "\n")
	s.lastError.Store(&line)
	s.failures.Add(1)
	s.restarts.Inc(1)
	s.tree.logger.Error("part failed", "part", s.String(), "error", message)
}

func (s *supervised) run(ctx context.Context) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = panicError(s.String(), v)
		}
	}()
	return s.part.Serve(ctx)
}

// panicError turns a recovered value into an error.
func panicError(part string, v any) error {
	stack := debug.Stack()
	if b, ok := v.(*invariant.Broken); ok {
		return &InvariantError{Broken: b, Part: part, Stack: stack}
	}
	return fmt.Errorf("%s: panic: %v\n%s", part, v, stack)
}

// protect keeps a panic of a handler to its own request, except for a broken
// invariant, which stops the process.
func (t *tree) protect(name string, next http.Handler) http.Handler {
	panics := t.scope.Tagged(map[string]string{"part": name}).Counter("handler_panics")
	return inbound.ReportPanics(next, func(_ *http.Request, v any) { t.handlerFailed(name, panics, v) })
}

func (t *tree) handlerFailed(name string, panics tally.Counter, v any) {
	err := panicError(name, v)
	var broken *InvariantError
	if errors.As(err, &broken) {
		t.stop(broken)
		return
	}
	panics.Inc(1)
	t.logger.Error("handler panicked", "part", name, "error", err.Error())
}
