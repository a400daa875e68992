package membership

import (
	"context"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/member"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/peer"
	peerv1 "github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1"
)

// Pinger sends pings to daemons, to check whether they are alive.
type Pinger interface {
	Ping(ctx context.Context, to model.DaemonID, req *peerv1.PingRequest) (*peerv1.PingResponse, error)
}

const (
	// pingTimeout bounds a direct ping.
	pingTimeout = 500 * time.Millisecond
	// indirectPingTimeout bounds all indirect pings of a liveness check together.
	indirectPingTimeout = 1200 * time.Millisecond
	// maxIndirectPings is the maximum number of helpers in a liveness check. A
	// helper is a daemon that is asked to ping the daemon under check.
	maxIndirectPings = 3
	// maxChecks bounds the concurrent liveness checks. While maxChecks checks are
	// running, a report that another daemon is unreachable is ignored. A later report
	// can start the check of that daemon.
	maxChecks = 4
)

// runningChecks is the set of daemons whose liveness is being checked.
type runningChecks struct {
	mu sync.Mutex
	// daemons is true for each daemon that is being checked.
	daemons map[model.DaemonID]bool
}

func (c *runningChecks) init() { c.daemons = make(map[model.DaemonID]bool) }

// begin adds a daemon. It returns false if the daemon is already being checked, or
// if maxChecks checks are running.
func (c *runningChecks) begin(d model.DaemonID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.daemons[d] || len(c.daemons) >= maxChecks {
		return false
	}
	c.daemons[d] = true
	return true
}

// end removes a daemon whose check has ended.
func (c *runningChecks) end(d model.DaemonID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.daemons, d)
}

// ReportUnreachable reports that an exchange round or a call could not reach a
// daemon. It starts a liveness check of the daemon in the background, unless the daemon
// is this one, is already suspect or dead, or is being checked. It also starts none
// while maxChecks checks are running, or if there is no Pinger.
func (r *Registry) ReportUnreachable(d model.DaemonID) {
	if r.opts.Pinger == nil || d == r.opts.Self || r.Health(d) != member.Alive || !r.checks.begin(d) {
		return
	}
	go func() {
		defer r.checks.end(d)
		r.checkLiveness(context.Background(), d)
	}()
}

// checkLiveness pings a daemon directly and, if there is no response, through helpers.
// If a helper responds but none reaches the daemon, it marks the daemon as suspect. If
// helpers were asked and none of them responds, the check is inconclusive and changes
// nothing. If there are no helpers to ask, the failed direct ping is sufficient to mark
// the daemon as suspect.
func (r *Registry) checkLiveness(ctx context.Context, d model.DaemonID) {
	if r.pingDirectly(ctx, d) {
		r.metrics.checksDirect.Inc(1)
		return
	}
	responded, alive := r.pingIndirectly(ctx, d)
	switch {
	case alive:
		r.metrics.checksIndirect.Inc(1)
	case !responded:
		r.metrics.checksInconclusive.Inc(1)
	default:
		r.markSuspect(d)
	}
}

// markSuspect marks a daemon as suspect. If the daemon was considered alive, markSuspect
// also calls OnUpdate, which relays the suspicion to peers.
func (r *Registry) markSuspect(d model.DaemonID) {
	r.mu.Lock()
	changed := r.directory.Suspect(d)
	r.mu.Unlock()
	if !changed {
		return
	}
	r.metrics.checksSuspected.Inc(1)
	r.opts.Logger.Info("daemon does not respond, suspected", "daemon", d)
	r.opts.OnUpdate()
}

// pingDirectly pings a daemon from this daemon and reports whether the daemon responds
// that it is alive. If so, pingDirectly records the incarnation in the response.
func (r *Registry) pingDirectly(ctx context.Context, d model.DaemonID) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	resp, err := r.opts.Pinger.Ping(ctx, d, &peerv1.PingRequest{From: string(r.opts.Self)})
	if err != nil || !resp.GetAlive() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directory.RecordResponse(d, model.Incarnation(resp.GetIncarnation()))
	return true
}

// pingIndirectly asks helpers to ping d. responded reports whether any helper
// responded. alive reports whether a helper reached d. If there are no helpers,
// responded is true and alive is false, so that the failed direct ping is sufficient
// to make d suspect.
func (r *Registry) pingIndirectly(ctx context.Context, d model.DaemonID) (responded, alive bool) {
	helpers := r.chooseHelpers(d)
	if len(helpers) == 0 {
		return true, false
	}
	ctx, cancel := context.WithTimeout(ctx, indirectPingTimeout)
	defer cancel()
	responses := make(chan *peerv1.PingResponse, len(helpers))
	for _, helper := range helpers {
		go func() {
			resp, err := r.opts.Pinger.Ping(ctx, helper, &peerv1.PingRequest{From: string(r.opts.Self), Target: string(d)})
			if err != nil {
				resp = nil
			}
			responses <- resp
		}()
	}
	for range helpers {
		resp := <-responses
		responded = responded || resp != nil
		if resp.GetAlive() {
			return true, true
		}
	}
	return responded, false
}

// chooseHelpers chooses up to maxIndirectPings live daemons at random as helpers for
// indirect pings of d. All helpers are in other availability zones than this daemon,
// unless no live daemon is known there. So if this daemon's zone is cut off from the
// others, no helper responds and no daemon is suspected.
func (r *Registry) chooseHelpers(d model.DaemonID) []model.DaemonID {
	var localDaemons, remoteDaemons []model.DaemonID
	for _, p := range r.Peers() {
		if p.ID == d || p.ID == r.opts.Self || r.Health(p.ID) != member.Alive {
			continue
		}
		if p.Zone == r.opts.Zone {
			localDaemons = append(localDaemons, p.ID)
			continue
		}
		remoteDaemons = append(remoteDaemons, p.ID)
	}
	if len(remoteDaemons) == 0 {
		remoteDaemons = localDaemons
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rng.Shuffle(len(remoteDaemons), func(i, j int) { remoteDaemons[i], remoteDaemons[j] = remoteDaemons[j], remoteDaemons[i] })
	return remoteDaemons[:min(len(remoteDaemons), maxIndirectPings)]
}

// RecordExchange is called after an exchange with a peer. If the exchange failed,
// it reports the peer as unreachable.
func (r *Registry) RecordExchange(p peer.Peer, err error) {
	if err != nil {
		r.ReportUnreachable(p.ID)
	}
}

// HandlePing responds to a ping. If the request names another daemon as its
// target, this daemon pings the target and responds whether the target is alive.
// Otherwise it responds that it is alive itself, with its incarnation.
func (r *Registry) HandlePing(ctx context.Context, req *peerv1.PingRequest) (*peerv1.PingResponse, error) {
	if target := model.DaemonID(req.GetTarget()); target != "" && target != r.opts.Self {
		return &peerv1.PingResponse{Alive: r.opts.Pinger != nil && r.pingDirectly(ctx, target)}, nil
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	return &peerv1.PingResponse{Alive: true, Incarnation: uint64(r.directory.Incarnation())}, nil
}
