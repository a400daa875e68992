package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/latency"
	"github.com/dottereltiller/dottereltiller/local"
	"github.com/dottereltiller/dottereltiller/settings"
	"github.com/dottereltiller/dottereltiller/standin"
	"github.com/dottereltiller/dottereltiller/wire"
)

// ForwardOptions configure Forward.
type ForwardOptions struct {
	// Rate is the number of requests a second on each of the two paths, direct and
	// forwarded. Default: 1000.
	Rate int
	// Duration is the length of the measurement, without warmUpTime. Default: 5s.
	Duration time.Duration
	// Cost is the service time of a request at the upstream. Default: 1ms.
	Cost time.Duration
}

// ForwardResult compares requests sent directly to an upstream with requests
// forwarded by two daemons. The entry of the first daemon accepts a request and forwards
// it. The guard of the second daemon passes the request to the upstream.
type ForwardResult struct {
	// Calls counts the requests of both paths that succeeded: the status was 200 and the
	// response complete.
	Calls int64 `json:"calls"`
	// Failed counts the other requests of both paths.
	Failed int64 `json:"failed"`
	// Direct is the latency of the direct path.
	Direct latency.Percentiles `json:"direct"`
	// Forwarded is the latency of the forwarded path.
	Forwarded latency.Percentiles `json:"forwarded"`
	// Added is Forwarded minus Direct for each percentile. Added.Max is not set.
	Added latency.Percentiles `json:"added"`
}

const (
	defaultRate     = 1000
	defaultDuration = 5 * time.Second
	defaultCost     = time.Millisecond
	upstreamSlots   = 64
	// warmUpTime is the time for which requests are sent before the measurement.
	warmUpTime = 500 * time.Millisecond
)

const (
	// calledService is the service that all requests are for.
	calledService model.ServiceName = "near"
	// callingService is a second service, on another daemon. Forwarded requests are
	// sent to this daemon, whose entry forwards them to the daemon of calledService.
	callingService model.ServiceName = "far"
)

// Forward measures the latency of both paths, direct and forwarded, at the same
// time. While it runs, the process uses the default garbage collection setting of daemons.
// Forward returns an error if the daemons do not start or if the context ends before the
// measurement does.
func Forward(ctx context.Context, opts ForwardOptions) (ForwardResult, error) {
	opts = opts.withDefaults()
	defer debug.SetGCPercent(debug.SetGCPercent(settings.Defaults().Process.GCPercent))
	d, err := startTwoDaemons(ctx)
	if err != nil {
		return ForwardResult{}, err
	}
	defer d.Stop()
	direct := newLoadClient("http://"+d.Nodes[0].Upstream.Address()+"/x", opts.Cost)
	forwarded := newLoadClient("http://"+d.Nodes[1].Daemon.CallerAddress()+"/x", opts.Cost)
	defer direct.close()
	defer forwarded.close()
	runBoth(ctx, direct, forwarded, opts.Rate, warmUpTime)
	direct.reset()
	forwarded.reset()
	runBoth(ctx, direct, forwarded, opts.Rate, opts.Duration)
	return compare(direct, forwarded), ctx.Err()
}

func (o ForwardOptions) withDefaults() ForwardOptions {
	if o.Rate <= 0 {
		o.Rate = defaultRate
	}
	if o.Duration <= 0 {
		o.Duration = defaultDuration
	}
	if o.Cost <= 0 {
		o.Cost = defaultCost
	}
	return o
}

// startTwoDaemons starts two daemons, one with an upstream of calledService and one
// with an upstream of callingService.
func startTwoDaemons(ctx context.Context) (*local.Deployment, error) {
	return local.Start(ctx, local.Options{
		Zones:    []model.AvailabilityZone{"a"},
		Services: []local.Service{{Name: calledService, Upstreams: 1, Slots: upstreamSlots}, {Name: callingService, Upstreams: 1, Slots: upstreamSlots}},
		Documents: []policy.Document{
			{Kind: policy.KindService, Name: string(calledService), Spec: []byte(`{}`)},
			{Kind: policy.KindService, Name: string(callingService), Spec: []byte(`{}`)},
			{Kind: policy.KindSharingPolicy, Name: "all", Spec: []byte(
				`{"services":"","default_group":"all","groups":[{"name":"all","callers":"","weight":1}]}`)},
		},
	})
}

// runBoth runs two clients at the same time, each with the given rate for duration d.
func runBoth(ctx context.Context, a, b *loadClient, rate int, d time.Duration) {
	var wg sync.WaitGroup
	wg.Go(func() { a.run(ctx, rate, d) })
	wg.Go(func() { b.run(ctx, rate, d) })
	wg.Wait()
}

// compare computes the result from the two clients.
func compare(direct, forwarded *loadClient) ForwardResult {
	r := ForwardResult{
		Calls:     direct.latencies.Count() + forwarded.latencies.Count(),
		Failed:    direct.failed + forwarded.failed,
		Direct:    direct.latencies.Percentiles(),
		Forwarded: forwarded.latencies.Percentiles(),
	}
	r.Added = latency.Percentiles{
		P50:  r.Forwarded.P50 - r.Direct.P50,
		P99:  r.Forwarded.P99 - r.Direct.P99,
		P999: r.Forwarded.P999 - r.Direct.P999,
	}
	return r
}

// loadClient sends requests to one address at a constant rate. It is an open-loop
// client: it does not wait for earlier requests to complete. It records the time from
// sending a request to the end of the response. Failed requests are only counted.
type loadClient struct {
	url    string
	cost   string
	client *http.Client

	mu        sync.Mutex
	latencies *latency.Histogram
	failed    int64
}

const (
	maxIdleConns = 256
)

func newLoadClient(url string, cost time.Duration) *loadClient {
	return &loadClient{
		url:       url,
		cost:      cost.String(),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		latencies: latency.NewHistogram(),
	}
}

func (c *loadClient) close() { c.client.CloseIdleConnections() }

func (c *loadClient) reset() {
	c.latencies.Reset()
	c.failed = 0
}

// run sends requests at the given rate for the given duration and waits for the
// responses. It stops sending early if the context ends.
func (c *loadClient) run(ctx context.Context, rate int, d time.Duration) {
	var wg sync.WaitGroup
	start := time.Now()
	interval := time.Second / time.Duration(rate)
	for n := 0; ctx.Err() == nil; n++ {
		due := start.Add(time.Duration(n) * interval)
		if due.Sub(start) >= d {
			break
		}
		time.Sleep(time.Until(due))
		wg.Go(func() { c.callAndRecord(ctx, time.Now()) })
	}
	wg.Wait()
}

// callAndRecord sends a request and records its latency or its failure.
func (c *loadClient) callAndRecord(ctx context.Context, sentAt time.Time) {
	err := c.call(ctx)
	callTime := time.Since(sentAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failed++
		return
	}
	c.latencies.Record(callTime)
}

// call sends one request and reads the response.
func (c *loadClient) call(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return err
	}
	req.Header.Set(wire.HeaderService, string(calledService))
	req.Header.Set(standin.HeaderServiceTime, c.cost)
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("unexpected status %s", resp.Status)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// PrintForward writes the result of Forward as a table of latencies in milliseconds.
func PrintForward(w io.Writer, r ForwardResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "%d calls, %d failed\tp50 ms\tp99 ms\tp99.9 ms\t\n", r.Calls, r.Failed)
	for _, row := range []struct {
		name      string
		latencies latency.Percentiles
	}{{"direct", r.Direct}, {"forwarded", r.Forwarded}, {"added", r.Added}} {
		_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t\n", row.name, milliseconds(row.latencies.P50), milliseconds(row.latencies.P99), milliseconds(row.latencies.P999))
	}
	return t.Flush()
}

func milliseconds(us int64) float64 { return float64(us) / 1e3 }
