package guard

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/admission"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/loopback"
	"github.com/dottereltiller/dottereltiller/membership"
)

// TestLostConnectionDistinguishesCrashFromReset has an upstream read a request and
// close the connection. In one case the upstream also stops listening, as it would
// after a crash. Only this case must be reported as a crash.
func TestLostConnectionDistinguishesCrashFromReset(t *testing.T) {
	tests := []struct {
		name           string
		stopsListening bool
		want           outcome.Reason
	}{
		{"crashes", true, outcome.ReasonUpstreamCrashed},
		{"closes the connection", false, outcome.ReasonConnectionLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, err := loopback.UnusedAddress()
			require.NoError(t, err)
			ln, err := net.Listen("tcp", address)
			require.NoError(t, err)
			defer func() { _ = ln.Close() }()
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				if tt.stopsListening {
					_ = ln.Close()
				}
				_ = conn.Close()
			}()
			origin := time.Now()
			g := New(Options{
				Now:    func() model.Instant { return model.Instant(time.Since(origin)) },
				Groups: func(model.ServiceName) []admission.Group { return nil },
			})
			up := model.Upstream{ID: "s-1", Service: "s", Incarnation: 1, Slots: 1}
			g.Attach(membership.LocalUpstream{Upstream: up, Address: ln.Addr().String()})
			response := g.Do(context.Background(), newCall("/crash"))
			require.Equal(t, outcome.UnknownBecause(tt.want), response.Outcome)
			require.NoError(t, response.Body.Close())
		})
	}
}
