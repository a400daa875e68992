package sidecar

import (
	"log/slog"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/retry"
	"github.com/dottereltiller/dottereltiller/decision"
)

const (
	// hedgeFactor determines when an idempotent request is hedged, that is sent to a second
	// upstream as well. The request is hedged when it has taken longer than hedgeFactor times
	// its expected time plus hedgeMargin.
	hedgeFactor = 1.4
	// hedgeMargin is the constant part of the delay before a hedge. It is added both with
	// hedgeFactor and with lateHedgeFactor.
	hedgeMargin = 15 * time.Millisecond
	// lateHedgeFactor replaces hedgeFactor when a hedge is considered for the second
	// time. By then the request can no longer meet its target latency, and its upstream
	// may have stopped responding.
	lateHedgeFactor = 4
)

// chooseUpstream queries the loads of candidates and chooses the upstream for the next attempt.
// It returns the attempt, which is not started yet. It returns false if there is no candidate or
// all candidates are excluded.
func (f *forwarder) chooseUpstream(now model.Instant) (*attemptState, bool) {
	req := placement.Request{
		ServiceTime: f.serviceTime,
		Target:      f.request.targetTime.Sub(now),
		Exclude:     func(u placement.Upstream) bool { return f.excluded[u.Key] },
	}
	f.serviceState.mu.Lock()
	defer f.serviceState.mu.Unlock()
	f.entry.refreshCandidates(f.serviceState, f.request.service)
	f.request.candidateCount = f.serviceState.placer.Len()
	f.queryLoads(req, true, placement.MaxLocalQueries, localZoneTimeout)
	if now = f.entry.daemon.now(); !f.serviceState.placer.LocalMeetsTarget(now, req) {
		f.queryLoads(req, false, placement.MaxRemoteQueries, remoteZoneTimeout)
		now = f.entry.daemon.now()
	}
	choice, ok := f.serviceState.placer.Choose(now, req)
	if !ok {
		return nil, false
	}
	f.request.expectedTime, f.request.upstreamKey = choice.Expected, choice.Upstream.Key
	return &attemptState{choice: choice, endpoint: f.serviceState.endpoints[choice.Upstream.Key], acknowledged: make(chan struct{})}, true
}

// queryLoads queries the loads of up to maxQueries upstreams and stores the replies. If local is
// set, the upstreams are in the local availability zone, otherwise in remote ones. A service's
// only candidate is not queried, unless its daemon is about to stop.
//
// If a guard does not reply within the timeout, its upstream is avoided for a while. The
// upstream is not avoided if its guard may be too far away to reply in time. This is assumed if
// the round-trip time to its zone exceeds the timeout. It is also assumed of a guard in a remote
// zone that has never replied.
//
// f.serviceState.mu is held on entry and on return, but released while queryLoads waits.
func (f *forwarder) queryLoads(req placement.Request, local bool, maxQueries int, timeout time.Duration) {
	now := f.entry.daemon.now()
	upstreams := f.serviceState.placer.QueryTargets(now, req, local, placement.MaxLoadAge, maxQueries)
	if len(upstreams) == 0 || len(upstreams) == 1 && f.serviceState.placer.Len() == 1 && !upstreams[0].Stopping {
		return
	}
	beyondTimeout := f.serviceState.placer.ZonesBeyondRTT(timeout)
	f.serviceState.mu.Unlock()
	replies := f.entry.daemon.datagrams.queryLoads(loadQuery{
		upstreams: upstreams, rank: f.request.rank, kind: kindOf(f.request.route), account: f.request.accountNumber(),
		timeout: timeout, onLate: f.serviceState.lateLoadHandler(f.entry.daemon.now), tooFar: func(u placement.Upstream) bool { return beyondTimeout[u.Zone] },
	})
	f.serviceState.mu.Lock()
	now = f.entry.daemon.now()
	for _, up := range upstreams {
		if reply, ok := replies[up.Key]; ok {
			f.serviceState.recordLoad(now, reply)
			f.serviceState.responded[up.Key] = true
		} else if !beyondTimeout[up.Zone] && (local || f.serviceState.responded[up.Key]) {
			f.serviceState.placer.MarkUnreachable(now, up.Key)
			f.entry.daemon.peers.verifyReachable(string(up.Daemon))
		}
	}
}

// recordLoad stores the load and the round-trip time from a load reply. s.mu is held.
func (s *serviceState) recordLoad(now model.Instant, reply queryReply) {
	s.placer.UpdateLoad(now, reply.key, reply.load)
	s.placer.ObserveRTT(reply.key, reply.roundTrip)
}

// lateLoadHandler returns a function that stores the load from a late reply to a load query. The
// choice for which the query was sent has been made by then. Later choices use the load.
func (s *serviceState) lateLoadHandler(now func() model.Instant) func(queryReply) {
	return func(reply queryReply) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordLoad(now(), reply)
	}
}

// hedge sends an idempotent request to a second upstream. It does so only if exactly one attempt
// is in flight, the second upstream is expected to respond in time, both maxAttempts and the retry
// budget allow another attempt, and the key of the request still holds. Normally, in time means within the target latency. If the
// route has no target, or the first hedge timer has fired already, it means within the deadline.
func (f *forwarder) hedge() {
	if !f.request.route.Idempotent || len(f.inFlight) != 1 || f.deliveredCount+1 >= f.request.maxAttempts() || f.entry.keyRejection(f.request) != outcome.ReasonNone {
		return
	}
	now := f.entry.daemon.now()
	original := f.inFlight[0]
	f.excluded[original.choice.Upstream.Key] = true
	attempt, ok := f.chooseUpstream(now)
	if !ok {
		return
	}
	latestEnd := f.request.targetTime
	if latestEnd == 0 || f.lateHedgeScheduled {
		latestEnd = f.request.deadline
	}
	if now.Add(attempt.choice.Expected) <= latestEnd {
		attempt.charge = f.entry.chargeRetry(f.serviceState, now, retry.Repeating)
	}
	if attempt.charge == nil {
		f.releaseChoice(attempt)
		return
	}
	f.entry.daemon.metrics.hedged.Inc(1)
	f.logDecision(decision.Hedged, attempt, slog.String("instead_of", original.choice.Upstream.Key),
		slog.Int64("waited_ms", now.Sub(original.sentAt).Milliseconds()), slog.Int64("expected_ms", attempt.choice.Expected.Milliseconds()))
	f.startAttempt(attempt)
}
