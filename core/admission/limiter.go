package admission

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// announced is the limit that the upstream announced.
type fixedLimit int

func (l fixedLimit) Limit() int { return int(l) }

func (a fixedLimit) Observe(model.Instant, time.Duration, int, bool) {}
