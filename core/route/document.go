package route

import (
	"fmt"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Document is one version of the whole configuration.
type Document struct {
	Version  model.Version
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route tells which requests go to which services, and what is promised to
// their callers.
type Route struct {
	Name string
	// Host is compared with the request's host without its port and in lower
	// case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is how long a request may be kept waiting. Zero means no limit.
	Timeout time.Duration
	// Target is the latency within which an answer has its full worth. Zero
	// means none is stated.
	Target time.Duration
	// MaxAttempts is the largest number of upstreams that one request may be
	// sent to, at least 1.
	MaxAttempts int
	// Rank orders requests that wait for the same upstream; 0 comes first.
	Rank int
	// Parts is the traffic split. It has at least one part.
	Parts []Part
}

// Part is one service of a traffic split with its weight, which is not negative.
type Part struct {
	Service model.ServiceName
	Weight  float64
}

// Service is what the configuration says of a service.
type Service struct {
	Name model.ServiceName
	// HealthPath is the path of its health answer. Empty means that it has none.
	HealthPath string
	// MaxConns is the largest number of connections that one of its upstreams
	// takes. Zero means that none is stated.
	MaxConns int
}

// Limits bound what callers may send. Zero means no limit.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Error is a configuration that cannot be brought into force.
type Error struct {
	Version model.Version
	Route   string
	Field   string
	Problem string
}

// Error names the version, the route, the field and what is wrong with it.
func (e *Error) Error() string {
	return fmt.Sprintf("configuration %s: route %q: %s: %s", e.Version, e.Route, e.Field, e.Problem)
}

// check returns what is wrong with a route.
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
	if r.Timeout < 0 || r.Target < 0 {
		return newError("timeout", "is negative")
	}
	totalWeight := 0.0
	for _, p := range r.Parts {
		if p.Service == "" {
			return newError("split", "names an empty service")
		}
		if p.Weight < 0 {
			return newError("split", "has a negative weight")
		}
		totalWeight += p.Weight
	}
	if totalWeight <= 0 {
		return newError("split", "has no weight")
	}
	return nil
}
