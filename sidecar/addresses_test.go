package sidecar

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/loopback"
)

var lastHost atomic.Int64

// freePort returns an address that nobody listens on: a loopback address of this
// process's own, so that no ephemeral port is in the way.
func freePort(t testing.TB) string {
	t.Helper()
	const hosts, port = 250, 7000
	claimed, err := loopback.Own()
	require.NoError(t, err)
	n := lastHost.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", claimed, n/hosts, 1+n%hosts, port)
}
