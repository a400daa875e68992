package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// sender is a client account that sends requests at regular intervals.
type sender struct {
	account  Account
	rank     int
	interval int // ms between two requests
	weight   float64
	// from and until, in ms, bound the time in which the account sends, until only if it is not zero.
	from, until int
}

// served counts the requests of an account and those that completed in time.
type served struct{ sent, inTime int }

func (s served) share() float64 { return float64(s.inTime) / float64(s.sent) }

const (
	// loadLength is the time in which senders send, in ms.
	loadLength = 20_000
	// loadServiceTime, loadTarget and loadDeadline are those of the requests of senders, in ms.
	loadServiceTime, loadTarget, loadDeadline = 20, 300, 1000
)

// offer has a queue for one running request serve senders, and returns what became of their requests.
// One request fits in every loadServiceTime.
func offer(senders []sender) map[Account]served {
	q, result, sentBy := New(1), map[Account]served{}, map[uint64]sender{}
	arrivedByID, busyUntil, lastID := map[uint64]model.Instant{}, model.Instant(0), uint64(0)
	for tick := range loadLength {
		now := at(tick)
		for _, s := range senders {
			if tick < s.from || s.until > 0 && tick >= s.until || tick%s.interval != int(s.account)%s.interval {
				continue
			}
			count := result[s.account]
			count.sent++
			result[s.account] = count
			item, admission, _ := q.Admit(now, Arrival{
				Rank: s.rank, Account: s.account, Weight: s.weight, ServiceTime: loadServiceTime * ms,
				UntilTarget: loadTarget * ms, UntilDeadline: loadDeadline * ms,
			}, Performance{Slowdown: 1})
			if admission != Admitted {
				continue
			}
			lastID++
			item.ID = lastID
			sentBy[item.ID], arrivedByID[item.ID] = s, now
			q.Add(item)
		}
		if q.Running() > 0 && now >= busyUntil {
			q.Finish()
		}
		for {
			d, ok := q.Next(now, 1)
			if !ok {
				break
			}
			if d.Reason != Start {
				continue
			}
			busyUntil = now.Add(loadServiceTime * ms)
			if busyUntil.Sub(arrivedByID[d.ID]) <= loadDeadline*ms {
				account := sentBy[d.ID].account
				count := result[account]
				count.inTime++
				result[account] = count
			}
		}
	}
	return result
}

// TestAccountAboveItsShareTakesFromNobody has five accounts that together send 0.8 of what fits, until
// one of them sends six times its usual. The others must be served as before.
func TestAccountAboveItsShareTakesFromNobody(t *testing.T) {
	const usualInterval, hot = 125, Account(1)
	senders := []sender{{account: hot, interval: usualInterval / 6}}
	for account := hot + 1; account <= 5; account++ {
		senders = append(senders, sender{account: account, interval: usualInterval})
	}
	result := offer(senders)
	for account := hot + 1; account <= 5; account++ {
		assert.GreaterOrEqual(t, result[account].share(), 0.98, "account %d", account)
	}
	// The others take 4 × 20 ms of 125 ms, so the hot account can get 45 ms of 125 ms.
	const expected = float64(125-4*loadServiceTime) / 125 * loadLength / loadServiceTime
	assert.InEpsilon(t, expected, result[hot].inTime, 0.1, "the hot account gets what is left")
}

// TestWeightsOfAccounts has two accounts ask for more than fits. They must be served in proportion to
// their weights.
func TestWeightsOfAccounts(t *testing.T) {
	result := offer([]sender{{account: 1, interval: 20, weight: 3}, {account: 2, interval: 20, weight: 1}})
	assert.InEpsilon(t, 3, float64(result[1].inTime)/float64(result[2].inTime), 0.1)
}

// TestEveryAccountIsServed has accounts of four priorities ask for up to three times what fits, in
// different proportions. Each account must be served at least a quarter as often as all together, also
// those of ranks in between.
func TestEveryAccountIsServed(t *testing.T) {
	for name, intervals := range map[string][]int{
		"twice what fits, equal parts":             {40, 40, 40, 40},
		"three times what fits, equal parts":       {27, 27, 27, 27},
		"three times, the first asks for 1.5":      {13, 40, 40, 40},
		"three times, the first asks for 0.9":      {22, 29, 29, 29},
		"three times, a small account in the last": {10, 40, 40, 400},
		"three times, two small in between":        {8, 200, 200, 50},
	} {
		t.Run(name, func(t *testing.T) {
			var senders []sender
			for i, interval := range intervals {
				senders = append(senders, sender{account: Account(i + 1), rank: 3 * i, interval: interval})
			}
			result, all := offer(senders), served{}
			for _, s := range result {
				all.sent, all.inTime = all.sent+s.sent, all.inTime+s.inTime
			}
			for account, s := range result {
				assert.GreaterOrEqual(t, s.share(), all.share()/4, "account %d: %+v of all %+v", account, s, all)
			}
			const kept = loadLength / loadServiceTime * 3 / 4
			assert.GreaterOrEqual(t, float64(result[1].inTime), 0.97*float64(min(result[1].sent, kept)),
				"the first priority gets what it asks for, or three quarters of all")
		})
	}
}

// rankOrder is the order of starts without client accounts, kept as a reference: ranks, then kinds by
// turns, then the newest, and every eighth start for the last rank.
type rankOrder struct {
	items  []Item
	starts int
	shares map[int]*fairShares[Kind]
}

func (o *rankOrder) sharesOf(rank int) *fairShares[Kind] {
	if o.shares[rank] == nil {
		o.shares[rank] = &fairShares[Kind]{}
	}
	return o.shares[rank]
}

func (o *rankOrder) startsBefore(a, b *Item, now model.Instant) bool {
	aStart, bStart := a.latestStart(1), b.latestStart(1)
	aLate, bLate := aStart < now, bStart < now
	aTag, bTag := o.sharesOf(a.Rank).startTag(a.Kind), o.sharesOf(b.Rank).startTag(b.Kind)
	switch {
	case a.Rank != b.Rank:
		return a.Rank > b.Rank == (o.starts%8 == 7)
	case aLate != bLate:
		return bLate
	case aTag != bTag:
		return aTag < bTag
	case !aLate && a.Arrived != b.Arrived:
		return a.Arrived > b.Arrived
	default:
		return aStart < bStart
	}
}

// start removes the request that starts next and returns its ID.
func (o *rankOrder) start(now model.Instant) uint64 {
	best := 0
	for i := range o.items {
		if i != best && o.startsBefore(&o.items[i], &o.items[best], now) {
			best = i
		}
	}
	item := o.items[best]
	o.sharesOf(item.Rank).charge(item.Kind, item.ServiceTime)
	o.starts++
	o.items = append(o.items[:best], o.items[best+1:]...)
	return item.ID
}

// TestOrderWithoutAccounts has the same random arrivals go through a queue and the reference. Without
// accounts, requests must start in the same order.
func TestOrderWithoutAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, reference := New(1), &rankOrder{shares: map[int]*fairShares[Kind]{}}
		now := at(0)
		for id := range uint64(60) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * ms)
			item := Item{
				ID: id, Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Kind: Kind(rapid.IntRange(0, 3).Draw(t, "kind")),
				ServiceTime: time.Duration(rapid.IntRange(0, 40).Draw(t, "service time")) * ms, Arrived: now,
				Target: now.Add(time.Duration(rapid.IntRange(50, 300).Draw(t, "target")) * ms), Deadline: now.Add(time.Hour),
			}
			q.Add(item)
			reference.items = append(reference.items, item)
			if rapid.IntRange(0, 2).Draw(t, "starts") > 0 {
				d, ok := q.Next(now, 1)
				require.True(t, ok)
				require.Equal(t, reference.start(now), d.ID)
				q.Finish()
			}
		}
	})
}

// TestAheadMatchesTheOrder has a request of an account arrive behind random others. It must start after
// no more of them than Ahead has told, if nothing else arrives and nothing is owed.
func TestAheadMatchesTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(1)
		arrival := func() Item {
			return Item{
				Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Account: Account(rapid.IntRange(1, 4).Draw(t, "account")),
				ServiceTime: 10 * ms, Target: at(100_000), Deadline: at(200_000),
			}
		}
		for id := range uint64(rapid.IntRange(0, 60).Draw(t, "waiting")) {
			item := arrival()
			item.ID, item.Arrived = id+1, at(0)
			q.Add(item)
		}
		item := arrival()
		ahead := q.Ahead(Position{Rank: item.Rank, Account: item.Account})
		item.Arrived = at(0)
		q.Add(item)
		before := 0
		for {
			d, ok := q.Next(at(1), 1)
			require.True(t, ok)
			if d.ID == 0 {
				break
			}
			before++
			q.Finish()
		}
		require.LessOrEqual(t, before, ahead)
	})
}

// TestStateOfAccountsIsBounded has ten thousand accounts send one request each. The queue must not
// remember them all.
func TestStateOfAccountsIsBounded(t *testing.T) {
	q := New(1)
	for account := range Account(10_000) {
		q.Add(Item{ID: uint64(account), Account: account + 1, ServiceTime: 10 * ms, Deadline: at(1_000_000)})
		_, ok := q.Next(at(0), 1)
		require.True(t, ok)
		q.Finish()
	}
	require.LessOrEqual(t, len(q.sharesOf(0).accounts.finishTagByFlow), maxAccounts)
	require.LessOrEqual(t, len(q.sharesOf(0).kindsByAccount), maxAccounts)
	require.Zero(t, q.GuaranteedStarts(), "there is only one rank")
}

// TestOwedRequestIsAdmitted has an account of a late rank send requests that get no start, as urgent
// requests always wait. Once it is owed a start, its next request must be admitted despite the queue.
func TestOwedRequestIsAdmitted(t *testing.T) {
	q := New(1)
	admit := func(account Account, rank int) Admission {
		item, admission, _ := q.Admit(at(0), Arrival{
			Rank: rank, Account: account, ServiceTime: 100 * ms, UntilTarget: 300 * ms, UntilDeadline: 600 * ms,
		}, Performance{Slowdown: 1})
		if admission == Admitted {
			q.Add(item)
		}
		return admission
	}
	const urgent, starved = 1, 2
	refused := 0
	for range 20 {
		for q.Waiting() < 5 {
			q.Add(Item{Account: urgent, ServiceTime: 100 * ms, Target: at(300), Deadline: at(600)})
		}
		_, ok := q.Next(at(0), 1)
		require.True(t, ok)
		if admit(starved, 9) == Admitted {
			break
		}
		refused++
		q.Finish()
	}
	require.Positive(t, refused, "at first, it is refused")
	require.Equal(t, q.Running()+q.Waiting(), q.Ahead(Position{Rank: 9, Account: 3}), "a third account finds all others before it")
	q.Finish()
	_, ok := q.Next(at(0), 1)
	require.True(t, ok)
	require.Equal(t, 1, q.GuaranteedStarts())
}
