package inbound

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestClosed(t *testing.T) {
	for name, start := range map[string]func(*httptest.Server){
		"plaintext": (*httptest.Server).Start,
		"TLS":       (*httptest.Server).StartTLS,
	} {
		t.Run(name, func(t *testing.T) {
			opened, told := make(chan net.Conn, 1), make(chan [2]bool, 1)
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				before := Closed(r.Context())
				_ = (<-opened).Close()
				told <- [2]bool{before, Closed(r.Context())}
			}))
			s.Listener = Listener(s.Listener)
			s.Config.ConnContext = Context
			s.Config.ConnState = func(c net.Conn, state http.ConnState) {
				if state == http.StateNew {
					opened <- c
				}
			}
			start(s)
			defer s.Close()
			resp, err := s.Client().Get(s.URL)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			require.Error(t, err)
			require.Equal(t, [2]bool{false, true}, <-told)
		})
	}
}

func TestConnectionsOfOtherListenersAreOpen(t *testing.T) {
	require.False(t, Closed(t.Context()))
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	require.False(t, Closed(Context(t.Context(), a)))
}
