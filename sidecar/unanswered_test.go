package sidecar

import (
	"bufio"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/decision"
)

// lines collects the entries of the decision log. It is safe for concurrent use.
type lines struct {
	mu      sync.Mutex
	entries []map[string]any
	// onWrite, if set, is called before an entry is added.
	onWrite func(kind string)
}

// Write adds one entry, which must be a complete JSON object.
func (l *lines) Write(p []byte) (int, error) {
	var fields map[string]any
	if err := json.Unmarshal(p, &fields); err != nil {
		return 0, err
	}
	if l.onWrite != nil {
		l.onWrite(fields["msg"].(string))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, fields)
	return len(p), nil
}

// ofKind returns the entries of a kind.
func (l *lines) ofKind(k decision.Kind) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.entries), func(f map[string]any) bool { return f["msg"] != string(k) })
}

// joinWithLog is like join, but records the decision log. The daemon runs until the test
// ends or stops it.
func joinWithLog(t *testing.T, s *store, id string, l *lines) *member {
	t.Helper()
	up := newUpstream(t, id)
	o := optionsFor(t, s, up, "a")
	o.Decisions = decision.New(decision.Options{Handler: slog.NewJSONHandler(l, nil)})
	m := start(t, o, s)
	m.up = up
	m.Report(ready(id, 1, 1, "a"))
	return m
}

// kept is a connection of a caller to a daemon.
type kept struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialCallers(t *testing.T, m *member) *kept {
	t.Helper()
	conn, err := net.Dial("tcp", m.opts.Addresses.Callers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &kept{conn: conn, reader: bufio.NewReader(conn)}
}

// send writes a request for /safe/ without a body.
func (k *kept) send(t *testing.T, id string) {
	t.Helper()
	_, err := io.WriteString(k.conn, "GET /safe/ HTTP/1.1\r\nHost: h\r\nT-Id: "+id+"\r\nT-Deadline: 5000\r\n\r\n")
	require.NoError(t, err)
}

// answer reads a complete response.
func (k *kept) answer() (*http.Response, error) {
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// TestHandlerPanicsAreLogged makes a handler for callers panic. The caller only sees that
// the connection is closed.
func TestHandlerPanicsAreLogged(t *testing.T) {
	l := &lines{}
	m := joinWithLog(t, newStore(documentOf(1, "a")), "a1", l)
	m.callers.http.Handler = m.reportPanics("callers", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken") }))
	k := dialCallers(t, m)
	k.send(t, "one")
	_, err := k.answer()
	require.Error(t, err)
	eventually(t, "the log entry", func() bool { return len(l.ofKind(decision.Aborted)) == 1 })
	logged := l.ofKind(decision.Aborted)[0]
	require.Equal(t, "one", logged["request"])
	require.Equal(t, "broken", logged["error"])
	require.Equal(t, "callers", logged["part"])
	require.Contains(t, logged["stack"], "unanswered_test.go")
	require.EqualValues(t, 1, m.scope.Snapshot().Counters()["handlers_panicked+"].Value())
}

// startWithRunningRequest returns a daemon, its log, and a connection with a request that
// runs until the end of the test.
func startWithRunningRequest(t *testing.T) (*member, *lines, *kept) {
	t.Helper()
	l := &lines{}
	m := joinWithLog(t, newStore(documentOf(1, "a")), "a1", l)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	m.up.set(func(w http.ResponseWriter, _ *http.Request) { <-release; answerWell(w, "a1") })
	k := dialCallers(t, m)
	k.send(t, "one")
	eventually(t, "the request runs", func() bool { return len(m.up.requests()) == 1 })
	return m, l, k
}

// TestAbortedRequestsAreLogged closes the servers of a daemon while a request is in
// flight.
func TestAbortedRequestsAreLogged(t *testing.T) {
	m, l, k := startWithRunningRequest(t)
	m.callers.close()
	_, err := k.answer()
	require.Error(t, err)
	eventually(t, "the log entry", func() bool { return len(l.ofKind(decision.Failed)) > 0 })
	failed := l.ofKind(decision.Failed)
	require.Len(t, failed, 1)
	require.Equal(t, "one", failed[0]["request"])
	require.Equal(t, true, failed[0]["cut"])
	require.EqualValues(t, 1, m.scope.Snapshot().Counters()["requests_cut+"].Value())
}

// TestDisconnectingCallersAreNotCountedAsAborted closes the connection from the side of
// the caller.
func TestDisconnectingCallersAreNotCountedAsAborted(t *testing.T) {
	_, l, k := startWithRunningRequest(t)
	require.NoError(t, k.conn.Close())
	eventually(t, "the log entry", func() bool { return len(l.ofKind(decision.Failed)) == 1 })
	require.Equal(t, false, l.ofKind(decision.Failed)[0]["cut"])
}

// TestRequestsAtTheEndOfAStopAreAnswered guards against requests that are forwarded and
// get no response. Such a request arrives on a persistent connection after a stopping
// daemon has found no request in flight and before it closes its connections. To extend
// that time, the test delays the last log entry of the daemon.
func TestRequestsAtTheEndOfAStopAreAnswered(t *testing.T) {
	ending, release := make(chan struct{}), make(chan struct{})
	l := &lines{onWrite: func(kind string) {
		if kind == string(decision.Stopped) {
			close(ending)
			<-release
		}
	}}
	s := newStore(documentOf(1, "b"))
	a, b := joinWithLog(t, s, "a1", l), join(t, s, "b", "b1")
	a.knows(t, "b", 1)
	k := dialCallers(t, a)
	k.send(t, "one")
	resp, err := k.answer()
	require.NoError(t, err)
	require.False(t, resp.Close)
	b.up.set(func(w http.ResponseWriter, r *http.Request) {
		// The request runs until its sender disconnects.
		select {
		case <-r.Context().Done():
		case <-time.After(time.Second):
			answerWell(w, "b1")
		}
	})
	stopped := make(chan struct{})
	go func() { defer close(stopped); a.stop() }()
	<-ending
	_, err = io.WriteString(k.conn, "GET /safe/ HTTP/1.1\r\nHost: h\r\nT-Id: two\r\nT-Deadline: 5000\r\n\r\n")
	if err == nil {
		_, err = k.answer()
	}
	close(release)
	<-stopped
	if len(b.up.requests()) > 1 {
		require.NoError(t, err, "the request was forwarded and got no response")
	}
}

// TestRunningRequestsAreAnsweredAtTheEndOfTheGracePeriod guards against callers that get
// no response because their requests run longer than a stopping daemon.
func TestRunningRequestsAreAnsweredAtTheEndOfTheGracePeriod(t *testing.T) {
	for _, upstreamService := range []string{"a", "b"} {
		t.Run("upstream of service "+upstreamService, func(t *testing.T) {
			s := newStore(documentOf(1, model.ServiceName(upstreamService)))
			a, b := join(t, s, "a", "a1"), join(t, s, "b", "b1")
			a.knows(t, model.ServiceName(upstreamService), 1)
			release := make(chan struct{})
			t.Cleanup(func() { close(release) })
			for _, m := range []*member{a, b} {
				m.up.set(func(http.ResponseWriter, *http.Request) { <-release })
			}
			k := dialCallers(t, a)
			k.send(t, "one")
			eventually(t, "the request runs", func() bool { return len(a.up.requests())+len(b.up.requests()) == 1 })
			a.tunables.Store(&Tunables{Grace: graceMargin})
			go a.stop()
			resp, err := k.answer()
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "the request may have run")
		})
	}
}

// TestRequestsAfterTheEndOfAStopAreRefused sends a request to a daemon that accepts no
// more requests but has not closed its connections yet.
func TestRequestsAfterTheEndOfAStopAreRefused(t *testing.T) {
	m := joinWithLog(t, newStore(documentOf(1, "a")), "a1", &lines{})
	k := dialCallers(t, m)
	m.requests.end()
	k.send(t, "one")
	resp, err := k.answer()
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Empty(t, m.up.requests())
}

// TestEndIdleAdmitsNoFurtherRequests checks that no request is admitted after the check
// that none is in flight.
func TestEndIdleAdmitsNoFurtherRequests(t *testing.T) {
	var h inHand
	require.True(t, h.begin())
	require.False(t, h.endIdle(func() bool { return true }), "one request is in flight")
	require.True(t, h.begin())
	h.done()
	h.done()
	require.False(t, h.endIdle(func() bool { return false }), "the guard is busy")
	require.True(t, h.begin())
	h.done()
	require.True(t, h.endIdle(func() bool { return true }))
	require.False(t, h.begin())
}

// TestStopIdleAdmitsNoFurtherCalls checks that no call is admitted after the check that
// none is waiting or running.
func TestStopIdleAdmitsNoFurtherCalls(t *testing.T) {
	now := model.Instant(time.Hour)
	g := newIdleGuard(&now)
	g.report(ready("b1", 1, 1, "b"), "report")
	_, exit, rejected := g.enqueue(ordinary())
	require.Nil(t, rejected)
	require.NotEmpty(t, exit)
	require.False(t, g.stopIdle(), "one call is running")
	_, _, rejected = g.enqueue(ordinary())
	require.Nil(t, rejected)
	g.queue.Finish()
	g.queue.Finish()
	require.True(t, g.stopIdle())
	_, _, rejected = g.enqueue(ordinary())
	require.Equal(t, outcome.ReasonDraining, rejected.Outcome.Reason)
}

// panickingEdge panics when a request is sent to the upstream.
type panickingEdge struct{ testEdge }

func (panickingEdge) Dress(http.Header, Dressing) { panic("broken") }

// TestPanicEndsOnlyItsRequest guards against a panic outside the HTTP handlers that ends
// the process, and with it all requests in flight.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	for name, entryService := range map[string]model.ServiceName{"local upstream": "b", "upstream of another daemon": "a"} {
		t.Run(name, func(t *testing.T) {
			s := newStore(documentOf(1, "b"))
			l := &lines{}
			o := optionsFor(t, s, newUpstream(t, "b1"), "b")
			o.Edge = panickingEdge{}
			o.Decisions = decision.New(decision.Options{Handler: slog.NewJSONHandler(l, nil)})
			b := start(t, o, s)
			b.Report(ready("b1", 1, 1, "b"))
			member := b
			if entryService == "a" {
				member = join(t, s, "a", "a1")
			}
			member.knows(t, "b", 1)
			status, reason := member.get(t, "/safe/")
			require.Equal(t, http.StatusBadGateway, status, reason)
			status, reason = member.post(t, "/unsafe/")
			require.Equal(t, http.StatusBadGateway, status, reason)
			eventually(t, "the log entries", func() bool { return len(l.ofKind(decision.Aborted)) >= 2 })
			require.Equal(t, attemptPart, l.ofKind(decision.Aborted)[0]["part"])
			require.Equal(t, 0, b.guard.queue.Running(), "slots are released")
		})
	}
}
