package quota

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Token is the right of one request to pass, or the part of a lease that it came from.
type Token struct {
	// expiresAt is when the token can no longer be used.
	expiresAt model.Instant
}

// lease holds the tokens of an entry for one account.
type lease struct {
	tokens    int
	expiresAt model.Instant
	usage     usage
	// deniedUntil is until when requests are refused without asking the holder. The callers are told
	// to return between retryFirst and retryLast.
	deniedUntil           model.Instant
	retryFirst, retryLast model.Instant
	// refused counts the requests that were refused since the holder was last told.
	refused int
}

// take takes a token, if there is one.
func (l *lease) take(now model.Instant) (Token, bool) {
	if now >= l.expiresAt {
		l.tokens = 0
	}
	if l.tokens == 0 {
		return Token{}, false
	}
	l.tokens--
	l.usage.add(now, 1)
	return Token{expiresAt: l.expiresAt}, true
}

// add adds granted tokens. Older tokens of the lease keep at most their validity, so all of
// them expire when the first of them would.
func (l *lease) add(now model.Instant, n int, expiresAt model.Instant) {
	if n <= 0 || expiresAt <= now {
		return
	}
	if now >= l.expiresAt {
		l.tokens = 0
	}
	if l.tokens > 0 {
		expiresAt = min(expiresAt, l.expiresAt)
	}
	l.tokens, l.expiresAt = l.tokens+n, expiresAt
}

// giveBack returns the token of a request that has provably not run. A token that has expired is
// lost: its holder has filled its bucket again since.
func (l *lease) giveBack(now model.Instant, t Token) {
	l.add(now, 1, t.expiresAt)
}

// deny records a reply of a holder that had too few tokens.
func (l *lease) deny(now model.Instant, r Reply) {
	l.deniedUntil = now.Add(min(max(r.AskAgain, minAskInterval), maxAskInterval))
	l.retryFirst, l.retryLast = now.Add(r.RetryFirst), now.Add(r.RetryLast)
}

func (l *lease) denied(now model.Instant) bool { return now < l.deniedUntil }

// minRetryAfter is the least time after which a refused caller may return.
const minRetryAfter = 10 * time.Millisecond

// retryAfter returns the time after which a refused caller may return. random is in [0, 1). It
// spreads the callers over the expected times.
func (l *lease) retryAfter(now model.Instant, random float64) time.Duration {
	first, last := max(l.retryFirst.Sub(now), minRetryAfter), max(l.retryLast.Sub(now), 2*minRetryAfter)
	return first + time.Duration(random*float64(max(last-first, 0)))
}

// idle reports whether a new lease would be the same.
func (l *lease) idle(now model.Instant) bool {
	return (l.tokens == 0 || now >= l.expiresAt) && !l.denied(now) && l.refused == 0 && l.usage.expected(now) == 0 && l.usage.current == 0
}
