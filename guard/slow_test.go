package guard

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/admission"
	"github.com/dottereltiller/dottereltiller/core/calltoken"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/membership"
	"github.com/dottereltiller/dottereltiller/wire"
)

// newGuardWithUpstream returns a guard for an upstream that has one slot and the
// given handler.
func newGuardWithUpstream(t *testing.T, h http.Handler) *Guard {
	t.Helper()
	upstream := httptest.NewServer(h)
	t.Cleanup(upstream.Close)
	origin := time.Now()
	g := New(Options{
		Now:    func() model.Instant { return model.Instant(time.Since(origin)) },
		Groups: func(model.ServiceName) []admission.Group { return nil },
		Tokens: calltoken.NewSigner("secret"),
	})
	up := model.Upstream{ID: "s-1", Service: "s", Incarnation: 1, Slots: 1}
	g.Attach(membership.LocalUpstream{Upstream: up, Address: upstream.Listener.Addr().String()})
	return g
}

// TestSlowReaderReleasesSlotAtDeadline receives a response that is too large for
// any buffer. Before the deadline, the test neither reads nor closes the body of the
// response. After the deadline, the slot must be free for the next call, the request to
// the upstream must be cancelled, and reading the rest of the body must fail.
func TestSlowReaderReleasesSlotAtDeadline(t *testing.T) {
	const largeBodyBytes = 32 << 20
	requestCancelled := make(chan struct{})
	g := newGuardWithUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/large" {
			return
		}
		go func() {
			<-r.Context().Done()
			close(requestCancelled)
		}()
		chunk := make([]byte, 64<<10)
		for range largeBodyBytes / len(chunk) {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	slowCall := newCall("/large")
	slowCall.Timeout = 300 * time.Millisecond
	slowResponse := g.Do(context.Background(), slowCall)
	require.Equal(t, outcome.Answered, slowResponse.Outcome.Kind)
	nextCall := newCall("/next")
	nextCall.Timeout = 10 * time.Second
	nextResponse := g.Do(context.Background(), nextCall)
	require.Equal(t, outcome.Answered, nextResponse.Outcome.Kind, "%+v", nextResponse.Outcome)
	require.NoError(t, nextResponse.Body.Close())
	<-requestCancelled
	_, err := io.Copy(io.Discard, slowResponse.Body)
	require.Error(t, err, "a truncated response must not look complete")
	require.NoError(t, slowResponse.Body.Close())
	require.Zero(t, g.Loads("s")["s-1"].Running)
}

func TestRefusalBeforeStartIsNotRun(t *testing.T) {
	tests := []struct {
		name          string
		status        int
		refusalHeader string
		want          outcome.Outcome
	}{
		{"503 with the refusal header", 503, wire.RefusedBeforeStart, outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.ReasonUpstreamRefused, RetryAfter: 7 * time.Second}},
		{"429 with the refusal header", 429, wire.RefusedBeforeStart, outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.ReasonUpstreamRefused, RetryAfter: 7 * time.Second}},
		{"503 without the refusal header", 503, "", outcome.ResponseComplete()},
		{"500 with the refusal header", 500, wire.RefusedBeforeStart, outcome.ResponseComplete()},
		{"refusal header with another value", 503, "yes", outcome.ResponseComplete()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGuardWithUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "7")
				if tt.refusalHeader != "" {
					w.Header().Set(wire.HeaderRefused, tt.refusalHeader)
				}
				w.WriteHeader(tt.status)
			}))
			response := g.Do(context.Background(), newCall("/"))
			require.Equal(t, tt.want, response.Outcome)
			require.NoError(t, response.Body.Close())
			require.Zero(t, g.Loads("s")["s-1"].Running)
		})
	}
}

// TestUpstreamReceivesTokenForNestedCalls checks that the guard replaces the token in the
// header of a call by a token for nested calls, which are one level deeper than the call.
func TestUpstreamReceivesTokenForNestedCalls(t *testing.T) {
	tokenHeaders := make(chan string, 1)
	g := newGuardWithUpstream(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		tokenHeaders <- r.Header.Get(wire.HeaderCallToken)
	}))
	c := newCall("/")
	c.Caller, c.Group, c.Depth, c.Timeout = "bench", "sorters", 4, time.Minute
	c.Header.Set(wire.HeaderCallToken, "from outside")
	require.NoError(t, g.Do(context.Background(), c).Body.Close())
	token, err := calltoken.NewSigner("secret").Verify(<-tokenHeaders)
	require.NoError(t, err)
	require.EqualValues(t, "bench", token.Caller)
	require.EqualValues(t, "sorters", token.Group)
	require.Equal(t, 5, token.Depth)
	require.LessOrEqual(t, token.TimeLeft, time.Minute)
}
