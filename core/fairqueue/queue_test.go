package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// TestQueueAgainstModel compares the queue with a simple model under random
// operations. Each pushed request must be popped, removed, dropped or expired at most once.
// The requests of one caller must start in the order in which they were pushed. The
// charges of ended requests must equal the slot time that they used.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Options{})
		waiting := make(map[ID]Item)
		running := make(map[ID]Item)
		lastStartedByCaller := make(map[string]ID)
		slotTimeByGroup := make(map[model.GroupName]time.Duration)
		var now model.Instant
		var lastID ID
		nameIndex := rapid.IntRange(0, 3)
		removeWaiting := func(id ID) {
			require.Contains(t, waiting, id)
			delete(waiting, id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				lastID++
				item := Item{
					ID:       lastID,
					Group:    model.GroupName(fmt.Sprint("g", nameIndex.Draw(t, "group"))),
					Caller:   model.CallerName(fmt.Sprint("c", nameIndex.Draw(t, "caller"))),
					Deadline: now + model.Instant(rapid.IntRange(1, 1000).Draw(t, "deadline")),
				}
				waiting[lastID] = item
				q.Push(item)
			},
			"pop": func(t *rapid.T) {
				item, ok := q.Pop(now)
				require.Equal(t, len(waiting) > 0, ok)
				if !ok {
					return
				}
				require.Equal(t, waiting[item.ID], item)
				callerKey := string(item.Group) + "/" + string(item.Caller)
				require.Greater(t, item.ID, lastStartedByCaller[callerKey], "out of order")
				lastStartedByCaller[callerKey] = item.ID
				removeWaiting(item.ID)
				running[item.ID] = item
			},
			"done": func(t *rapid.T) {
				for id, item := range running {
					duration := time.Duration(rapid.IntRange(0, 5000).Draw(t, "used"))
					require.True(t, q.Done(now, id, duration))
					require.False(t, q.Done(now, id, duration), "twice")
					slotTimeByGroup[item.Group] += duration
					delete(running, id)
					return
				}
			},
			"return": func(t *rapid.T) {
				for id := range running {
					q.CancelStart(id)
					delete(running, id)
					return
				}
			},
			"remove": func(t *rapid.T) {
				for id := range waiting {
					require.True(t, q.Remove(id))
					removeWaiting(id)
					return
				}
				for id := range running {
					require.False(t, q.Remove(id))
				}
			},
			"drop": func(t *rapid.T) {
				if id, ok := q.DropFromLargestBacklog(); ok {
					removeWaiting(id)
				}
			},
			"expire": func(t *rapid.T) {
				now += model.Instant(rapid.IntRange(0, 300).Draw(t, "passed"))
				for {
					id, ok := q.RemoveExpired(now)
					if !ok {
						break
					}
					require.LessOrEqual(t, waiting[id].Deadline, now)
					removeWaiting(id)
				}
				for _, item := range waiting {
					require.Greater(t, item.Deadline, now)
				}
			},
			"configure": func(t *rapid.T) {
				var configs []GroupConfig
				for i := range rapid.IntRange(0, 4).Draw(t, "named") {
					weight := float64(rapid.IntRange(0, 3).Draw(t, "weight"))
					configs = append(configs, GroupConfig{Group: model.GroupName(fmt.Sprint("g", i)), Weight: weight})
				}
				q.Configure(configs)
				clear(slotTimeByGroup) // Configure resets groups without requests
				for i := range 4 {
					g := model.GroupName(fmt.Sprint("g", i))
					slotTimeByGroup[g] = q.Charged(g) - runningCharges(q, g)
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(waiting), q.Len())
				require.Equal(t, len(running), q.Running())
				for g, duration := range slotTimeByGroup {
					require.Equal(t, duration, q.Charged(g)-runningCharges(q, g), "charges of %s", g)
				}
			},
		})
	})
}

// runningCharges returns the slot time that has been charged so far for the running
// requests of a group.
func runningCharges(q *Queue, name model.GroupName) time.Duration {
	var d time.Duration
	for _, e := range q.entries {
		if e.running && e.caller.group.name == name {
			d += e.charged
		}
	}
	return d
}

// TestUnconfiguredGroupsAreBounded pushes requests of ten times as many unconfigured
// groups as the queue keeps. The requests of the surplus groups must be kept in the
// overflow group, whose queue bound applies to all of them together.
func TestUnconfiguredGroupsAreBounded(t *testing.T) {
	q := New(Options{})
	q.Configure([]GroupConfig{{Group: "named", Weight: 1}})
	for i := range 10 * maxUnconfiguredGroups {
		q.Push(Item{ID: ID(i + 1), Group: model.GroupName(fmt.Sprint("made-up-", i)), Deadline: 1})
	}
	require.Len(t, q.groups, maxUnconfiguredGroups+2, "the configured group, maxUnconfigured others and the overflow group")
	require.Equal(t, 10*maxUnconfiguredGroups, q.Len())
	q.Push(Item{ID: 1 << 20, Group: "named", Deadline: 1})
	require.False(t, q.OverBound("named"))
	require.True(t, q.OverBound("made-up-600"), "the bound applies to the overflow group as a whole")
}

// TestIdleCallersAreBounded makes four times as many callers idle as the queue keeps, all
// with charges ahead of the system virtual time.
func TestIdleCallersAreBounded(t *testing.T) {
	q := New(Options{})
	for i := range ID(4 * maxIdleCallers) {
		q.Push(Item{ID: i + 1, Group: "g", Caller: model.CallerName(fmt.Sprint(i)), Deadline: 1})
	}
	for range 4 * maxIdleCallers {
		item, ok := q.Pop(0)
		require.True(t, ok)
		q.Done(0, item.ID, time.Hour)
	}
	require.LessOrEqual(t, len(q.groups["g"].callers), maxIdleCallers)
	require.NotEmpty(t, q.groups["g"].callers, "callers ahead of the system virtual time are kept")
}

// BenchmarkPushPopDone measures one request from Push to Done in a queue in
// which every group has waiting requests.
func BenchmarkPushPopDone(b *testing.B) {
	for _, groupCount := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint("groups=", groupCount), func(b *testing.B) {
			q := New(Options{})
			var configs []GroupConfig
			for i := range groupCount {
				configs = append(configs, GroupConfig{Group: model.GroupName(fmt.Sprint("g", i)), Weight: float64(i%7 + 1)})
			}
			q.Configure(configs)
			id, now := ID(0), model.Instant(0)
			push := func() {
				id++
				q.Push(Item{ID: id, Group: configs[int(id)%groupCount].Group, Caller: "c", Deadline: now + 1e9})
			}
			for range 4 * groupCount {
				push()
			}
			b.ReportAllocs()
			for b.Loop() {
				now += 1000
				push()
				item, _ := q.Pop(now)
				q.Done(now, item.ID, time.Millisecond)
			}
		})
	}
}

// TestMaxRunningIsEnforced queues more requests of a limited group than may run
// at once, raises the limit while requests run, and then runs all of them.
func TestMaxRunningIsEnforced(t *testing.T) {
	q := New(Options{})
	configure := func(maxRunning int) {
		q.Configure([]GroupConfig{{Group: "limited", Weight: 9, MaxRunning: maxRunning}, {Group: "free", Weight: 1}})
	}
	configure(2)
	for i := range ID(20) {
		q.Push(Item{ID: 100 + i, Group: "limited", Deadline: 1})
		q.Push(Item{ID: 200 + i, Group: "free", Deadline: 1})
	}
	var startedLimitedIDs []ID
	pop := func() bool {
		item, ok := q.Pop(0)
		if ok && item.Group == "limited" {
			startedLimitedIDs = append(startedLimitedIDs, item.ID)
		}
		return ok
	}
	for range 10 {
		require.True(t, pop())
	}
	require.Len(t, startedLimitedIDs, 2)
	configure(3)
	for pop() {
	}
	require.Len(t, startedLimitedIDs, 3, "the free group has no requests left, and one more limited request runs")
	require.Equal(t, 17, q.Len())
	for ended := 0; ended < len(startedLimitedIDs); ended++ {
		require.True(t, q.Done(0, startedLimitedIDs[ended], time.Millisecond))
		pop()
	}
	require.Len(t, startedLimitedIDs, 20, "each request that ends lets the next one start")
	require.Zero(t, q.Len())
}

func TestEstimateAheadFollowsWeights(t *testing.T) {
	q := New(Options{})
	q.Configure([]GroupConfig{{Group: "heavy", Weight: 9}, {Group: "light", Weight: 1}, {Group: "free", Weight: 0}})
	id := ID(0)
	push := func(group model.GroupName, n int) {
		for range n {
			id++
			q.Push(Item{ID: id, Group: group, Deadline: 1})
		}
	}
	push("light", 90)
	push("free", 10)
	require.Equal(t, 0, q.EstimateAhead("heavy"), "the backlog of the light group does not delay the heavy one")
	require.Equal(t, 90, q.EstimateAhead("light"))
	require.Equal(t, 100, q.EstimateAhead("free"), "a group of weight zero waits for all other requests")
	push("heavy", 9)
	require.Equal(t, 10, q.EstimateAhead("heavy"), "nine of its own and one of the light group")
	require.Equal(t, 99, q.EstimateAhead("light"), "its own 90, and the heavy group's nine, since there are no more")
	require.Equal(t, 10, q.EstimateAhead("unnamed"), "weighted like the light group: one light request and nine heavy ones")
}
