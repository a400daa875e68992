package loopback

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestClaimsDiffer claims as many networks as there are.
func TestClaimsDiffer(t *testing.T) {
	const first, nets = 250, 4
	seen := map[int]bool{}
	for range nets {
		n, err := Claim(first, nets)
		require.NoError(t, err)
		require.False(t, seen[n])
		require.GreaterOrEqual(t, n, first)
		require.Less(t, n, first+nets)
		seen[n] = true
	}
	_, err := Claim(first, nets)
	require.ErrorIs(t, err, ErrNoNet)
}
