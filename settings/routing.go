package settings

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/core/routing"
)

// Routing configures how this daemon picks upstreams.
type Routing struct {
	// Policy is the name of the routing policy for services whose configuration
	// names none. Empty means the default of package core/routing.
	Policy string `json:"policy"`
	// ZoneDelays are the one-way network delays to other availability zones.
	// A zone that is not listed has the delay routing.DefaultZoneDelay.
	ZoneDelays map[model.AvailabilityZone]policy.Duration `json:"zone_delays"`
}

func (r Routing) check(c *checker) {
	if r.Policy != "" {
		c.checkOneOf("routing.policy", r.Policy, routing.PolicyNames()...)
	}
	for zone, d := range r.ZoneDelays {
		c.checkDuration("routing.zone_delays."+string(zone), d, 0, time.Minute)
	}
}

// DelayDurations returns ZoneDelays as values of type time.Duration, for routing.Options.
func (r Routing) DelayDurations() map[model.AvailabilityZone]time.Duration {
	out := make(map[model.AvailabilityZone]time.Duration, len(r.ZoneDelays))
	for zone, d := range r.ZoneDelays {
		out[zone] = time.Duration(d)
	}
	return out
}
