package daemon

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	core "github.com/dottereltiller/dottereltiller/core/quarantine"
	"github.com/dottereltiller/dottereltiller/operator"
)

// TestOperatorListsAndReleasesQuarantinedRequests records one crash, which makes a request
// suspected but not quarantined yet. An operator must be able to list the request and to
// release it, which clears its crashes. The release of an unknown request must fail.
func TestOperatorListsAndReleasesQuarantinedRequests(t *testing.T) {
	d, _ := startDaemon(t, testSettings())
	r := core.Request{Service: "s", Caller: "c", Method: "GET", Target: "/kill"}
	f := core.FingerprintOf(r)
	d.Quarantine.RecordCrash(f, r, core.Crash{Upstream: "s-1", Incarnation: 1})

	entries, err := operator.ListQuarantined(context.Background(), d.AdminAddress())
	require.NoError(t, err)
	require.Len(t, entries, 1)
	require.Equal(t, f, entries[0].Fingerprint)
	require.Equal(t, "GET /kill", entries[0].Request)
	require.False(t, entries[0].Refused)

	require.NoError(t, operator.ReleaseQuarantined(context.Background(), d.AdminAddress(), f))
	entries, err = operator.ListQuarantined(context.Background(), d.AdminAddress())
	require.NoError(t, err)
	require.Empty(t, entries[0].Crashes)

	var adminErr *operator.AdminError
	require.ErrorAs(t, operator.ReleaseQuarantined(context.Background(), d.AdminAddress(), core.Fingerprint{}), &adminErr)
	require.Equal(t, 404, adminErr.Status)
}
