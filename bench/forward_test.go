package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForwardMeasuresBothPaths(t *testing.T) {
	res, err := Forward(t.Context(), ForwardOptions{Rate: 200, Duration: 300 * time.Millisecond})
	require.NoError(t, err)
	require.Zero(t, res.Failed)
	require.EqualValues(t, 120, res.Calls)
	require.Positive(t, res.Direct.P50)
	require.Positive(t, res.Forwarded.P50)
}

// BenchmarkForward sends one request at a time to an upstream, through two daemons.
// The reported allocations include those of the client, both daemons and the
// upstream.
func BenchmarkForward(b *testing.B) {
	d, err := startTwoDaemons(b.Context())
	require.NoError(b, err)
	defer d.Stop()
	client := newLoadClient("http://"+d.Nodes[1].Daemon.CallerAddress()+"/x", time.Nanosecond)
	defer client.close()
	benchmarkCalls(b, client)
}

// benchmarkCalls sends one request at a time. It reports the allocations and the CPU time
// of the whole process per request.
func benchmarkCalls(b *testing.B, client *loadClient) {
	b.ReportAllocs()
	cpuBefore := processCPU()
	for b.Loop() {
		if err := client.call(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processCPU()-cpuBefore).Microseconds())/float64(b.N), "cpu-us/op")
}

// BenchmarkDirect sends one request at a time directly to an upstream.
func BenchmarkDirect(b *testing.B) {
	d, err := startTwoDaemons(b.Context())
	require.NoError(b, err)
	defer d.Stop()
	client := newLoadClient("http://"+d.Nodes[0].Upstream.Address()+"/x", time.Nanosecond)
	defer client.close()
	benchmarkCalls(b, client)
}

// maxForwardAllocs is the maximum number of allocations per forwarded request in the
// client, both daemons and the upstream together. A typical value is 357. The margin above
// 357 allows for the daemons' background work and for the race detector, which empties
// sync.Pools.
const maxForwardAllocs = 500

func TestForwardingStaysWithinAllocationLimit(t *testing.T) {
	d, err := startTwoDaemons(t.Context())
	require.NoError(t, err)
	defer d.Stop()
	client := newLoadClient("http://"+d.Nodes[1].Daemon.CallerAddress()+"/x", time.Nanosecond)
	defer client.close()
	allocs := testing.AllocsPerRun(1000, func() { err = client.call(t.Context()) })
	require.NoError(t, err)
	t.Logf("%.0f allocations a call", allocs)
	require.Less(t, allocs, float64(maxForwardAllocs))
}
