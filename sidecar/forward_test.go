package sidecar

import (
	"math"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHugeMaxAttemptsIsServed guards against a buffer that is too large for memory. It sets the
// number of attempts of a route so high that a buffer for all of them would not fit.
func TestHugeMaxAttemptsIsServed(t *testing.T) {
	for name, maxAttempts := range map[string]int{
		"largest integer":                  math.MaxInt,
		"buffer exceeds the address space": 1 << 56,
	} {
		t.Run(name, func(t *testing.T) {
			doc := documentOf(1, "a")
			for i := range doc.Routes {
				doc.Routes[i].MaxAttempts = maxAttempts
			}
			a := startReady(t, newStore(doc), "a", "a1")
			status, _ := a.get(t, "/safe/")
			require.Equal(t, http.StatusOK, status)
		})
	}
}
