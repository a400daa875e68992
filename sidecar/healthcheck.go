package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/hop"
)

// maxHealthResponseBytes bounds the body of the response to a health check, in bytes. It is not used.
const maxHealthResponseBytes = 64 << 10

// refreshSlowdown sends a health check to the upstream if one is due. It waits until the health check or
// the context ends. Concurrent callers wait for the same response.
func (g *guard) refreshSlowdown(ctx context.Context) {
	g.mu.Lock()
	if !g.isHealthCheckDue() {
		g.mu.Unlock()
		return
	}
	done := g.startHealthCheck()
	g.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// isHealthCheckDue reports whether a health check of the upstream is due. It is if the upstream is ready
// and its slowdown is unknown or older than placement.MaxSlowdownAge, unless the upstream is known not to
// report its load. While the upstream limits the rate of its requests, a health check is due only if there
// has been neither a response with a load nor a health check for limitedCheckInterval. It may show that the
// limit is lifted. g.mu is held.
func (g *guard) isHealthCheckDue() bool {
	now := g.now()
	slowdownAge := now.Sub(g.slowdownAt)
	if g.tracker.Current().State != lifecycle.Ready || g.evacuated {
		return false
	}
	if _, limited := g.starts.Named.Limit(); limited {
		return min(slowdownAge, now.Sub(g.healthCheckAt)) >= limitedCheckInterval
	}
	return !g.loadUnreported() && !(g.slowdownReported && slowdownAge < placement.MaxSlowdownAge)
}

// startHealthCheck starts a health check unless one is in progress. It returns a channel that is
// closed at the end of that health check. g.mu is held.
func (g *guard) startHealthCheck() <-chan struct{} {
	if g.healthCheckDone == nil {
		g.healthCheckDone, g.healthCheckAt = make(chan struct{}), g.now()
		go g.runHealthCheck(g.healthCheckDone)
	}
	return g.healthCheckDone
}

// runHealthCheck sends one health check and closes done.
func (g *guard) runHealthCheck(done chan struct{}) {
	g.checkHealth(healthCheckTimeout, false)
	g.mu.Lock()
	g.healthCheckDone = nil
	waiting := g.queue.Waiting() > 0
	g.mu.Unlock()
	close(done)
	if waiting {
		// The response may show that the upstream is warm, or cold.
		g.dispatch()
	}
}

// checkHealth sends a health check to the upstream and records the load from the response. It
// returns what the upstream reported in the headers, and true if the status is 200. Without a
// path for health checks or without a response, it returns false. If proof is set, or a proof that the upstream is
// warm or no longer limited is due, no late response to another check can be taken for the response.
func (g *guard) checkHealth(timeout time.Duration, proof bool) (ResponseInfo, bool) {
	path := g.healthPath()
	if path == "" {
		return ResponseInfo{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var r ResponseInfo
	req := hop.PoolRequest{
		Method: http.MethodGet, Target: path, Host: g.opts.Addresses.Upstream, Header: http.Header{},
		Accept: func(resp *http.Response) bool {
			r = g.opts.Codec.ReadResponseInfo(resp.StatusCode, resp.Header)
			return r.ID == ""
		},
		MaxResponseBytes: maxHealthResponseBytes,
		CloseAfter:       func(*http.Response) bool { return r.isAnonymousRefusal() },
	}
	sent := g.now()
	g.mu.Lock()
	pool := g.healthPool
	proof = proof || g.starts.ProofDue(sent)
	g.mu.Unlock()
	if proof {
		// Responses to health checks name no request. A late copy of the response to another check on the
		// connection could not be told apart, and may have been true only before.
		req.MaxIdleTime = -1
		req.CloseAfter = func(*http.Response) bool { return true }
	}
	g.metrics.healthChecks.Inc(1)
	reply, err := pool.Do(ctx, req)
	if err != nil {
		return ResponseInfo{}, false
	}
	g.recordLoad(r.Load)
	g.recordColdness(sent, r.Coldness, proof)
	if r.Instance != "" {
		g.recordStatements(&response{upstream: lifecycle.Incarnation{ID: r.Instance}, sentAt: sent, healthCheck: true, info: r})
	}
	return r, reply.Status == http.StatusOK
}

// discoverUpstream identifies the running upstream by a health check. A daemon that starts after
// its upstream then need not wait for the next status report. If a status report has
// arrived first, the health response does not replace it. An upstream that responds that it is leaving is
// taken as draining, so that a late report does not make it ready.
func (g *guard) discoverUpstream() {
	asked := g.moment()
	r, healthy := g.checkHealth(startHealthCheckTimeout, true)
	if r.Instance == "" || !healthy && !r.Leaving {
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
		report.Slots = g.slotsFromPeers(report.Incarnation)
	}
	if r.Leaving {
		report.State = lifecycle.Draining
	}
	g.mu.Lock()
	report.Service = g.service
	known := g.tracker.Current().State != lifecycle.Unknown
	g.identity = identityOf(r, healthy, asked)
	g.mu.Unlock()
	if !known {
		g.handleReport(report, "health answer")
		g.recordStatements(&response{upstream: report.Incarnation, sentAt: asked.Steady, healthCheck: true, info: r})
	}
}
