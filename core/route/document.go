package route

import (
	"fmt"
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/account"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// Document is one version of the complete configuration.
type Document struct {
	Version  model.Version
	Routes   []Route
	Services []Service
	// Accounts are the client accounts. If it is not nil, a request needs the key of an account,
	// unless its route is public.
	Accounts []account.Account
	Limits   Limits
}

// Route defines which requests go to which services, and the limits and targets
// that apply to these requests.
type Route struct {
	Name string
	// Host is the host that the route matches. Case and port are ignored.
	Host string
	// Prefix is the path prefix that the route matches. It begins and ends with
	// a slash.
	Prefix string
	// Idempotent is set when the requests of the route may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request may take. Zero means no limit.
	Timeout time.Duration
	// TargetLatency is the latency that responses should stay within. Zero means
	// that the configuration sets none.
	TargetLatency time.Duration
	// MaxAttempts is the largest number of upstreams that one request may be
	// sent to, at least 1.
	MaxAttempts int
	// Rank is the priority of the route's requests among the requests that wait for
	// the same upstream. Rank 0 is served first.
	Rank int
	// Public is set if requests of the route need no key of a client account.
	Public bool
	// Split is the traffic split. It has at least one element.
	Split []WeightedService
}

// WeightedService is a service in a traffic split with its weight, which is at
// least 0.
type WeightedService struct {
	Service model.ServiceName
	Weight  float64
}

// Service is the configuration of a service.
type Service struct {
	Name model.ServiceName
	// HealthPath is the path for health checks. Empty means no health checks.
	HealthPath string
	// MaxConns is the largest number of connections that each upstream of the
	// service accepts. Zero means that the configuration sets none.
	MaxConns int
	// ColdRate is the number of requests per second that a cold upstream of the service
	// tolerates (see package startrate). Zero means that the configuration sets none.
	ColdRate float64
	// ColdDuration is how long an upstream stays cold. Zero means that the configuration
	// sets none.
	ColdDuration time.Duration
}

// Limits are the limits on callers' requests and connections. Zero means no
// limit.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Error reports an invalid field of a route in a configuration. The configuration
// cannot be put in force.
type Error struct {
	Version model.Version
	Route   string
	Field   string
	Problem string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("configuration %s: route %q: %s: %s", e.Version, e.Route, e.Field, e.Problem)
}

// ServiceError reports an invalid field of a service in a configuration. The
// configuration cannot be put in force.
type ServiceError struct {
	Version model.Version
	Service model.ServiceName
	Field   string
	Problem string
}

// Error implements error.
func (e *ServiceError) Error() string {
	return fmt.Sprintf("configuration %s: service %q: %s: %s", e.Version, e.Service, e.Field, e.Problem)
}

// validate returns a *ServiceError for the first invalid field of the service, or nil.
func (s *Service) validate(version model.Version) error {
	newError := func(field, problem string) error {
		return &ServiceError{Version: version, Service: s.Name, Field: field, Problem: problem}
	}
	switch {
	case !(s.ColdRate >= 0 && s.ColdRate <= math.MaxFloat64):
		return newError("cold rate", fmt.Sprintf("must be a number that is not negative, is %v", s.ColdRate))
	case s.ColdDuration < 0:
		return newError("cold duration", fmt.Sprintf("is negative: %v", s.ColdDuration))
	}
	return nil
}

// validate returns an *Error for the first invalid field of the route, or nil. It reports
// a negative TargetLatency as field "timeout".
func (r *Route) validate(version model.Version) error {
	newError := func(field, problem string) error {
		return &Error{Version: version, Route: r.Name, Field: field, Problem: problem}
	}
	if r.Host == "" {
		return newError("host", "is empty")
	}
	if len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		return newError("prefix", fmt.Sprintf("%q does not begin and end with a slash", r.Prefix))
	}
	if r.MaxAttempts < 1 {
		return newError("attempts", "must be at least 1")
	}
	if r.Timeout < 0 || r.TargetLatency < 0 {
		return newError("timeout", "is negative")
	}
	totalWeight := 0.0
	for _, service := range r.Split {
		if service.Service == "" {
			return newError("split", "names an empty service")
		}
		if service.Weight < 0 {
			return newError("split", "has a negative weight")
		}
		totalWeight += service.Weight
	}
	if totalWeight <= 0 {
		return newError("split", "has no service with a weight above zero")
	}
	return nil
}
