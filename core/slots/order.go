package slots

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// lastRankInterval sets how often the last rank comes first if no waiting request has a client account.
// One of every lastRankInterval starts goes to the last rank, even if requests of lower ranks wait.
// With one in eight, seven eighths of the capacity follow the regular order of ranks.
const lastRankInterval = 8

// Position describes a new request, for Queue.Ahead.
type Position struct {
	Rank    int
	Kind    Kind
	Account Account
	// Weight is the weight of the account; see Item.Weight.
	Weight float64
}

// Ahead returns how many requests run now or would start before a new request. It counts:
//   - the running requests;
//   - the waiting requests of lower ranks;
//   - the n waiting requests of the same rank, account and kind;
//   - at most n+1 waiting requests of each other kind of the same rank and account, since the kinds
//     take turns;
//   - of each other account of the same rank, as many waiting requests as its weight allows before
//     the new request, since the accounts take turns, too;
//   - if its account and rank are owed a start, at most one waiting request of each other flow that is
//     owed one; see guarantees.
func (q *Queue) Ahead(p Position) int {
	lower, ownByKind, others, owed := 0, map[Kind]int{}, backlogs{}, map[flow]bool{}
	for i := range q.items {
		item := &q.items[i]
		if q.guarantees.owed(item.flow()) >= 1 {
			owed[item.flow()] = true
		}
		switch {
		case item.Rank < p.Rank:
			lower++
		case item.Rank == p.Rank && item.Account == p.Account:
			ownByKind[item.Kind]++
		case item.Rank == p.Rank:
			others.add(item.Account, item.weight())
		}
	}
	own := 0
	for _, waiting := range ownByKind {
		own += min(waiting, ownByKind[p.Kind]+1)
	}
	ahead := lower + own + others.ahead(own, weightOrDefault(p.Weight))
	if p.Account != 0 && own == 0 && q.guarantees.owed(p.flow()) >= 1 {
		ahead = min(ahead, len(owed))
	}
	return q.running + ahead
}

// backlog is the number of waiting requests of an account and the weight of the account.
type backlog struct {
	waiting int
	weight  float64
}

// backlogs holds the backlogs of the accounts of a rank.
type backlogs map[Account]backlog

func (b backlogs) add(a Account, weight float64) {
	b[a] = backlog{waiting: b[a].waiting + 1, weight: weight}
}

// ahead returns how many requests of the accounts start before a new request of another account that
// has the given weight and own waiting requests.
func (b backlogs) ahead(own int, weight float64) int {
	n := 0
	for _, account := range b {
		n += min(account.waiting, int(math.Ceil(float64(own+1)*account.weight/weight)))
	}
	return n
}

func (p Position) flow() flow { return flow{account: p.Account, rank: p.Rank} }

func (i *Item) flow() flow { return flow{account: i.Account, rank: i.Rank} }

// hasAccounts reports whether any waiting request has a client account.
func (q *Queue) hasAccounts() bool {
	for i := range q.items {
		if q.items[i].Account != 0 {
			return true
		}
	}
	return false
}

// AccountsWaiting returns the number of client accounts that have waiting requests.
func (q *Queue) AccountsWaiting() int {
	accounts := map[Account]bool{}
	for i := range q.items {
		if a := q.items[i].Account; a != 0 {
			accounts[a] = true
		}
	}
	return len(accounts)
}

// GuaranteedStarts returns how many requests started before requests of lower ranks because their
// accounts were owed the start.
func (q *Queue) GuaranteedStarts() int { return q.guaranteedStarts }

// takeNext removes the request that starts next from the queue and charges its account and kind. At
// least one request must be waiting.
func (q *Queue) takeNext(now model.Instant, slowdown float64) Dequeued {
	best := q.nextIndex(now, slowdown)
	item := &q.items[best]
	q.sharesOf(item.Rank).charge(item)
	q.guarantees.start(item.flow())
	q.running++
	q.starts++
	return q.dequeue(best, Start)
}

// nextIndex returns the index of the waiting request to start next.
func (q *Queue) nextIndex(now model.Instant, slowdown float64) int {
	if !q.hasAccounts() {
		lastRankFirst := q.starts%lastRankInterval == lastRankInterval-1
		return q.nextInRankOrder(now, slowdown, lastRankFirst)
	}
	inRankOrder := q.nextInRankOrder(now, slowdown, false)
	owed, ok := q.mostOwedIndex(now, slowdown)
	if !ok || q.items[owed].flow() == q.items[inRankOrder].flow() {
		return inRankOrder
	}
	q.guaranteedStarts++
	return owed
}

// nextInRankOrder returns the index of the request to start next from the first rank, or from the
// last one.
func (q *Queue) nextInRankOrder(now model.Instant, slowdown float64, lastRankFirst bool) int {
	best := 0
	for i := 1; i < len(q.items); i++ {
		a, b := &q.items[i], &q.items[best]
		switch {
		case a.Rank != b.Rank:
			if a.Rank > b.Rank == lastRankFirst {
				best = i
			}
		case q.startsBefore(a, b, now, slowdown):
			best = i
		}
	}
	return best
}

// mostOwedIndex returns the index of the request to start next from the flow that is owed most. It
// returns false if no flow that waits is owed a whole start.
func (q *Queue) mostOwedIndex(now model.Instant, slowdown float64) (int, bool) {
	best, mostOwed := -1, 0.0
	for i := range q.items {
		owed := q.guarantees.owed(q.items[i].flow())
		switch {
		case owed < 1:
		case best < 0, owed > mostOwed:
			best, mostOwed = i, owed
		case q.items[i].flow() == q.items[best].flow() && q.startsBefore(&q.items[i], &q.items[best], now, slowdown):
			best = i
		}
	}
	return best, best >= 0
}

// startsBefore reports whether a starts before b. The two must have the same rank.
func (q *Queue) startsBefore(a, b *Item, now model.Instant, slowdown float64) bool {
	aStart, bStart := a.latestStart(slowdown), b.latestStart(slowdown)
	aLate, bLate := aStart < now, bStart < now
	aTag, bTag := q.tags(a, b)
	switch {
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

// tags returns the tags by which two requests of the same rank are ordered: those of their accounts, or
// those of their kinds if they have the same account.
func (q *Queue) tags(a, b *Item) (aTag, bTag time.Duration) {
	shares := q.sharesOf(a.Rank)
	if a.Account != b.Account {
		return shares.accounts.startTag(a.Account), shares.accounts.startTag(b.Account)
	}
	return shares.kindTag(a.Account, a.Kind), shares.kindTag(b.Account, b.Kind)
}

// latestStart returns the last instant at which the request can start and still meet its
// target. For a request without a target, the deadline counts instead.
func (i *Item) latestStart(slowdown float64) model.Instant {
	completeBy := i.Target
	if completeBy == 0 {
		completeBy = i.Deadline
	}
	return completeBy.Add(-scale(i.ServiceTime, slowdown))
}
