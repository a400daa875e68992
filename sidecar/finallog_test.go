package sidecar

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/decision"
)

// TestRequestsDuringFinalLogFlushAreAnswered stops a daemon whose log output nobody reads, so that
// writing its last log lines takes as long as it may. As soon as its guard rejects new requests,
// callers send requests on connections that are still open. Some of these requests are forwarded
// to the other daemon and run there. All requests that run must be answered.
func TestRequestsDuringFinalLogFlushAreAnswered(t *testing.T) {
	const numConns, runTime = 20, 150 * time.Millisecond
	s := newStore(documentOf(1, "a"))
	peerMember := startReady(t, s, "a", "b1")
	o := optionsFor(t, s, newUpstream(t, "a1"), "a")
	o.Decisions = decision.New(decision.Options{Handler: slog.NewJSONHandler(newStalledWriter(t), nil)})
	d := startDaemon(t, o, s)
	d.Report(readyReport("a1", 1, 1, "a"))
	d.waitForCandidates(t, "a", 2)

	var callers []*callerConn
	for i := range numConns {
		caller := dialCallers(t, d)
		caller.send(t, fmt.Sprint("first-", i))
		_, err := caller.readResponse()
		require.NoError(t, err)
		callers = append(callers, caller)
	}
	peerMember.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(runTime)
		respondOK(w, "b1")
	})
	go d.stop()
	eventually(t, "the guard is closed", func() bool {
		d.guard.mu.Lock()
		defer d.guard.mu.Unlock()
		return d.guard.closed
	})
	var unansweredIDs sync.Map
	var wg sync.WaitGroup
	for i, caller := range callers {
		id := fmt.Sprint("second-", i)
		caller.send(t, id)
		wg.Go(func() {
			if _, err := caller.readResponse(); err != nil {
				unansweredIDs.Store(id, true)
			}
		})
	}
	wg.Wait()
	numLost := 0
	for _, r := range peerMember.upstream.requests() {
		if id := r.Header.Get("T-Id"); strings.HasPrefix(id, "second-") {
			if _, ok := unansweredIDs.Load(id); ok {
				numLost++
			}
		}
	}
	require.Zero(t, numLost, "of %d requests ran and got no response", numConns)
}
