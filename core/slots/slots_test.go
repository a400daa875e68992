package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

func at(ms int) model.Instant { return model.Instant(0).Add(time.Duration(ms) * time.Millisecond) }

const ms = time.Millisecond

// item returns a request that arrived at 0 and has a second.
func newItem(id uint64, rank int, work, target int) Item {
	return Item{ID: id, Rank: rank, Work: time.Duration(work) * ms, Target: at(target), Deadline: at(1000), UsefulUntil: at(1000)}
}

// starts drains the queue one at a time and returns the order of the starts.
func startOrder(t *testing.T, q *Queue, now model.Instant) []uint64 {
	t.Helper()
	var out []uint64
	for q.Waiting() > 0 {
		d, ok := q.Next(now, 1)
		require.True(t, ok)
		require.Equal(t, Start, d.Exit)
		out = append(out, d.ID)
		q.Finish()
	}
	return out
}

func TestStartOrder(t *testing.T) {
	for name, c := range map[string]struct {
		items []Item
		want  []uint64
	}{
		"rank first":                            {[]Item{newItem(1, 2, 10, 50), newItem(2, 1, 10, 500)}, []uint64{2, 1}},
		"short nested call before long ones":    {[]Item{newItem(1, 1, 150, 400), newItem(2, 1, 15, 80)}, []uint64{2, 1}},
		"who can still make it before the late": {[]Item{newItem(1, 1, 100, 50), newItem(2, 1, 100, 400)}, []uint64{2, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			q := New(1)
			for _, i := range c.items {
				q.Add(i)
			}
			require.Equal(t, c.want, startOrder(t, q, at(0)))
		})
	}
}

// TestNoRankStarves answers a flood of urgent requests: every eighth start is of the
// last rank, and of its newest that can still make its target.
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
		next := newItem(i, 0, 10, 500)
		next.Arrived = at(1)
		q.Add(next)
	}
	order := startOrder(t, q, at(2))
	for turn, id := range []uint64{3, 2, 1} {
		require.Equal(t, id, order[(turn+1)*lastRankInterval-1])
	}
}

// TestKindsTakeTurns answers a flood of one kind of requests beside a few of another of
// the same rank: the other has half of the work for as long as it has any, whichever
// is newer, and a kind that has more work in a request has fewer turns.
func TestKindsShareWorkEqually(t *testing.T) {
	const flood, quiet = 1, 2
	for name, c := range map[string]struct {
		work  int
		turns []int
	}{
		"equal work":                        {10, []int{1, 3, 5}},
		"three times the work of the flood": {30, []int{1, 5, 9}},
	} {
		t.Run(name, func(t *testing.T) {
			q := New(1)
			for i := range uint64(30) {
				it := newItem(100+i, 1, 10, 900)
				it.Kind, it.Arrived = flood, at(1)
				q.Add(it)
			}
			for i := range uint64(3) {
				it := newItem(i, 1, c.work, 900)
				it.Kind = quiet
				q.Add(it)
			}
			require.Equal(t, 2, q.Ahead(1, 9), "one of each kind, for a third that has none waiting")
			var got []int
			for turn, id := range startOrder(t, q, at(2)) {
				if id < 100 {
					got = append(got, turn)
				}
			}
			require.Equal(t, c.turns, got)
		})
	}
}

// TestNoCreditForIdleKinds answers a kind that comes after a long time: it does not
// hold all slots until it has made up for that.
func TestIdleKindEarnsNoCredit(t *testing.T) {
	q := New(1)
	for i := range uint64(50) {
		it := newItem(i, 1, 10, 900)
		it.Kind = 1
		q.Add(it)
		startOrder(t, q, at(0))
	}
	for i := range uint64(8) {
		it := newItem(100+i, 1, 10, 900)
		it.Kind = Kind(1 + i%2)
		q.Add(it)
	}
	order := startOrder(t, q, at(0))
	for turn := 0; turn < len(order); turn += 2 {
		require.NotEqual(t, order[turn]%2, order[turn+1]%2, "turns alternate: %v", order)
	}
	require.LessOrEqual(t, len(q.sharesOf(1).finishTags), 2, "only kinds that are ahead are kept")
}

// TestNewestFirst answers more requests than there is room for: each that is served
// makes its target, where the oldest first would serve each just after it.
func TestNewestFirstMeetsTargetsUnderOverload(t *testing.T) {
	const every, work, target, requests = 10, 20, 100, 200
	q := New(1)
	inTime, served := 0, 0
	busyUntil := at(0)
	arrived := map[uint64]model.Instant{}
	for n := range requests {
		now := at(n * every)
		i := newItem(uint64(n+1), 0, work, n*every+target)
		i.Arrived, i.Deadline, i.UsefulUntil = now, now.Add(3*target*ms), now.Add(3*target*ms)
		q.Add(i)
		arrived[i.ID] = now
		for busyUntil <= now {
			if served > 0 {
				q.Finish()
			}
			d, ok := q.Next(now, 1)
			for ok && d.Exit != Start {
				d, ok = q.Next(now, 1)
			}
			if !ok {
				break
			}
			served++
			busyUntil = now.Add(work * ms)
			if busyUntil.Sub(arrived[d.ID]) <= target*ms {
				inTime++
			}
		}
	}
	require.Equal(t, requests/2, served, "half of them fit")
	require.Equal(t, served, inTime)
}

func TestLimit(t *testing.T) {
	q := New(2)
	for i := range uint64(3) {
		q.Add(newItem(i, 0, 10, 500))
	}
	for range 2 {
		d, ok := q.Next(at(0), 1)
		require.True(t, ok)
		require.Equal(t, Start, d.Exit)
	}
	_, ok := q.Next(at(0), 1)
	require.False(t, ok)
	require.Equal(t, 2, q.Running())
	require.Equal(t, 3, q.Ahead(0, 0))
	require.Equal(t, 2, q.Ahead(-1, 0))
	q.Finish()
	_, ok = q.Next(at(0), 1)
	require.True(t, ok)
}

func TestDequeueReasons(t *testing.T) {
	busy := func(i Item) *Queue {
		q := New(1)
		q.Add(newItem(99, 0, 10, 500))
		_, _ = q.Next(at(0), 1)
		q.Add(i)
		return q
	}
	for name, c := range map[string]struct {
		change func(*Item)
		slow   float64
		now    int
		want   Exit
	}{
		"cannot end before its deadline": {func(*Item) {}, 1, 960, Hopeless},
		"nor where work takes longer":    {func(*Item) {}, 4, 850, Hopeless},
		"has waited as long as allowed":  {func(i *Item) { i.WaitUntil = at(30) }, 1, 30, Returned},
		"would end too late":             {func(i *Item) { i.UsefulUntil = at(500) }, 1, 401, Overdue},
	} {
		t.Run(name, func(t *testing.T) {
			i := newItem(1, 0, 100, 500)
			c.change(&i)
			q := busy(i)
			wake := q.Wake(c.slow)
			require.LessOrEqual(t, wake, at(c.now), "it is looked at in time")
			_, early := q.Next(wake.Add(-2*ms), c.slow)
			require.False(t, early)
			d, ok := q.Next(at(c.now), c.slow)
			require.True(t, ok)
			require.Equal(t, Decision{ID: 1, Exit: c.want}, d)
		})
	}
}

// TestIdleSlotsServeTheLate answers requests whose target is lost while there is
// room: they run, as nobody has to wait for them.
func TestFreeSlotRunsLateRequest(t *testing.T) {
	q := New(1)
	late := newItem(1, 0, 100, 50)
	late.UsefulUntil = at(50)
	q.Add(late)
	d, ok := q.Next(at(200), 1)
	require.True(t, ok)
	require.Equal(t, Start, d.Exit)
}

func TestRemove(t *testing.T) {
	q := New(1)
	q.Add(newItem(1, 0, 10, 100))
	require.True(t, q.Remove(1))
	require.False(t, q.Remove(1))
	_, ok := q.Next(at(0), 1)
	require.False(t, ok)
	require.Zero(t, q.Wake(1))
}

// TestEveryRequestLeavesOnce plays random arrivals, ends and removals: nobody
// leaves twice, never more run than the limit, and nobody is left at the end.
func TestEveryRequestLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(rapid.IntRange(1, 5).Draw(t, "limit"))
		left := map[uint64]bool{}
		waiting := map[uint64]bool{}
		now, id := at(0), uint64(0)
		dequeueAll := func() {
			for {
				d, ok := q.Next(now, 2)
				if !ok {
					return
				}
				require.False(t, left[d.ID])
				require.True(t, waiting[d.ID])
				left[d.ID] = true
				delete(waiting, d.ID)
				require.LessOrEqual(t, q.Running(), q.Limit())
			}
		}
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * ms)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				id++
				work := rapid.IntRange(1, 200).Draw(t, "work")
				q.Add(Item{ID: id, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Work: time.Duration(work) * ms,
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
