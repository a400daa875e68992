package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	core "github.com/dottereltiller/dottereltiller/core/quarantine"
)

// crashingBody is the request body that crashes an upstream.
const crashingBody = "poison"

// crashOn makes an upstream crash when it runs a request with the given body.
func (u *upstream) crashOn(body string) {
	u.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		u.mu.Lock()
		lastBody := u.bodies[len(u.bodies)-1]
		u.mu.Unlock()
		if lastBody != body {
			respondOK(w, u.id)
			return
		}
		_ = u.server.Listener.Close()
		go u.server.CloseClientConnections()
		panic(http.ErrAbortHandler)
	})
}

// hasRun reports whether the upstream has run a request with the given body.
func (u *upstream) hasRun(body string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, b := range u.bodies {
		if b == body {
			return true
		}
	}
	return false
}

// countMembersThatRan returns the number of members whose upstream has run a request with the
// given body.
func countMembersThatRan(members []*member, body string) int {
	n := 0
	for _, m := range members {
		if m.upstream.hasRun(body) {
			n++
		}
	}
	return n
}

// TestCrashingRequestIsQuarantined guards against a request that crashes one upstream after
// another. The same request is sent repeatedly, over different daemons. After
// quarantineThreshold crashes, both daemons must refuse it.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	callers := []*member{startReady(t, s, "a", "a1"), startReady(t, s, "a", "a2")}
	const upstreamCount = 6
	var members []*member
	for i := range upstreamCount {
		m := startReady(t, s, "b", fmt.Sprint("b", i))
		m.upstream.crashOn(crashingBody)
		members = append(members, m)
	}
	for _, a := range callers {
		a.waitForCandidates(t, "b", upstreamCount)
	}
	for i := range quarantineThreshold {
		callers[i%2].sendRequest(t, http.MethodPost, "/unsafe/", crashingBody)
		require.Eventually(t, func() bool { return countMembersThatRan(members, crashingBody) == i+1 }, waitLimit, time.Millisecond)
	}
	for _, a := range callers {
		require.Eventually(t, func() bool {
			for _, e := range a.quarantine.store.List() {
				if e.Refused {
					return true
				}
			}
			return false
		}, waitLimit, time.Millisecond)
		resp, body := a.sendRequest(t, http.MethodPost, "/unsafe/", crashingBody)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, "quarantined\n", body)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	}
	require.Equal(t, quarantineThreshold, countMembersThatRan(members, crashingBody))
	status, _ := callers[0].post(t, "/unsafe/")
	require.Equal(t, http.StatusOK, status, "another request is served")
}

// TestLostConnectionIsNotACrash guards against a request that is suspected of a crash only
// because its connection was lost. The upstream closes the connection and continues to run.
func TestLostConnectionIsNotACrash(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	b.upstream.setHandler(hangUp)
	for range quarantineThreshold {
		status, _ := a.post(t, "/unsafe/")
		require.Equal(t, http.StatusBadGateway, status)
	}
	require.False(t, b.quarantine.store.HasRecords())
}

// incarnation returns the incarnation of the upstream "u" with the given start time.
func incarnation(born int64) lifecycle.Incarnation {
	return lifecycle.Incarnation{ID: "u", Born: born}
}

// TestCrashReportsLatestBurst checks which lost runs are reported as running during a crash. A
// crash of incarnation 1 is revealed by the report of a new incarnation. The latest burst of
// incarnation 1 must be reported once, without the run that was lost long before. Runs of
// incarnation 2 must be reported only when the upstream has stopped listening.
func TestCrashReportsLatestBurst(t *testing.T) {
	var now model.Instant
	var reported []string
	up := newUpstream(t, "u")
	c := &crashDetector{
		address: up.address(), now: func() model.Instant { return now },
		onCrash: func(r lostRun) { reported = append(reported, r.id) },
	}
	c.recordLoss(lostRun{id: "long before the crash", upstream: incarnation(1)})
	now = now.Add(maxBurstGap + time.Millisecond)
	c.recordLoss(lostRun{id: "one", upstream: incarnation(1)})
	now = now.Add(maxBurstGap)
	c.recordLoss(lostRun{id: "two", upstream: incarnation(1)})
	c.recordLoss(lostRun{id: "other incarnation", upstream: incarnation(2)})
	require.Empty(t, reported, "the upstream still listens")
	c.reportCrash(incarnation(1))
	require.Equal(t, []string{"one", "two"}, reported)
	c.reportCrash(incarnation(1))
	require.Len(t, reported, 2)
	up.server.Close()
	c.recordLoss(lostRun{id: "three", upstream: incarnation(2)})
	require.Equal(t, []string{"one", "two", "other incarnation", "three"}, reported)
}

// TestCrashReportsLongestBurst checks which burst is reported if runs are lost for a while after
// a crash. This happens when another process accepts connections at the address of the upstream.
func TestCrashReportsLongestBurst(t *testing.T) {
	const step = 100 * time.Millisecond
	for name, c := range map[string]struct {
		// lossSteps holds the times of the lost runs, in steps.
		lossSteps []int
		// responseSteps holds the times of the responses, in steps.
		responseSteps []int
		// wantLossSteps holds the times of the lost runs to be reported, in steps.
		wantLossSteps []int
	}{
		"losses over seven steps":            {[]int{1, 2, 3, 4, 5, 6, 7, 8}, nil, []int{1, 2, 3, 4, 5, 6, 7, 8}},
		"losses before and after a response": {[]int{1, 2, 4, 5}, []int{3}, []int{4, 5}},
		"a long pause without a response":    {[]int{1, 7, 8}, nil, []int{7, 8}},
		"a response after each loss":         {[]int{1, 3, 5}, []int{2, 4}, []int{5}},
		"a response read just after a loss":  {[]int{1, 4, 5}, []int{4}, []int{4, 5}},
		"responses of the next incarnation":  {[]int{1, 2, 3, 4, 5, 8}, []int{7, 9}, []int{1, 2, 3, 4, 5}},
		"a response soon after the loss":     {[]int{1}, []int{2}, []int{1}},
	} {
		t.Run(name, func(t *testing.T) {
			var now model.Instant
			var reported []int
			up := newUpstream(t, "u")
			crashes := &crashDetector{
				address: up.address(), now: func() model.Instant { return now },
				onCrash: func(r lostRun) { reported = append(reported, int(r.lostAt/model.Instant(step))) },
			}
			for i := range 10 {
				now = now.Add(step)
				if slices.Contains(c.lossSteps, i+1) {
					crashes.recordLoss(lostRun{upstream: incarnation(1)})
				}
				if slices.Contains(c.responseSteps, i+1) {
					crashes.recordResponse()
				}
			}
			crashes.reportCrash(incarnation(1))
			require.Equal(t, c.wantLossSteps, reported)
		})
	}
}

// TestCrashOfClosedUpstreamReportsCurrentRuns lets an upstream lose some runs, with a response
// after each. Then the upstream crashes and stops listening. Only the runs lost in the crash are
// reported.
func TestCrashOfClosedUpstreamReportsCurrentRuns(t *testing.T) {
	var now model.Instant
	var reported []string
	up := newUpstream(t, "u")
	c := &crashDetector{
		address: up.address(), now: func() model.Instant { return now },
		onCrash: func(r lostRun) { reported = append(reported, r.id) },
	}
	for range 5 {
		now = now.Add(time.Second)
		c.recordLoss(lostRun{id: "response lost", upstream: incarnation(1)})
		now = now.Add(2 * responseSlack)
		c.recordResponse()
	}
	now = now.Add(time.Second)
	up.server.Close()
	c.recordLoss(lostRun{id: "crashed", upstream: incarnation(1)})
	now = now.Add(time.Millisecond)
	c.recordLoss(lostRun{id: "concurrent", upstream: incarnation(1)})
	c.reportCrash(incarnation(1))
	require.Equal(t, []string{"crashed", "concurrent"}, reported)
}

// TestLostRunsAreLimited checks that the crash detector keeps at most maxLostRuns lost runs.
func TestLostRunsAreLimited(t *testing.T) {
	up := newUpstream(t, "u")
	c := &crashDetector{address: up.address(), now: func() model.Instant { return 0 }, onCrash: func(lostRun) {}}
	for range maxLostRuns + 5 {
		c.recordLoss(lostRun{upstream: incarnation(1)})
	}
	require.Len(t, c.lostRuns, maxLostRuns)
}

// TestWaitingCallOfQuarantinedRequestIsNotRun has a request wait at a guard while it is found to crash
// upstreams. It must come back with the proof that it has not run, and the next call must start.
func TestWaitingCallOfQuarantinedRequestIsNotRun(t *testing.T) {
	m := startReady(t, newStore(documentOf(1, "a")), "a", "a1")
	release := make(chan struct{})
	m.upstream.setHandler(func(w http.ResponseWriter, _ *http.Request) { <-release; respondOK(w, "a1") })
	limit := m.guard.currentLoad().Limit
	call := func(id, body string) <-chan *Result {
		done := make(chan *Result, 1)
		go func() {
			done <- m.guard.Do(context.Background(), &Call{
				ID: id, Method: http.MethodPost, Target: "/unsafe/", Host: "h", Header: http.Header{}, Body: []byte(body), Service: "a",
				Upstream: m.peers.localRecord().Upstream, Deadline: 10 * time.Second, ServiceTime: time.Millisecond,
			})
		}()
		return done
	}
	var running []<-chan *Result
	for i := range limit {
		running = append(running, call(fmt.Sprint("r", i), "good"))
	}
	eventually(t, "all slots are taken", func() bool { return m.guard.currentLoad().Running == limit })
	waiting := call("w", crashingBody)
	eventually(t, "one call waits", func() bool { return m.guard.currentLoad().Waiting == 1 })
	r := fingerprintInput("a", http.MethodPost, "/unsafe/", []byte(crashingBody))
	for i := range quarantineThreshold {
		m.quarantine.recordCrash(lostRun{fingerprint: core.FingerprintOf(r), request: r, upstream: lifecycle.Incarnation{ID: model.UpstreamID(fmt.Sprint("x", i)), Born: 1}})
	}
	eventually(t, "the request is quarantined", func() bool { _, refused := m.quarantine.store.RefusedFor(core.FingerprintOf(r)); return refused })
	close(release)
	result := <-waiting
	require.Equal(t, outcome.NotRun, result.Outcome.Kind)
	require.False(t, m.upstream.hasRun(crashingBody))
	for _, done := range running {
		require.Equal(t, outcome.Answered, (<-done).Outcome.Kind)
	}
	require.Equal(t, outcome.Answered, (<-call("next", "good")).Outcome.Kind, "the slot is free again")
}
