package sidecar

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// poison crashes the upstreams that run it.
const crashingBody = "poison"

// crashOn has an upstream crash when it runs a request with a body.
func (u *upstream) crashOn(body string) {
	u.set(func(w http.ResponseWriter, _ *http.Request) {
		u.mu.Lock()
		last := u.bodies[len(u.bodies)-1]
		u.mu.Unlock()
		if last != body {
			answerWell(w, u.id)
			return
		}
		_ = u.server.Listener.Close()
		go u.server.CloseClientConnections()
		panic(http.ErrAbortHandler)
	})
}

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

func countRan(members []*member, body string) int {
	n := 0
	for _, m := range members {
		if m.up.hasRun(body) {
			n++
		}
	}
	return n
}

// TestRequestThatCrashesUpstreamsIsRefused sends one again and again, at different
// daemons.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	callers := []*member{join(t, s, "a", "a1"), join(t, s, "a", "a2")}
	const upstreams = 6
	var of []*member
	for i := range upstreams {
		m := join(t, s, "b", fmt.Sprint("b", i))
		m.up.crashOn(crashingBody)
		of = append(of, m)
	}
	for _, a := range callers {
		a.knows(t, "b", upstreams)
	}
	for i := range crashesToRefuse {
		callers[i%2].ask(t, http.MethodPost, "/unsafe/", crashingBody)
		require.Eventually(t, func() bool { return countRan(of, crashingBody) == i+1 }, waitLimit, time.Millisecond)
	}
	for _, a := range callers {
		require.Eventually(t, func() bool {
			for _, e := range a.suspects.store.List() {
				if e.Refused {
					return true
				}
			}
			return false
		}, waitLimit, time.Millisecond)
		resp, text := a.ask(t, http.MethodPost, "/unsafe/", crashingBody)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, "quarantined\n", text)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	}
	require.Equal(t, crashesToRefuse, countRan(of, crashingBody))
	status, _ := callers[0].post(t, "/unsafe/")
	require.Equal(t, http.StatusOK, status, "another request is served")
}

// TestLostConnectionIsNoCrash resets a request's connection while its upstream runs
// on.
func TestLostConnectionIsNotACrash(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b := join(t, s, "a", "a1"), join(t, s, "b", "b1")
	a.knows(t, "b", 1)
	b.up.set(hangUp)
	for range crashesToRefuse {
		status, _ := a.post(t, "/unsafe/")
		require.Equal(t, http.StatusBadGateway, status)
	}
	require.False(t, b.suspects.store.Watching())
}

func incarnation(born int64) lifecycle.Incarnation {
	return lifecycle.Incarnation{ID: "u", Born: born}
}

// TestCrashNamesWhatRan has an upstream crash of which a new incarnation tells.
func TestCrashReportsLatestBurst(t *testing.T) {
	var now model.Instant
	var named []string
	up := newUpstream(t, "u")
	c := &crashes{
		address: up.address(), now: func() model.Instant { return now },
		crashed: func(r lostRun) { named = append(named, r.id) },
	}
	c.recordLoss(lostRun{id: "long before", upstream: incarnation(1)})
	now = now.Add(maxBurstGap + time.Millisecond)
	c.recordLoss(lostRun{id: "one", upstream: incarnation(1)})
	now = now.Add(maxBurstGap)
	c.recordLoss(lostRun{id: "two", upstream: incarnation(1)})
	c.recordLoss(lostRun{id: "other life", upstream: incarnation(2)})
	require.Empty(t, named, "the upstream still listens")
	c.upstreamCrashed(incarnation(1))
	require.Equal(t, []string{"one", "two"}, named)
	c.upstreamCrashed(incarnation(1))
	require.Len(t, named, 2)
	up.server.Close()
	c.recordLoss(lostRun{id: "three", upstream: incarnation(2)})
	require.Equal(t, []string{"one", "two", "other life", "three"}, named)
}

// TestCrashNamesTheFirstLoss has runs go on being lost for a while after a crash, as where
// something else takes connections in the upstream's place.
func TestCrashReportsLongestBurst(t *testing.T) {
	const step = 100 * time.Millisecond
	for name, c := range map[string]struct {
		// losses and answers are in steps.
		lossSteps     []int
		responseSteps []int
		want          []int
	}{
		"seven steps of losses":            {[]int{1, 2, 3, 4, 5, 6, 7, 8}, nil, []int{1, 2, 3, 4, 5, 6, 7, 8}},
		"lost before the last answer":      {[]int{1, 2, 4, 5}, []int{3}, []int{4, 5}},
		"a pause without an answer":        {[]int{1, 7, 8}, nil, []int{7, 8}},
		"answered between all":             {[]int{1, 3, 5}, []int{2, 4}, []int{5}},
		"an answer read just after a loss": {[]int{1, 4, 5}, []int{4}, []int{4, 5}},
		"the next incarnation answers":     {[]int{1, 2, 3, 4, 5, 8}, []int{7, 9}, []int{1, 2, 3, 4, 5}},
		"answered soon after":              {[]int{1}, []int{2}, []int{1}},
	} {
		t.Run(name, func(t *testing.T) {
			var now model.Instant
			var named []int
			up := newUpstream(t, "u")
			crashes := &crashes{
				address: up.address(), now: func() model.Instant { return now },
				crashed: func(r lostRun) { named = append(named, int(r.lostAt/model.Instant(step))) },
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
			crashes.upstreamCrashed(incarnation(1))
			require.Equal(t, c.want, named)
		})
	}
}

// TestCrashNamesWhatIsLostNow has an upstream lose answers, each followed by one that comes
// through, and then crash: nothing listens any longer, and only what runs then is named.
func TestCrashOfClosedUpstreamReportsCurrentRuns(t *testing.T) {
	var now model.Instant
	var named []string
	up := newUpstream(t, "u")
	c := &crashes{
		address: up.address(), now: func() model.Instant { return now },
		crashed: func(r lostRun) { named = append(named, r.id) },
	}
	for range 5 {
		now = now.Add(time.Second)
		c.recordLoss(lostRun{id: "answer lost", upstream: incarnation(1)})
		now = now.Add(2 * responseSlack)
		c.recordResponse()
	}
	now = now.Add(time.Second)
	up.server.Close()
	c.recordLoss(lostRun{id: "crashed", upstream: incarnation(1)})
	now = now.Add(time.Millisecond)
	c.recordLoss(lostRun{id: "beside", upstream: incarnation(1)})
	c.upstreamCrashed(incarnation(1))
	require.Equal(t, []string{"crashed", "beside"}, named)
}

func TestLostRunsAreBounded(t *testing.T) {
	up := newUpstream(t, "u")
	c := &crashes{address: up.address(), now: func() model.Instant { return 0 }, crashed: func(lostRun) {}}
	for range maxLostRuns + 5 {
		c.recordLoss(lostRun{upstream: incarnation(1)})
	}
	require.Len(t, c.lostRuns, maxLostRuns)
}
