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

// lines collects decision lines. It is safe for concurrent use.
type lines struct {
	mu      sync.Mutex
	entries []map[string]any
	// written, if set, is called before a line is taken.
	onWrite func(kind string)
}

// Write implements io.Writer for one line.
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

// of returns the lines of a kind.
func (l *lines) ofKind(k decision.Kind) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.entries), func(f map[string]any) bool { return f["msg"] != string(k) })
}

// joinWithLog is join with a log of decisions. The daemon runs until the end of the test
// or its stop.
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

// kept is a connection of a caller.
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

// answer reads a whole answer.
func (k *kept) answer() (*http.Response, error) {
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// TestPanicsOfHandlersAreLogged has a handler of callers panic: the caller sees only that
// the connection is closed.
func TestHandlerPanicsAreLogged(t *testing.T) {
	l := &lines{}
	m := joinWithLog(t, newStore(documentOf(1, "a")), "a1", l)
	m.callers.http.Handler = m.reportPanics("callers", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken") }))
	k := dialCallers(t, m)
	k.send(t, "one")
	_, err := k.answer()
	require.Error(t, err)
	eventually(t, "the line", func() bool { return len(l.ofKind(decision.Aborted)) == 1 })
	line := l.ofKind(decision.Aborted)[0]
	require.Equal(t, "one", line["request"])
	require.Equal(t, "broken", line["error"])
	require.Equal(t, "callers", line["part"])
	require.Contains(t, line["stack"], "unanswered_test.go")
	require.EqualValues(t, 1, m.scope.Snapshot().Counters()["handlers_panicked+"].Value())
}

// withRequestInHand returns a daemon, its log, and a connection whose request runs until the
// end of the test.
func startWithRunningRequest(t *testing.T) (*member, *lines, *kept) {
	t.Helper()
	l := &lines{}
	m := joinWithLog(t, newStore(documentOf(1, "a")), "a1", l)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	m.up.set(func(w http.ResponseWriter, _ *http.Request) { <-release; answerWell(w, "a1") })
	k := dialCallers(t, m)
	k.send(t, "one")
	eventually(t, "it runs", func() bool { return len(m.up.requests()) == 1 })
	return m, l, k
}

// TestRequestsThatAreCutAreLogged ends the servers of a daemon while it has a request in
// hand.
func TestAbortedRequestsAreLogged(t *testing.T) {
	m, l, k := startWithRunningRequest(t)
	m.callers.close()
	_, err := k.answer()
	require.Error(t, err)
	eventually(t, "the line", func() bool { return len(l.ofKind(decision.Failed)) > 0 })
	cut := l.ofKind(decision.Failed)
	require.Len(t, cut, 1)
	require.Equal(t, "one", cut[0]["request"])
	require.Equal(t, true, cut[0]["cut"])
	require.EqualValues(t, 1, m.scope.Snapshot().Counters()["requests_cut+"].Value())
}

// TestCallersThatLeaveAreNotCut has the caller close its connection.
func TestDisconnectingCallersAreNotCountedAsAborted(t *testing.T) {
	_, l, k := startWithRunningRequest(t)
	require.NoError(t, k.conn.Close())
	eventually(t, "the line", func() bool { return len(l.ofKind(decision.Failed)) == 1 })
	require.Equal(t, false, l.ofKind(decision.Failed)[0]["cut"])
}

// TestRequestsAtTheEndOfAStopAreNotCut guards against requests on kept connections that are
// passed on and get no answer: one comes after a stopping daemon found nothing in hand and
// before it closes its connections, here while its last line waits for a slow reader.
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
		// It runs until its sender has gone.
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
		require.NoError(t, err, "it was passed on and cut")
	}
}

// TestRequestsInHandAtTheEndOfTheGraceTimeAreAnswered guards against callers that get no
// answer as their requests run longer than a stopping daemon may.
func TestRunningRequestsAreAnsweredAtTheEndOfTheGracePeriod(t *testing.T) {
	for _, own := range []string{"a", "b"} {
		t.Run("upstream of "+own, func(t *testing.T) {
			s := newStore(documentOf(1, model.ServiceName(own)))
			a, b := join(t, s, "a", "a1"), join(t, s, "b", "b1")
			a.knows(t, model.ServiceName(own), 1)
			release := make(chan struct{})
			t.Cleanup(func() { close(release) })
			for _, m := range []*member{a, b} {
				m.up.set(func(http.ResponseWriter, *http.Request) { <-release })
			}
			k := dialCallers(t, a)
			k.send(t, "one")
			eventually(t, "it runs", func() bool { return len(a.up.requests())+len(b.up.requests()) == 1 })
			a.tunables.Store(&Tunables{Grace: graceMargin})
			go a.stop()
			resp, err := k.answer()
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "it may have run")
		})
	}
}

// TestRequestsAfterTheEndOfAStopAreRefused has a request come when a stopping daemon takes
// nothing more and has not closed its connections yet.
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

// TestNothingIsTakenOnceAStopFoundNothingInHand lets no request in between the check and the
// end.
func TestEndIdleAdmitsNoFurtherRequests(t *testing.T) {
	var h inHand
	require.True(t, h.begin())
	require.False(t, h.endIdle(func() bool { return true }), "one is in hand")
	require.True(t, h.begin())
	h.done()
	h.done()
	require.False(t, h.endIdle(func() bool { return false }), "the guard is busy")
	require.True(t, h.begin())
	h.done()
	require.True(t, h.endIdle(func() bool { return true }))
	require.False(t, h.begin())
}

// TestStoppedGuardsTakeNothing lets no call in between the check and the end.
func TestStopIdleAdmitsNoFurtherCalls(t *testing.T) {
	now := model.Instant(time.Hour)
	g := newIdleGuard(&now)
	g.report(ready("b1", 1, 1, "b"), "report")
	_, exits, refused := g.enqueue(ordinary())
	require.Nil(t, refused)
	require.NotEmpty(t, exits)
	require.False(t, g.stopIdle(), "one runs")
	_, _, refused = g.enqueue(ordinary())
	require.Nil(t, refused)
	g.queue.Finish()
	g.queue.Finish()
	require.True(t, g.stopIdle())
	_, _, refused = g.enqueue(ordinary())
	require.Equal(t, outcome.ReasonDraining, refused.Outcome.Reason)
}

// panickingEdge panics as a request is handed to the upstream.
type panickingEdge struct{ testEdge }

func (panickingEdge) Dress(http.Header, Dressing) { panic("broken") }

// TestPanicCostsOneRequest guards against a process that ends, with every request in hand,
// as one request makes code beside the handlers panic.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	for name, entryService := range map[string]model.ServiceName{"own upstream": "b", "upstream of another daemon": "a"} {
		t.Run(name, func(t *testing.T) {
			s := newStore(documentOf(1, "b"))
			l := &lines{}
			o := optionsFor(t, s, newUpstream(t, "b1"), "b")
			o.Edge = panickingEdge{}
			o.Decisions = decision.New(decision.Options{Handler: slog.NewJSONHandler(l, nil)})
			b := start(t, o, s)
			b.Report(ready("b1", 1, 1, "b"))
			at := b
			if entryService == "a" {
				at = join(t, s, "a", "a1")
			}
			at.knows(t, "b", 1)
			status, reason := at.get(t, "/safe/")
			require.Equal(t, http.StatusBadGateway, status, reason)
			status, reason = at.post(t, "/unsafe/")
			require.Equal(t, http.StatusBadGateway, status, reason)
			eventually(t, "the lines", func() bool { return len(l.ofKind(decision.Aborted)) >= 2 })
			require.Equal(t, attemptPart, l.ofKind(decision.Aborted)[0]["part"])
			require.Equal(t, 0, b.guard.queue.Running(), "slots are given back")
		})
	}
}
