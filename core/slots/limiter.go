package slots

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// armLength is how long each of the two limits that are compared holds at a
	// time. It is longer than most runs, so that a run sees one limit, and short
	// against the changes of load that would tell the two apart wrongly.
	armLength = 500 * time.Millisecond
	// levelWidth is how far, in steps, the mean number of concurrent runs during a run
	// may be from the limit under which the run counts.
	levelWidth = 0.4
	// stepsOfSlots is how many steps the slots are divided into: with many of them, a
	// limit that differs by one cannot be told apart.
	stepsOfSlots = 6
	// minSamples is how many runs under each limit a decision takes, and maxSamples
	// how many end a comparison that has not told the limits apart.
	minSamples = 10
	maxSamples = 150
	// certainty is how many standard errors apart two limits must be: 1.5 leaves
	// one decision in fifteen to chance, and a wrong one is tried again.
	certainty = 1.5
	// settledFor is how long the limit holds once its neighbours are known to be
	// worse. Upstreams change with their software.
	settledFor = time.Minute
)

// Limiter learns at how many concurrent runs an upstream gets most done. Some
// upstreams slow down when they are nearly full, others do not, and none says so.
//
// While requests wait, the limit in use and one next to it hold in turn. Both see
// the same load and the same neighbours, so that the time runs take under each,
// relative to what was expected, shows the effect of the limit alone. The one with
// the higher throughput stays. A Limiter is not safe for concurrent use.
type Limiter struct {
	slots int
	limit int
	// trial is the limit that is compared with, or limit while none is, and moved
	// whether the comparisons since the last rest have changed the limit.
	trial int
	moved bool
	arms  [2]arm
	// armsFrom is when the pair of arms began that holds now.
	armsFrom     model.Instant
	settledUntil model.Instant

	running int
	area    float64
	areaAt  model.Instant
}

// arm holds the logarithms of the slow-downs seen under one limit.
type arm struct {
	n    int
	mean float64
	m2   float64
}

func (a *arm) add(x float64) {
	a.n++
	d := x - a.mean
	a.mean += d / float64(a.n)
	a.m2 += d * (x - a.mean)
}

// variance returns that of the mean.
func (a *arm) variance() float64 {
	n := float64(a.n)
	return a.m2 / (n - 1) / n
}

// The two arms of a comparison.
const (
	armInUse = iota
	armTrial
)

// NewLimiter returns a Limiter for an upstream with slots, which begins with a
// limit between 1 and slots.
func NewLimiter(limit, slots int) *Limiter {
	slots = max(slots, 1)
	limit = min(max(limit, 1), slots)
	return &Limiter{slots: slots, limit: limit, trial: limit}
}

// Slots returns the number of slots that the Limiter was made for.
func (l *Limiter) Slots() int { return l.slots }

// InUse returns the limit that has proved best so far.
func (l *Limiter) InUse() int { return l.limit }

// Limit returns how many runs may be under way now. waiting tells whether more
// requests are there than that.
func (l *Limiter) Limit(now model.Instant, waiting bool) int {
	if !waiting || now < l.settledUntil {
		return l.limit
	}
	if l.trial == l.limit {
		l.moved = false
		l.compare(now, -l.step())
	}
	if now.Sub(l.armsFrom) >= 2*armLength {
		l.armsFrom = now
	}
	if now.Sub(l.armsFrom) < armLength {
		return l.limit
	}
	return l.trial
}

// Runs takes in how many runs are under way from now on.
func (l *Limiter) Runs(now model.Instant, running int) {
	l.area = l.areaUntil(now)
	l.areaAt = now
	l.running = running
}

func (l *Limiter) areaUntil(now model.Instant) float64 {
	return l.area + float64(l.running)*now.Sub(l.areaAt).Seconds()
}

// Run is a run under way.
type Run struct {
	began model.Instant
	area  float64
}

// Begin returns a run that begins now.
func (l *Limiter) Begin(now model.Instant) Run {
	return Run{began: now, area: l.areaUntil(now)}
}

// End takes in that a run has ended which should have taken so long.
func (l *Limiter) End(r Run, now model.Instant, expected time.Duration) {
	took := now.Sub(r.began)
	if took <= 0 || expected <= 0 || l.trial == l.limit {
		return
	}
	level := (l.areaUntil(now) - r.area) / took.Seconds()
	width := levelWidth * float64(l.step())
	slowdown := math.Log(float64(took) / float64(expected))
	switch {
	case math.Abs(level-float64(l.limit)) < width:
		l.arms[armInUse].add(slowdown)
	case math.Abs(level-float64(l.trial)) < width:
		l.arms[armTrial].add(slowdown)
	default:
		return
	}
	l.decide(now)
}

// decide ends the comparison when it has told the limits apart.
func (l *Limiter) decide(now model.Instant) {
	a, b := &l.arms[armInUse], &l.arms[armTrial]
	if a.n < minSamples || b.n < minSamples {
		return
	}
	// The trial is better if runs take longer by less than it has more of them.
	gain := math.Log(float64(l.trial)/float64(l.limit)) - (b.mean - a.mean)
	unsure := certainty * math.Sqrt(a.variance()+b.variance())
	step := l.trial - l.limit
	switch {
	case gain > unsure:
		l.limit = l.trial
		l.moved = true
		l.compare(now, step)
	case gain < -unsure, a.n >= maxSamples && b.n >= maxSamples:
		l.reject(now, step)
	}
}

// reject goes on with the neighbour above, unless the limit has come from there.
func (l *Limiter) reject(now model.Instant, step int) {
	if step < 0 && !l.moved {
		l.compare(now, l.step())
		return
	}
	l.settle(now)
}

// step is the distance between limits that are compared.
func (l *Limiter) step() int { return max(l.slots/stepsOfSlots, 1) }

// compare starts a comparison with a neighbour of the limit.
func (l *Limiter) compare(now model.Instant, step int) {
	l.arms = [2]arm{}
	l.trial = l.limit + step
	if l.trial < 1 || l.trial > l.slots {
		l.reject(now, step)
	}
}

// settle keeps the limit for a while.
func (l *Limiter) settle(now model.Instant) {
	l.arms = [2]arm{}
	l.trial = l.limit
	l.settledUntil = now.Add(settledFor)
}
