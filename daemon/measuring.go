package daemon

import (
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/guard"
)

// measuringBudget returns the share of the slot time of a service's upstreams that
// polling their load reports may take. It is guard.DefaultMeasuringBudget unless the
// configuration in force sets another share for the service.
func (d *Daemon) measuringBudget(service model.ServiceName) float64 {
	inForce := d.Config.Current()
	if inForce == nil {
		return guard.DefaultMeasuringBudget
	}
	svc, ok := inForce.Set.Service(service)
	if !ok || svc.MeasuringBudget == nil {
		return guard.DefaultMeasuringBudget
	}
	return *svc.MeasuringBudget
}
