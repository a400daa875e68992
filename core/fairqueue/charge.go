package fairqueue

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// backgroundBacklogFactor makes the backlog of a group of weight zero larger
// than that of any other group, so that its requests are dropped first.
const backgroundBacklogFactor = 1e18

// enqueue adds an entry to the queue of its caller and updates the heaps that
// order callers and groups.
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

// dequeue removes a waiting entry from the queue of its caller and updates the
// heaps that order entries, callers and groups.
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

// updateReady adds the group to the heap of its class when one of its requests
// may start, and removes it from the heap otherwise.
func (q *Queue) updateReady(g *group) {
	switch {
	case g.mayStart() && !g.ready():
		q.lastSeq++
		g.class.add(g, q.lastSeq)
	case !g.mayStart() && g.ready():
		g.class.remove(g)
	}
}

// discard removes a waiting entry without starting it and returns its ID.
func (q *Queue) discard(e *entry) ID {
	id, c := e.id, e.caller
	q.dequeue(e)
	q.freeEntry(e)
	q.releaseIfIdle(c)
	return id
}

// updateBacklog recomputes the group's backlog. This is the expected slot time of
// the group's waiting requests divided by the weight. For a group of weight zero it
// is the number of waiting requests multiplied by backgroundBacklogFactor.
func (q *Queue) updateBacklog(g *group) {
	if g.class == q.background {
		g.backlog = backgroundBacklogFactor * float64(g.waiting)
	} else {
		g.backlog = float64(g.waiting) * float64(q.Estimate(g.name).Mean) / g.weight
	}
	q.byBacklog.fix(g)
}

// start marks an entry as running and charges the mean slot time of its group.
func (q *Queue) start(now model.Instant, e *entry) {
	e.running = true
	e.startedAt = now
	e.caller.running++
	e.caller.group.running++
	q.running++
	q.updateReady(e.caller.group)
	q.charge(e, max(q.Estimate(e.caller.group.name).Mean, 1))
	q.byNextCharge.push(e)
}

// finish ends a running entry and corrects its charge to slotTime, the slot time
// that the request used.
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

// ChargeRunning charges running requests again. A request is charged again once it
// has run for as long as it has been charged for. Its charge is doubled each time,
// so that a long request is charged only a few times.
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

// charge adds d to the slot time charged to an entry and to its group. It advances
// the virtual times of the entry's caller and group accordingly. A negative d
// reduces the charge.
func (q *Queue) charge(e *entry, d time.Duration) {
	c, g := e.caller, e.caller.group
	e.charged += d
	g.charged += d
	c.virtualTime += float64(d)
	g.byVirtualTime.fix(c)
	g.virtualTime += float64(d) / g.weight
	g.class.ready.fix(g)
}

// Estimate returns the expected slot time of a group's next request, derived from
// the group's ended requests. When the group has none, the estimate is derived from
// the ended requests of all groups. When no request has ended at all, the estimate
// is initialEstimate.
func (q *Queue) Estimate(name model.GroupName) Estimate {
	if g := q.findGroup(name); g != nil && g.slotTimeEstimator.hasSample {
		return g.slotTimeEstimator.estimate()
	}
	if q.slotTimeEstimator.hasSample {
		est := q.slotTimeEstimator.estimate()
		est.Known = false
		return est
	}
	return Estimate{Mean: initialEstimate, Upper: initialEstimate}
}

// MeanSlotTime returns the recent mean slot time over all groups. It returns 0 when
// no request has ended yet.
func (q *Queue) MeanSlotTime() time.Duration { return time.Duration(q.slotTimeEstimator.mean) }

// EstimateAhead estimates how many of the waiting requests would start before a
// new request of the given group. All waiting requests of the group itself start before it.
// How many requests of the other groups start before it follows from the weights. For a
// group of weight zero, the result is the number of waiting requests of all groups.
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
	otherWaitingAhead := min(float64(q.foreground.waiting-ownWaiting), float64(ownWaiting+1)*otherWeight/weight)
	return ownWaiting + int(math.Round(otherWaitingAhead))
}

// EstimateWait estimates how long a new request would wait at an upstream with the
// given number of slots. It assumes that every group with waiting requests stays
// backlogged. It returns 0 when the group has no waiting requests. It also returns 0
// for a group of weight zero, for which no estimate is possible.
func (q *Queue) EstimateWait(name model.GroupName, callerName model.CallerName, slots int) time.Duration {
	g := q.findGroup(name)
	if g == nil || g.waiting == 0 || g.class == q.background {
		return 0
	}
	// Callers take turns. If the caller of the new request has n requests waiting,
	// each caller of the group starts at most n+1 requests before the new one.
	rounds := 1
	if c := g.callers[callerName]; c != nil {
		rounds = c.waiting + 1
	}
	waitingAhead := min(g.waiting, rounds*g.byVirtualTime.len())
	slotTimeShare := g.weight / g.class.weight
	if !g.ready() {
		slotTimeShare = g.weight / (g.class.weight + g.weight)
	}
	if g.maxRunning > 0 {
		slotTimeShare = min(slotTimeShare, float64(g.maxRunning)/float64(max(slots, 1)))
	}
	slotTimeAhead := float64(waitingAhead) * float64(q.Estimate(name).Mean) / slotTimeShare
	return time.Duration(slotTimeAhead / float64(max(slots, 1)))
}
