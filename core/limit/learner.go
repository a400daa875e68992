package limit

import (
	"math"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// fewShare is the share of the limit up to which few runs are under way: an upstream
	// that slows down past some number of runs does not there.
	fewShare = 0.5
	// nearShare is the share of the limit from which on an upstream counts as full.
	nearShare = 0.8
	// stepsOfSlots divides the slots into steps by which the limit rises.
	stepsOfSlots = 16
	// slowed is how much faster runs must be while there are few for a lower limit to be
	// tried. Below it an upstream does not slow down near its limit.
	slowed = 1.2
	// certainty is how many standard errors better another limit must be to be taken over,
	// and doubt how many worse to be dropped. Fewer groups than fewGroups take more, as the
	// error is known badly then.
	certainty = 2.0
	doubt     = 2.0
	fewGroups = 6.0
	// minGroups is how many groups of runs a decision takes, and maxGroups how many are
	// kept. A comparison that has not told two limits apart by then is given up.
	minGroups = 4
	maxGroups = 24
	// groupRuns is how many runs make a group while no limit is tried.
	groupRuns = 24
	// minArm and maxArm bound how long a limit holds at a time while two are compared.
	minArm = 50 * time.Millisecond
	maxArm = time.Second
	// armRuns is that time as a multiple of the mean run.
	armRuns = 1.5
	// turns is how many times in a row each limit holds, of which the last is for the one on
	// trial: one in three costs little where it is worse.
	turns = 3
	// lowerAfter and higherAfter are for how long requests must have waited before lower
	// and higher limits are tried, and maxPatience bounds the time between tries that
	// change nothing.
	lowerAfter  = time.Second
	higherAfter = 4 * time.Second
	maxPatience = 10 * time.Minute
	// nextAfter is that between the tries of one series.
	nextAfter = 200 * time.Millisecond
	// overdue is how many times longer than expected runs take at the limit of an upstream
	// that is likely to get more done under a lower one.
	overdue = 1.6
	// runWeight makes the mean run cover about 32 of them.
	runWeight = 1.0 / 32
)

// lowerShares are the shares of the limit at which lower ones are tried. The lowest comes
// first: where runs are no faster there, they are not in between either. One that is too low
// is followed by higher ones, step by step.
var lowerShares = []float64{0.35, 0.5, 0.75}

// Learner learns at how many concurrent runs an upstream gets most done. Some upstreams
// slow down past a number of runs, others do not, and none says so.
//
// It watches how long runs take of the time that they were expected to, apart for the
// times that the upstream is full and not. Where it seems to get more done when it runs
// fewer, a lower limit is compared with the one in use, in turns; where requests have
// waited for long, a higher one. It is not safe for concurrent use.
type Learner struct {
	slots int
	limit int
	// try draws whether this one is to try other limits, of all that guard upstreams of the
	// same software and tell each other what they find.
	try func() bool
	// trial is the limit that is compared with, or 0.
	trial    int
	turn     int
	turnFrom model.Instant

	running int
	slow    float64
	at      model.Instant
	// spent is the time, in that of an undisturbed upstream, spent in each arm so far.
	spent [arms]float64
	// epoch changes when the arms do: runs that began in another one do not count.
	epoch   int
	groups  []group
	meanRun float64

	// next are the limits to try in this series. Waited is for how long requests have waited
	// since the last try, and patience for how long they must before the next series.
	next     []int
	waiting  bool
	waited   time.Duration
	patience time.Duration
}

// The arms: times at the limit, at the one on trial or at few runs, and neither.
const (
	atLimit = iota
	atOther
	between
	arms
)

// Run is a run under way.
type Run struct {
	epoch int
	began model.Instant
	spent [arms]float64
}

// NewLearner returns a Learner for an upstream with slots that begins at a limit.
func NewLearner(slots, limit int, try func() bool) *Learner {
	slots = max(slots, 1)
	return &Learner{slots: slots, try: try, limit: min(max(limit, 1), slots), slow: 1, patience: lowerAfter}
}

// Limit returns how many may run now. Waiting tells whether requests wait.
func (l *Learner) Limit(now model.Instant, waiting bool) int {
	l.advance(now)
	l.waiting = waiting
	l.consider(now)
	if l.trial == 0 {
		return l.limit
	}
	if now.Sub(l.turnFrom) >= l.armLength() {
		l.turnFrom = now
		l.turn = (l.turn + 1) % turns
		if l.turn == 0 {
			l.nextGroup()
			l.decide()
		}
	}
	if l.trial != 0 && l.turn == turns-1 {
		return l.trial
	}
	return l.limit
}

// Slots returns the number of slots.
func (l *Learner) Slots() int { return l.slots }

// Reset forgets the runs so far, as of an upstream that has started anew, and keeps the
// limit.
func (l *Learner) Reset() {
	l.trial, l.next, l.waited = 0, nil, 0
	l.begin()
}

// InUse returns the limit that has proved best so far.
func (l *Learner) InUse() int { return l.limit }

// Adopt takes over the limit that another Learner has found.
func (l *Learner) Adopt(limit int) {
	if limit = min(max(limit, 1), l.slots); limit == l.limit {
		return
	}
	l.limit, l.trial, l.next = limit, 0, nil
	l.waited = 0
	l.begin()
}

// Slow takes in how long work takes now, 1 being as usual.
func (l *Learner) Slow(now model.Instant, slow float64) {
	l.advance(now)
	l.slow = max(slow, 0.01)
}

// Begin takes in that a run begins.
func (l *Learner) Begin(now model.Instant) Run {
	l.advance(now)
	l.running++
	return Run{epoch: l.epoch, began: now, spent: l.spent}
}

// End takes in that a run has ended that was expected to take so long. Counts is false for
// runs that tell nothing, as those that failed.
func (l *Learner) End(now model.Instant, r Run, expected time.Duration, counts bool) {
	l.advance(now)
	l.running = max(l.running-1, 0)
	if !counts || expected <= 0 {
		return
	}
	took := now.Sub(r.began).Seconds()
	if l.meanRun == 0 {
		l.meanRun = took
	}
	l.meanRun += (took - l.meanRun) * runWeight
	if r.epoch != l.epoch {
		return
	}
	l.add(r, expected.Seconds())
}

func (l *Learner) add(r Run, expected float64) {
	x0, x1 := (l.spent[atLimit]-r.spent[atLimit])/expected, (l.spent[atOther]-r.spent[atOther])/expected
	xm := (l.spent[between] - r.spent[between]) / expected
	if xm > (x0+x1+xm)/4 || x0+x1 <= 0 {
		return
	}
	if len(l.groups) == 0 {
		l.nextGroup()
	}
	g := &l.groups[len(l.groups)-1]
	g.runs++
	g.s00, g.s01, g.s11 = g.s00+x0*x0, g.s01+x0*x1, g.s11+x1*x1
	g.t0, g.t1 = g.t0+x0, g.t1+x1
	if l.trial == 0 && g.runs >= groupRuns {
		l.nextGroup()
	}
}

func (l *Learner) nextGroup() {
	if n := len(l.groups); n > 0 && l.groups[n-1].runs == 0 {
		return
	}
	if len(l.groups) >= maxGroups && l.trial == 0 {
		l.groups = l.groups[1:]
	}
	l.groups = append(l.groups, group{})
}

// advance adds up the time until now.
func (l *Learner) advance(now model.Instant) {
	passed := now.Sub(l.at)
	l.at = now
	if passed <= 0 {
		return
	}
	l.spent[l.arm()] += passed.Seconds() / l.slow
	if l.waiting && l.running >= l.limit {
		l.waited += passed
	}
}

// arm returns which arm the number that run now counts for.
func (l *Learner) arm() int {
	other := l.other()
	switch {
	case l.trial > l.limit && l.running > l.limit:
		return atOther
	case l.trial > l.limit:
		if float64(l.running) >= nearShare*float64(l.limit) {
			return atLimit
		}
	case l.running == 0:
	case l.running <= other:
		return atOther
	case float64(l.running) >= nearShare*float64(l.limit):
		return atLimit
	}
	return between
}

// other returns up to how many runs count for the other arm.
func (l *Learner) other() int {
	if l.trial != 0 {
		return l.trial
	}
	return int(fewShare * float64(l.limit))
}

func (l *Learner) higher() int { return min(l.limit+(l.slots+stepsOfSlots-1)/stepsOfSlots, l.slots) }

func (l *Learner) armLength() time.Duration {
	return min(max(time.Duration(armRuns*l.meanRun*float64(time.Second)), minArm), maxArm)
}

// consider begins a comparison where one is due.
func (l *Learner) consider(now model.Instant) {
	if l.trial != 0 || !l.waiting || l.meanRun == 0 {
		return
	}
	if len(l.next) == 0 && l.waited >= l.patience {
		if !l.overdue() && !l.try() {
			l.rest()
			return
		}
		l.next = l.series()
	}
	if len(l.next) > 0 && l.waited >= nextAfter {
		trial := l.next[0]
		l.next = l.next[1:]
		l.compare(now, trial)
	}
}

// series returns the limits that are worth a try.
func (l *Learner) series() []int {
	var out []int
	if gain, deviation, ok := l.gain(1); !ok || gain+deviation > math.Log(slowed) {
		for _, share := range lowerShares {
			if n := int(share * float64(l.limit)); n > 0 && n < l.limit && !slices.Contains(out, n) {
				out = append(out, n)
			}
		}
	}
	if l.patience >= higherAfter && l.higher() > l.limit {
		out = append(out, l.higher())
	}
	if len(out) == 0 {
		l.rest()
	}
	return out
}

// overdue reports whether runs take much longer than expected at the limit, and not
// otherwise.
func (l *Learner) overdue() bool {
	var all group
	for i := range l.groups {
		all.add(&l.groups[i], 1)
	}
	if all.runs < minGroups*groupRuns/2 || all.t0 < overdue*float64(all.runs)/2 {
		return false
	}
	if speed, ok := all.speed(); ok && speed < math.Log(slowed) {
		return false
	}
	return (all.t0+all.t1)/float64(all.runs) > overdue
}

// rest has the next series wait for longer.
func (l *Learner) rest() {
	l.waited = 0
	l.patience = min(max(2*l.patience, higherAfter), maxPatience)
}

func (l *Learner) compare(now model.Instant, trial int) {
	l.trial, l.turn, l.turnFrom = trial, 0, now
	l.begin()
}

// begin has runs count from here on anew.
func (l *Learner) begin() {
	l.epoch++
	l.groups = nil
}

// decide ends a comparison that has told the limits apart, or does not.
func (l *Learner) decide() {
	gain, deviation, ok := l.gain(float64(l.trial) / float64(l.limit))
	full := len(l.groups) >= maxGroups
	sure := certainty * (1 + fewGroups/float64(len(l.groups)))
	switch {
	case ok && gain > sure*deviation:
		l.accept()
	case full, ok && gain < -doubt*deviation:
		l.reject(ok && gain-math.Log(float64(l.trial)/float64(l.limit))+deviation < math.Log(slowed))
	}
}

// accept takes over the limit on trial, and goes on with the next higher one.
func (l *Learner) accept() {
	l.limit, l.trial = l.trial, 0
	l.next, l.waited, l.patience = nil, 0, lowerAfter
	if l.higher() > l.limit {
		l.next = []int{l.higher()}
	}
	l.begin()
}

// reject keeps the limit in use. Alike tells that runs are about as fast under the other.
func (l *Learner) reject(alike bool) {
	if alike && l.trial < l.limit {
		l.next = slices.DeleteFunc(l.next, func(n int) bool { return n < l.limit })
	}
	l.trial, l.waited = 0, 0
	if len(l.next) == 0 {
		l.rest()
	}
	l.begin()
}
