package sidecar

import (
	"log/slog"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/decision"
)

// startPairWithLogs starts a daemon of service "a" and one of service "b" with a ready upstream, whose
// only route leads to "b". It returns both with their logs.
func startPairWithLogs(t *testing.T) (a, b *member, aLog, bLog *logRecorder) {
	t.Helper()
	aLog, bLog = &logRecorder{}, &logRecorder{}
	s := newStore(documentOf(1, "b"))
	withLog := func(l *logRecorder) func(*Options) {
		return func(o *Options) { o.Decisions = decision.New(decision.Options{Handler: slog.NewJSONHandler(l, nil)}) }
	}
	a, b = startReadyWith(t, s, "a", "a1", withLog(aLog)), startReadyWith(t, s, "b", "b1", withLog(bLog))
	a.waitForCandidates(t, "b", 1)
	return a, b, aLog, bLog
}

// TestLogTellsWhoEndedARequest guards against log lines that do not tell which connection of a
// request was lost, or whether an upstream was running the request when the entry ended it.
func TestLogTellsWhoEndedARequest(t *testing.T) {
	for name, c := range map[string]struct {
		// breakOff ends the running request.
		breakOff func(b *member)
		deadline string
		reason   outcome.Reason
		// peerError reports whether the line has the error of the connection between the daemons.
		peerError bool
		// senderGone is the field of the line of the guard.
		senderGone bool
	}{
		"the connection between the daemons is lost": {func(b *member) { b.peerServer.close() }, "5000", outcome.ReasonConnectionLost, true, true},
		"the connection to the upstream is lost":     {func(b *member) { b.upstream.server.CloseClientConnections() }, "5000", outcome.ReasonConnectionLost, false, false},
		"the deadline passes":                        {func(*member) {}, "300", outcome.ReasonDeadline, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			a, b, aLog, bLog := startPairWithLogs(t)
			b.upstream.setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			caller := dialCallers(t, a)
			caller.sendWithDeadline(t, "one", c.deadline)
			eventually(t, "the request runs", func() bool { return len(b.upstream.requests()) == 1 })
			c.breakOff(b)
			_, err := caller.readResponse()
			require.NoError(t, err)
			eventually(t, "the line of the entry", func() bool { return len(aLog.ofKind(decision.Failed)) == 1 })
			failed := aLog.ofKind(decision.Failed)[0]
			require.Equal(t, string(c.reason), failed["reason"])
			if c.reason != outcome.ReasonDeadline {
				// At the deadline, the guard and the entry end the request at the same time.
				require.EqualValues(t, 0, failed["in_flight"])
			}
			require.EqualValues(t, 0, failed["stopping_ms"])
			_, hasPeerError := failed["peer_error"]
			require.Equal(t, c.peerError, hasPeerError)
			eventually(t, "the line of the guard", func() bool { return len(bLog.ofKind(decision.RunFailed)) == 1 })
			if c.reason != outcome.ReasonDeadline {
				require.Equal(t, c.senderGone, bLog.ofKind(decision.RunFailed)[0]["sender_gone"])
			}
		})
	}
}

// TestLogTellsHowLongADaemonHasBeenStopping guards against log lines of broken-off requests that do
// not tell whether a stop of the daemon broke them off.
func TestLogTellsHowLongADaemonHasBeenStopping(t *testing.T) {
	m, l, caller := startWithRunningRequest(t)
	m.tunables.Store(&Tunables{GracePeriod: 2 * graceMargin})
	go m.stop()
	_, err := caller.readResponse()
	require.NoError(t, err)
	eventually(t, "the line of the entry", func() bool { return len(l.ofKind(decision.Failed)) == 1 })
	failed := l.ofKind(decision.Failed)[0]
	require.Equal(t, string(outcome.ReasonDraining), failed["reason"])
	require.EqualValues(t, 1, failed["in_flight"])
	require.EqualValues(t, 1, m.scope.Snapshot().Counters()["requests_ended_in_flight+"].Value())
	require.GreaterOrEqual(t, failed["stopping_ms"], float64(graceMargin.Milliseconds()))
	require.Positive(t, failed["left_ms"])
	eventually(t, "the line of the guard", func() bool { return len(l.ofKind(decision.RunFailed)) == 1 })
	require.GreaterOrEqual(t, l.ofKind(decision.RunFailed)[0]["stopping_ms"], float64(graceMargin.Milliseconds()))
}
