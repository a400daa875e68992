package fairqueue

import (
	"math"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// GroupConfig is the configuration of one group.
type GroupConfig struct {
	Group model.GroupName
	// Weight is the group's share of slot time relative to the other groups: while all
	// groups have waiting requests, each gets slot time in proportion to its weight. A
	// weight of zero or below puts the group into the background class. Its requests
	// start only when no group of the foreground class has a request that may start.
	// Very small weights count as more; see MinWeightRatio.
	Weight float64
	// QueueBound is the largest number of waiting requests. Default:
	// Options.QueueBound.
	QueueBound int
	// MaxRunning is the largest number of the group's requests that run at once.
	// While that many run, further requests of the group wait even if a slot is
	// free. Zero means no limit.
	MaxRunning int
}

const (
	// MinWeightRatio is the smallest effective weight of a group with a weight
	// above zero, as a fraction of the largest weight.
	MinWeightRatio = 0.01
	// maxUnconfiguredGroups is the largest number of groups without a GroupConfig.
	// Further such groups are treated as one group, the overflow group.
	maxUnconfiguredGroups = 64
)

// overflowGroup holds the requests of unconfigured groups beyond
// maxUnconfiguredGroups.
const overflowGroup model.GroupName = ""

// Configure replaces the configuration of all groups. Waiting requests keep
// their order within their group. Groups without a GroupConfig get the smallest
// effective weight of the configured groups. Those of them that have no waiting or
// running requests are removed.
func (q *Queue) Configure(groups []GroupConfig) {
	maxWeight := 0.0
	for _, config := range groups {
		if validWeight(config.Weight) {
			maxWeight = max(maxWeight, config.Weight)
		}
	}
	for _, g := range q.groups {
		g.configured = false
	}
	minWeight := 1.0
	for _, config := range groups {
		g := q.groups[config.Group]
		if g == nil {
			g = q.addGroup(config.Group)
		}
		g.configured = true
		weight := 0.0
		if validWeight(config.Weight) {
			weight = max(config.Weight/maxWeight, MinWeightRatio)
			minWeight = min(minWeight, weight)
		}
		g.maxRunning = config.MaxRunning
		q.setConfig(g, weight, config.QueueBound)
	}
	q.unconfiguredCount = 0
	for name, g := range q.groups {
		switch {
		case g.configured:
		case g.waiting == 0 && g.running == 0:
			delete(q.groups, name)
		default:
			q.unconfiguredCount++
			g.maxRunning = 0
			q.setConfig(g, minWeight, 0)
		}
	}
	q.minWeight = minWeight
}

// validWeight reports whether a weight is above zero and finite.
func validWeight(weight float64) bool { return weight > 0 && !math.IsInf(weight, 0) }

// setConfig sets the effective weight and the queue bound of a group. A weight of 0
// moves the group to the background class. A queueBound of 0 or below means
// Options.QueueBound.
func (q *Queue) setConfig(g *group, weight float64, queueBound int) {
	if queueBound <= 0 {
		queueBound = q.opts.QueueBound
	}
	g.queueBound = queueBound
	class := q.foreground
	if weight == 0 {
		class, weight = q.background, 1
	}
	if g.ready() {
		g.class.remove(g)
	}
	if g.class != class {
		g.virtualTime = class.systemVirtualTime
		g.class.waiting -= g.waiting
		class.waiting += g.waiting
	}
	g.class, g.weight = class, weight
	q.updateReady(g)
	if g.waiting > 0 {
		q.updateBacklog(g)
	}
}

// addGroup adds a group with the settings of a group without a GroupConfig.
func (q *Queue) addGroup(name model.GroupName) *group {
	g := newGroup(name)
	g.class, g.weight, g.queueBound = q.foreground, q.minWeight, q.opts.QueueBound
	q.groups[name] = g
	return g
}

// findGroup returns the group of the given name. When the name is unknown and no
// further unconfigured group may be added, it returns the overflow group. It returns
// nil when there is no such group.
func (q *Queue) findGroup(name model.GroupName) *group {
	if g := q.groups[name]; g != nil {
		return g
	}
	if q.unconfiguredCount >= maxUnconfiguredGroups {
		return q.groups[overflowGroup]
	}
	return nil
}

// findOrAddGroup returns the group that findGroup returns. When findGroup finds no
// group, findOrAddGroup adds the missing group and returns it.
func (q *Queue) findOrAddGroup(name model.GroupName) *group {
	if g := q.groups[name]; g != nil {
		return g
	}
	if q.unconfiguredCount >= maxUnconfiguredGroups {
		name = overflowGroup
		if g := q.groups[name]; g != nil {
			return g
		}
	}
	q.unconfiguredCount++
	return q.addGroup(name)
}

// findOrAddCaller returns the caller of the given name in a group, and adds it if it is
// missing.
func (q *Queue) findOrAddCaller(g *group, name model.CallerName) *caller {
	if c := g.callers[name]; c != nil {
		return c
	}
	var c *caller
	if n := len(q.freeCallers); n > 0 {
		c = q.freeCallers[n-1]
		q.freeCallers = q.freeCallers[:n-1]
	} else {
		c = &caller{virtualTimeIndex: notInHeap, lengthIndex: notInHeap}
	}
	c.name, c.group = name, g
	c.virtualTime = g.systemVirtualTime
	g.callers[name] = c
	return c
}
