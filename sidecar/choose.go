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
func (r *forwarder) chooseUpstream(now model.Instant) (*attemptState, bool) {
	ask := placement.Request{
		ServiceTime: r.serviceTime,
		Target:      r.request.targetTime.Sub(now),
		Exclude:     func(u placement.Upstream) bool { return r.excluded[u.Key] },
	}
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.entry.refreshCandidates(r.service, r.request.service)
	r.request.candidateCount = r.service.placer.Len()
	r.queryLoads(ask, true, placement.MaxLocalQueries, localZoneTimeout)
	if now = r.entry.daemon.now(); !r.service.placer.LocalMeetsTarget(now, ask) {
		r.queryLoads(ask, false, placement.MaxRemoteQueries, remoteZoneTimeout)
		now = r.entry.daemon.now()
	}
	c, ok := r.service.placer.Choose(now, ask)
	if !ok {
		return nil, false
	}
	r.request.expectedTime, r.request.upstreamKey = c.Expected, c.Upstream.Key
	return &attemptState{choice: c, endpoint: r.service.endpoints[c.Upstream.Key], acknowledged: make(chan struct{})}, true
}

// queryLoads queries the loads of upstreams, either in the local availability zone or in the
// remote ones. If a guard does not reply, its upstream is avoided for a while, unless the
// guard may be too far away to reply in time: the round-trip time to its zone exceeds the
// wait, or it is in a remote zone and has never replied. r.s.mu is held on entry and on
// return, but released in between.
func (r *forwarder) queryLoads(ask placement.Request, local bool, maxQueries int, timeout time.Duration) {
	now := r.entry.daemon.now()
	upstreams := r.service.placer.QueryTargets(now, ask, local, placement.MaxLoadAge, maxQueries)
	if len(upstreams) == 0 || len(upstreams) == 1 && r.service.placer.Len() == 1 {
		return
	}
	beyondTimeout := r.service.placer.ZonesBeyondRTT(timeout)
	r.service.mu.Unlock()
	replies := r.entry.daemon.datagrams.queryLoads(loadQuery{
		upstreams: upstreams, rank: r.request.route.Rank, kind: kindOf(r.request.route),
		timeout: timeout, onLate: r.service.lateLoadHandler(r.entry.daemon.now), tooFar: func(u placement.Upstream) bool { return beyondTimeout[u.Zone] },
	})
	r.service.mu.Lock()
	now = r.entry.daemon.now()
	for _, up := range upstreams {
		if h, ok := replies[up.Key]; ok {
			r.service.recordLoad(now, h)
			r.service.responded[up.Key] = true
		} else if !beyondTimeout[up.Zone] && (local || r.service.responded[up.Key]) {
			r.service.placer.MarkUnreachable(now, up.Key)
			r.entry.daemon.peers.verifyReachable(string(up.Daemon))
		}
	}
}

// recordLoad stores the load and the round-trip time from a load reply. s.mu is held.
func (s *serviceState) recordLoad(now model.Instant, h queryReply) {
	s.placer.UpdateLoad(now, h.key, h.load)
	s.placer.ObserveRTT(h.key, h.roundTrip)
}

// lateLoadHandler returns a function that stores the load from a reply that came too late
// for the choice it was requested for. Later choices use it.
func (s *serviceState) lateLoadHandler(now func() model.Instant) func(queryReply) {
	return func(h queryReply) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordLoad(now(), h)
	}
}

// hedge sends an idempotent request to a second upstream if that one is expected to
// respond in time and the retry budget allows it.
func (r *forwarder) hedge() {
	if !r.request.route.Idempotent || len(r.inFlight) != 1 || r.deliveredCount+1 >= r.request.maxAttempts() {
		return
	}
	now := r.entry.daemon.now()
	first := r.inFlight[0]
	r.excluded[first.choice.Upstream.Key] = true
	t, ok := r.chooseUpstream(now)
	if !ok {
		return
	}
	latestEnd := r.request.targetTime
	if latestEnd == 0 || r.lateHedgeScheduled {
		latestEnd = r.request.deadline
	}
	if now.Add(t.choice.Expected) <= latestEnd {
		t.charge = r.entry.takeRetry(r.service, now)
	}
	if t.charge == nil {
		r.releaseChoice(t)
		return
	}
	r.entry.daemon.metrics.hedged.Inc(1)
	r.logDecision(decision.Hedged, t, slog.String("instead_of", first.choice.Upstream.Key),
		slog.Int64("waited_ms", now.Sub(first.sentAt).Milliseconds()), slog.Int64("expected_ms", t.choice.Expected.Milliseconds()))
	r.startAttempt(t)
}
