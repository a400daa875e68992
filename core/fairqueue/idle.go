package fairqueue

// maxIdleCallers is the largest length of a group's idle list. The list keeps idle
// callers whose virtual time is ahead of the group's system virtual time. When the
// list grows longer, the caller that has been idle for longest is dropped. The
// excess slot time charged to this caller is then forgotten.
const maxIdleCallers = 256

// releaseIfIdle frees a caller that has no requests left. A caller whose virtual
// time is ahead of the group's system virtual time is kept in the idle list.
// Otherwise a caller could reset its charges by going idle. releaseIfIdle also frees
// callers from the head of the idle list until the list has at most maxIdleCallers
// callers and the virtual time of its head is ahead of the system virtual time.
func (q *Queue) releaseIfIdle(c *caller) {
	g := c.group
	if c.waiting > 0 || c.running > 0 || c.inIdleList {
		return
	}
	if c.virtualTime <= g.systemVirtualTime {
		q.freeCaller(c)
		return
	}
	g.pushIdle(c)
	for g.idleHead != nil && (g.idleHead.virtualTime <= g.systemVirtualTime || g.idleCount > maxIdleCallers) {
		oldest := g.idleHead
		g.removeIdle(oldest)
		q.freeCaller(oldest)
	}
}

// freeCaller removes a caller from its group and keeps the struct for reuse.
func (q *Queue) freeCaller(c *caller) {
	delete(c.group.callers, c.name)
	*c = caller{virtualTimeIndex: notInHeap, lengthIndex: notInHeap}
	q.freeCallers = append(q.freeCallers, c)
}

func (g *group) pushIdle(c *caller) {
	c.inIdleList = true
	c.idlePrev = g.idleTail
	if g.idleTail == nil {
		g.idleHead = c
	} else {
		g.idleTail.idleNext = c
	}
	g.idleTail = c
	g.idleCount++
}

func (g *group) removeIdle(c *caller) {
	if c.idlePrev == nil {
		g.idleHead = c.idleNext
	} else {
		c.idlePrev.idleNext = c.idleNext
	}
	if c.idleNext == nil {
		g.idleTail = c.idlePrev
	} else {
		c.idleNext.idlePrev = c.idlePrev
	}
	c.idlePrev, c.idleNext, c.inIdleList = nil, nil, false
	g.idleCount--
}
