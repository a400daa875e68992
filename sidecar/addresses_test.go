package sidecar

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/loopback"
)

// unusedAddress returns a loopback address with a port that nothing listens on.
func unusedAddress(t testing.TB) string {
	t.Helper()
	address, err := loopback.UnusedAddress()
	require.NoError(t, err)
	return address
}
