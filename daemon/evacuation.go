package daemon

import (
	"slices"

	"github.com/dottereltiller/dottereltiller/configuration"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/entry"
)

// evacuatedZones returns the availability zones that the configuration in force evacuates.
func (d *Daemon) evacuatedZones() []model.AvailabilityZone {
	inForce := d.Config.Current()
	if inForce == nil {
		return nil
	}
	return inForce.Set.EvacuatedZones()
}

// configVersion returns the version of the configuration in force, 0 if there is none.
func (d *Daemon) configVersion() model.Version {
	inForce := d.Config.Current()
	if inForce == nil {
		return 0
	}
	return inForce.Version
}

// isEvacuated reports whether the availability zone of this daemon is evacuated.
func (d *Daemon) isEvacuated() bool {
	inForce := d.Config.Current()
	return inForce != nil && inForce.Set.IsEvacuated(d.settings.Zone)
}

// logEvacuations logs each change of the evacuated zones. It must be called before the configuration
// is followed.
func (d *Daemon) logEvacuations() {
	var previous []model.AvailabilityZone
	d.Config.OnChange(func(c *configuration.InForce) {
		zones := c.Set.EvacuatedZones()
		if !slices.Equal(zones, previous) {
			d.logger.Info("zones evacuated", "zones", zones, "version", c.Version)
		}
		previous = zones
	})
}

// inServiceView is the membership view without the upstreams of evacuated zones.
type inServiceView struct {
	entry.View
	evacuatedZones func() []model.AvailabilityZone
	// configVersion returns the version of the configuration in force.
	configVersion func() model.Version
}

// Upstreams implements entry.View.
func (v inServiceView) Upstreams(service model.ServiceName) ([]model.Upstream, uint64) {
	// The generation is read first: a change meanwhile is then noticed at the next request.
	generation := v.Generation()
	upstreams, _ := v.View.Upstreams(service)
	zones := v.evacuatedZones()
	if len(zones) == 0 {
		return upstreams, generation
	}
	return slices.DeleteFunc(slices.Clone(upstreams), func(u model.Upstream) bool {
		_, evacuated := slices.BinarySearch(zones, u.Zone)
		return evacuated
	}), generation
}

// Generation implements entry.View. The result changes with the membership view and with the version
// of the configuration. Both only rise.
func (v inServiceView) Generation() uint64 { return v.View.Generation() + uint64(v.configVersion()) }
