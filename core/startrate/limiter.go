package startrate

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Limiter limits the starts at one upstream by all limits that apply to it. It is not safe for concurrent
// use. The zero value limits nothing.
type Limiter struct {
	Cold  Cold
	Named Named
}

// RecordStart records that a request is sent to the upstream.
func (l *Limiter) RecordStart(now model.Instant) {
	l.Cold.RecordStart(now)
	l.Named.RecordStart(now)
}

// NextStart returns the earliest instant, not before now, at which another request may be sent.
func (l *Limiter) NextStart(now model.Instant) model.Instant {
	return max(l.Cold.NextStart(now), l.Named.NextStart(now))
}

// Delay returns how long a request has to wait for its start if ahead other requests start before
// it.
func (l *Limiter) Delay(now model.Instant, ahead int) time.Duration {
	return max(l.Cold.Delay(now, ahead), l.Named.Delay(now, ahead))
}

// NeedsProof reports whether requests must wait now that could start at once if a health check
// showed that the upstream is warm.
func (l *Limiter) NeedsProof(now model.Instant) bool {
	return l.Cold.NeedsProof(now) && l.Named.NextStart(now) == now
}

// ProofDue reports whether the response to a health check should be proof, see Cold.ProofDue. While there is a
// named limit it should be, since it may show that the limit is lifted.
func (l *Limiter) ProofDue(now model.Instant) bool {
	_, limited := l.Named.Limit()
	return limited || l.Cold.ProofDue(now)
}

// Replaced records that another incarnation of the upstream takes the place of the previous one.
func (l *Limiter) Replaced(now model.Instant) {
	l.Cold.Replaced(now)
	l.Named.replaced()
}
