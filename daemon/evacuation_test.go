package daemon_test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/config"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/local"
	"github.com/dottereltiller/dottereltiller/operator"
)

// servingStatus sends a request to a daemon and returns the status of the response.
func servingStatus(t *testing.T, n *local.Node) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n.Daemon.CallerAddress()+"/x", nil)
	require.NoError(t, err)
	req.Host = "returdesk.fyn"
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// evacuationOf returns the document that evacuates a zone.
func evacuationOf(zone string) policy.Document {
	return policy.Document{Kind: policy.KindEvacuation, Name: zone, Spec: json.RawMessage(`{"zone":"` + zone + `"}`)}
}

// TestEvacuatedZoneGetsNoRequests evacuates one zone, then both, and takes them back. Upstreams of an
// evacuated zone must get no requests. Without any other zone, requests are refused as not run.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	d := startDeployment(t, []model.AvailabilityZone{"odense-hal-a", "odense-hal-b"}, 4, nil)
	propose := func(p operator.Proposal) {
		t.Helper()
		res, err := operator.Propose(t.Context(), d.Log, p)
		require.NoError(t, err)
		for _, n := range d.Nodes {
			require.Eventually(t, func() bool { return n.Daemon.Status().Version >= res.Version }, waitLimit, time.Millisecond)
		}
	}
	servedBy := func(zone model.AvailabilityZone) (n int) {
		for _, node := range d.Nodes {
			if node.Daemon.Status().Zone == zone {
				for _, runs := range node.Upstream.Runs() {
					n += runs
				}
			}
		}
		return n
	}
	propose(operator.Proposal{Documents: []policy.Document{evacuationOf("odense-hal-a")}})
	require.Equal(t, []model.AvailabilityZone{"odense-hal-a"}, d.Nodes[0].Daemon.Status().EvacuatedZones)
	before, beforeElsewhere := servedBy("odense-hal-a"), servedBy("odense-hal-b")
	for i := range 20 {
		require.Equal(t, http.StatusOK, servingStatus(t, d.Nodes[i%len(d.Nodes)]))
	}
	require.Equal(t, before, servedBy("odense-hal-a"))
	require.Equal(t, beforeElsewhere+20, servedBy("odense-hal-b"))
	propose(operator.Proposal{Documents: []policy.Document{evacuationOf("odense-hal-b")}})
	require.Equal(t, http.StatusServiceUnavailable, servingStatus(t, d.Nodes[0]))
	propose(operator.Proposal{Delete: []config.DocumentKey{"Evacuation/odense-hal-a", "Evacuation/odense-hal-b", "Evacuation/none"}})
	require.Empty(t, d.Nodes[0].Daemon.Status().EvacuatedZones)
	require.Equal(t, http.StatusOK, servingStatus(t, d.Nodes[0]))
}
