package sidecar

import (
	"log/slog"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/core/startrate"
	"github.com/dottereltiller/dottereltiller/decision"
)

func TestColdLimits(t *testing.T) {
	for name, c := range map[string]struct {
		bounds  ColdBounds
		service route.Service
		want    startrate.ColdLimits
	}{
		"rate, overage and slack": {ColdBounds{1.5, 8}, route.Service{ColdRate: 10, ColdDuration: 3 * time.Second}, startrate.ColdLimits{Rate: 10, PeakRate: 15, Max: 23, Duration: 3 * time.Second}},
		"no rate":                 {ColdBounds{1.5, 8}, route.Service{}, startrate.ColdLimits{Max: 8}},
		"huge rate":               {ColdBounds{1.5, 8}, route.Service{ColdRate: 1e300}, startrate.ColdLimits{Rate: 1e300, PeakRate: 1.5e300, Max: math.MaxInt32}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.bounds.limits(&c.service)) })
	}
}

// coldGuard is a guard with a clock that the test moves.
type coldGuard struct {
	*guard
	clock model.Instant
	lines *strings.Builder
}

// newColdGuard returns a guard whose upstream tolerates 10 requests per second while it is cold, and
// 23 in any second.
func newColdGuard(t *testing.T, bootstrap bool) *coldGuard {
	c := &coldGuard{clock: model.Instant(time.Second), lines: &strings.Builder{}}
	o := optionsFor(t, newStore(documentOf(1, "a")), newUpstream(t, "a1"), "a")
	o.Bootstrap = bootstrap
	o.Decisions = decision.New(decision.Options{Handler: slog.NewTextHandler(c.lines, nil)})
	c.guard = newGuard(&o, func() model.Instant { return c.clock }, newMetrics(nil))
	c.guard.configVersion = func() model.Version { return 1 }
	c.guard.isUrgent = func(int) bool { return false }
	c.guard.healthPath = func() string { return "" }
	c.setColdLimits(startrate.ColdLimits{Rate: 10, PeakRate: 15, Max: 23, Duration: 3 * time.Second})
	return c
}

// startable returns how many requests could start now.
func (c *coldGuard) startable() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for ; n < 100 && c.starts.NextStart(c.clock) == c.clock; n++ {
		c.starts.RecordStart(c.clock)
	}
	return n
}

// TestFirstDaemonTrustsAnIdleUpstream checks that at the first start of the system nothing is assumed
// to have been sent.
func TestFirstDaemonTrustsAnIdleUpstream(t *testing.T) {
	c := newColdGuard(t, true)
	report := readyReport("a1", 1, 1, "a")
	report.WarmupLeft = 2 * time.Second
	c.handleReport(report, "report")
	require.Equal(t, 15, c.startable())
}

// TestRestartedDaemonHoldsBackAtAColdUpstream guards against twice the tolerated number of requests
// around the restart of a daemon: it does not know what the previous one has just sent.
func TestRestartedDaemonHoldsBackAtAColdUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		clock time.Duration
		left  time.Duration
		want  int
	}{
		"cold since before":            {50 * time.Millisecond, 2 * time.Second, 0},
		"became cold with the daemon":  {50 * time.Millisecond, 2950 * time.Millisecond, 15},
		"warm":                         {50 * time.Millisecond, 0, 21},
		"a second after the start":     {1100 * time.Millisecond, time.Second, 15},
		"colder than it can be, early": {50 * time.Millisecond, time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := newColdGuard(t, false)
			g.clock = model.Instant(c.clock)
			g.recordColdness(g.clock, Coldness{Left: c.left}, true)
			require.Equal(t, c.want, g.startable())
		})
	}
}

// TestUpstreamColdAgainIsHeldBack has a warm upstream become cold at any moment: the guard learns of
// it from a report or a health check.
func TestUpstreamColdAgainIsHeldBack(t *testing.T) {
	g := newColdGuard(t, true)
	g.handleReport(readyReport("a1", 1, 1, "a"), "report")
	require.Equal(t, 21, g.startable(), "without a proof that the upstream is warm")
	g.clock = g.clock.Add(2 * time.Second)
	report := readyReport("a1", 1, 2, "a")
	report.WarmupLeft = 2 * time.Second
	require.Equal(t, lifecycle.Same, g.handleReport(report, "report"))
	require.Equal(t, 15, g.startable())
	require.Positive(t, g.currentLoad().StartDelay, "entries are told")
	g.clock = g.clock.Add(200 * time.Millisecond)
	g.recordColdness(g.clock, Coldness{}, true)
	require.Equal(t, 21, g.startable())
	require.Zero(t, g.currentLoad().StartDelay)
}

// TestLimitsThatAppearLaterCountFromThen guards against a burst when a configuration states for the
// first time what cold upstreams tolerate.
func TestLimitsThatAppearLaterCountFromThen(t *testing.T) {
	g := newColdGuard(t, true)
	g.setColdLimits(startrate.ColdLimits{})
	require.Equal(t, 100, g.startable())
	g.countRun()
	g.setColdLimits(startrate.ColdLimits{Rate: 10, Max: 23})
	require.Zero(t, g.startable())
}

// TestEntriesLearnOfAChangedColdRate publishes a rate for cold upstreams after requests have been placed.
func TestEntriesLearnOfAChangedColdRate(t *testing.T) {
	s := newStore(documentOf(1, "a"))
	m := startReady(t, s, "a", "a1")
	status, _ := m.get(t, "/safe/")
	require.Equal(t, http.StatusOK, status)
	before := m.peers.currentGeneration()
	doc := documentOf(2, "a")
	doc.Services[0].ColdRate = 10
	s.publish(doc)
	eventually(t, "the candidates are due to be updated", func() bool { return m.peers.currentGeneration() > before })
	upstreams, _ := m.peers.candidates("a", m.config.coldRate("a"))
	require.Equal(t, 10.0, upstreams[0].StartRate)
}

func TestInvalidColdnessIsLoggedOnce(t *testing.T) {
	g := newColdGuard(t, true)
	g.recordColdness(g.clock, Coldness{Left: time.Second}, true)
	g.clock = g.clock.Add(time.Millisecond)
	for range 3 {
		g.recordColdness(g.clock, Coldness{Invalid: "soon"}, true)
	}
	require.True(t, g.isCold(), "the last valid statement holds")
	g.opts.Decisions.Close(time.Second)
	require.Equal(t, 1, strings.Count(g.lines.String(), "soon"))
}

// TestStartDelayTravels checks that entries learn the delay, from load replies and from results.
func TestStartDelayTravels(t *testing.T) {
	for _, delay := range []time.Duration{0, 70 * time.Millisecond, 3 * time.Second} {
		l := placement.Load{Running: 1, Waiting: 2, Limit: 3, Slowdown: 1.5, FailureRate: 0.25, StartDelay: delay}
		datagram := appendLoad(make([]byte, datagramHeaderBytes), l)
		require.Len(t, datagram, loadReplyBytes)
		require.Equal(t, l, decodeLoad(datagram))
		result, err := decodeResult((&Result{Load: &l}).encode())
		require.NoError(t, err)
		require.Equal(t, delay, result.Load.StartDelay)
	}
}

// TestGuardWaitsForConfiguration guards against calls that a guard lets start before it can know what
// its upstream tolerates while it is cold, and whether its zone is evacuated.
func TestGuardWaitsForConfiguration(t *testing.T) {
	o := optionsFor(t, newStore(documentOf(1, "a")), newUpstream(t, "a1"), "a")
	g := newGuard(&o, func() model.Instant { return 1 }, newMetrics(nil))
	g.configVersion = func() model.Version { return 0 }
	g.handleReport(readyReport("a1", 1, 1, "a"), "report")
	result := g.Do(t.Context(), &Call{ID: "r", Service: "a", Upstream: readyReport("a1", 1, 1, "a").Incarnation, Deadline: time.Second, Header: http.Header{}})
	require.Equal(t, outcome.NotRunBecause(outcome.ReasonNotReady), result.Outcome)
}
