package fairqueue

import (
	"math"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Share is the part of one group.
type GroupConfig struct {
	Group model.GroupName
	// Weight is relative to the other groups' weights. Zero and below mean
	// that the group runs only when no other group waits.
	Weight float64
	// Bound is the largest number of waiting requests. Default: Options.Bound.
	QueueBound int
	// MaxRunning is the largest number of the group's requests that run at
	// once; while they do, its others wait even if a slot is free. Zero means
	// no such limit.
	MaxRunning int
}

const (
	// LeastRatio is the least weight of a group above zero, as a part of the
	// heaviest group's weight.
	MinWeightRatio = 0.01
	// maxUnnamed bounds the groups that Configure has not named. Further ones
	// share one queue.
	maxUnconfigured = 64
)

// overflowGroup takes the requests of unnamed groups beyond maxUnnamed.
const overflowGroup model.GroupName = ""

// Configure replaces the shares. Waiting requests keep their order within their
// group. Groups that are not named any more, or not yet, count as the lightest
// group.
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
	q.unconfigured = 0
	for name, g := range q.groups {
		switch {
		case g.configured:
		case g.waiting == 0 && g.running == 0:
			delete(q.groups, name)
		default:
			q.unconfigured++
			g.maxRunning = 0
			q.setConfig(g, minWeight, 0)
		}
	}
	q.minWeight = minWeight
}

func validWeight(weight float64) bool { return weight > 0 && !math.IsInf(weight, 0) }

// setShare moves a group to its weight; weight 0 puts it into the background.
func (q *Queue) setConfig(g *group, weight float64, bound int) {
	if bound <= 0 {
		bound = q.opts.QueueBound
	}
	g.bound = bound
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

func (q *Queue) addGroup(name model.GroupName) *group {
	g := newGroup(name)
	g.class, g.weight, g.bound = q.foreground, q.minWeight, q.opts.QueueBound
	q.groups[name] = g
	return g
}

// existing returns the group that a name stands for, nil when there is none.
func (q *Queue) findGroup(name model.GroupName) *group {
	if g := q.groups[name]; g != nil {
		return g
	}
	if q.unconfigured >= maxUnconfigured {
		return q.groups[overflowGroup]
	}
	return nil
}

func (q *Queue) findOrAddGroup(name model.GroupName) *group {
	if g := q.groups[name]; g != nil {
		return g
	}
	if q.unconfigured >= maxUnconfigured {
		name = overflowGroup
		if g := q.groups[name]; g != nil {
			return g
		}
	}
	q.unconfigured++
	return q.addGroup(name)
}

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
