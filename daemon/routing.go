package daemon

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/routing"
	"github.com/dottereltiller/dottereltiller/entry"
)

// newRouters returns the routers of this daemon's entry, one for each service. They are
// updated when the membership view or the configured routing policy changes.
func (d *Daemon) newRouters() *entry.Routers {
	view := inServiceView{View: d.Members, evacuatedZones: d.evacuatedZones, configVersion: d.configVersion}
	routers := entry.NewRouters(view, d.now, routing.Options{
		Policy:    d.settings.Routing.Policy,
		Zone:      d.settings.Zone,
		Self:      d.ID(),
		ZoneDelay: d.settings.Routing.DelayDurations(),
		Seed:      uint64(time.Now().UnixNano()),
	})
	routers.SetPolicySource(d.routingPolicy)
	routers.SetMetricsScope(d.scope("routing"))
	return routers
}

// routingPolicy returns the name of the routing policy that the configuration in force
// sets for a service. The name is empty if the configuration sets none.
func (d *Daemon) routingPolicy(service model.ServiceName) string {
	inForce := d.Config.Current()
	if inForce == nil {
		return ""
	}
	svc, ok := inForce.Set.Service(service)
	if !ok {
		return ""
	}
	return svc.Routing
}
