package fairqueue

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// backgroundOver ranks the queue of a group of weight zero before all others
// when something has to be dropped.
const backgroundBacklogFactor = 1e18

func (q *Queue) enqueue(e *entry) {
	c, g := e.caller, e.caller.group
	q.lastSeq++
	if c.waiting == 0 {
		if c.inIdleList {
			g.removeIdle(c)
		}
		c.virtualTime = max(c.virtualTime, g.systemVirtualTime)
		c.seq = q.lastSeq
		g.byVirtualTime.push(c)
		g.byLength.push(c)
	}
	c.append(e)
	g.byLength.fix(c)
	if g.waiting == 0 {
		q.byBacklog.push(g)
	}
	g.waiting++
	g.class.waiting++
	q.waiting++
	q.updateReady(g)
	q.updateBacklog(g)
}

// dequeue takes a waiting entry out of every order that waiting entries have.
func (q *Queue) dequeue(e *entry) {
	c, g := e.caller, e.caller.group
	q.byDeadline.remove(e)
	c.unlink(e)
	g.waiting--
	g.class.waiting--
	q.waiting--
	g.byLength.fix(c)
	if c.waiting == 0 {
		g.byVirtualTime.remove(c)
		g.byLength.remove(c)
	}
	q.updateReady(g)
	if g.waiting == 0 {
		q.byBacklog.remove(g)
		return
	}
	q.updateBacklog(g)
}

// refresh puts the group into its level's heap, or takes it out, as it may
// start requests or not.
func (q *Queue) updateReady(g *group) {
	switch {
	case g.mayStart() && !g.ready():
		q.lastSeq++
		g.class.add(g, q.lastSeq)
	case !g.mayStart() && g.ready():
		g.class.remove(g)
	}
}

func (q *Queue) discard(e *entry) ID {
	id, c := e.id, e.caller
	q.dequeue(e)
	q.freeEntry(e)
	q.releaseIfIdle(c)
	return id
}

// rank works out how far the group's queue exceeds its share.
func (q *Queue) updateBacklog(g *group) {
	if g.class == q.background {
		g.backlog = backgroundBacklogFactor * float64(g.waiting)
	} else {
		g.backlog = float64(g.waiting) * float64(q.Estimate(g.name).Mean) / g.weight
	}
	q.byBacklog.fix(g)
}

func (q *Queue) start(now model.Instant, e *entry) {
	e.running = true
	e.started = now
	e.caller.running++
	e.caller.group.running++
	q.running++
	q.updateReady(e.caller.group)
	q.charge(e, max(q.Estimate(e.caller.group.name).Mean, 1))
	q.byNextCharge.push(e)
}

func (q *Queue) finish(e *entry, slotTime time.Duration) {
	c := e.caller
	q.byNextCharge.remove(e)
	q.charge(e, slotTime-e.charged)
	c.running--
	c.group.running--
	q.running--
	q.updateReady(c.group)
	q.freeEntry(e)
	q.releaseIfIdle(c)
}

// Advance charges running requests for the time that they have run beyond
// their charge. Each time the charge doubles, so that a long request is
// touched only a few times.
func (q *Queue) ChargeRunning(now model.Instant) {
	for q.byNextCharge.len() > 0 {
		e := q.byNextCharge.top()
		if e.nextCharge() > now {
			return
		}
		q.charge(e, e.charged)
		q.byNextCharge.fix(e)
	}
}

func (q *Queue) charge(e *entry, d time.Duration) {
	c, g := e.caller, e.caller.group
	e.charged += d
	g.charged += d
	c.virtualTime += float64(d)
	g.byVirtualTime.fix(c)
	g.virtualTime += float64(d) / g.weight
	g.class.ready.fix(g)
}

// Estimate returns what is expected of the next request of a group: its own
// recent figures, those of the whole queue when it has none, or a guess.
func (q *Queue) Estimate(name model.GroupName) Estimate {
	if g := q.findGroup(name); g != nil && g.slotTime.hasSample {
		return g.slotTime.estimate()
	}
	if q.slotTime.hasSample {
		est := q.slotTime.estimate()
		est.Known = false
		return est
	}
	return Estimate{Mean: initialEstimate, Upper: initialEstimate}
}

// Mean returns the recent mean slot time over all groups, 0 before the first.
func (q *Queue) MeanSlotTime() time.Duration { return time.Duration(q.slotTime.mean) }

// Ahead estimates how many of the waiting requests would start before a new one
// of a group: those of the group itself, and of the others as many as their
// weights let start meanwhile.
func (q *Queue) EstimateAhead(name model.GroupName) int {
	weight, ownWaiting := q.minWeight, 0
	if g := q.findGroup(name); g != nil {
		if g.class == q.background {
			return q.waiting
		}
		weight, ownWaiting = g.weight, g.waiting
	}
	otherWeight := q.foreground.weight
	if ownWaiting > 0 {
		otherWeight = max(otherWeight-weight, 0)
	}
	othersAhead := min(float64(q.foreground.waiting-ownWaiting), float64(ownWaiting+1)*otherWeight/weight)
	return ownWaiting + int(math.Round(othersAhead))
}

// Wait estimates how long a new request would wait if the groups that wait now
// went on waiting, with the given number of slots. It is 0 when nothing of the
// group waits, or when no estimate can be made.
func (q *Queue) EstimateWait(name model.GroupName, callerName model.CallerName, slots int) time.Duration {
	g := q.findGroup(name)
	if g == nil || g.waiting == 0 || g.class == q.background {
		return 0
	}
	rounds := 1
	if c := g.callers[callerName]; c != nil {
		rounds = c.waiting + 1
	}
	ahead := min(g.waiting, rounds*g.byVirtualTime.len())
	share := g.weight / g.class.weight
	if !g.ready() {
		share = g.weight / (g.class.weight + g.weight)
	}
	if g.maxRunning > 0 {
		share = min(share, float64(g.maxRunning)/float64(max(slots, 1)))
	}
	slotTimeAhead := float64(ahead) * float64(q.Estimate(name).Mean) / share
	return time.Duration(slotTimeAhead / float64(max(slots, 1)))
}
