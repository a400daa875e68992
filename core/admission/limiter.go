package admission

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// StartLimiter limits the rate at which requests start.
type StartLimiter interface {
	// NextStart returns the earliest instant, not before now, at which a request may start.
	NextStart(now model.Instant) model.Instant
	// Delay returns how long a request has to wait if ahead other requests start before it.
	Delay(now model.Instant, ahead int) time.Duration
	// RecordStart records that a request starts.
	RecordStart(now model.Instant)
}

// noStartLimit is a StartLimiter that does not limit the rate.
type noStartLimit struct{}

func (noStartLimit) NextStart(now model.Instant) model.Instant { return now }

func (noStartLimit) Delay(model.Instant, int) time.Duration { return 0 }

func (noStartLimit) RecordStart(model.Instant) {}

// fixedLimit is a Limiter whose limit never changes.
type fixedLimit int

func (l fixedLimit) Limit() int { return int(l) }

func (l fixedLimit) Observe(model.Instant, time.Duration, int, bool) {}
