package admin

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/standin"
)

// TestInvalidHeadIsAnError guards against a response of a daemon that is believed though its head is not valid.
func TestInvalidHeadIsAnError(t *testing.T) {
	for name, tc := range map[string]struct {
		head      string
		wantError bool
	}{
		"valid":           {"HTTP/1.1 200 OK\r\n", false},
		"status 000":      {"HTTP/1.1 000 None\r\n", true},
		"space in a name": {"HTTP/1.1 200 OK\r\nX Some: 1\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			daemon, err := standin.StartFaultyUpstream()
			require.NoError(t, err)
			defer func() { _ = daemon.Close() }()
			daemon.SetScript(standin.Script{Response: []byte(tc.head + "Content-Length: 2\r\n\r\n{}"), CutAfter: -1})
			var v struct{}
			err = Get(t.Context(), daemon.Address(), "/", &v)
			require.Equal(t, tc.wantError, err != nil, "%v", err)
		})
	}
}
