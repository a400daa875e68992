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
func TestAnswersBeingWrittenAreInHand(t *testing.T) {
	m := joinWithLog(t, newStore(documentOf(1, "a")), "a1", &lines{})
	next, ended := m.callers.http.Handler, make(chan bool, 1)
	m.callers.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		// What is small is written only after the handler.
		ended <- m.endIdle()
	})
	k := dialCallers(t, m)
	k.send(t, "one")
	_, err := k.answer()
	require.NoError(t, err)
	require.Len(t, m.up.requests(), 1)
	require.False(t, <-ended, "its answer is not written yet")
}

// TestPeerAnswersBeingWrittenAreInHand guards against another daemon that loses the answer to
// a call which has run: the connection is closed between the end of the run and the answer.
func TestPeerAnswersBeingWrittenAreInHand(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b := join(t, s, "a", "a1"), join(t, s, "b", "b1")
	a.knows(t, "b", 1)
	next, ended := b.calls.http.Handler, make(chan bool, 1)
	b.calls.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if r.Header.Get(callHeader) != "" {
			ended <- b.endIdle()
		}
	})
	status, _ := a.get(t, "/unsafe/")
	require.Equal(t, http.StatusOK, status)
	require.False(t, <-ended, "the answer is not written yet")
}

// TestNothingIsPassedOnOnceRequestsAreGivenUp guards against a request that starts at an
// upstream after the daemon has given up what is in hand, only to be cut at once.
func TestNothingIsPassedOnOnceRequestsAreGivenUp(t *testing.T) {
	m := joinWithLog(t, newStore(documentOf(1, "a")), "a1", &lines{})
	k := dialCallers(t, m)
	_, err := io.WriteString(k.conn, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nT-Id: one\r\nT-Deadline: 5000\r\nContent-Length: 2\r\n\r\nx")
	require.NoError(t, err)
	eventually(t, "it is in hand", func() bool { return m.requests.count() == 1 })
	m.requests.end()
	whole := m.ending
	defer func() { m.ending = whole }()
	m.ending = make(chan struct{})
	close(m.ending)
	_, err = io.WriteString(k.conn, "y")
	require.NoError(t, err)
	resp, err := k.answer()
	require.NoError(t, err)
	require.Empty(t, m.up.requests())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "it has not run")
}

// TestAnswersAtHandAreDeliveredAtTheEnd guards against an upstream's answer that is replaced
// by a failure, as it came while the daemon gave up what is in hand.
func TestAnswersAtHandAreDeliveredAtTheEnd(t *testing.T) {
	m := joinWithLog(t, newStore(documentOf(1, "a")), "a1", &lines{})
	s := m.entry.service("a")
	table := m.config.table()
	eventually(t, "the configuration", func() bool { table = m.config.table(); return table != nil })
	rt, ok := table.Lookup("h", "/safe/")
	require.True(t, ok)
	whole := m.ending
	defer func() { m.ending = whole }()
	m.ending = make(chan struct{})
	close(m.ending)
	for range 64 {
		ctx, cancel := context.WithCancel(t.Context())
		now := m.now()
		r := &race{
			e: m.entry, s: s, done: make(chan ended, 1), tried: make(map[string]bool),
			req: &request{route: rt, service: "a", ctx: ctx, began: now, deadline: now.Add(minDeadline * 1000)},
		}
		one := &try{cancel: cancel, sent: now, acknowledged: make(chan struct{})}
		r.live = []*try{one}
		r.done <- ended{try: one, answer: &Answer{Outcome: outcome.Done(), Status: http.StatusOK, Header: http.Header{}, Arrived: true}}
		require.Equal(t, outcome.Answered, r.run().Outcome.Kind)
	}
}

// TestIdleTimersKeepAPromiseThatCameAsTheyFired guards against an idle connection that is
// closed though callers have been promised a longer time: its timer had fired and waited for
// the lock under which the promise came.
func TestIdleTimersKeepAPromiseThatCameAsTheyFired(t *testing.T) {
	s, conn, due := idleForAnHour(t)
	require.True(t, due.close.Stop(), "as if it had fired")
	s.limit(route.Limits{IdleTimeout: 2 * time.Hour})
	s.closeIdle(conn, due)
	require.NoError(t, conn.SetDeadline(time.Time{}), "it may be idle for another hour")
}
