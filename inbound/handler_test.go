package inbound

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnfinishedHTTP10ResponseIsReset guards against a part of a response that an HTTP/1.0 client takes as complete. The handler
// aborts its response, or the server closes the connection. A finished response must end in order.
func TestUnfinishedHTTP10ResponseIsReset(t *testing.T) {
	const size = 1 << 20
	conns := make(chan net.Conn, 1)
	handlers := map[string]http.HandlerFunc{
		"finished": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", size)) },
		"aborted": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", size))
			panic(http.ErrAbortHandler)
		},
		"closed by the server": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", size))
			_ = (<-conns).Close()
		},
	}
	for name, c := range map[string]struct {
		handler   string
		tls       bool
		wantError bool
	}{
		"finished":             {"finished", false, false},
		"finished, TLS":        {"finished", true, false},
		"aborted":              {"aborted", false, true},
		"aborted, TLS":         {"aborted", true, true},
		"closed by the server": {"closed by the server", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewUnstartedServer(ResetUnfinished(handlers[c.handler]))
			s.Listener = NewListener(s.Listener)
			s.Config.ConnContext = ConnContext
			s.Config.ConnState = func(conn net.Conn, state http.ConnState) {
				if state == http.StateNew && c.handler == "closed by the server" {
					conns <- conn
				}
			}
			conn, err := net.Conn(nil), error(nil)
			if c.tls {
				s.StartTLS()
				conn, err = tls.Dial("tcp", s.Listener.Addr().String(), s.Client().Transport.(*http.Transport).TLSClientConfig)
			} else {
				s.Start()
				conn, err = net.Dial("tcp", s.Listener.Addr().String())
			}
			defer s.Close()
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "GET / HTTP/1.0\r\nHost: example.com\r\n\r\n")
			require.NoError(t, err)
			text, err := io.ReadAll(conn)
			if c.wantError {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			_, body, _ := strings.Cut(string(text), "\r\n\r\n")
			require.Len(t, body, size)
		})
	}
}
