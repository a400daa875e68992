package callgroup

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// maxArrivalGap is the longest time between the arrivals of a group's first and last request.
	// An upstream sends parallel calls within a fraction of a millisecond, and their connections are
	// local. The rest covers delays in scheduling.
	maxArrivalGap = 2 * time.Millisecond
	// maxRouteRate is the largest number of requests a second for which a route forms groups. At this
	// rate, one request in ten arrives within maxArrivalGap of an unrelated one.
	maxRouteRate = 50
	// ratePeriod is the time over which the requests of a route are counted.
	ratePeriod = time.Second
	// maxRoutes limits the number of routes. All routes are discarded before one more is added.
	maxRoutes = 4096
)

// Prospect is what a retry of a request in a group may achieve.
type Prospect uint8

// The prospects, from best to worst.
const (
	// Complete means that no other request in the group needs a retry. If this one is served, they
	// all are.
	Complete Prospect = iota
	// Partial means that at least one more request in the group needs a retry.
	Partial
	// Hopeless means that another request in the group has failed for good.
	Hopeless
)

// Group is the requests of one route that one run has presumably sent. It is not safe for concurrent use.
type Group struct {
	firstAt  model.Instant
	size     int
	rejected int
	failed   int
}

// arrivals is what a Tracker knows of one route.
type arrivals struct {
	// newest is the group of the latest request.
	newest *Group
	// count is the number of requests since periodStart, previousCount that in the period before.
	periodStart          model.Instant
	count, previousCount int
}

// Tracker assigns requests to groups. It is not safe for concurrent use. The zero value is ready
// to use.
type Tracker struct {
	byRoute map[string]*arrivals
}

// Join returns the group of a request that arrives now.
func (t *Tracker) Join(now model.Instant, route string) *Group {
	a := t.byRoute[route]
	if a == nil {
		if t.byRoute == nil || len(t.byRoute) >= maxRoutes {
			t.byRoute = make(map[string]*arrivals)
		}
		a = &arrivals{newest: &Group{firstAt: now}, periodStart: now}
		t.byRoute[route] = a
	}
	a.countRequest(now)
	if now.Sub(a.newest.firstAt) > maxArrivalGap || max(a.count, a.previousCount) > maxRouteRate {
		a.newest = &Group{firstAt: now}
	}
	a.newest.size++
	return a.newest
}

func (a *arrivals) countRequest(now model.Instant) {
	if elapsed := now.Sub(a.periodStart); elapsed >= ratePeriod {
		a.previousCount = a.count
		if elapsed >= 2*ratePeriod {
			a.previousCount = 0
		}
		a.count, a.periodStart = 0, now
	}
	a.count++
}

// Size returns the number of requests in the group.
func (g *Group) Size() int { return g.size }

// Reject records that an upstream has rejected a request of the group, which thus needs a retry.
func (g *Group) Reject() { g.rejected++ }

// Resume records that a request for which Reject was called is retried.
func (g *Group) Resume() { g.rejected-- }

// Fail records that a request of the group has ended without success.
func (g *Group) Fail() { g.failed++ }

// Prospect returns what a retry may achieve of a request for which Reject was called.
func (g *Group) Prospect() Prospect {
	switch {
	case g.failed > 0:
		return Hopeless
	case g.rejected > 1:
		return Partial
	default:
		return Complete
	}
}
