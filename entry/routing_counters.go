package entry

import (
	"github.com/uber-go/tally/v4"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// routingCounters exports the statistics of a router as counters.
type routingCounters struct {
	// lastStats holds the statistics as of the last update. Each counter below
	// exports the field of routing.Stats with the same name.
	lastStats                         routing.Stats
	picks, rejections, crossZone      tally.Counter
	ejections, panics                 tally.Counter
	hedges, hedgesRefused, noUpstream tally.Counter
}

func newRoutingCounters(scope tally.Scope, s model.ServiceName) *routingCounters {
	scope = scope.Tagged(map[string]string{"service": string(s)})
	return &routingCounters{
		picks:         scope.Counter("picks"),
		rejections:    scope.Counter("bounces"),
		crossZone:     scope.Counter("spills"),
		ejections:     scope.Counter("ejections"),
		panics:        scope.Counter("panics"),
		hedges:        scope.Counter("hedges"),
		hedgesRefused: scope.Counter("hedges_refused"),
		noUpstream:    scope.Counter("no_upstream"),
	}
}

// update adds the increase of each statistic since the last update to its counter.
func (c *routingCounters) update(stats routing.Stats) {
	last := c.lastStats
	c.lastStats = stats
	addTo(c.picks, stats.Picks-last.Picks)
	addTo(c.rejections, stats.Rejections-last.Rejections)
	addTo(c.crossZone, stats.CrossZone-last.CrossZone)
	addTo(c.ejections, stats.Ejections-last.Ejections)
	addTo(c.panics, stats.Panics-last.Panics)
	addTo(c.hedges, stats.Hedges-last.Hedges)
	addTo(c.hedgesRefused, stats.HedgesRefused-last.HedgesRefused)
	addTo(c.noUpstream, stats.NoUpstream-last.NoUpstream)
}

func addTo(c tally.Counter, n uint64) {
	if n > 0 {
		c.Inc(int64(n))
	}
}
