package startrate

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// maxTransit is the longest time that a request is assumed to take from its start at the guard
// to its arrival at the upstream on the same VM. It allows for a scheduling delay.
const maxTransit = 50 * time.Millisecond

// anyInstant is before all starts.
const anyInstant = model.Instant(math.MinInt64)

// startLog keeps the times of the latest starts in ascending order.
type startLog struct{ times []model.Instant }

// add adds a start. At least the latest keep starts are kept.
func (l *startLog) add(at model.Instant, keep int) {
	if len(l.times) >= 2*keep {
		l.times = append(l.times[:0], l.times[len(l.times)-keep:]...)
	}
	l.times = append(l.times, at)
}

// clear removes all starts.
func (l *startLog) clear() { l.times = l.times[:0] }

// nextWithin returns the earliest instant, not before now, at which fewer than n starts lie within
// the preceding period. Starts before the instant since do not count.
func (l *startLog) nextWithin(now model.Instant, n int, period time.Duration, since model.Instant) model.Instant {
	i := len(l.times) - n
	if i < 0 || l.times[i] < since {
		return now
	}
	return max(now, l.times[i].Add(period))
}

// countAfter counts the starts after an instant.
func (l *startLog) countAfter(instant model.Instant) int {
	n := 0
	for i := len(l.times) - 1; i >= 0 && l.times[i] > instant; i-- {
		n++
	}
	return n
}

// pace is a rate as a number of starts in a period of at least a second.
type pace struct {
	// rate is the number of starts per second.
	rate   float64
	starts int
	period time.Duration
}

func paceOf(rate float64) pace {
	starts := max(math.Floor(rate), 1)
	return pace{rate: rate, starts: int(starts), period: duration(starts / rate)}
}

// maxDuration bounds the time for which starts are put off. The rate may be as small as a float64 can be.
const maxDuration = time.Hour

// duration converts a number of seconds, at most maxDuration.
func duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxDuration.Seconds()) * float64(time.Second))
}

// next returns the earliest instant, not before now, at which a start does not exceed the pace. Starts
// before the instant since do not count.
func (p pace) next(l *startLog, now, since model.Instant) model.Instant {
	return l.nextWithin(now, p.starts, p.period, since)
}

// delay returns how long a request has to wait for its start if ahead other requests start before it
// and the first of them cannot start before next. Starts before the instant since do not count.
func (p pace) delay(l *startLog, now, next model.Instant, ahead int, since model.Instant) time.Duration {
	if next == now {
		// The first of the requests, and those for which there is room, do not wait.
		ahead -= p.starts - 1 - l.countAfter(max(now.Add(-p.period), since))
	}
	return next.Sub(now) + duration(float64(max(ahead, 0))/p.rate)
}
