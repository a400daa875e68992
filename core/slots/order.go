package slots

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// lastRankInterval sets how often the last rank comes first if no waiting request has a client
	// account. One of every lastRankInterval starts goes to the last rank, even if requests of
	// lower ranks wait. With one in eight, seven eighths of the capacity follow the regular order
	// of ranks.
	lastRankInterval = 8
	// accountInterval sets how often accounts behind the first rank come first. Every account is to
	// be served at least a quarter as often as all. Where n times as much is asked as fits, accounts
	// that send the share x of it must get x/4 of the starts, so a quarter of the starts is enough
	// for any x and n.
	accountInterval = 4
)

// turn identifies the requests that take turns in the starts reserved for accounts behind the first
// rank.
type turn struct {
	account Account
	rank    int
}

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
//   - if there are accounts, the starts that are reserved for accounts behind the first rank. If the
//     new request is one of these, it waits no longer than until its turn.
func (q *Queue) Ahead(p Position) int {
	lower, higher, accounts := 0, 0, p.Account != 0
	ownByKind, others, turns := map[Kind]int{}, backlogs[Account]{}, backlogs[turn]{}
	first := min(q.firstRank(), p.Rank)
	for i := range q.items {
		item := &q.items[i]
		accounts = accounts || item.Account != 0
		switch {
		case item.Rank < p.Rank:
			lower++
		case item.Rank > p.Rank:
			higher++
		case item.Account == p.Account:
			ownByKind[item.Kind]++
		default:
			others.add(item.Account, item.weight())
		}
		if item.Rank > first && item.turn() != p.turn() {
			turns.add(item.turn(), item.weight())
		}
	}
	own := 0
	for _, waiting := range ownByKind {
		own += min(waiting, ownByKind[p.Kind]+1)
	}
	weight := weightOrDefault(p.Weight)
	ahead := lower + own + others.ahead(own, weight)
	if accounts {
		ahead += min(higher, ahead/(accountInterval-1))
		if p.Rank > first {
			ahead = min(ahead, (own+1+turns.ahead(own, weight))*accountInterval)
		}
	}
	return q.running + ahead
}

// backlog is the number of waiting requests of an account and the weight of the account.
type backlog struct {
	waiting int
	weight  float64
}

// backlogs holds the backlogs of flows that share service time.
type backlogs[Flow comparable] map[Flow]backlog

func (b backlogs[Flow]) add(f Flow, weight float64) {
	b[f] = backlog{waiting: b[f].waiting + 1, weight: weight}
}

// ahead returns how many requests of the flows start before a new request of another flow that has the
// given weight and own waiting requests.
func (b backlogs[Flow]) ahead(own int, weight float64) int {
	n := 0
	for _, flow := range b {
		n += min(flow.waiting, int(math.Ceil(float64(own+1)*flow.weight/weight)))
	}
	return n
}

func (p Position) turn() turn { return turn{account: p.Account, rank: p.Rank} }

func (i *Item) turn() turn { return turn{account: i.Account, rank: i.Rank} }

// firstRank returns the lowest rank of the waiting requests, and the largest int if there is none.
func (q *Queue) firstRank() int {
	first := math.MaxInt
	for i := range q.items {
		first = min(first, q.items[i].Rank)
	}
	return first
}

// hasAccounts reports whether any waiting request has a client account.
func (q *Queue) hasAccounts() bool {
	for i := range q.items {
		if q.items[i].Account != 0 {
			return true
		}
	}
	return false
}

// takeNext removes the request that starts next from the queue and charges its account and kind. At
// least one request must be waiting.
func (q *Queue) takeNext(now model.Instant, slowdown float64) Dequeued {
	best, reserved := q.nextIndex(now, slowdown)
	item := &q.items[best]
	q.sharesOf(item.Rank).charge(item)
	if reserved {
		q.turns.charge(item.turn(), item.weightedServiceTime())
		q.turns.bound(maxAccounts)
	}
	q.running++
	q.starts++
	return q.dequeue(best, Start)
}

// nextIndex returns the index of the waiting request to start next, and whether the start is one of
// those reserved for accounts behind the first rank.
func (q *Queue) nextIndex(now model.Instant, slowdown float64) (index int, reserved bool) {
	if q.hasAccounts() {
		if q.starts%accountInterval == accountInterval-1 {
			if best, ok := q.nextTurnIndex(now, slowdown); ok {
				return best, true
			}
		}
		return q.nextInRankOrder(now, slowdown, false), false
	}
	lastRankFirst := q.starts%lastRankInterval == lastRankInterval-1
	return q.nextInRankOrder(now, slowdown, lastRankFirst), false
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

// nextTurnIndex returns the index of the request to start next among those behind the first rank. It
// returns false if there is none. The accounts and ranks take turns. Of those whose turn it is, the last
// rank comes first.
func (q *Queue) nextTurnIndex(now model.Instant, slowdown float64) (int, bool) {
	first, best := q.firstRank(), -1
	for i := range q.items {
		if q.items[i].Rank == first {
			continue
		}
		if best < 0 || q.turnsBefore(&q.items[i], &q.items[best], now, slowdown) {
			best = i
		}
	}
	return best, best >= 0
}

// turnsBefore reports whether a starts before b in the starts reserved for accounts behind the first
// rank.
func (q *Queue) turnsBefore(a, b *Item, now model.Instant, slowdown float64) bool {
	aTurn, bTurn := q.turns.startTag(a.turn()), q.turns.startTag(b.turn())
	switch {
	case aTurn != bTurn:
		return aTurn < bTurn
	case a.Rank != b.Rank:
		return a.Rank > b.Rank
	default:
		return q.startsBefore(a, b, now, slowdown)
	}
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
