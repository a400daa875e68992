package daemon

import (
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/guard"
)

// measuringBudget returns which share of the slot time of each upstream of a service may
// be spent on polling the upstream's load report. Slot time is time multiplied by slots.
// The result is guard.DefaultMeasuringBudget unless the configuration in force sets
// another share for the service.
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
