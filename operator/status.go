package operator

import (
	"context"
	"time"

	"github.com/dottereltiller/dottereltiller/admin"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// ZoneStatus is what a daemon found out about one availability zone.
type ZoneStatus struct {
	Zone model.AvailabilityZone `json:"zone"`
	// Asked daemons of the zone are all or a random part; Answered ones did.
	Asked    int `json:"asked"`
	Answered int `json:"answered"`
	// Oldest and Newest are the versions in force at those that answered.
	Oldest model.Version `json:"oldest_version"`
	Newest model.Version `json:"newest_version"`
	// Behind are up to 8 daemons with a version below the newest of all zones.
	Behind []model.DaemonID `json:"behind,omitempty"`
	// Silent are up to 8 daemons that did not answer.
	Silent []model.DaemonID `json:"silent,omitempty"`
}

// Lags reports whether a version is not in force at every daemon that was
// asked. Daemons that do not answer may serve an older version.
func (z ZoneStatus) Lags(v model.Version) bool { return z.Oldest < v || z.Answered < z.Asked }

const pollInterval = 200 * time.Millisecond

// Zones asks a daemon, by its admin address, about every zone.
func Zones(ctx context.Context, address string) ([]ZoneStatus, error) {
	var zones []ZoneStatus
	err := admin.Get(ctx, address, "/v1/zones", &zones)
	return zones, err
}

// Await waits until a version is in force in every zone. It returns a
// *LaggingError with the zones that lag when the context ends first.
func Await(ctx context.Context, address string, v model.Version) error {
	var last []ZoneStatus
	for {
		zones, err := Zones(ctx, address)
		if err == nil {
			last = zones
			if inForce(zones, v) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return &LaggingError{Version: v, Zones: last}
		case <-time.After(pollInterval):
		}
	}
}

func inForce(zones []ZoneStatus, v model.Version) bool {
	for _, z := range zones {
		if z.Lags(v) {
			return false
		}
	}
	return len(zones) > 0
}
