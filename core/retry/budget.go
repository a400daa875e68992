package retry

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// reserve is the number of tokens that a new Budget holds.
	initialTokens = 10
	// saved is the largest number of tokens.
	maxTokens = 50
	// halfLife is the age at which an attempt counts half.
	halfLife = time.Second
	// stormShare is the share of failed attempts above which retrying is off,
	// stormAttempts the number of recent attempts needed to tell.
	maxFailureRate = 0.5
	minAttempts    = 20
)

// Verdict is the answer to a wish to retry.
type Verdict uint8

// The verdicts.
const (
	// Allowed means that a token was taken.
	Allowed Verdict = iota + 1
	// Spent means that the budget holds no token.
	Spent
	// Storm means that too many of the recent attempts failed.
	Storm
	// TooLate means that too little time is left.
	TooLate
)

// String returns the word used as a metric tag.
func (v Verdict) String() string {
	switch v {
	case Allowed:
		return "allowed"
	case Spent:
		return "budget"
	case Storm:
		return "storm"
	case TooLate:
		return "deadline"
	default:
		return "none"
	}
}

// Budget rations the retries of one service at one entry. It is not safe for
// concurrent use.
type Budget struct {
	share  float64
	tokens float64
	// attempts and failures are recent counts that halve every halfLife.
	attempts  float64
	failures  float64
	decayedAt model.Instant
}

// NewBudget returns a Budget that allows the share of requests, 0 to 1, to be
// followed by a retry.
func NewBudget(share float64) *Budget {
	b := &Budget{tokens: initialTokens}
	b.SetShare(share)
	return b
}

// SetShare changes the share. A share of 0 forbids retries.
func (b *Budget) SetShare(share float64) {
	b.share = share
	if share <= 0 {
		b.tokens = 0
	}
}

// Request counts a request, not its retries.
func (b *Budget) Request() { b.tokens = min(b.tokens+b.share, maxTokens) }

// Attempt counts how an attempt ended, retries among them.
func (b *Budget) Attempt(now model.Instant, failed bool) {
	b.decay(now)
	b.attempts++
	if failed {
		b.failures++
	}
}

// Allow takes a token for a retry, if there is one.
func (b *Budget) Allow(now model.Instant) Verdict {
	b.decay(now)
	if b.attempts >= minAttempts && b.failures > maxFailureRate*b.attempts {
		return Storm
	}
	if b.tokens < 1 {
		return Spent
	}
	b.tokens--
	return Allowed
}

func (b *Budget) decay(now model.Instant) {
	if now <= b.decayedAt {
		return
	}
	remaining := math.Exp2(-float64(now.Sub(b.decayedAt)) / float64(halfLife))
	b.attempts *= remaining
	b.failures *= remaining
	b.decayedAt = now
}
