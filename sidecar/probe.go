package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/hop"
)

// refresh asks the upstream how slow it is unless that is known well enough.
// Callers that come meanwhile wait for the same answer.
func (g *guard) refreshSlowdown(ctx context.Context) {
	g.mu.Lock()
	if g.tracker.Current().State != lifecycle.Ready || g.doesNotReportLoad() || g.slowdownReported && g.now().Sub(g.slowdownAt) < placement.FreshFor {
		g.mu.Unlock()
		return
	}
	done := g.probeDone
	if done == nil {
		done = make(chan struct{})
		g.probeDone = done
		go g.probe(done)
	}
	g.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// probe asks once and closes done.
func (g *guard) probe(done chan struct{}) {
	g.probeHealth(probeTimeout)
	g.mu.Lock()
	g.probeDone = nil
	g.mu.Unlock()
	close(done)
}

// ask sends one health request and learns from its answer.
func (g *guard) probeHealth(timeout time.Duration) (Reading, bool) {
	path := g.health()
	if path == "" {
		return Reading{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	g.mu.Lock()
	pool := g.pool
	g.mu.Unlock()
	g.metrics.probes.Inc(1)
	reply, err := pool.Do(ctx, hop.Exchange{Method: http.MethodGet, Target: path, Host: g.opts.Addresses.Upstream, Header: http.Header{}})
	if err != nil {
		return Reading{}, false
	}
	r := g.opts.Edge.Read(reply.Status, reply.Header)
	g.recordLoad(r.Load)
	return r, reply.Status == http.StatusOK
}

// discover finds out by its health answer which upstream is there, so that a
// daemon that starts beside it need not wait for its next report.
func (g *guard) discover() {
	r, well := g.probeHealth(startProbeTimeout)
	if !well || r.Instance == "" {
		return
	}
	report := lifecycle.Report{
		Incarnation: lifecycle.Incarnation{ID: r.Instance},
		State:       lifecycle.Ready,
		Zone:        g.opts.Zone,
		Address:     g.opts.Addresses.Upstream,
	}
	if r.Load != nil && r.Load.Slots > 0 {
		report.Slots = r.Load.Slots
	} else {
		report.Slots = g.slots(report.Incarnation)
	}
	g.mu.Lock()
	report.Service = g.service
	known := g.tracker.Current().State != lifecycle.Unknown
	g.mu.Unlock()
	if !known {
		g.report(report, "health answer")
	}
}
