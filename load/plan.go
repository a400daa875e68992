package load

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/settings"
	"github.com/dottereltiller/dottereltiller/strictjson"
)

// Plan describes a load test. Its JSON form is a plan file.
type Plan struct {
	// Targets are the daemons that receive the requests, in turn.
	Targets []Target `json:"targets"`
	// Duration is the length of the period in which requests are due. The run ends
	// when the last of them has completed.
	Duration policy.Duration `json:"duration"`
	// Seed seeds the random times at which requests are due.
	Seed uint64 `json:"seed"`
	// MaxInFlight is the maximum number of requests in flight. A request that is due
	// while that many are in flight waits until one completes. Default: 4096.
	MaxInFlight int `json:"max_in_flight"`
	// Sources are the streams of requests, which run at the same time.
	Sources []Source `json:"sources"`
	// TLS names the certificate files for connections to the targets. Connections
	// use TLS if a certificate authority is set, and plaintext otherwise. The
	// certificate is optional and authenticates the caller.
	TLS settings.TLS `json:"tls"`
}

// Target is a daemon that receives requests.
type Target struct {
	// Address is the daemon's host and port for callers.
	Address string `json:"address"`
	// Zone is the daemon's availability zone. It is used only in recorded
	// traces.
	Zone model.AvailabilityZone `json:"zone"`
}

// Source is a stream of requests of one kind with Poisson arrivals.
type Source struct {
	// Service is the service that the requests are for.
	Service model.ServiceName `json:"service"`
	// Group is the group of callers to which results and recorded traces assign
	// the requests. It is not sent: daemons derive the group from the token.
	Group model.GroupName `json:"group"`
	// Caller is the name of the caller in recorded traces. It is not sent.
	Caller model.CallerName `json:"caller"`
	// Token is the bearer token to send, if any.
	Token string `json:"token"`
	// Method is the HTTP method of the requests. Default: GET.
	Method string `json:"method"`
	// Path is the URL path of the requests. Default: "/".
	Path string `json:"path"`
	// Rate is the mean number of requests a second.
	Rate float64 `json:"rate"`
	// BodyBytes is the size of each request's body in bytes.
	BodyBytes int `json:"body_bytes"`
	// Cost is the time that an upstream needs to execute one request. It is sent
	// in a header. Stand-in upstreams, the test servers of package standin, take
	// this time to execute the request. Zero means that the cost is unknown.
	Cost policy.Duration `json:"cost"`
	// Deadline is the time allowed for a request. It is sent to the daemon. If it
	// is zero, the default of the service applies.
	Deadline policy.Duration `json:"deadline"`
	// Idempotent says whether a request may be executed more than once. It is sent
	// to the daemon. If it is nil, the configuration of the service decides.
	Idempotent *bool `json:"idempotent"`
	// Keyed adds a new idempotency key to every request.
	Keyed bool `json:"keyed"`
	// Verify enables a check of every response: it must be complete and belong to
	// the request that was sent. The check works only with stand-in upstreams,
	// because their responses repeat the name and the body of the request.
	Verify bool `json:"verify"`
}

const (
	defaultMaxInFlight = 4096
	maxRate            = 1e6
	maxDuration        = 24 * time.Hour
)

// LoadPlan reads and checks a plan file.
func LoadPlan(path string) (Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, err
	}
	var p Plan
	if err := strictjson.Unmarshal(data, &p); err != nil {
		return Plan{}, fmt.Errorf("%s: %w", path, err)
	}
	if err := p.Check(); err != nil {
		return Plan{}, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// Check fills in defaults and returns a *strictjson.FieldError for the first
// invalid field.
func (p *Plan) Check() error {
	if p.MaxInFlight <= 0 {
		p.MaxInFlight = defaultMaxInFlight
	}
	if d := time.Duration(p.Duration); d <= 0 || d > maxDuration {
		return fieldError("duration", d.String(), "must be more than 0 and at most "+maxDuration.String())
	}
	if len(p.Targets) == 0 {
		return fieldError("targets", "[]", "name at least one daemon")
	}
	for i, t := range p.Targets {
		if _, _, err := net.SplitHostPort(t.Address); err != nil {
			return fieldError(fmt.Sprintf("targets[%d].address", i), strconv.Quote(t.Address), "want host:port")
		}
	}
	if p.TLS.Enabled() && p.TLS.Authority == "" {
		return fieldError("tls.authority", `""`, "must be set")
	}
	if len(p.Sources) == 0 {
		return fieldError("sources", "[]", "name at least one source")
	}
	for i := range p.Sources {
		if err := p.Sources[i].check(fmt.Sprintf("sources[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

// check fills in defaults and returns an error for the first invalid field. The
// path is the position of the source in the plan, for example sources[0].
func (s *Source) check(path string) error {
	if s.Method == "" {
		s.Method = http.MethodGet
	}
	if s.Path == "" {
		s.Path = "/"
	}
	switch {
	case s.Service == "":
		return fieldError(path+".service", `""`, "must be set")
	case s.Path[0] != '/':
		return fieldError(path+".path", strconv.Quote(s.Path), "must start with /")
	case s.Rate <= 0 || s.Rate > maxRate:
		return fieldError(path+".rate", strconv.FormatFloat(s.Rate, 'g', -1, 64), "must be more than 0 and at most 1e6")
	case s.BodyBytes < 0:
		return fieldError(path+".body_bytes", strconv.Itoa(s.BodyBytes), "must not be negative")
	case s.Cost < 0:
		return fieldError(path+".cost", time.Duration(s.Cost).String(), "must not be negative")
	case s.Deadline < 0:
		return fieldError(path+".deadline", time.Duration(s.Deadline).String(), "must not be negative")
	}
	return nil
}

// isIdempotent reports whether recorded traces list the requests as idempotent. If
// Idempotent is nil, the method decides: requests are idempotent unless they are POST or
// PATCH.
func (s *Source) isIdempotent() bool {
	if s.Idempotent != nil {
		return *s.Idempotent
	}
	return s.Method != http.MethodPost && s.Method != http.MethodPatch
}

// fieldError returns an error for an invalid field of the plan. The path names the
// field, for example sources[0].rate.
func fieldError(path, value, message string) error {
	return &strictjson.FieldError{Path: path, Value: value, Message: message}
}
