package daemon

import (
	"github.com/dottereltiller/dottereltiller/ceiling"
	"github.com/dottereltiller/dottereltiller/configuration"
	core "github.com/dottereltiller/dottereltiller/core/ceiling"
	"github.com/dottereltiller/dottereltiller/core/policy"
)

// buildCeilings sets up this daemon's shares of the ceilings. A ceiling is a limit on
// the rate or the concurrency of a group's requests, counted over all daemons.
func (d *Daemon) buildCeilings() {
	d.Ceilings = ceiling.NewStore(ceiling.Options{Self: d.ID(), Now: d.now, Scope: d.scope("ceiling")})
	d.Exchanger.Register(d.Ceilings)
	d.Config.OnChange(func(c *configuration.InForce) { d.Ceilings.Configure(ceilingsOf(c.Set)) })
}

// ceilingsOf returns the ceilings of all groups of all services in set. A group with neither
// a rate limit nor a concurrency limit has no ceiling.
func ceilingsOf(set *policy.Set) map[core.Key]core.Limits {
	limitsByKey := make(map[core.Key]core.Limits)
	for _, name := range set.Services() {
		svc, _ := set.Service(name)
		for _, g := range svc.Groups {
			if g.RatePerSecond > 0 || g.Concurrency > 0 {
				key := core.Key{Service: name, Group: g.Name}
				limitsByKey[key] = core.Limits{Rate: g.RatePerSecond, Concurrency: g.Concurrency}
			}
		}
	}
	return limitsByKey
}
