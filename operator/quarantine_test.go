package operator

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/standin"
)

// TestInvalidResponseOfADaemonIsAnError guards against an operator who is told that a daemon has done something, by a response
// that is not valid.
func TestInvalidResponseOfADaemonIsAnError(t *testing.T) {
	daemon, err := standin.StartFaultyUpstream()
	require.NoError(t, err)
	defer func() { _ = daemon.Close() }()
	daemon.SetScript(standin.Script{Response: []byte("HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n"), CutAfter: -1})
	_, err = callAdmin(t.Context(), http.MethodDelete, "http://"+daemon.Address())
	require.Error(t, err)
}
