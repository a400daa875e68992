package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// at returns the instant ms milliseconds after the origin.
func at(ms int) model.Instant { return model.Instant(0).Add(time.Duration(ms) * time.Millisecond) }

// ms is one millisecond.
const ms = time.Millisecond

// newItem returns a request that arrived at instant 0, has its deadline at one second and is
// useful until then. serviceTime and target are in milliseconds.
func newItem(id uint64, rank int, serviceTime, target int) Item {
	return Item{ID: id, Rank: rank, ServiceTime: time.Duration(serviceTime) * ms, Target: at(target), Deadline: at(1000), UsefulUntil: at(1000)}
}

// startAll starts and finishes all waiting requests, one at a time, and returns their IDs in
// the order in which they started.
func startAll(t *testing.T, q *Queue, now model.Instant) []uint64 {
	t.Helper()
	var startedIDs []uint64
	for q.Waiting() > 0 {
		d, ok := q.Next(now, 1)
		require.True(t, ok)
		require.Equal(t, Start, d.Reason)
		startedIDs = append(startedIDs, d.ID)
		q.Finish()
	}
	return startedIDs
}

func TestStartOrder(t *testing.T) {
	for name, c := range map[string]struct {
		items []Item
		want  []uint64
	}{
		"lower rank first":           {[]Item{newItem(1, 2, 10, 50), newItem(2, 1, 10, 500)}, []uint64{2, 1}},
		"earlier latest start first": {[]Item{newItem(1, 1, 150, 400), newItem(2, 1, 15, 80)}, []uint64{2, 1}},
		"late request last":          {[]Item{newItem(1, 1, 100, 50), newItem(2, 1, 100, 400)}, []uint64{2, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			q := New(1)
			for _, i := range c.items {
				q.Add(i)
			}
			require.Equal(t, c.want, startAll(t, q, at(0)))
		})
	}
}

// TestNoRankStarves has a flood of urgent requests. Every eighth start must go to the last
// rank. Within that rank, the newest request that can still meet its target must start
// first.
func TestNoRankStarves(t *testing.T) {
	q := New(1)
	late := newItem(1, 9, 10, 5)
	older := newItem(2, 9, 10, 500)
	newer := newItem(3, 9, 10, 500)
	newer.Arrived = at(1)
	for _, i := range []Item{late, older, newer} {
		q.Add(i)
	}
	for i := uint64(4); i < 40; i++ {
		urgent := newItem(i, 0, 10, 500)
		urgent.Arrived = at(1)
		q.Add(urgent)
	}
	order := startAll(t, q, at(2))
	for turn, id := range []uint64{3, 2, 1} {
		require.Equal(t, id, order[(turn+1)*lastRankInterval-1])
	}
}

// TestKindsShareWorkEqually has many requests of one kind and a few older requests of
// another kind of the same rank. The second kind must get half of the service time until
// its requests run out, although newer requests usually start first. If the requests of a
// kind take longer, fewer of them start.
func TestKindsShareWorkEqually(t *testing.T) {
	const frequentKind, rareKind = 1, 2
	for name, c := range map[string]struct {
		serviceTime int
		wantTurns   []int
	}{
		"equal service times":                        {10, []int{1, 3, 5}},
		"three times the service time of the others": {30, []int{1, 5, 9}},
	} {
		t.Run(name, func(t *testing.T) {
			q := New(1)
			for i := range uint64(30) {
				item := newItem(100+i, 1, 10, 900)
				item.Kind, item.Arrived = frequentKind, at(1)
				q.Add(item)
			}
			for i := range uint64(3) {
				item := newItem(i, 1, c.serviceTime, 900)
				item.Kind = rareKind
				q.Add(item)
			}
			require.Equal(t, 2, q.Ahead(Position{Rank: 1, Kind: 9}), "one of each kind runs before a third kind that has none waiting")
			var got []int
			for turn, id := range startAll(t, q, at(2)) {
				if id < 100 {
					got = append(got, turn)
				}
			}
			require.Equal(t, c.wantTurns, got)
		})
	}
}

// TestIdleKindEarnsNoCredit has requests of a kind arrive that had no requests for a long
// time. They must not occupy all slots until their kind has caught up with the others.
func TestIdleKindEarnsNoCredit(t *testing.T) {
	q := New(1)
	for i := range uint64(50) {
		item := newItem(i, 1, 10, 900)
		item.Kind = 1
		q.Add(item)
		startAll(t, q, at(0))
	}
	for i := range uint64(8) {
		item := newItem(100+i, 1, 10, 900)
		item.Kind = Kind(1 + i%2)
		q.Add(item)
	}
	order := startAll(t, q, at(0))
	for turn := 0; turn < len(order); turn += 2 {
		require.NotEqual(t, order[turn]%2, order[turn+1]%2, "the kinds alternate: %v", order)
	}
	require.LessOrEqual(t, len(q.sharesOf(1).kindsOf(0).finishTagByFlow), 2, "only kinds ahead of the virtual time are stored")
}

// TestNewestFirstMeetsTargetsUnderOverload has twice as many requests as there is
// capacity for. Each request that is started must meet its target. If the oldest request
// started first, each would start too late.
func TestNewestFirstMeetsTargetsUnderOverload(t *testing.T) {
	const interval, serviceTime, target, requestCount = 10, 20, 100, 200
	q := New(1)
	inTimeCount, startedCount := 0, 0
	busyUntil := at(0)
	arrivedByID := map[uint64]model.Instant{}
	for n := range requestCount {
		now := at(n * interval)
		item := newItem(uint64(n+1), 0, serviceTime, n*interval+target)
		item.Arrived, item.Deadline, item.UsefulUntil = now, now.Add(3*target*ms), now.Add(3*target*ms)
		q.Add(item)
		arrivedByID[item.ID] = now
		for busyUntil <= now {
			if startedCount > 0 {
				q.Finish()
			}
			d, ok := q.Next(now, 1)
			for ok && d.Reason != Start {
				d, ok = q.Next(now, 1)
			}
			if !ok {
				break
			}
			startedCount++
			busyUntil = now.Add(serviceTime * ms)
			if busyUntil.Sub(arrivedByID[d.ID]) <= target*ms {
				inTimeCount++
			}
		}
	}
	require.Equal(t, requestCount/2, startedCount, "there is capacity for half of the requests")
	require.Equal(t, startedCount, inTimeCount)
}

// TestLimitBoundsRunningRequests has three requests arrive at a queue with a limit of two. The
// third must start only after one has finished. Until then, Ahead must count the running
// requests, and the waiting one only for a new request of the same rank.
func TestLimitBoundsRunningRequests(t *testing.T) {
	q := New(2)
	for i := range uint64(3) {
		q.Add(newItem(i, 0, 10, 500))
	}
	for range 2 {
		d, ok := q.Next(at(0), 1)
		require.True(t, ok)
		require.Equal(t, Start, d.Reason)
	}
	_, ok := q.Next(at(0), 1)
	require.False(t, ok)
	require.Equal(t, 2, q.Running())
	require.Equal(t, 3, q.Ahead(Position{Rank: 0, Kind: 0}))
	require.Equal(t, 2, q.Ahead(Position{Rank: -1, Kind: 0}))
	q.Finish()
	_, ok = q.Next(at(0), 1)
	require.True(t, ok)
}

// TestDequeueReasons has a request wait for a busy slot until it must not wait any longer. It
// checks the reason, that NextWakeup is not too late, and that the request still waits 2 ms
// before NextWakeup.
func TestDequeueReasons(t *testing.T) {
	newBusyQueue := func(item Item) *Queue {
		q := New(1)
		q.Add(newItem(99, 0, 10, 500))
		_, _ = q.Next(at(0), 1)
		q.Add(item)
		return q
	}
	for name, c := range map[string]struct {
		change   func(*Item)
		slowdown float64
		now      int
		want     DequeueReason
	}{
		"cannot complete before its deadline":                {func(*Item) {}, 1, 960, DeadlineUnreachable},
		"cannot complete before its deadline, slow upstream": {func(*Item) {}, 4, 850, DeadlineUnreachable},
		"queue timeout has expired":                          {func(i *Item) { i.WaitUntil = at(30) }, 1, 30, QueueTimeoutExpired},
		"would complete too late to be useful":               {func(i *Item) { i.UsefulUntil = at(500) }, 1, 401, TooLate},
	} {
		t.Run(name, func(t *testing.T) {
			item := newItem(1, 0, 100, 500)
			c.change(&item)
			q := newBusyQueue(item)
			wakeup := q.NextWakeup(0, c.slowdown)
			require.LessOrEqual(t, wakeup, at(c.now), "the queue wakes up in time")
			_, early := q.Next(wakeup.Add(-2*ms), c.slowdown)
			require.False(t, early)
			d, ok := q.Next(at(c.now), c.slowdown)
			require.True(t, ok)
			require.Equal(t, Dequeued{ID: 1, Reason: c.want}, d)
		})
	}
}

// TestFreeSlotRunsLateRequest has a request that cannot meet its target, and a free
// slot. The request must run, as no other request has to wait for it.
func TestFreeSlotRunsLateRequest(t *testing.T) {
	q := New(1)
	late := newItem(1, 0, 100, 50)
	late.UsefulUntil = at(50)
	q.Add(late)
	d, ok := q.Next(at(200), 1)
	require.True(t, ok)
	require.Equal(t, Start, d.Reason)
}

func TestRemove(t *testing.T) {
	q := New(1)
	q.Add(newItem(1, 0, 10, 100))
	require.True(t, q.Remove(1))
	require.False(t, q.Remove(1))
	_, ok := q.Next(at(0), 1)
	require.False(t, ok)
	require.Zero(t, q.NextWakeup(0, 1))
}

// TestEveryRequestLeavesOnce has requests arrive, end and be removed at random. No request
// may leave the queue twice, the limit must never be exceeded, and the queue must be empty
// at the end.
func TestEveryRequestLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(rapid.IntRange(1, 5).Draw(t, "limit"))
		departed := map[uint64]bool{}
		waiting := map[uint64]bool{}
		now, id := at(0), uint64(0)
		dequeueAll := func() {
			for {
				d, ok := q.Next(now, 2)
				if !ok {
					return
				}
				require.False(t, departed[d.ID])
				require.True(t, waiting[d.ID])
				departed[d.ID] = true
				delete(waiting, d.ID)
				require.LessOrEqual(t, q.Running(), q.Limit())
			}
		}
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * ms)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				id++
				serviceTime := rapid.IntRange(1, 200).Draw(t, "work")
				q.Add(Item{ID: id, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), ServiceTime: time.Duration(serviceTime) * ms,
					Arrived: now, Target: now.Add(100 * ms), UsefulUntil: now.Add(200 * ms), Deadline: now.Add(500 * ms)})
				waiting[id] = true
			case 1:
				q.Finish()
			case 2:
				for w := range waiting {
					require.True(t, q.Remove(w))
					delete(waiting, w)
					break
				}
			}
			dequeueAll()
			require.Equal(t, len(waiting), q.Waiting())
		}
		now = now.Add(time.Second)
		dequeueAll()
		require.Zero(t, q.Waiting())
	})
}

// pacedStarts is a StartLimiter that allows one start in each interval.
type pacedStarts struct {
	interval time.Duration
	next     model.Instant
}

func (p *pacedStarts) NextStart(now model.Instant) model.Instant { return max(now, p.next) }
func (p *pacedStarts) RecordStart(now model.Instant)             { p.next = now.Add(p.interval) }

func (p *pacedStarts) Delay(now model.Instant, ahead int) time.Duration {
	return p.NextStart(now).Sub(now) + time.Duration(ahead)*p.interval
}

// TestStartLimiterHoldsBack has requests wait at an upstream with free slots that is cold. They must
// start at the pace of the limiter, the most urgent first, and what would end too late is refused.
func TestStartLimiterHoldsBack(t *testing.T) {
	q := New(8)
	q.SetStartLimiter(&pacedStarts{interval: 100 * ms})
	for id, rank := range []int{2, 1, 2} {
		item := newItem(uint64(id), rank, 10, 2000)
		q.Add(item)
	}
	var started []uint64
	now := at(1)
	for len(started) < 3 {
		for {
			d, ok := q.Next(now, 1)
			if !ok {
				break
			}
			require.Equal(t, Start, d.Reason)
			started = append(started, d.ID)
		}
		next := q.NextWakeup(now, 1)
		require.True(t, len(started) == 3 || next == now.Add(100*ms))
		now = next
	}
	require.EqualValues(t, 1, started[0], "the most urgent")
	now = at(1).Add(200 * ms)
	_, admission, expected := q.Admit(now, Arrival{ServiceTime: 10 * ms, UntilTarget: 50 * ms, UntilDeadline: 150 * ms}, Performance{Slowdown: 1})
	require.Equal(t, Full, admission, "a slot is free, but the start is too late")
	require.Equal(t, 110*ms, expected)
}
