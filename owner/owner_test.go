package owner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/claims"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/hop"
	"github.com/dottereltiller/dottereltiller/loopback"
	peerv1 "github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1"
	"github.com/dottereltiller/dottereltiller/recordlog"
	"github.com/dottereltiller/dottereltiller/wire"
)

const (
	testRanges  = 64
	testTimeout = 10 * time.Second
)

// deployment is a number of daemons that share a log. Each is reduced to its
// Service and an HTTP server.
type deployment struct {
	t             *testing.T
	memory        *recordlog.Memory
	log           *recordlog.FaultyLog
	grantDuration time.Duration
	nodes         []*testNode

	mu sync.Mutex
	// executionCountByKey holds the number of executions of each key.
	executionCountByKey map[string]int
	// handler acts as the upstream. Nil means an upstream that counts the execution
	// and responds at once with "done" and the key.
	handler func(c *wire.Call) *wire.Result
}

// testNode is one daemon of a deployment.
type testNode struct {
	*Service
	d      *deployment
	server *httptest.Server
	id     model.DaemonID
	stop   context.CancelFunc
	done   chan struct{}
}

// deploy starts n daemons whose grants last for grantDuration, and waits until every
// daemon knows the owners of all key ranges.
func deploy(t *testing.T, n int, grantDuration time.Duration) *deployment {
	d := &deployment{t: t, memory: &recordlog.Memory{}, grantDuration: grantDuration, executionCountByKey: make(map[string]int)}
	d.log = recordlog.NewFaultyLog(d.memory)
	listeners := make([]net.Listener, n)
	for i := range listeners {
		address, err := loopback.UnusedAddress()
		require.NoError(t, err)
		ln, err := net.Listen("tcp", address)
		require.NoError(t, err)
		listeners[i] = ln
		d.nodes = append(d.nodes, &testNode{d: d, id: model.DaemonID(ln.Addr().String())})
	}
	for i, node := range d.nodes {
		node.start(listeners[i])
	}
	t.Cleanup(func() {
		for _, n := range d.nodes {
			n.kill()
		}
	})
	for _, n := range d.nodes {
		d.waitFor("every range has an owner", n.knowsAllOwners)
	}
	return d
}

// knowsAllOwners reports whether every range has an owner in the node's ledger.
func (n *testNode) knowsAllOwners() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for r := range claims.Range(testRanges) {
		if _, o := n.ledger.Frontier(r); o.Incarnation == 0 {
			return false
		}
	}
	return true
}

// start starts a new incarnation of the node.
func (n *testNode) start(ln net.Listener) {
	n.Service = New(Options{
		Self:             n.id,
		Log:              n.d.log,
		Execute:          n.d.execute,
		Candidates:       func() []model.DaemonID { return n.d.ids() },
		Client:           hop.NewClient(hop.Options{}),
		Messenger:        n.d,
		GrantDuration:    n.d.grantDuration,
		PollInterval:     10 * time.Millisecond,
		Ranges:           testRanges,
		MaxBodyBytes:     1 << 10,
		MaxResponseBytes: 1 << 10,
	})
	n.retryTimeouts = retryTimeouts{ownerUnreachable: 300 * time.Millisecond, unassigned: 200 * time.Millisecond}
	n.server = httptest.NewUnstartedServer(n.Service)
	_ = n.server.Listener.Close()
	n.server.Listener = ln
	n.server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	n.stop, n.done = cancel, make(chan struct{})
	go func() {
		defer close(n.done)
		_ = n.Serve(ctx)
	}()
}

// kill stops the current incarnation of the node without a drain.
func (n *testNode) kill() {
	n.stop()
	<-n.done
	n.server.CloseClientConnections()
	n.server.Close()
	n.opts.Client.CloseIdle()
}

// restart starts a new incarnation of the node at the same address.
func (n *testNode) restart() {
	ln, err := net.Listen("tcp", string(n.id))
	require.NoError(n.d.t, err)
	n.start(ln)
}

func (d *deployment) ids() []model.DaemonID {
	ids := make([]model.DaemonID, 0, len(d.nodes))
	for _, n := range d.nodes {
		ids = append(ids, n.id)
	}
	return ids
}

// HandOver implements Messenger.
func (d *deployment) HandOver(ctx context.Context, to model.DaemonID, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	for _, n := range d.nodes {
		if n.id == to && n.server != nil {
			return n.Service.HandOver(ctx, req)
		}
	}
	return nil, errors.New("no such daemon")
}

// execute implements Options.Execute by a call of d.handler.
func (d *deployment) execute(_ context.Context, c *wire.Call) *wire.Result {
	d.mu.Lock()
	handler := d.handler
	d.mu.Unlock()
	if handler == nil {
		d.countExecution(c)
		return textResult("done " + c.Key)
	}
	return handler(c)
}

// countExecution counts an execution of the key of a call.
func (d *deployment) countExecution(c *wire.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.executionCountByKey[c.Key]++
}

func (d *deployment) executionCount(k claims.Key) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.executionCountByKey[k.String()]
}

func (d *deployment) setHandler(f func(c *wire.Call) *wire.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handler = f
}

func (d *deployment) waitFor(what string, cond func() bool) {
	d.t.Helper()
	require.Eventually(d.t, cond, testTimeout, 2*time.Millisecond, what)
}

func textResult(s string) *wire.Result {
	return &wire.Result{Outcome: outcome.ResponseComplete(), Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(s)), ContentLength: int64(len(s))}
}

// submitResult is the result of a submission as the caller sees it.
type submitResult struct {
	outcome  outcome.Outcome
	body     string
	replayed bool
	err      error
}

// submit submits a request with a key and a body through the node, with a timeout, and
// reads the whole response.
func (n *testNode) submit(key claims.Key, caller model.CallerName, body string, timeout time.Duration) submitResult {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c := &wire.Call{
		Method: http.MethodPost, Target: "/release", Header: http.Header{}, Service: "returdesk",
		Caller: caller, Group: "sorters", Key: key.String(), Timeout: timeout,
	}
	res := n.Submit(ctx, c, []byte(body))
	data, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return submitResult{res.Outcome, string(data), res.Header.Get(wire.HeaderReplayed) == "true", err}
}

// keyOwnedBy returns a new key whose owner is the given node.
func (d *deployment) keyOwnedBy(owner *testNode) claims.Key {
	d.t.Helper()
	for range 10_000 {
		k, live := d.nodes[0].NewKey()
		if interval, _ := owner.lookup(k); live && interval.Owner == owner.self {
			return k
		}
	}
	require.Fail(d.t, "no key found")
	return claims.Key{}
}

func TestDuplicateSubmissionsThroughAllDaemonsRunOnce(t *testing.T) {
	d := deploy(t, 4, time.Minute)
	for range 20 {
		key, live := d.nodes[0].NewKey()
		require.True(t, live)
		results := make([]submitResult, 12)
		var wg sync.WaitGroup
		for i := range results {
			wg.Go(func() { results[i] = d.nodes[i%4].submit(key, "sorter-1", "x", testTimeout) })
		}
		wg.Wait()
		replayed := 0
		for _, r := range results {
			require.Equal(t, outcome.ResponseComplete(), r.outcome)
			require.Equal(t, "done "+key.String(), r.body)
			if r.replayed {
				replayed++
			}
		}
		require.Equal(t, 1, d.executionCount(key))
		require.Equal(t, len(results)-1, replayed)
	}
}

func TestKeyIsBoundToCallerAndRequest(t *testing.T) {
	d := deploy(t, 2, time.Minute)
	key := d.keyOwnedBy(d.nodes[1])
	require.Equal(t, outcome.Answered, d.nodes[0].submit(key, "a", "pay 1", testTimeout).outcome.Kind)
	require.Equal(t, outcome.UnknownBecause(outcome.ReasonKeyMismatch), d.nodes[0].submit(key, "a", "pay 2", testTimeout).outcome)
	otherCallerResult := d.nodes[0].submit(key, "b", "pay 1", testTimeout)
	require.Equal(t, outcome.Answered, otherCallerResult.outcome.Kind)
	require.False(t, otherCallerResult.replayed, "the same key of another caller is a different key")
}

func TestRetryDuringFirstExecution(t *testing.T) {
	d := deploy(t, 2, time.Minute)
	finishExecution := make(chan struct{})
	d.setHandler(func(c *wire.Call) *wire.Result {
		d.countExecution(c)
		<-finishExecution
		return textResult("late")
	})
	key := d.keyOwnedBy(d.nodes[1])
	firstResult := make(chan submitResult, 1)
	go func() { firstResult <- d.nodes[0].submit(key, "", "x", testTimeout) }()
	d.waitFor("the execution has started", func() bool { return d.executionCount(key) == 1 })
	r := d.nodes[0].submit(key, "", "x", 100*time.Millisecond)
	require.Equal(t, outcome.Unknown, r.outcome.Kind)
	require.Contains(t, []outcome.Reason{outcome.ReasonKeyInProgress, outcome.ReasonDeadline}, r.outcome.Reason)
	require.Positive(t, r.outcome.RetryAfter)
	close(finishExecution)
	require.Equal(t, "late", (<-firstResult).body)
	require.Equal(t, "late", d.nodes[0].submit(key, "", "x", testTimeout).body)
	require.Equal(t, 1, d.executionCount(key))
}

func TestExecutionContinuesAfterCallerTimeout(t *testing.T) {
	d := deploy(t, 2, time.Minute)
	finishExecution := make(chan struct{})
	d.setHandler(func(c *wire.Call) *wire.Result {
		d.countExecution(c)
		<-finishExecution
		return textResult("kept")
	})
	key := d.keyOwnedBy(d.nodes[1])
	r := d.nodes[0].submit(key, "", "x", 50*time.Millisecond)
	require.Equal(t, outcome.Unknown, r.outcome.Kind)
	close(finishExecution)
	require.Equal(t, "kept", d.nodes[1].submit(key, "", "x", testTimeout).body)
	require.Equal(t, 1, d.executionCount(key))
}

func TestRetryAfterEachOutcome(t *testing.T) {
	d := deploy(t, 2, time.Minute)
	for name, tc := range map[string]struct {
		firstResult    func() *wire.Result
		wantFirst      outcome.Outcome
		wantSecond     outcome.Outcome
		wantExecutions int
	}{
		"a request that was not run can be retried": {
			firstResult: func() *wire.Result { return wire.NoResponse(outcome.NotRunBecause(outcome.ReasonDraining)) },
			wantFirst:   outcome.NotRunBecause(outcome.ReasonDraining), wantSecond: outcome.ResponseComplete(), wantExecutions: 2,
		},
		"an unknown outcome stays unknown": {
			firstResult: func() *wire.Result { return wire.NoResponse(outcome.UnknownBecause(outcome.ReasonConnectionLost)) },
			wantFirst:   outcome.UnknownBecause(outcome.ReasonConnectionLost), wantSecond: outcome.UnknownBecause(outcome.ReasonKeyOutcome), wantExecutions: 1,
		},
		"a large response is not retained": {
			firstResult: func() *wire.Result { return textResult(strings.Repeat("x", 4<<10)) },
			wantFirst:   outcome.ResponseComplete(), wantSecond: outcome.UnknownBecause(outcome.ReasonKeyAnswerGone), wantExecutions: 1,
		},
		"a truncated response": {
			firstResult: func() *wire.Result {
				result := textResult("")
				result.Body, result.ContentLength = io.NopCloser(io.MultiReader(strings.NewReader("half"), failingReader{})), 8
				return result
			},
			wantFirst: outcome.UnknownBecause(outcome.ReasonTruncated), wantSecond: outcome.UnknownBecause(outcome.ReasonKeyOutcome), wantExecutions: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var once sync.Once
			d.setHandler(func(c *wire.Call) *wire.Result {
				d.countExecution(c)
				result := textResult("second")
				once.Do(func() { result = tc.firstResult() })
				return result
			})
			key := d.keyOwnedBy(d.nodes[1])
			r := d.nodes[0].submit(key, "", "x", testTimeout)
			require.NoError(t, r.err)
			require.Equal(t, tc.wantFirst, r.outcome)
			require.Equal(t, tc.wantSecond, d.nodes[1].submit(key, "", "x", testTimeout).outcome)
			require.Equal(t, tc.wantExecutions, d.executionCount(key))
		})
	}
}

// failingReader fails every read.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("connection closed") }

func TestTruncatedLargeResponseReturnsError(t *testing.T) {
	d := deploy(t, 2, time.Minute)
	d.setHandler(func(*wire.Call) *wire.Result {
		result := textResult("")
		result.Body = io.NopCloser(io.MultiReader(bytes.NewReader(make([]byte, 100<<10)), failingReader{}))
		result.ContentLength = 200 << 10
		return result
	})
	for _, node := range d.nodes {
		key := d.keyOwnedBy(d.nodes[1])
		require.Error(t, node.submit(key, "", "x", testTimeout).err)
		require.Equal(t, outcome.UnknownBecause(outcome.ReasonKeyOutcome), node.submit(key, "", "x", testTimeout).outcome)
	}
}

func TestSubmissionsThatNeverRun(t *testing.T) {
	d := deploy(t, 2, time.Minute)
	now := claims.Stamp(time.Now().UnixMilli())
	for name, tc := range map[string]struct {
		timestamp claims.Stamp
		body      string
		want      outcome.Outcome
	}{
		"too old":         {now - claims.Stamp(DefaultRetention.Milliseconds()) - 60_000, "x", outcome.UnknownBecause(outcome.ReasonKeyExpired)},
		"from the future": {now + 3_600_000, "x", outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.ReasonKeyNotOwned, RetryAfter: retryAfter}},
		"body too large":  {now, strings.Repeat("x", 2<<10), outcome.NotRunBecause(outcome.ReasonTooLarge)},
	} {
		t.Run(name, func(t *testing.T) {
			key := claims.NewKey(tc.timestamp, [10]byte{9: 1})
			require.Equal(t, tc.want, d.nodes[0].submit(key, "", tc.body, testTimeout).outcome)
			require.Zero(t, d.executionCount(key))
		})
	}
}
