package sidecar

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	core "github.com/dottereltiller/dottereltiller/core/quarantine"
	"github.com/dottereltiller/dottereltiller/decision"
)

// stalledWriter blocks every write until the test ends.
type stalledWriter struct{ release chan struct{} }

func newStalledWriter(t *testing.T) *stalledWriter {
	s := &stalledWriter{release: make(chan struct{})}
	t.Cleanup(func() { close(s.release) })
	return s
}

// Write implements io.Writer.
func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestStalledLogBlocksNoRequest has a request quarantined while nobody reads the log output.
// Other requests must still be served.
func TestStalledLogBlocksNoRequest(t *testing.T) {
	s := newStore(documentOf(1, "a"))
	o := optionsFor(t, s, newUpstream(t, "a1"), "a")
	out := newStalledWriter(t)
	o.Decisions = decision.New(decision.Options{Handler: slog.NewJSONHandler(out, nil)})
	o.Logger = o.Decisions.Logger()
	m := startDaemon(t, o, s)
	m.Report(readyReport("a1", 1, 1, "a"))
	r := fingerprintInput("a", http.MethodGet, "/safe/poison", nil)
	for i := range quarantineThreshold {
		m.quarantine.store.RecordCrash(core.FingerprintOf(r), r, core.Crash{Upstream: "a9", Incarnation: model.Incarnation(i)})
	}
	// Within half a second, the daemon evaluates the crashes and quarantines the request.
	time.Sleep(time.Second)
	done := make(chan int, 1)
	go func() {
		status, _ := m.get(t, "/safe/x")
		done <- status
	}()
	select {
	case status := <-done:
		require.Equal(t, http.StatusOK, status)
	case <-time.After(5 * time.Second):
		require.Fail(t, "no response")
	}
}
