package sidecar

import (
	"log/slog"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/decision"
)

const (
	// An idempotent request is hedged, that is sent to a second upstream as well, when it
	// has taken longer than hedgeFactor times its expected time plus hedgeMargin.
	hedgeFactor = 1.4
	hedgeMargin = 15 * time.Millisecond
	// lateHedgeFactor replaces hedgeFactor when a hedge is considered for the second
	// time. By then the request can no longer meet its target latency, and its upstream
	// may have stopped responding.
	lateHedgeFactor = 4
)

// chooseUpstream picks the upstream for the next attempt. It returns false if all
// candidates are excluded.
func (r *race) chooseUpstream(now model.Instant) (*try, bool) {
	ask := placement.Request{
		ServiceTime: r.serviceTime,
		Target:      r.req.targetTime.Sub(now),
		Exclude:     func(u placement.Upstream) bool { return r.tried[u.Key] },
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.e.refreshCandidates(r.s, r.req.service)
	r.req.candidateCount = r.s.placer.Len()
	r.inquire(ask, true, placement.MaxLocalQueries, localZoneTimeout)
	if now = r.e.daemon.now(); !r.s.placer.LocalMeetsTarget(now, ask) {
		r.inquire(ask, false, placement.MaxRemoteQueries, farWait)
		now = r.e.daemon.now()
	}
	c, ok := r.s.placer.Choose(now, ask)
	if !ok {
		return nil, false
	}
	r.req.expectedTime, r.req.upstreamKey = c.Expected, c.Upstream.Key
	return &try{choice: c, endpoint: r.s.endpoints[c.Upstream.Key], acknowledged: make(chan struct{})}, true
}

// inquire queries the loads of upstreams, either in the local availability zone or in the
// remote ones. If a guard does not reply, its upstream is avoided for a while, unless the
// guard may be too far away to reply in time: the round-trip time to its zone exceeds the
// wait, or it is in a remote zone and has never replied. r.s.mu is held on entry and on
// return, but released in between.
func (r *race) inquire(ask placement.Request, local bool, maxQueries int, timeout time.Duration) {
	now := r.e.daemon.now()
	upstreams := r.s.placer.QueryTargets(now, ask, local, placement.MaxLoadAge, maxQueries)
	if len(upstreams) == 0 || len(upstreams) == 1 && r.s.placer.Len() == 1 {
		return
	}
	beyondTimeout := r.s.placer.ZonesBeyondRTT(timeout)
	r.s.mu.Unlock()
	replies := r.e.daemon.datagrams.ask(inquiry{
		ups: upstreams, rank: r.req.route.Rank, kind: kindOf(r.req.route),
		wait: timeout, late: r.s.lateLoadHandler(r.e.daemon.now), tooFar: func(u placement.Upstream) bool { return beyondTimeout[u.Zone] },
	})
	r.s.mu.Lock()
	now = r.e.daemon.now()
	for _, up := range upstreams {
		if h, ok := replies[up.Key]; ok {
			r.s.recordLoad(now, h)
			r.s.answered[up.Key] = true
		} else if !beyondTimeout[up.Zone] && (local || r.s.answered[up.Key]) {
			r.s.placer.MarkUnreachable(now, up.Key)
			r.e.daemon.peers.verifyReachable(string(up.Daemon))
		}
	}
}

// recordLoad stores the load and the round-trip time from a load reply. s.mu is held.
func (s *service) recordLoad(now model.Instant, h heard) {
	s.placer.UpdateLoad(now, h.key, h.load)
	s.placer.ObserveRTT(h.key, h.took)
}

// lateLoadHandler returns a function that stores the load from a reply that came too late
// for the choice it was requested for. Later choices use it.
func (s *service) lateLoadHandler(now func() model.Instant) func(heard) {
	return func(h heard) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordLoad(now(), h)
	}
}

// hedge sends an idempotent request to a second upstream if that one is expected to
// respond in time and the retry budget allows it.
func (r *race) hedge() {
	if !r.req.route.Idempotent || len(r.live) != 1 || r.deliveredCount+1 >= r.req.maxAttempts() {
		return
	}
	now := r.e.daemon.now()
	first := r.live[0]
	r.tried[first.choice.Upstream.Key] = true
	t, ok := r.chooseUpstream(now)
	if !ok {
		return
	}
	latestEnd := r.req.targetTime
	if latestEnd == 0 || r.lateHedgeScheduled {
		latestEnd = r.req.deadline
	}
	if now.Add(t.choice.Expected) <= latestEnd {
		t.charge = r.e.takeRetry(r.s, now)
	}
	if t.charge == nil {
		r.releaseChoice(t)
		return
	}
	r.e.daemon.metrics.hedged.Inc(1)
	r.logDecision(decision.Hedged, t, slog.String("instead_of", first.choice.Upstream.Key),
		slog.Int64("waited_ms", now.Sub(first.sent).Milliseconds()), slog.Int64("expected_ms", t.choice.Expected.Milliseconds()))
	r.startAttempt(t)
}
