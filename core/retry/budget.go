package retry

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// initialTokens is the number of tokens in a new Budget. Each retry takes one token.
	initialTokens = 10
	// maxTokens is the largest number of tokens that can be saved up.
	maxTokens = 50
	// attemptsHalfLife is the age at which an attempt has half its weight in the failure rate.
	attemptsHalfLife = time.Second
	// maxFailureRate is the largest share of recent attempts that may have failed for retries
	// to be allowed.
	maxFailureRate = 0.5
	// minAttempts is the lowest number of recent attempts at which their failure rate is
	// compared with maxFailureRate. With fewer, the failure rate does not disable retries.
	minAttempts = 20
)

// Decision says whether a retry may be sent and, if not, why.
type Decision uint8

// The possible values of a Decision.
const (
	// Allowed means that the retry may be sent. Allow has taken a token for it.
	Allowed Decision = iota + 1
	// BudgetExhausted means that the budget has no token left.
	BudgetExhausted
	// TooManyFailures means that more than half of the recent attempts failed (see
	// maxFailureRate).
	TooManyFailures
	// DeadlineTooClose means that Backoff has returned false because too little time
	// remains until the deadline. Allow never returns this value.
	DeadlineTooClose
)

// String returns the value that metric labels use.
func (d Decision) String() string {
	switch d {
	case Allowed:
		return "allowed"
	case BudgetExhausted:
		return "budget"
	case TooManyFailures:
		return "storm"
	case DeadlineTooClose:
		return "deadline"
	default:
		return "none"
	}
}

// Budget limits the retries of one service at one entry with a token bucket. It is not
// safe for concurrent use.
type Budget struct {
	// tokensPerRequest is the number of tokens that each request adds.
	tokensPerRequest float64
	// tokens is the number of retries that the budget allows now.
	tokens float64
	// attemptCount counts recent attempts. The count is halved every attemptsHalfLife.
	attemptCount float64
	// failureCount counts recent failed attempts. The count is also halved every
	// attemptsHalfLife.
	failureCount float64
	// decayedAt is the instant up to which attemptCount and failureCount have been decayed.
	decayedAt model.Instant
}

// NewBudget returns a Budget that allows retries for the given share of requests, from
// 0 to 1.
func NewBudget(share float64) *Budget {
	b := &Budget{tokens: initialTokens}
	b.SetShare(share)
	return b
}

// SetShare changes the share of requests that may be retried. Zero forbids retries and discards
// the saved tokens.
func (b *Budget) SetShare(share float64) {
	b.tokensPerRequest = share
	if share <= 0 {
		b.tokens = 0
	}
}

// CountRequest counts a new request and adds a fraction of a token for it (see SetShare).
// The caller must not count retries with CountRequest.
func (b *Budget) CountRequest() { b.tokens = min(b.tokens+b.tokensPerRequest, maxTokens) }

// CountAttempt counts an attempt, which may be a retry, and whether it failed.
func (b *Budget) CountAttempt(now model.Instant, failed bool) {
	b.decay(now)
	b.attemptCount++
	if failed {
		b.failureCount++
	}
}

// Allow decides whether a retry may be sent now, and takes a token if so. It returns
// Allowed, BudgetExhausted or TooManyFailures.
func (b *Budget) Allow(now model.Instant) Decision {
	b.decay(now)
	if b.attemptCount >= minAttempts && b.failureCount > maxFailureRate*b.attemptCount {
		return TooManyFailures
	}
	if b.tokens < 1 {
		return BudgetExhausted
	}
	b.tokens--
	return Allowed
}

// decay reduces attemptCount and failureCount according to the time since the last decay.
func (b *Budget) decay(now model.Instant) {
	if now <= b.decayedAt {
		return
	}
	decayFactor := math.Exp2(-float64(now.Sub(b.decayedAt)) / float64(attemptsHalfLife))
	b.attemptCount *= decayFactor
	b.failureCount *= decayFactor
	b.decayedAt = now
}
