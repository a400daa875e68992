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

// Pinger asks daemons whether they live.
type Pinger interface {
	Ping(ctx context.Context, to model.DaemonID, req *peerv1.PingRequest) (*peerv1.PingResponse, error)
}

const (
	pingTimeout = 500 * time.Millisecond
	// indirectPingTimeout bounds a ping through another daemon.
	indirectPingTimeout = 1200 * time.Millisecond
	// maxIndirectPings is the number of daemons asked to ping for this one.
	maxIndirectPings = 3
	// maxChecks bounds the checks running at the same time; more are dropped,
	// since the next failure asks for them again.
	maxChecks = 4
)

// runningChecks are the liveness checks now running.
type runningChecks struct {
	mu      sync.Mutex
	daemons map[model.DaemonID]bool
}

func (c *runningChecks) init() { c.daemons = make(map[model.DaemonID]bool) }

func (c *runningChecks) begin(d model.DaemonID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.daemons[d] || len(c.daemons) >= maxChecks {
		return false
	}
	c.daemons[d] = true
	return true
}

func (c *runningChecks) end(d model.DaemonID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.daemons, d)
}

// ReportUnreachable reports that a daemon could not be reached, by a round or by a
// call. It starts a check in the background.
func (r *Registry) ReportUnreachable(d model.DaemonID) {
	if r.opts.Pinger == nil || d == r.opts.Self || r.Health(d) != member.Alive || !r.checks.begin(d) {
		return
	}
	go func() {
		defer r.checks.end(d)
		r.check(context.Background(), d)
	}()
}

// check suspects a daemon that answers neither directly nor through others.
func (r *Registry) check(ctx context.Context, d model.DaemonID) {
	if r.pingDirectly(ctx, d) {
		r.metrics.checksDirect.Inc(1)
		return
	}
	reached, alive := r.pingIndirectly(ctx, d)
	switch {
	case alive:
		r.metrics.checksIndirect.Inc(1)
	case !reached:
		r.metrics.checksInconclusive.Inc(1)
	default:
		r.markSuspect(d)
	}
}

func (r *Registry) markSuspect(d model.DaemonID) {
	r.mu.Lock()
	news := r.directory.Suspect(d)
	r.mu.Unlock()
	if !news {
		return
	}
	r.metrics.suspected.Inc(1)
	r.opts.Logger.Info("daemon does not answer", "daemon", d)
	r.opts.OnUpdate()
}

func (r *Registry) pingDirectly(ctx context.Context, d model.DaemonID) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	resp, err := r.opts.Pinger.Ping(ctx, d, &peerv1.PingRequest{From: string(r.opts.Self)})
	if err != nil || !resp.GetAlive() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directory.Answered(d, model.Incarnation(resp.GetIncarnation()))
	return true
}

// pingIndirectly has other daemons ping d. It reports whether any of them answered
// at all, and whether one reached d. With nobody to ask, this daemon's own word
// counts.
func (r *Registry) pingIndirectly(ctx context.Context, d model.DaemonID) (reached, alive bool) {
	chosen := r.chooseHelpers(d)
	if len(chosen) == 0 {
		return true, false
	}
	ctx, cancel := context.WithTimeout(ctx, indirectPingTimeout)
	defer cancel()
	answers := make(chan *peerv1.PingResponse, len(chosen))
	for _, h := range chosen {
		go func() {
			resp, err := r.opts.Pinger.Ping(ctx, h, &peerv1.PingRequest{From: string(r.opts.Self), Target: string(d)})
			if err != nil {
				resp = nil
			}
			answers <- resp
		}()
	}
	for range chosen {
		resp := <-answers
		reached = reached || resp != nil
		if resp.GetAlive() {
			return true, true
		}
	}
	return reached, false
}

// chooseHelpers chooses daemons that are alive, of other zones than this one's
// where there are any: when its zone is cut off, they do not answer, and nobody
// is suspected.
func (r *Registry) chooseHelpers(d model.DaemonID) []model.DaemonID {
	var near, far []model.DaemonID
	for _, p := range r.Peers() {
		if p.ID == d || p.ID == r.opts.Self || r.Health(p.ID) != member.Alive {
			continue
		}
		if p.Zone == r.opts.Zone {
			near = append(near, p.ID)
			continue
		}
		far = append(far, p.ID)
	}
	if len(far) == 0 {
		far = near
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rng.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return far[:min(len(far), maxIndirectPings)]
}

// RecordExchange takes in how a message of a round to a peer went.
func (r *Registry) RecordExchange(p peer.Peer, err error) {
	if err != nil {
		r.ReportUnreachable(p.ID)
	}
}

// HandlePing answers a ping, for this daemon or for the one it names.
func (r *Registry) HandlePing(ctx context.Context, req *peerv1.PingRequest) (*peerv1.PingResponse, error) {
	if target := model.DaemonID(req.GetTarget()); target != "" && target != r.opts.Self {
		return &peerv1.PingResponse{Alive: r.opts.Pinger != nil && r.pingDirectly(ctx, target)}, nil
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	return &peerv1.PingResponse{Alive: true, Incarnation: uint64(r.directory.Incarnation())}, nil
}
