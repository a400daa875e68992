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

// component is a long-running component of the daemon.
type component interface {
	// Serve runs until the context is done. If it returns earlier, the component has
	// failed and is restarted. A component that returns suture.ErrDoNotRestart has
	// not failed and is not restarted.
	Serve(ctx context.Context) error
	// String returns the component's name.
	String() string
}

const (
	// restartThreshold is the number of recent failures up to which a component is
	// restarted at once.
	restartThreshold = 3
	// restartBackoff is the delay of a restart after more than restartThreshold recent
	// failures.
	restartBackoff = 2 * time.Second
	// restartDecay is the half-life of the number of recent failures.
	restartDecay = 10 * time.Second
	// stopTimeout is how long a supervisor waits for its component to stop.
	stopTimeout = 10 * time.Second
)

// InvariantError is returned by Serve when the daemon stopped because an invariant was
// violated.
type InvariantError struct {
	// Broken names and describes the violated invariant.
	Broken *invariant.Broken
	// Component is the name of the component that violated the invariant.
	Component string
	// Stack is the stack of the goroutine that detected the violation.
	Stack []byte
}

// Error returns the component and the invariant on one line.
func (e *InvariantError) Error() string { return e.Component + ": " + e.Broken.Error() }

// Unwrap returns e.Broken.
func (e *InvariantError) Unwrap() error { return e.Broken }

// ExitCode returns the exit code for a violated invariant.
func (e *InvariantError) ExitCode() int { return exitcode.Invariant }

// Dump returns the error, the stack of the goroutine that detected the violation, and
// the stacks of all goroutines.
func (e *InvariantError) Dump() string {
	const maxStackBytes = 1 << 20
	allStacks := make([]byte, maxStackBytes)
	allStacks = allStacks[:runtime.Stack(allStacks, true)]
	return fmt.Sprintf("%s\n\n%s\nall goroutines:\n%s", e.Error(), e.Stack, allStacks)
}

// supervisorTree supervises the components of a daemon. Each component has its own
// supervisor below the root, so that the backoff of one component does not delay the
// restarts of others.
type supervisorTree struct {
	root   *suture.Supervisor
	logger *slog.Logger
	scope  tally.Scope
	// fatalErrs holds the first error passed to reportFatal.
	fatalErrs chan *InvariantError

	mu         sync.Mutex
	components []*supervisedComponent
}

func newSupervisorTree(name string, logger *slog.Logger, scope tally.Scope) *supervisorTree {
	t := &supervisorTree{logger: logger, scope: scope, fatalErrs: make(chan *InvariantError, 1)}
	t.root = suture.New(name, suture.Spec{Timeout: stopTimeout, EventHook: t.logEvent})
	return t
}

// Add adds a component to the tree.
func (t *supervisorTree) Add(c component) {
	s := &supervisedComponent{component: c, tree: t, restartCounter: t.scope.Tagged(map[string]string{"part": c.String()}).Counter("restarts")}
	t.mu.Lock()
	t.components = append(t.components, s)
	t.mu.Unlock()
	sup := suture.New(c.String(), suture.Spec{
		FailureThreshold: restartThreshold,
		FailureDecay:     restartDecay.Seconds(),
		FailureBackoff:   restartBackoff,
		Timeout:          stopTimeout,
	})
	sup.Add(s)
	t.root.Add(sup)
}

// logEvent logs the events that supervisors report, except failures of components,
// which supervisedComponent logs.
func (t *supervisorTree) logEvent(e suture.Event) {
	switch e := e.(type) {
	case suture.EventStopTimeout:
		t.logger.Warn("component did not stop in time", "part", e.SupervisorName)
	case suture.EventBackoff:
		t.logger.Warn("component in backoff", "part", e.SupervisorName)
	case suture.EventResume:
		t.logger.Info("component resumed", "part", e.SupervisorName)
	}
}

// reportFatal makes Daemon.Serve return the error, which ends the process. Only the
// first error is kept.
func (t *supervisorTree) reportFatal(e *InvariantError) {
	select {
	case t.fatalErrs <- e:
	default:
	}
}

// ComponentStatus is the state of one component in the response of /status.
type ComponentStatus struct {
	Name     string `json:"name"`
	Restarts int64  `json:"restarts"`
	// LastError is the first line of the last failure's error message. It is empty
	// if there was no failure.
	LastError string `json:"last_error,omitempty"`
}

// status returns the state of all components, sorted by name.
func (t *supervisorTree) status() []ComponentStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]ComponentStatus, 0, len(t.components))
	for _, s := range t.components {
		status := ComponentStatus{Name: s.String(), Restarts: s.failures.Load()}
		if err := s.lastError.Load(); err != nil {
			status.LastError = *err
		}
		out = append(out, status)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// supervisedComponent wraps a component. It counts and logs the component's failures
// and converts its panics into errors.
type supervisedComponent struct {
	component component
	tree      *supervisorTree
	// restartCounter is the metric that is incremented together with failures.
	restartCounter tally.Counter

	// failures counts the failures. Since the supervisor restarts the component after
	// each failure, /status reports this count as the number of restarts.
	failures atomic.Int64
	// lastError is the first line of the last failure's error message.
	lastError atomic.Pointer[string]
}

// String returns the component's name.
func (s *supervisedComponent) String() string { return s.component.String() }

// Serve runs the component once. If the component violates an invariant, Serve passes the
// error to reportFatal. It then blocks until the context is done, so that the component
// is not restarted.
func (s *supervisedComponent) Serve(ctx context.Context) error {
	err := s.serveRecoveringPanics(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, suture.ErrDoNotRestart) {
		return err
	}
	var invariantErr *InvariantError
	if errors.As(err, &invariantErr) {
		s.tree.reportFatal(invariantErr)
		<-ctx.Done()
		return ctx.Err()
	}
	s.recordFailure(err)
	return err
}

// recordFailure logs and counts a failure of the component and stores the first line of its
// error message. err is nil if the component returned without an error.
func (s *supervisedComponent) recordFailure(err error) {
	message := "returned without an error"
	if err != nil {
		message = err.Error()
	}
	line, _, _ := strings.Cut(message, "\n")
	s.lastError.Store(&line)
	s.failures.Add(1)
	s.restartCounter.Inc(1)
	s.tree.logger.Error("component failed", "part", s.String(), "error", message)
}

// serveRecoveringPanics runs the component once and returns a panic as an error.
func (s *supervisedComponent) serveRecoveringPanics(ctx context.Context) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = panicError(s.String(), v)
		}
	}()
	return s.component.Serve(ctx)
}

// panicError returns an error for a recovered panic value. For a violated invariant, the
// error is an *InvariantError. In both cases the error contains the current stack.
func panicError(component string, v any) error {
	stack := debug.Stack()
	if b, ok := v.(*invariant.Broken); ok {
		return &InvariantError{Broken: b, Component: component, Stack: stack}
	}
	return fmt.Errorf("%s: panic: %v\n%s", component, v, stack)
}

// recoverPanics returns a handler that calls next. component names the handler in metrics
// and logs. A panic of next aborts only the request and is counted and logged. There are two
// exceptions:
//   - A panic with http.ErrAbortHandler aborts the request, but is neither counted nor logged.
//   - A panic that reports a violated invariant stops the daemon.
func (t *supervisorTree) recoverPanics(component string, next http.Handler) http.Handler {
	panics := t.scope.Tagged(map[string]string{"part": component}).Counter("handler_panics")
	return inbound.ReportPanics(next, func(_ *http.Request, v any) { t.handlePanic(component, panics, v) })
}

// handlePanic counts and logs a panic value of the handler of the given component. If the
// value reports a violated invariant, handlePanic makes the daemon stop instead.
func (t *supervisorTree) handlePanic(component string, panics tally.Counter, v any) {
	err := panicError(component, v)
	var invariantErr *InvariantError
	if errors.As(err, &invariantErr) {
		t.reportFatal(invariantErr)
		return
	}
	panics.Inc(1)
	t.logger.Error("handler panicked", "part", component, "error", err.Error())
}
