package daemon

import (
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/configuration"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/telemetry"
)

// Status is the daemon's state, the response body of /status.
type Status struct {
	Daemon model.DaemonID         `json:"daemon"`
	Zone   model.AvailabilityZone `json:"zone"`
	Build  string                 `json:"build"`
	Uptime policy.Duration        `json:"uptime"`
	Health Health                 `json:"health"`
	// Version is the version of the configuration in force, 0 if there is none.
	Version model.Version `json:"config_version"`
	// Config describes how up to date the daemon's configuration is.
	Config configuration.Status `json:"config"`
	// Loads holds the load of each upstream of this VM, as the guard measures it.
	Loads map[model.UpstreamID]LoadStatus `json:"loads"`
	// Services holds the services of the configuration in force, with their
	// upstreams in this daemon's membership view.
	Services []ServiceStatus `json:"services,omitempty"`
	// EvacuatedZones are the zones that the configuration in force evacuates.
	EvacuatedZones []model.AvailabilityZone `json:"evacuated_zones,omitempty"`

	Components []ComponentStatus `json:"parts"`
}

// LoadStatus is the load of one upstream, as its guard measures it.
type LoadStatus struct {
	// Running is the number of requests that the upstream is running. It may include
	// an estimate of requests that did not come through the guard.
	Running int32 `json:"running"`
	// Waiting is the number of requests that wait at the guard.
	Waiting int32 `json:"waiting"`
	// Limit is the guard's current concurrency limit for the upstream.
	Limit int32 `json:"limit"`
	// ServiceTime is the recent mean time that the upstream takes for a request.
	ServiceTime policy.Duration `json:"service_time"`
	// FailureRate is the fraction of the recent requests at the upstream that failed,
	// from 0 to 1.
	FailureRate float32 `json:"failing"`
	// Draining is true if the upstream gets no new requests.
	Draining bool `json:"draining"`
	// RateLimit is the number of requests per second that the upstream takes by its own
	// statement, nil if it does not limit their rate.
	RateLimit *float64 `json:"rate_limit,omitempty"`
}

// loadStatuses converts the loads and the rate limits that the guard reports into the form of /status.
func loadStatuses(loads map[model.UpstreamID]model.Load, rateLimits map[model.UpstreamID]float64) map[model.UpstreamID]LoadStatus {
	statuses := make(map[model.UpstreamID]LoadStatus, len(loads))
	for id, l := range loads {
		status := LoadStatus{
			Running:     l.Running,
			Waiting:     l.Waiting,
			Limit:       l.Limit,
			ServiceTime: policy.Duration(l.ServiceTime),
			FailureRate: l.FailureRate,
			Draining:    l.Draining,
		}
		if perSecond, limited := rateLimits[id]; limited {
			status.RateLimit = &perSecond
		}
		statuses[id] = status
	}
	return statuses
}

// ServiceStatus is one service of the configuration in force.
type ServiceStatus struct {
	Name model.ServiceName `json:"name"`
	// Policy is the name of the service's sharing policy, empty if it has none.
	Policy    string           `json:"policy,omitempty"`
	Groups    []GroupStatus    `json:"groups,omitempty"`
	Upstreams []UpstreamStatus `json:"upstreams,omitempty"`
}

// GroupStatus is one group of a service.
type GroupStatus struct {
	Name model.GroupName `json:"name"`
	// Weight is the group's share of slot time relative to the weights of the service's
	// other groups.
	Weight float64 `json:"weight"`
}

// UpstreamStatus is one upstream in the daemon's membership view.
type UpstreamStatus struct {
	ID          model.UpstreamID       `json:"id"`
	Zone        model.AvailabilityZone `json:"zone"`
	Daemon      model.DaemonID         `json:"daemon"`
	Incarnation model.Incarnation      `json:"incarnation"`
	Slots       int                    `json:"slots"`
	Draining    bool                   `json:"draining,omitempty"`
}

func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, d.Status())
}

// Status returns the daemon's state.
func (d *Daemon) Status() Status {
	s := Status{
		Daemon:     d.ID(),
		Zone:       d.settings.Zone,
		Build:      telemetry.Version(),
		Uptime:     policy.Duration(time.Since(d.startedAt).Round(time.Millisecond)),
		Health:     d.readiness(),
		Config:     d.Config.Status(),
		Loads:      loadStatuses(d.Guard.Loads(""), d.Guard.RateLimits()),
		Components: d.supervisor.status(),
	}
	inForce := d.Config.Current()
	if inForce == nil {
		return s
	}
	s.Version, s.EvacuatedZones = inForce.Version, inForce.Set.EvacuatedZones()
	for _, name := range inForce.Set.Services() {
		if svc, ok := inForce.Set.Service(name); ok {
			s.Services = append(s.Services, d.serviceStatus(svc))
		}
	}
	return s
}

// serviceStatus returns the status of a service with its upstreams in this daemon's
// membership view.
func (d *Daemon) serviceStatus(svc *policy.Service) ServiceStatus {
	s := ServiceStatus{Name: svc.Name, Policy: svc.Policy}
	for _, g := range svc.Groups {
		s.Groups = append(s.Groups, GroupStatus{Name: g.Name, Weight: g.Weight})
	}
	upstreams, _ := d.Members.Upstreams(svc.Name)
	for _, up := range upstreams {
		s.Upstreams = append(s.Upstreams, UpstreamStatus{
			ID:          up.ID,
			Zone:        up.Zone,
			Daemon:      up.Daemon,
			Incarnation: up.Incarnation,
			Slots:       up.Slots,
			Draining:    up.Draining,
		})
	}
	return s
}
