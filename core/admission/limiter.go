package admission

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// fixedLimit is a Limiter whose limit never changes.
type fixedLimit int

func (l fixedLimit) Limit() int { return int(l) }

func (l fixedLimit) Observe(model.Instant, time.Duration, int, bool) {}
