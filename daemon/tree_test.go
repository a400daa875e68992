package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/dottereltiller/dottereltiller/core/invariant"
)

// TestMain fails if goroutines are left over after the tests. net/http keeps a connection
// open for half a second after it has rejected a request body. One call of goleak.Find
// retries for less than half a second, so TestMain calls it for up to waitLimit.
func TestMain(m *testing.M) {
	code := m.Run()
	leaked := goleak.Find()
	for deadline := time.Now().Add(waitLimit); leaked != nil && time.Now().Before(deadline); {
		leaked = goleak.Find()
	}
	if leaked != nil {
		fmt.Fprintln(os.Stderr, leaked)
		code = max(code, 1)
	}
	os.Exit(code)
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// flakyComponent is a component that fails a given number of times.
type flakyComponent struct {
	// failingRuns holds one function for each of the first starts, which calls it and
	// returns its result. Later starts run until the context is done.
	failingRuns []func() error
	starts      atomic.Int64
	// running is closed at the first start that does not fail.
	running chan struct{}
}

func (c *flakyComponent) String() string { return "flaky" }

func (c *flakyComponent) Serve(ctx context.Context) error {
	n := int(c.starts.Add(1)) - 1
	if n < len(c.failingRuns) {
		return c.failingRuns[n]()
	}
	close(c.running)
	<-ctx.Done()
	return ctx.Err()
}

// TestFailedComponentIsRestartedAndCounted runs a component that first returns an error, then
// panics and then keeps running. Both failures must be counted.
func TestFailedComponentIsRestartedAndCounted(t *testing.T) {
	c := &flakyComponent{running: make(chan struct{}), failingRuns: []func() error{
		func() error { return errors.New("first") },
		func() error { panic("second") },
	}}
	scope := tally.NewTestScope("", nil)
	tr := newSupervisorTree("test", discardLogger(), scope)
	tr.Add(c)
	ctx, cancel := context.WithCancel(t.Context())
	done := tr.root.ServeBackground(ctx)
	<-c.running
	cancel()
	<-done

	require.EqualValues(t, 3, c.starts.Load())
	require.EqualValues(t, 2, scope.Snapshot().Counters()["restarts+part=flaky"].Value())
	status := tr.status()
	require.Len(t, status, 1)
	require.EqualValues(t, 2, status[0].Restarts)
	require.Contains(t, status[0].LastError, "panic: second")
}

// TestComponentThatViolatesAnInvariantIsNotRestarted runs a component that violates an
// invariant. It must not be started again, and the violation must be reported as fatal with
// the stacks of all goroutines.
func TestComponentThatViolatesAnInvariantIsNotRestarted(t *testing.T) {
	c := &flakyComponent{running: make(chan struct{}), failingRuns: []func() error{
		func() error { invariant.Violated("running at most limit", "%d > %d", 7, 6); return nil },
	}}
	tr := newSupervisorTree("test", discardLogger(), tally.NoopScope)
	tr.Add(c)
	ctx, cancel := context.WithCancel(t.Context())
	done := tr.root.ServeBackground(ctx)
	invariantErr := <-tr.fatalErrs
	cancel()
	<-done

	require.EqualValues(t, 1, c.starts.Load())
	require.EqualError(t, invariantErr, `flaky: broken invariant "running at most limit": 7 > 6`)
	require.Contains(t, invariantErr.Dump(), "tree_test.go")
	require.Contains(t, invariantErr.Dump(), "all goroutines:")
}

// TestHandlerPanicEndsOnlyItsRequest serves requests whose handler panics. Each panic must
// abort its request. Only a panic with an ordinary value must be counted, and only a
// violated invariant must be reported as fatal.
func TestHandlerPanicEndsOnlyItsRequest(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	tr := newSupervisorTree("test", discardLogger(), scope)
	h := tr.recoverPanics("callers", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/panic":
			panic("oops")
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/broken":
			invariant.Violated("a name", "a detail")
		}
	}))
	requireAborted := func(path string) {
		require.PanicsWithValue(t, http.ErrAbortHandler, func() {
			h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil))
		})
	}
	panicCount := func() int64 { return scope.Snapshot().Counters()["handler_panics+part=callers"].Value() }

	requireAborted("/abort")
	require.Zero(t, panicCount())
	requireAborted("/panic")
	require.EqualValues(t, 1, panicCount())
	require.Empty(t, tr.fatalErrs)
	requireAborted("/broken")
	require.EqualValues(t, 1, panicCount())
	require.Equal(t, "a name", (<-tr.fatalErrs).Broken.Name)
}
