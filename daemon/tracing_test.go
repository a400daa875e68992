package daemon_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/settings"
	"github.com/dottereltiller/dottereltiller/trace"
)

// TestEachHopOfARequestHasASpan sends one request to each of two daemons and reads the
// spans from the admin addresses of both. The upstream of one daemon is draining, so this
// daemon must forward its request to the other daemon. Each request must have the spans of
// its entry, its attempt, its guard and its upstream.
func TestEachHopOfARequestHasASpan(t *testing.T) {
	zones := []model.AvailabilityZone{"odense-hal-a", "odense-hal-b"}
	d := startDeployment(t, zones, 2, func(s *settings.Settings) { s.Tracing.Sample = 1 })
	for _, n := range d.Nodes {
		for _, node := range d.Nodes {
			node.Daemon.Guard.Drain("returdesk-1")
		}
		req, err := http.NewRequest(http.MethodGet, "http://"+n.Daemon.CallerAddress()+"/parcels", nil)
		require.NoError(t, err)
		req.Host = "returdesk.fyn"
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		_ = resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}

	// A span may end shortly after the response has arrived, so poll until all spans
	// have ended.
	var trees []*trace.Tree
	paths := func() []string {
		var records []trace.Record
		for _, n := range d.Nodes {
			r, err := trace.FetchRecords(t.Context(), n.Daemon.AdminAddress())
			require.NoError(t, err)
			records = append(records, r...)
		}
		trees = trace.BuildTrees(records)
		var out []string
		for _, tree := range trees {
			for _, root := range tree.Roots {
				out = append(out, lastChildPath(root))
			}
		}
		return out
	}
	const want = "entry/attempt/guard/upstream"
	require.Eventually(t, func() bool {
		got := paths()
		return len(got) == 2 && got[0] == want && got[1] == want
	}, waitLimit, 5*time.Millisecond)
	forwarded := slices.ContainsFunc(trees, func(tree *trace.Tree) bool {
		root := tree.Roots[0]
		guardSpan := root.Children[len(root.Children)-1].Children[0]
		return guardSpan.Daemon != root.Daemon
	})
	require.True(t, forwarded, "one of the requests must be forwarded from one daemon to the other")
}

// lastChildPath follows the last child of each span, beginning at n. It returns the names of
// the spans on this path.
func lastChildPath(n *trace.Node) string {
	if len(n.Children) == 0 {
		return n.Name
	}
	return n.Name + "/" + lastChildPath(n.Children[len(n.Children)-1])
}
