package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// ms is one millisecond.
const ms = model.Instant(time.Millisecond)

// newUpstreams returns n upstreams of 6 slots each, spread over the zones a, b and c.
func newUpstreams(n int) []model.Upstream {
	zones := []model.AvailabilityZone{"a", "b", "c"}
	ups := make([]model.Upstream, n)
	for i := range ups {
		ups[i] = model.Upstream{
			ID:          model.UpstreamID(fmt.Sprintf("s-%d", i+1)),
			Service:     "s",
			Incarnation: 1,
			Zone:        zones[i%len(zones)],
			Slots:       6,
		}
	}
	return ups
}

// newRouter returns a Router of an entry in zone a, with the policy policyName and
// upstreamCount upstreams.
func newRouter(t testing.TB, policyName string, upstreamCount int) *Router {
	t.Helper()
	r, err := New(Options{Policy: policyName, Zone: "a", Seed: 1})
	require.NoError(t, err)
	r.SetUpstreams(0, newUpstreams(upstreamCount))
	return r
}

// answeredReply returns the reply to a successful request.
func answeredReply(load model.Load) Reply {
	return Reply{Outcome: outcome.ResponseComplete(), Load: load, HasLoad: true}
}

// refusedReply returns the reply to a request that the upstream refused.
func refusedReply() Reply {
	return Reply{Outcome: outcome.NotRunBecause(outcome.ReasonUpstreamRefused), Failed: true}
}

// countPlacements places n requests one after the other and returns how many of them
// each upstream received. reply returns the reply of the given upstream, which Done
// records before the next request is placed.
func countPlacements(r *Router, now model.Instant, n int, reply func(model.UpstreamID) Reply) map[model.UpstreamID]int {
	countByUpstream := make(map[model.UpstreamID]int)
	for range n {
		c, ok := r.Place(now, model.Request{}, nil, 0)
		if !ok {
			continue
		}
		countByUpstream[c.Upstream.ID]++
		r.Done(now, c.Upstream.ID, reply(c.Upstream.ID))
	}
	return countByUpstream
}

func TestEveryPolicySkipsExcludedAndDraining(t *testing.T) {
	for _, name := range PolicyNames() {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t, name, 3)
			_, ok := r.Pick(0, model.Request{}, []model.UpstreamID{"s-1", "s-2", "s-3"})
			assert.False(t, ok, "all upstreams are excluded")
			up, ok := r.Pick(0, model.Request{}, []model.UpstreamID{"s-1", "s-3"})
			assert.True(t, ok)
			assert.Equal(t, model.UpstreamID("s-2"), up.ID)

			ups := newUpstreams(3)
			ups[0].Draining = true
			r.SetUpstreams(0, ups)
			r.Observe(0, "s-3", model.Load{Draining: true, Seq: 1})
			for range 50 {
				up, ok = r.Pick(0, model.Request{}, nil)
				assert.True(t, ok)
				assert.Equal(t, model.UpstreamID("s-2"), up.ID, "the other upstreams are draining")
			}

			r.SetUpstreams(0, nil)
			_, ok = r.Pick(0, model.Request{}, nil)
			assert.False(t, ok, "there are no upstreams")
			r.Done(0, "s-2", answeredReply(model.Load{}))
		})
	}
}

// TestFastFailingUpstreamIsEjected has an upstream that fails each request immediately. The
// upstream replies faster than the others and therefore looks idle. Without ejection, it
// would attract most of the requests.
func TestFastFailingUpstreamIsEjected(t *testing.T) {
	for _, name := range PolicyNames() {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t, name, 6)
			got := countPlacements(r, 0, 2000, func(id model.UpstreamID) Reply {
				if id == "s-1" {
					return refusedReply()
				}
				return answeredReply(model.Load{Limit: 6, Running: 1})
			})
			assert.Less(t, got["s-1"], 20, "%v", got)
			assert.EqualValues(t, 1, r.Stats().Ejections)
		})
	}
}

func TestEjectedUpstreamIsRetriedAndRestored(t *testing.T) {
	r := newRouter(t, RoundRobin, 3)
	replyFailingS1 := func(id model.UpstreamID) Reply {
		if id == "s-1" {
			return refusedReply()
		}
		return answeredReply(model.Load{})
	}
	countPlacements(r, 0, 100, replyFailingS1)
	assert.Zero(t, countPlacements(r, 100*ms, 30, replyFailingS1)["s-1"], "ejected for 200 ms")
	assert.Equal(t, 1, countPlacements(r, 300*ms, 30, replyFailingS1)["s-1"], "one trial request, which fails")
	assert.Zero(t, countPlacements(r, 600*ms, 30, replyFailingS1)["s-1"], "ejected for 400 ms")
	succeed := func(model.UpstreamID) Reply { return answeredReply(model.Load{}) }
	assert.Equal(t, 10, countPlacements(r, 1000*ms, 30, succeed)["s-1"], "the trial request succeeds")
}

func TestFailuresOnAllUpstreamsEjectNone(t *testing.T) {
	r := newRouter(t, RoundRobin, 6)
	countPlacements(r, 0, 600, func(model.UpstreamID) Reply { return Reply{Outcome: outcome.ResponseComplete(), Failed: true} })
	got := countPlacements(r, 0, 60, func(model.UpstreamID) Reply { return answeredReply(model.Load{}) })
	assert.Len(t, got, 6)
}

// TestPanicModeIgnoresEjections has four of six upstreams fail all requests. Ejections must
// then be ignored, so that the failing upstreams still get requests.
func TestPanicModeIgnoresEjections(t *testing.T) {
	r := newRouter(t, RoundRobin, 6)
	failing := map[model.UpstreamID]bool{"s-1": true, "s-2": true, "s-3": true, "s-4": true}
	reply := func(id model.UpstreamID) Reply {
		if failing[id] {
			return refusedReply()
		}
		return answeredReply(model.Load{})
	}
	got := countPlacements(r, 0, 600, reply)
	assert.Positive(t, r.Stats().Panics)
	assert.Greater(t, got["s-4"], 50, "with four of six upstreams ejected, ejections are ignored")
}

func TestObserveIgnoresOlderLoad(t *testing.T) {
	r := newRouter(t, TwoChoices, 1)
	r.Observe(0, "s-1", model.Load{Running: 5, Seq: 7})
	r.Observe(0, "s-1", model.Load{Running: 1, Seq: 6})
	assert.EqualValues(t, 5, r.byID["s-1"].load.Running)
}

func TestNewIncarnationResetsStateAndRampsUp(t *testing.T) {
	r := newRouter(t, ExpectedCompletion, 3)
	r.Observe(0, "s-1", model.Load{Draining: true, Seq: 9})
	ups := newUpstreams(3)
	ups[0].Incarnation = 2
	r.SetUpstreams(0, ups)
	assert.True(t, r.byID["s-1"].usable(0, nil, false))
	assert.InDelta(t, minRampFraction, r.byID["s-1"].rampFraction(0, r.opts.Ramp), 1e-9)
	assert.InDelta(t, 0.5, r.byID["s-1"].rampFraction(1000*ms, r.opts.Ramp), 1e-9)
	assert.InDelta(t, 1, r.byID["s-1"].rampFraction(2000*ms, r.opts.Ramp), 1e-9)
	assert.InDelta(t, 1, r.byID["s-2"].rampFraction(0, r.opts.Ramp), 1e-9, "s-2 is not new")
}

func TestRequestWaitsAfterMaxRejections(t *testing.T) {
	r := newRouter(t, ExpectedCompletion, 3)
	for rejectionCount := range MaxRejections {
		c, ok := r.Place(0, model.Request{}, nil, rejectionCount)
		require.True(t, ok)
		assert.Equal(t, model.AvailabilityZone("a"), c.Upstream.Zone)
		assert.Zero(t, c.QueueTimeout)
		rejected := outcome.NotRunBecause(outcome.ReasonWithdrawn)
		assert.True(t, c.Rejected(rejected))
		r.Done(0, c.Upstream.ID, Reply{Outcome: rejected})
	}
	c, ok := r.Place(0, model.Request{}, nil, MaxRejections)
	require.True(t, ok)
	assert.Equal(t, WaitForDeadline, c.QueueTimeout)
	assert.False(t, c.Rejected(outcome.NotRunBecause(outcome.ReasonWithdrawn)))
	assert.EqualValues(t, MaxRejections, r.Stats().Rejections)
}

// TestCrossesZonesWhenTheLocalQueueIsLong has the only upstream of the local zone first full
// with an empty queue, and then with a queue of 20 requests. Only then must a request go to
// another zone, where it waits until its deadline instead of being rejected.
func TestCrossesZonesWhenTheLocalQueueIsLong(t *testing.T) {
	r := newRouter(t, ExpectedCompletion, 3)
	fullLoad := model.Load{Running: 6, Limit: 6, ServiceTime: 2 * time.Millisecond, Seq: 1}
	r.Observe(0, "s-1", fullLoad)
	c, _ := r.Place(0, model.Request{}, nil, MaxRejections)
	assert.Equal(t, model.UpstreamID("s-1"), c.Upstream.ID, "a wait of 0.33 ms is shorter than the round trip to another zone")
	r.Done(0, c.Upstream.ID, Reply{})
	fullLoad.Waiting, fullLoad.Seq = 20, 2
	r.Observe(0, "s-1", fullLoad)
	c, _ = r.Place(0, model.Request{}, nil, MaxRejections)
	assert.NotEqual(t, model.UpstreamID("s-1"), c.Upstream.ID)
	assert.Equal(t, WaitForDeadline, c.QueueTimeout, "a rejection would cost a round trip between zones")
	assert.EqualValues(t, 1, r.Stats().CrossZone)
}

// TestEntriesWithEqualKnowledgeSpreadRequests checks that entries that know the same
// loads do not all choose the same upstream.
func TestEntriesWithEqualKnowledgeSpreadRequests(t *testing.T) {
	counts := make(map[model.UpstreamID]int)
	for seed := range uint64(1000) {
		r, err := New(Options{Zone: "a", Seed: seed})
		require.NoError(t, err)
		ups := newUpstreams(4)
		for i := range ups {
			ups[i].Zone = "a"
		}
		r.SetUpstreams(0, ups)
		for i := range ups {
			r.Observe(0, ups[i].ID, model.Load{Running: 5, Limit: 6, ServiceTime: 2 * time.Millisecond, Seq: 1})
		}
		c, _ := r.Place(0, model.Request{}, nil, 0)
		counts[c.Upstream.ID]++
	}
	for id, n := range counts {
		assert.InDelta(t, 250, n, 60, id)
	}
}

func TestUnknownPolicyErrorListsPolicies(t *testing.T) {
	_, err := New(Options{Policy: "fastest"})
	var policyErr *UnknownPolicyError
	require.ErrorAs(t, err, &policyErr)
	assert.Contains(t, err.Error(), ExpectedCompletion)
}

func TestSilentUpstreamIsAvoidedUntilItReplies(t *testing.T) {
	r := newRouter(t, ExpectedCompletion, 2)
	load := model.Load{Running: 1, Limit: 6, ServiceTime: 2 * time.Millisecond, Seq: 1}
	r.Observe(0, "s-1", load)
	r.Observe(0, "s-2", load)
	exclude := []model.UpstreamID{"s-2"}
	for range stuckUnanswered {
		_, ok := r.Place(0, model.Request{}, exclude, MaxRejections)
		require.True(t, ok)
	}
	place := func(now model.Instant) model.UpstreamID {
		c, ok := r.Place(now, model.Request{}, nil, MaxRejections)
		require.True(t, ok)
		return c.Upstream.ID
	}
	assert.Equal(t, model.UpstreamID("s-1"), place(7*ms), "the silence is not unusual yet")
	assert.Equal(t, model.UpstreamID("s-2"), place(50*ms), "s-1 counts as stuck")
	load.Seq++
	r.Done(51*ms, "s-1", answeredReply(load))
	assert.Equal(t, model.UpstreamID("s-1"), place(52*ms), "s-1 has replied")
}

func TestUnreachableZoneIsEjectedWithoutPanicMode(t *testing.T) {
	r := newRouter(t, RoundRobin, 6)
	connectFailed := Reply{Outcome: outcome.NotRunBecause(outcome.ReasonConnect)}
	c, ok := r.Place(0, model.Request{}, []model.UpstreamID{"s-1", "s-4"}, 0)
	require.True(t, ok)
	r.Done(0, c.Upstream.ID, connectFailed)
	got := countPlacements(r, 0, 40, func(model.UpstreamID) Reply { return answeredReply(model.Load{}) })
	assert.Len(t, got, 4, "one failed connection ejects its whole zone, which has not replied")
	assert.Zero(t, r.Stats().Panics)
}

func TestOneUnreachableUpstreamDoesNotEjectItsZone(t *testing.T) {
	r := newRouter(t, RoundRobin, 6)
	countPlacements(r, 0, 6, func(model.UpstreamID) Reply { return answeredReply(model.Load{}) })
	c, ok := r.Place(0, model.Request{}, []model.UpstreamID{"s-1", "s-4", "s-2", "s-5", "s-6"}, 0)
	require.True(t, ok)
	r.Done(0, c.Upstream.ID, Reply{Outcome: outcome.NotRunBecause(outcome.ReasonConnect)})
	got := countPlacements(r, 0, 50, func(model.UpstreamID) Reply { return answeredReply(model.Load{}) })
	assert.Len(t, got, 5)
}

func TestUnreachableUpstreamsAreTriedWhenNoneIsLeft(t *testing.T) {
	for _, name := range PolicyNames() {
		r := newRouter(t, name, 3)
		for _, up := range newUpstreams(3) {
			r.Done(0, up.ID, Reply{Outcome: outcome.NotRunBecause(outcome.ReasonConnect)})
		}
		_, ok := r.Pick(0, model.Request{}, nil)
		assert.True(t, ok, name)
	}
}

// TestHedgeNeedsSlowUpstreamAndBudget checks the hedge delay and its preconditions. It then
// checks that a request is hedged only if its upstream is slow, and only until the budget is
// used up.
func TestHedgeNeedsSlowUpstreamAndBudget(t *testing.T) {
	r := newRouter(t, ExpectedCompletion, 3)
	req := model.Request{Group: "g", Idempotent: true}
	_, ok := r.HedgeDelay(req)
	assert.False(t, ok, "no latencies are known yet")
	now := model.Instant(0)
	for i := range 2000 {
		now += ms
		c, _ := r.Place(now, req, nil, 0)
		reply := answeredReply(model.Load{Limit: 6, ServiceTime: 2 * time.Millisecond, Seq: uint64(i)})
		reply.Group, reply.Latency = "g", time.Duration(1+i%100)*time.Millisecond
		r.Done(now, c.Upstream.ID, reply)
	}
	delay, ok := r.HedgeDelay(req)
	assert.True(t, ok)
	assert.InDelta(t, 98, float64(delay)/float64(time.Millisecond), 7, "the estimate rises in steps of 5%")
	_, ok = r.HedgeDelay(model.Request{Group: "g"})
	assert.False(t, ok, "not idempotent")

	r.Done(now, "s-1", answeredReply(model.Load{Limit: 6, Seq: 1 << 20}))
	_, ok = r.Hedge(now, "s-1", now-ms, nil)
	assert.False(t, ok, "s-1 has replied since, so only the request takes long")
	hedgeCount := 0
	for range 100 {
		c, ok := r.Hedge(now, "s-1", now+ms, []model.UpstreamID{"s-1"})
		if !ok {
			break
		}
		hedgeCount++
		assert.NotEqual(t, model.UpstreamID("s-1"), c.Upstream.ID)
		assert.Zero(t, c.QueueTimeout, "a hedge only uses a free slot")
	}
	assert.Equal(t, hedgeBurst, hedgeCount)
	assert.EqualValues(t, 1, r.Stats().HedgesRefused)
}

func TestHedgeGroupsAreBounded(t *testing.T) {
	r := newRouter(t, ExpectedCompletion, 1)
	for i := range 1000 {
		reply := answeredReply(model.Load{})
		reply.Group = model.GroupName(fmt.Sprint("g", i))
		r.Done(0, "s-1", reply)
	}
	assert.Len(t, r.hedging.estimatesByGroup, maxHedgeGroups)
}

// TestStragglerIsTriedAgainAfterItsLoadAges has s-1 report a service time 2.5 times that of the
// others. After 2 s without a new load, s-1 must be chosen over upstreams with long queues.
func TestStragglerIsTriedAgainAfterItsLoadAges(t *testing.T) {
	r := newRouter(t, ExpectedCompletion, 6)
	for _, up := range newUpstreams(6) {
		load := model.Load{Running: 6, Limit: 6, ServiceTime: 2 * time.Millisecond, Seq: 1}
		if up.ID == "s-1" {
			load.ServiceTime = 5 * time.Millisecond
		}
		r.Observe(0, up.ID, load)
	}
	now := 2000 * ms
	for seq := range uint64(100) {
		for _, up := range newUpstreams(6)[1:] {
			r.Observe(now, up.ID, model.Load{Running: 6, Waiting: 30, Limit: 6, ServiceTime: 2 * time.Millisecond, Seq: seq})
		}
	}
	c, _ := r.Place(now, model.Request{}, nil, MaxRejections)
	assert.Equal(t, model.UpstreamID("s-1"), c.Upstream.ID, "s-1 has not been used for 2 s, and the others have long queues")
}
