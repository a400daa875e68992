package loopback

import (
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestClaimedNetworksDiffer claims 4 of 54 networks. They must differ from each
// other.
func TestClaimedNetworksDiffer(t *testing.T) {
	const first, networkCount, claimCount = 200, 54, 4
	seen := map[int]bool{}
	for range claimCount {
		n, err := ClaimNetwork(first, networkCount)
		require.NoError(t, err)
		require.False(t, seen[n])
		require.GreaterOrEqual(t, n, first)
		require.Less(t, n, first+networkCount)
		seen[n] = true
	}
}

// TestListenFirstFreeFailsWhenAllNetworksAreInUse listens in every network. The
// next call must return ErrNoFreeNetwork. The addresses depend on the process ID,
// so that the test can run in several processes at once.
func TestListenFirstFreeFailsWhenAllNetworksAreInUse(t *testing.T) {
	const first, networkCount, hostsPerSubnet = 250, 4, 250
	pid := os.Getpid()
	address := func(n int) string {
		return fmt.Sprintf("127.%d.%d.%d:%d", first+n, pid/hostsPerSubnet%hostsPerSubnet, 1+pid%hostsPerSubnet, claimPort)
	}
	seen := map[int]bool{}
	for range networkCount {
		ln, n, err := ListenFirstFree(uint64(pid), networkCount, address)
		require.NoError(t, err)
		defer func() { _ = ln.Close() }()
		require.False(t, seen[n])
		require.GreaterOrEqual(t, n, 0)
		require.Less(t, n, networkCount)
		seen[n] = true
	}
	_, _, err := ListenFirstFree(uint64(pid), networkCount, address)
	require.ErrorIs(t, err, ErrNoFreeNetwork)
}

func TestOwnNetworkIsClaimedOnce(t *testing.T) {
	firstNetwork, err := OwnNetwork()
	require.NoError(t, err)
	secondNetwork, err := OwnNetwork()
	require.NoError(t, err)
	require.Equal(t, firstNetwork, secondNetwork)
}

// TestUnusedAddressesDiffer checks that UnusedAddress returns different addresses,
// and that nobody listens on them. It gets so many that their third byte changes
// too.
func TestUnusedAddressesDiffer(t *testing.T) {
	const wantAddresses = 600
	seen := map[string]bool{}
	for range wantAddresses {
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
