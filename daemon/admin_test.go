package daemon

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestChangesAreAllowedOnlyFromThisVM sends requests from another host, from loopback
// and from the VM's own address. The other host may read but must not change anything.
// Requests from loopback and from the VM's own address must be allowed to make changes.
func TestChangesAreAllowedOnlyFromThisVM(t *testing.T) {
	d, _ := startDaemon(t, testSettings())
	h := d.adminHandler()
	status := func(method, path, remoteAddr string) int {
		r := httptest.NewRequest(method, path, nil)
		r.RemoteAddr = remoteAddr
		vmAddr := &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 8082}
		r = r.WithContext(context.WithValue(r.Context(), http.LocalAddrContextKey, vmAddr))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Code
	}
	for path, method := range map[string]string{"/v1/upstreams/x": http.MethodPut, "/v1/quarantine/x": http.MethodDelete} {
		require.Equal(t, http.StatusForbidden, status(method, path, "10.0.0.2:5000"), path)
		require.NotEqual(t, http.StatusForbidden, status(method, path, "127.0.0.1:5000"), path)
		require.NotEqual(t, http.StatusForbidden, status(method, path, "10.0.0.1:5000"), path)
	}
	require.Equal(t, http.StatusOK, status(http.MethodGet, "/status", "10.0.0.2:5000"))
}
