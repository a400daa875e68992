package quota

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// usagePeriod is the period over which recent use is counted. Tokens are taken ahead for one such
// period.
const usagePeriod = 100 * time.Millisecond

// usage counts the tokens used in the current usagePeriod and in the one before.
type usage struct {
	period            int64
	current, previous float64
}

func (u *usage) advance(now model.Instant) {
	period := int64(now) / int64(usagePeriod)
	switch period - u.period {
	case 0:
		return
	case 1:
		u.previous = u.current
	default:
		u.previous = 0
	}
	u.period, u.current = period, 0
}

func (u *usage) add(now model.Instant, n float64) {
	u.advance(now)
	u.current += n
}

// expected returns the number of tokens to expect in the next usagePeriod.
func (u *usage) expected(now model.Instant) float64 {
	u.advance(now)
	return u.previous
}
