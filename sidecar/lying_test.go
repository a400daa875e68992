package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHealthAnswersAreNotBelieved has one of two upstreams lie about its health. What
// counts is what comes of requests.
func TestHealthAnswersAreNotBelieved(t *testing.T) {
	const requests = 300
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	for name, c := range map[string]struct {
		health int
		handle func(http.ResponseWriter, *http.Request)
		least  int
		most   int
	}{
		// A failing one is tried again now and then, to find out when it has ended.
		"says well and fails":    {http.StatusOK, fail, 1, requests / 20},
		"says well and hangs up": {http.StatusOK, hangUp, 1, requests / 20},
		"says ill and is well":   {http.StatusServiceUnavailable, nil, requests / 5, requests},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore(documentOf(1, "b"))
			a, b1, _ := join(t, s, "a", "a1"), join(t, s, "b", "b1"), join(t, s, "b", "b2")
			a.knows(t, "b", 2)
			b1.up.setHealth(c.health)
			b1.up.set(c.handle)
			for range requests {
				status, _ := a.get(t, "/safe/")
				require.Equal(t, http.StatusOK, status)
			}
			got := len(b1.up.requests())
			t.Logf("%d of %d requests", got, requests)
			require.GreaterOrEqual(t, got, c.least)
			require.LessOrEqual(t, got, c.most)
			b1.up.set(nil)
			require.Eventually(t, func() bool {
				_, text := a.get(t, "/safe/")
				return text == "answer of b1"
			}, waitLimit, time.Millisecond, "trust returns")
		})
	}
}
