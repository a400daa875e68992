package sidecar

import (
	"math"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAttemptsWithoutABoundAreServed has routes that allow more attempts than memory holds.
func TestHugeMaxAttemptsIsServed(t *testing.T) {
	for name, attempts := range map[string]int{
		"all there are":       math.MaxInt,
		"too many for memory": 1 << 56,
	} {
		t.Run(name, func(t *testing.T) {
			doc := documentOf(1, "a")
			for i := range doc.Routes {
				doc.Routes[i].MaxAttempts = attempts
			}
			a := join(t, newStore(doc), "a", "a1")
			status, _ := a.get(t, "/safe/")
			require.Equal(t, http.StatusOK, status)
		})
	}
}
