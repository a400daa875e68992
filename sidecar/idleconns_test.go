package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/route"
)

// TestIdleTimeoutLosesNoStartedRequest sends requests on persistent connections at about the
// moment at which the idle timeout closes them. Every request whose handler starts must be
// answered.
func TestIdleTimeoutLosesNoStartedRequest(t *testing.T) {
	const connCount, maxOffset, runTime = 400, 4 * time.Millisecond, 50 * time.Millisecond
	const idleTimeout = 200 * time.Millisecond
	var startedPaths sync.Map
	s := newServer("callers", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/first" {
			startedPaths.Store(r.URL.Path, true)
			time.Sleep(runTime)
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	s.setLimits(route.Limits{IdleTimeout: idleTimeout})
	var err error
	s.listener, err = net.Listen("tcp", unusedAddress(t))
	require.NoError(t, err)
	go func() { _ = s.Serve(t.Context()) }()
	t.Cleanup(s.close)
	var lost, answered atomic.Int64
	var wg sync.WaitGroup
	for i := range connCount {
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		wg.Go(func() {
			in := bufio.NewReader(conn)
			_, _ = io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
			if _, err := http.ReadResponse(in, nil); err != nil {
				return
			}
			time.Sleep(idleTimeout + idleCloseDelay - maxOffset + 2*maxOffset*time.Duration(i)/connCount)
			path := "/second-" + conn.LocalAddr().String()
			_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			if _, err := http.ReadResponse(in, nil); err == nil {
				answered.Add(1)
			} else if _, ok := startedPaths.Load(path); ok {
				lost.Add(1)
			}
		})
	}
	wg.Wait()
	require.Zero(t, lost.Load(), "requests started and got no response; %d were answered", answered.Load())
}
