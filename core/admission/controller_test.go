package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

const ms = model.Instant(time.Millisecond)

// arrival returns the arrival of a request whose caller has the same name as its group.
func arrival(id ID, group model.GroupName, deadline model.Instant) Arrival {
	return Arrival{ID: id, Request: model.Request{Group: group, Caller: model.CallerName(group), Deadline: deadline}}
}

// reasonsByID returns the reason of each refusal by the ID of the request. The reason of
// a request that starts is ReasonNone.
func reasonsByID(effects []Effect) map[ID]outcome.Reason {
	reasons := make(map[ID]outcome.Reason)
	for _, e := range effects {
		reasons[e.ID] = e.Outcome.Reason
	}
	return reasons
}

// TestArriveRefuses lets one request arrive at a controller with one slot, at most two
// waiting requests of a group, and at most three waiting requests in all. The wanted
// reasons are those of the effects of this arrival.
func TestArriveRefuses(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(c *Controller)
		arrival Arrival
		want    map[ID]outcome.Reason
	}{
		{"deadline of zero", nil, arrival(9, "a", 0), map[ID]outcome.Reason{9: outcome.ReasonDeadline}},
		{"deadline in the past", nil, arrival(9, "a", -5), map[ID]outcome.Reason{9: outcome.ReasonDeadline}},
		{"deadline in the far future", nil, arrival(9, "a", 1<<62), map[ID]outcome.Reason{9: outcome.ReasonNone}},
		{"draining", func(c *Controller) { c.Drain(0, nil) }, arrival(9, "a", 99*ms), map[ID]outcome.Reason{9: outcome.ReasonDraining}},
		{
			"oldest request of a group over its bound",
			func(c *Controller) {
				for id := ID(1); id <= 3; id++ {
					c.Arrive(0, arrival(id, "a", 1000*ms), nil)
				}
			},
			arrival(9, "a", 1000*ms), map[ID]outcome.Reason{2: outcome.ReasonQueueFull},
		},
		{
			"full queue drops from the group with the largest weighted backlog",
			func(c *Controller) {
				c.Configure(0, []Group{{Name: "a", Weight: 8, QueueBound: 9}, {Name: "b", Weight: 1, QueueBound: 9}})
				c.Arrive(0, arrival(1, "a", 1000*ms), nil)
				c.Arrive(0, arrival(2, "a", 1000*ms), nil)
				c.Arrive(0, arrival(3, "a", 1000*ms), nil)
				c.Arrive(0, arrival(4, "b", 1000*ms), nil)
			},
			arrival(9, "a", 1000*ms), map[ID]outcome.Reason{4: outcome.ReasonShed},
		},
		{
			"full queue drops from weight zero first",
			func(c *Controller) {
				c.Configure(0, []Group{{Name: "a", Weight: 1, QueueBound: 9}, {Name: "z", Weight: 0, QueueBound: 9}})
				c.Arrive(0, arrival(1, "a", 1000*ms), nil)
				c.Arrive(0, arrival(2, "a", 1000*ms), nil)
				c.Arrive(0, arrival(3, "a", 1000*ms), nil)
				c.Arrive(0, arrival(4, "z", 1000*ms), nil)
			},
			arrival(9, "a", 1000*ms), map[ID]outcome.Reason{4: outcome.ReasonShed},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(Options{Slots: 1, QueueBound: 2, TotalBound: 3})
			if tt.prepare != nil {
				tt.prepare(c)
			}
			require.Equal(t, tt.want, reasonsByID(c.Arrive(0, tt.arrival, nil)))
		})
	}
}

// TestArriveRefusesRequestThatCannotMeetItsDeadline lets the controller observe a slot
// time of 10 ms and queues ten requests ahead of the arriving one. The arriving request
// must be refused when its deadline is 50 ms away, and must wait when it is 290 ms away.
func TestArriveRefusesRequestThatCannotMeetItsDeadline(t *testing.T) {
	c := New(Options{Slots: 1})
	c.Arrive(0, arrival(1, "a", 1000*ms), nil)
	c.Finish(10*ms, 1, Result{Outcome: outcome.ResponseComplete(), SlotTime: 10 * time.Millisecond}, nil)
	for id := ID(2); id < 13; id++ {
		c.Arrive(10*ms, arrival(id, "a", 10_000*ms), nil)
	}
	effects := c.Arrive(10*ms, arrival(20, "a", 60*ms), nil)
	require.Len(t, effects, 1)
	require.Equal(t, outcome.ReasonDeadline, effects[0].Outcome.Reason)
	require.Equal(t, 100*time.Millisecond, effects[0].Outcome.RetryAfter)
	require.Empty(t, c.Arrive(10*ms, arrival(21, "a", 300*ms), nil), "a request with enough time left waits")
}

func TestWithdrawRemovesOnlyWaitingRequests(t *testing.T) {
	c := New(Options{Slots: 1})
	c.Arrive(0, arrival(1, "a", 99*ms), nil)
	c.Arrive(0, arrival(2, "a", 99*ms), nil)
	require.False(t, c.Withdraw(0, 1), "running")
	require.True(t, c.Withdraw(0, 2))
	require.False(t, c.Withdraw(0, 2), "already withdrawn")
	require.Empty(t, c.Finish(ms, 1, Result{Outcome: outcome.ResponseComplete(), SlotTime: time.Millisecond}, nil))
	require.Empty(t, c.Finish(ms, 1, Result{Outcome: outcome.ResponseComplete(), SlotTime: time.Millisecond}, nil), "a second end is ignored")
}

func TestExpireAndDrainRefuseAsNotRun(t *testing.T) {
	c := New(Options{Slots: 1})
	c.Arrive(0, arrival(1, "a", 99*ms), nil)
	c.Arrive(0, arrival(2, "a", 5*ms), nil)
	c.Arrive(0, arrival(3, "b", 50*ms), nil)
	require.Equal(t, map[ID]outcome.Reason{2: outcome.ReasonDeadline}, reasonsByID(c.Expire(6*ms, nil)))
	require.Equal(t, map[ID]outcome.Reason{3: outcome.ReasonDraining}, reasonsByID(c.Drain(7*ms, nil)))
	load := c.Load(7 * ms)
	require.Equal(t, model.Load{Running: 1, Limit: 1, Draining: true, Seq: load.Seq}, load)
}

// adjustableLimiter is a Limiter whose limit the test sets. It records the
// number of running requests at each observation.
type adjustableLimiter struct {
	limit           int
	observedRunning []int
}

func (l *adjustableLimiter) Limit() int { return l.limit }
func (l *adjustableLimiter) Observe(_ model.Instant, _ time.Duration, running int, _ bool) {
	l.observedRunning = append(l.observedRunning, running)
}

func TestLimiterBoundsRunningRequests(t *testing.T) {
	limiter := &adjustableLimiter{limit: 2}
	c := New(Options{Slots: 6, Limiter: limiter})
	for id := ID(1); id <= 5; id++ {
		c.Arrive(0, arrival(id, "a", 99*ms), nil)
	}
	require.EqualValues(t, 2, c.Load(0).Running)
	limiter.limit = 3
	require.Len(t, c.Finish(ms, 1, Result{Outcome: outcome.ResponseComplete(), SlotTime: time.Millisecond}, nil), 2, "a higher limit lets two requests start")
	limiter.limit = 0
	require.Empty(t, c.Finish(ms, 2, Result{Outcome: outcome.ResponseComplete(), SlotTime: time.Millisecond}, nil))
	require.EqualValues(t, 1, c.Load(ms).Limit, "the limit is at least one")
	require.Equal(t, []int{2, 3}, limiter.observedRunning)
}

// TestControllerDoesNotAllocate checks that arrivals and ends of requests allocate no
// memory once the queue has reached its working size.
func TestControllerDoesNotAllocate(t *testing.T) {
	c := New(Options{Slots: 2})
	c.Configure(0, []Group{{Name: "a", Weight: 2}, {Name: "b", Weight: 1}})
	effects := make([]Effect, 0, 8)
	id, now := ID(0), model.Instant(0)
	step := func() {
		now += ms
		id++
		group := model.GroupName("a")
		if id%2 == 0 {
			group = "b"
		}
		effects = c.Arrive(now, Arrival{ID: id, Request: model.Request{Group: group, Caller: "c", Deadline: now + 500*ms}}, effects[:0])
		if id > 10 {
			effects = c.Finish(now, id-10, Result{Outcome: outcome.ResponseComplete(), SlotTime: time.Millisecond}, effects[:0])
			effects = c.Finish(now, id-9, Result{Outcome: outcome.ResponseComplete(), SlotTime: time.Millisecond}, effects[:0])
		}
	}
	for range 2000 {
		step()
	}
	require.Zero(t, testing.AllocsPerRun(1000, step))
}
