package operator

import (
	"context"
	"time"

	"github.com/dottereltiller/dottereltiller/admin"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// ZoneStatus is the state of the configuration in one availability zone, as collected by a
// daemon.
type ZoneStatus struct {
	Zone model.AvailabilityZone `json:"zone"`
	// Asked is the number of daemons of the zone that were queried: all or a random sample.
	Asked int `json:"asked"`
	// Answered is the number of queried daemons that responded.
	Answered int `json:"answered"`
	// Oldest is the lowest version in force at the daemons that responded.
	Oldest model.Version `json:"oldest_version"`
	// Newest is the highest version in force at the daemons that responded.
	Newest model.Version `json:"newest_version"`
	// Behind lists up to 8 daemons whose version is below the newest version of all zones.
	Behind []model.DaemonID `json:"behind,omitempty"`
	// Silent lists up to 8 daemons that did not respond.
	Silent []model.DaemonID `json:"silent,omitempty"`
}

// Lags reports whether v may not be in force yet at some queried daemon. That is the case if a daemon
// serves an older version than v, or if a daemon did not respond.
func (z ZoneStatus) Lags(v model.Version) bool { return z.Oldest < v || z.Answered < z.Asked }

// pollInterval is the time between two queries of Await.
const pollInterval = 200 * time.Millisecond

// Zones returns the status of every zone, as collected by the daemon at an admin address.
func Zones(ctx context.Context, address string) ([]ZoneStatus, error) {
	var zones []ZoneStatus
	err := admin.Get(ctx, address, "/v1/zones", &zones)
	return zones, err
}

// Await polls the daemon at an admin address until a version is in force in every zone. It
// returns a *LaggingError with the result of the most recent successful query if the context ends
// first.
func Await(ctx context.Context, address string, v model.Version) error {
	var latestZones []ZoneStatus
	for {
		zones, err := Zones(ctx, address)
		if err == nil {
			latestZones = zones
			if inForce(zones, v) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return &LaggingError{Version: v, Zones: latestZones}
		case <-time.After(pollInterval):
		}
	}
}

// inForce reports whether a version is in force in all zones. It returns false if there are no
// zones.
func inForce(zones []ZoneStatus, v model.Version) bool {
	for _, z := range zones {
		if z.Lags(v) {
			return false
		}
	}
	return len(zones) > 0
}
