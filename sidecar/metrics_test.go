package sidecar

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// timerCounts returns the number of values in each histogram, by name and tags.
func timerCounts(s tally.TestScope) map[string]int {
	countByTimer := map[string]int{}
	for _, t := range s.Snapshot().Timers() {
		countByTimer[fmt.Sprint(t.Name(), " ", t.Tags()["service"], " ", t.Tags()["route"])] += len(t.Values())
	}
	return countByTimer
}

// TestRequestStagesAreTimed sends one request. The daemon that received it from the caller and the
// daemon of the upstream must each record one value for each of their stages.
func TestRequestStagesAreTimed(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	status, _ := a.get(t, "/safe/")
	require.Equal(t, http.StatusOK, status)
	counts := timerCounts(a.scope)
	require.Equal(t, 1, counts["latency b safe"], "%v", counts)
	for _, stage := range []string{stageChoose, stageSend, stageLoadAge} {
		require.Equal(t, 1, counts[stage+" b "], "%s: %v", stage, counts)
	}
	counts = timerCounts(b.scope)
	for _, stage := range []string{stageGuardWait, stageUpstreamRun} {
		require.Equal(t, 1, counts[stage+" b "], "%s: %v", stage, counts)
	}
}

// TestHistogramsAreBounded records the latencies of more routes than maxTimers. The remaining
// routes must share one histogram.
func TestHistogramsAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newMetrics(scope)
	for i := range 3 * maxTimers {
		m.recordResponse("b", fmt.Sprint("route", i), outcome.ResponseComplete(), time.Millisecond)
	}
	counts := timerCounts(scope)
	require.Len(t, counts, maxTimers+1)
	require.Equal(t, 2*maxTimers, counts["latency other other"])
}

// TestOutageGaugesFollowReachability makes the store and then a peer unreachable. The gauges of how
// long each has been unreachable must be zero before and positive afterwards. The gauge of the
// store must be zero again once the store is back. The age of the configuration must be positive.
func TestOutageGaugesFollowReachability(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	readGauge := func(name string) float64 {
		for _, g := range a.Gauges() {
			if g.Name == name {
				return g.Read()
			}
		}
		require.Fail(t, "no gauge "+name)
		return 0
	}
	require.Positive(t, readGauge("config_age_seconds"))
	eventually(t, "the store is reachable", func() bool { return readGauge("config_source_lost_seconds") == 0 })
	require.Zero(t, readGauge("peers_lost_seconds"))
	s.setDown(true)
	s.publish(documentOf(1, "b")) // wakes the sources, which wait for a change
	eventually(t, "the store is unreachable", func() bool { return readGauge("config_source_lost_seconds") > 0 })
	s.setDown(false)
	eventually(t, "the store is reachable again", func() bool { return readGauge("config_source_lost_seconds") == 0 })
	b.kill() // otherwise a soon reaches b again
	a.peers.reportUnreachable(b.opts.Addresses.Peers, errStopped)
	require.Positive(t, readGauge("peers_lost_seconds"))
}

// controlBytes sums the bytes that members counted for a kind of message in one direction. An
// empty kind means all kinds.
func controlBytes(members []*member, kind, direction string) int64 {
	var n int64
	for _, m := range members {
		for _, c := range m.scope.Snapshot().Counters() {
			tags := c.Tags()
			if c.Name() == "control_bytes" && (kind == "" || tags["kind"] == kind) && tags["direction"] == direction {
				n += c.Value()
			}
		}
	}
	return n
}

// TestControlTrafficIsCountedByKind runs two daemons that serve no requests. They must count bytes
// of exchanges, heartbeats and digests in both directions, and no bytes of load queries.
func TestControlTrafficIsCountedByKind(t *testing.T) {
	s := newStore(documentOf(1, "a"))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "a", "a2")
	a.waitForCandidates(t, "a", 2)
	b.waitForCandidates(t, "a", 2)
	counted := func(kind, direction string) int64 { return controlBytes([]*member{a, b}, kind, direction) }
	require.Positive(t, counted("sync", "sent"))
	require.Positive(t, counted("sync", "received"))
	for _, kind := range []string{"heartbeat", "comparison"} {
		eventually(t, kind, func() bool { return counted(kind, "sent") > 0 && counted(kind, "received") > 0 })
	}
	require.Zero(t, counted("load_question", "sent"))
}

// TestDatagramKindsAreNamed checks that every kind of datagram that has a handler, and no other,
// has a name in the metrics.
func TestDatagramKindsAreNamed(t *testing.T) {
	for kind := range handlerByKind {
		require.Contains(t, datagramNameByKind, kind)
	}
	require.Len(t, datagramNameByKind, len(handlerByKind))
}
