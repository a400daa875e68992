package sidecar

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/route"
)

// TestAnswersBeingWrittenAreInHand guards against a request that was passed on and whose
// connection a stopping daemon closes while its answer is still in net/http's buffer.
func TestBufferedResponsesAreInFlight(t *testing.T) {
	m := joinWithLog(t, newStore(documentOf(1, "a")), "a1", &lines{})
	next, closed := m.callers.http.Handler, make(chan bool, 1)
	m.callers.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		// What is small is written only after the handler.
		closed <- m.closeIfIdle()
	})
	caller := dialCallers(t, m)
	caller.send(t, "one")
	_, err := caller.answer()
	require.NoError(t, err)
	require.Len(t, m.up.requests(), 1)
	require.False(t, <-closed, "its answer is not written yet")
}

// TestPeerAnswersBeingWrittenAreInHand guards against another daemon that loses the answer to
// a call which has run: the connection is closed between the end of the run and the answer.
func TestBufferedPeerResponsesAreInFlight(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b := join(t, s, "a", "a1"), join(t, s, "b", "b1")
	a.knows(t, "b", 1)
	next, closed := b.peerServer.http.Handler, make(chan bool, 1)
	b.peerServer.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if r.Header.Get(callHeader) != "" {
			closed <- b.closeIfIdle()
		}
	})
	status, _ := a.get(t, "/unsafe/")
	require.Equal(t, http.StatusOK, status)
	require.False(t, <-closed, "the answer is not written yet")
}

// TestNothingIsPassedOnOnceRequestsAreGivenUp guards against a request that starts at an
// upstream after the daemon has given up what is in hand, only to be cut at once.
func TestNoRequestIsForwardedAfterAbort(t *testing.T) {
	m := joinWithLog(t, newStore(documentOf(1, "a")), "a1", &lines{})
	caller := dialCallers(t, m)
	_, err := io.WriteString(caller.conn, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nT-Id: one\r\nT-Deadline: 5000\r\nContent-Length: 2\r\n\r\nx")
	require.NoError(t, err)
	eventually(t, "it is in hand", func() bool { return m.requests.count() == 1 })
	m.requests.end()
	original := m.ending
	defer func() { m.ending = original }()
	m.ending = make(chan struct{})
	close(m.ending)
	_, err = io.WriteString(caller.conn, "y")
	require.NoError(t, err)
	resp, err := caller.answer()
	require.NoError(t, err)
	require.Empty(t, m.up.requests())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "it has not run")
}

// TestAnswersAtHandAreDeliveredAtTheEnd guards against an upstream's answer that is replaced
// by a failure, as it came while the daemon gave up what is in hand.
func TestReceivedResponsesAreDeliveredDuringAbort(t *testing.T) {
	m := joinWithLog(t, newStore(documentOf(1, "a")), "a1", &lines{})
	s := m.entry.service("a")
	table := m.config.table()
	eventually(t, "the configuration", func() bool { table = m.config.table(); return table != nil })
	rt, ok := table.Lookup("h", "/safe/")
	require.True(t, ok)
	original := m.ending
	defer func() { m.ending = original }()
	m.ending = make(chan struct{})
	close(m.ending)
	for range 64 {
		ctx, cancel := context.WithCancel(t.Context())
		now := m.now()
		r := &race{
			e: m.entry, s: s, done: make(chan ended, 1), tried: make(map[string]bool),
			req: &request{route: rt, service: "a", ctx: ctx, began: now, deadline: now.Add(minDeadline * 1000)},
		}
		attempt := &try{cancel: cancel, sent: now, acknowledged: make(chan struct{})}
		r.live = []*try{attempt}
		r.done <- ended{try: attempt, answer: &Answer{Outcome: outcome.Done(), Status: http.StatusOK, Header: http.Header{}, Arrived: true}}
		require.Equal(t, outcome.Answered, r.run().Outcome.Kind)
	}
}

// TestIdleTimersKeepAPromiseThatCameAsTheyFired guards against an idle connection that is
// closed though callers have been promised a longer time: its timer had fired and waited for
// the lock under which the promise came.
func TestFiredIdleTimerRespectsLongerTimeout(t *testing.T) {
	s, conn, idle := newServerWithIdleConn(t)
	require.True(t, idle.timer.Stop(), "as if it had fired")
	s.setLimits(route.Limits{IdleTimeout: 2 * time.Hour})
	s.closeIdle(conn, idle)
	require.NoError(t, conn.SetDeadline(time.Time{}), "it may be idle for another hour")
}
