package quota

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// leaseValidity is how long an entry may use the tokens that it was granted. The tokens that a
	// daemon took ahead are lost after it, so it is short. It counts from the request for them.
	leaseValidity = 200 * time.Millisecond
	// clockMargin is by how much leases may end later by the clock of their holder, because clocks run at
	// different rates and replies take time.
	clockMargin = 100 * time.Millisecond
	// rounding is the largest error of sums of tokens, which messages carry as multiples of 1e-6.
	rounding = 1e-4
	// maxRetryAfter bounds the time after which refused callers are told to return.
	maxRetryAfter = 5 * time.Second
	// prefetchShare is the share of the capacity that stays in a bucket for needs when tokens are
	// granted ahead of need.
	prefetchShare = 0.5
	// maxAheadShare is the largest share of the capacity that tokens granted ahead of need take up.
	maxAheadShare = 0.25
	// refillShare is the share of the capacity below which a bucket borrows ahead of need.
	refillShare = 0.9
	// minAheadUsage is the least number of tokens in a usagePeriod for which a bucket borrows ahead. Accounts that use
	// fewer are served by borrowing when they need it.
	minAheadUsage = 3
	// An account that was refused is not asked for again before an interval from minAskInterval to
	// maxAskInterval, which bounds the messages about an account that sends far more than its quota.
	// usualAskInterval is the least interval unless the bucket is full sooner.
	minAskInterval   = 5 * time.Millisecond
	usualAskInterval = 20 * time.Millisecond
	maxAskInterval   = 100 * time.Millisecond
	// maxDrainTime bounds the time for which a former holder is asked for tokens.
	maxDrainTime = 10 * time.Second
)

// flow is what becomes of a bucket that nobody takes tokens from.
type flow uint8

const (
	// filling is the flow of the holder's bucket.
	filling flow = iota
	// draining means that another daemon is the holder. The bucket loses what that of the other daemon is
	// filled with, so that both together have no more than one.
	draining
	// paused means that there is no holder.
	paused
)

// pool is the token bucket of a holder for one account.
type pool struct {
	share share
	level float64
	// updatedAt is when level was computed.
	updatedAt model.Instant
	// borrowed is the part of level that other holders have granted since borrowedSince.
	borrowed      float64
	borrowedSince model.Instant
	// flow is in force since flowSince.
	flow      flow
	flowSince model.Instant
	// ahead holds the tokens that were granted ahead of need in the current period of
	// leaseValidity and clockMargin, and in the one before. Until they expire they take up capacity.
	ahead       [2]float64
	aheadPeriod int64
	// backlogEnd is when the refused requests that were told to return will have been served.
	backlogEnd model.Instant
	// usage counts the tokens granted to entries, asks the requests for tokens.
	usage, asks usage
	// loanDeniedUntil holds until when other daemons are known to have no tokens to lend, by address.
	loanDeniedUntil map[string]model.Instant
	// nextAheadAt is when the bucket may next borrow ahead of need.
	nextAheadAt model.Instant
}

// newPool returns the pool of a daemon that has been the holder since startedAt.
func newPool(now, startedAt model.Instant, s share) *pool {
	p := &pool{share: s, updatedAt: startedAt}
	p.fill(now)
	return p
}

// fill brings the level up to date.
func (p *pool) fill(now model.Instant) {
	if now <= p.updatedAt {
		return
	}
	yield := now.Sub(p.updatedAt).Seconds() * p.share.rate
	switch p.flow {
	case filling:
		p.level = max(p.level, min(p.level+yield, p.capacity(now)))
	case draining:
		p.cutTo(p.level - yield)
	}
	p.updatedAt = now
}

// setFlow changes the flow.
func (p *pool) setFlow(now model.Instant, f flow) {
	p.fill(now)
	p.flow, p.flowSince = f, now
}

// trim cuts the level to the capacity.
func (p *pool) trim(now model.Instant) {
	p.fill(now)
	p.cutTo(p.capacity(now))
}

// cutTo removes what the bucket has beyond a level.
func (p *pool) cutTo(level float64) {
	p.level = min(p.level, max(level, 0))
	p.borrowed = min(p.borrowed, p.level)
}

// capacity returns how many tokens the bucket may hold.
func (p *pool) capacity(now model.Instant) float64 {
	p.advanceAhead(now)
	return max(p.share.capacity-p.ahead[0]-p.ahead[1], 0)
}

func (p *pool) advanceAhead(now model.Instant) {
	period := int64(now) / int64(leaseValidity+clockMargin)
	switch elapsed := period - p.aheadPeriod; {
	case elapsed <= 0:
		return
	case elapsed == 1:
		p.ahead = [2]float64{0, p.ahead[0]}
	default:
		p.ahead = [2]float64{}
	}
	p.aheadPeriod = period
}

// setShare changes the share. The level is cut to the new capacity at once.
func (p *pool) setShare(now model.Instant, s share) {
	p.fill(now)
	p.share = s
	p.trim(now)
}

// limitTo cuts the level to what a bucket that was empty at startedAt can hold, besides the tokens that were
// borrowed since.
func (p *pool) limitTo(now, startedAt model.Instant) {
	p.fill(now)
	if p.borrowedSince < startedAt {
		p.borrowed = 0
	}
	p.cutTo(p.borrowed + max(now.Sub(startedAt).Seconds(), 0)*p.share.rate)
}

// take takes tokens, borrowed ones first.
func (p *pool) take(n float64) {
	p.level -= n
	p.borrowed = max(p.borrowed-n, 0)
}

// grantWhole takes up to need tokens, in whole numbers, and returns how many. If it takes all of
// them, and more than prefetchShare of the capacity is left, it also takes some of those that are
// wanted beyond the need.
func (p *pool) grantWhole(now model.Instant, need, want float64) float64 {
	p.fill(now)
	granted := math.Floor(min(p.level+rounding, need))
	p.take(granted)
	if granted < need {
		p.usage.add(now, granted)
		return granted
	}
	spare := min(p.level-prefetchShare*p.share.capacity, maxAheadShare*p.share.capacity-p.ahead[0]-p.ahead[1])
	extra := max(math.Floor(min(want-need, spare)), 0)
	p.take(extra)
	p.ahead[0] += extra
	p.usage.add(now, granted+extra)
	return granted + extra
}

// grantToHolder takes up to need tokens for the holder of another zone and returns how many. It also
// takes some of those that are wanted beyond the need while the bucket is more than half full.
func (p *pool) grantToHolder(now model.Instant, need, want float64) float64 {
	p.fill(now)
	granted := max(min(p.level, need), 0)
	if spare := p.level - granted - prefetchShare*p.share.capacity; spare > 0 {
		granted += max(min(want-granted, spare), 0)
	}
	granted = decodeAmount(encodeAmount(granted))
	p.take(granted)
	return granted
}

// deposit adds tokens from another holder. They may exceed the capacity until they are granted. The
// caller calls trim when it has granted what was needed.
func (p *pool) deposit(now model.Instant, n float64) {
	p.fill(now)
	if p.borrowed == 0 {
		p.borrowedSince = now
	}
	p.level += n
	p.borrowed += n
}

// shortOf returns how many tokens the bucket lacks to grant need.
func (p *pool) shortOf(now model.Instant, need float64) float64 {
	p.fill(now)
	return need - p.level
}

// needsAhead reports whether more than the zone's share is used, so that the bucket runs empty while
// those of other zones may be full. It is then better to borrow before that.
func (p *pool) needsAhead(now model.Instant) bool {
	used := max(p.usage.expected(now), p.usage.current)
	return now >= p.nextAheadAt && used >= minAheadUsage && used > p.share.rate*usagePeriod.Seconds() &&
		p.level < refillShare*p.capacity(now)
}

// askAgain returns when a daemon that was granted less than it needs may ask again. The more daemons
// ask, the longer they wait. The bucket must not become full meanwhile.
func (p *pool) askAgain(now model.Instant) time.Duration {
	p.fill(now)
	next := timeFor(max(1-p.level, p.asks.expected(now)), p.share.accountRate, maxAskInterval)
	next = max(next, usualAskInterval)
	return max(min(next, timeFor(p.share.capacity/2, p.share.rate, maxAskInterval)), minAskInterval)
}

// retryTimes returns when the first and the last of the callers that are refused may return. refused is the
// number of those that were refused since the last call. The times are spread so that each caller that
// returns finds a token.
func (p *pool) retryTimes(now model.Instant, refused int) (first, last time.Duration) {
	p.fill(now)
	first = max(timeFor(1-p.level, p.share.accountRate, maxRetryAfter), p.backlogEnd.Sub(now))
	last = min(first+timeFor(float64(refused), p.share.accountRate, maxRetryAfter), maxRetryAfter)
	p.backlogEnd = now.Add(last)
	return min(first, last), last
}

// idle reports whether the pool can be dropped, because a new one would hold the same number of tokens.
func (p *pool) idle(now model.Instant) bool {
	p.fill(now)
	if p.flow == draining {
		return now.Sub(p.flowSince).Seconds()*p.share.rate >= p.share.capacity
	}
	return p.level >= p.share.capacity && p.backlogEnd <= now && p.usage.expected(now) == 0 && p.usage.current == 0
}
