package loopback

import (
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestClaimsDiffer claims several of many networks.
func TestClaimsDiffer(t *testing.T) {
	const first, nets, claimed = 200, 54, 4
	seen := map[int]bool{}
	for range claimed {
		n, err := Claim(first, nets)
		require.NoError(t, err)
		require.False(t, seen[n])
		require.GreaterOrEqual(t, n, first)
		require.Less(t, n, first+nets)
		seen[n] = true
	}
}

// TestNetworksRunOut takes as many networks as there are, at addresses of this process: the
// same test may run beside.
func TestNetworksRunOut(t *testing.T) {
	const first, nets, hosts = 250, 4, 250
	pid := os.Getpid()
	address := func(n int) string {
		return fmt.Sprintf("127.%d.%d.%d:%d", first+n, pid/hosts%hosts, 1+pid%hosts, claimPort)
	}
	seen := map[int]bool{}
	for range nets {
		ln, n, err := ListenFirstFree(uint64(pid), nets, address)
		require.NoError(t, err)
		defer func() { _ = ln.Close() }()
		require.False(t, seen[n])
		require.GreaterOrEqual(t, n, 0)
		require.Less(t, n, nets)
		seen[n] = true
	}
	_, _, err := ListenFirstFree(uint64(pid), nets, address)
	require.ErrorIs(t, err, ErrNoNet)
}

// TestOwnNetworkStays asks twice.
func TestOwnNetworkStays(t *testing.T) {
	first, err := OwnNetwork()
	require.NoError(t, err)
	again, err := OwnNetwork()
	require.NoError(t, err)
	require.Equal(t, first, again)
}

// TestAddressesDiffer takes more than fit one part of the network.
func TestAddressesDiffer(t *testing.T) {
	const addresses = 600
	seen := map[string]bool{}
	for range addresses {
		a, err := UnusedAddress()
		require.NoError(t, err)
		require.False(t, seen[a], a)
		seen[a] = true
	}
	for a := range seen {
		ln, err := net.Listen("tcp", a)
		require.NoError(t, err)
		require.NoError(t, ln.Close())
	}
}
