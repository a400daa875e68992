package policy

import (
	"encoding/json"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// The kinds of document.
const (
	KindService       = "Service"
	KindCaller        = "Caller"
	KindSharingPolicy = "SharingPolicy"
)

// Document is one declaration of the configuration.
type Document struct {
	Kind   string          `json:"kind"`
	Name   string          `json:"name"`
	Labels model.Labels    `json:"labels,omitempty"`
	Spec   json.RawMessage `json:"spec"`
}

// Key returns the document's name within the configuration, "kind/name".
func (d Document) Key() string { return d.Kind + "/" + d.Name }

// ServiceSpec is the spec of a Service document.
type ServiceSpec struct {
	// Hosts are the host names of the service, in addition to its own name.
	Hosts []string `json:"hosts,omitempty"`
	// Deadline is the longest time that a request may take. It is also the timeout
	// of requests that set none. Default: "10s".
	Deadline Duration `json:"deadline,omitempty"`
	// NonIdempotent matches requests that must run at most once. Requests with the
	// methods POST and PATCH must also run at most once, unless Idempotent matches
	// them.
	NonIdempotent []Route `json:"non_idempotent,omitempty"`
	// Idempotent matches requests that may run more than once although their
	// method is POST or PATCH. NonIdempotent takes precedence.
	Idempotent []Route `json:"idempotent,omitempty"`
	// Routing is the name of the routing policy. Default: the default of package
	// routing.
	Routing string `json:"routing,omitempty"`
	// MeasuringBudget is the share of each upstream's slot time that may be spent
	// on polling the upstream's load report, 0 to 1. Default: 0.005.
	MeasuringBudget *float64 `json:"measuring_budget,omitempty"`
}

// Route matches requests by method and path prefix. An empty field matches all
// requests.
type Route struct {
	Methods    []string `json:"methods,omitempty"`
	PathPrefix string   `json:"path_prefix,omitempty"`
}

// CallerSpec is the spec of a Caller document.
type CallerSpec struct {
	// TokenSHA256 holds the hex SHA-256 digests of the caller's bearer tokens.
	TokenSHA256 []string `json:"token_sha256,omitempty"`
	// CertificateNames are the certificate subject names of the caller. A client
	// certificate with one of these names identifies the caller.
	CertificateNames []string `json:"certificate_names,omitempty"`
}

// SharingPolicySpec is the spec of a SharingPolicy document.
type SharingPolicySpec struct {
	// Services is a Selector for the labels of services. The empty selector selects
	// all services.
	Services string `json:"services"`
	// Priority decides which policy applies when several select a service. The
	// highest wins.
	Priority int `json:"priority,omitempty"`
	// Groups are the groups of the policy. A caller belongs to the first group that
	// selects it.
	Groups []GroupSpec `json:"groups"`
	// DefaultGroup is the group of callers that no group selects. When DefaultGroup
	// is empty, such callers are refused.
	DefaultGroup model.GroupName `json:"default_group,omitempty"`
	// DeadlineClasses holds deadlines by name. GroupSpec.DeadlineClass refers to
	// these names.
	DeadlineClasses map[string]Duration `json:"deadline_classes,omitempty"`
	// MeasuringBudget is the measuring budget of services that set none; see
	// ServiceSpec.MeasuringBudget.
	MeasuringBudget *float64 `json:"measuring_budget,omitempty"`
	// RetryShare is the retry budget of an entry. In the long run, it bounds the
	// number of retries to a service as a share of the requests to the service, 0 to
	// 1. Default: 0.1. See retry.Budget.
	RetryShare *float64 `json:"retry_share,omitempty"`
	// Quarantine says when a request that crashes upstreams is quarantined, that is
	// refused for some time.
	Quarantine *QuarantineSpec `json:"quarantine,omitempty"`
}

// QuarantineSpec says when a request is quarantined, and for how long.
type QuarantineSpec struct {
	// Crashes is the number of crashes after which a request is quarantined. A crash
	// is counted when the upstream that crashed was running the request. Default: 2.
	Crashes int `json:"deaths,omitempty"`
	// Duration is how long the quarantine lasts. Default: "10m".
	Duration Duration `json:"duration,omitempty"`
}

// GroupSpec declares one group of a SharingPolicy.
type GroupSpec struct {
	Name model.GroupName `json:"name"`
	// Callers is a Selector for the labels of callers. Here, an empty selector
	// selects no caller. It is allowed only for the default group.
	Callers string `json:"callers"`
	// Weight is the group's share of slot time relative to the other groups: while all
	// groups have waiting requests, each gets slot time in proportion to its weight.
	// Slot time is the time that requests hold the slots of an upstream. The weight is
	// at least 0. Groups of weight 0 come last. Their requests start only when no group
	// with a weight above 0 has a request that may start. Very small weights count as
	// more; see fairqueue.MinWeightRatio.
	Weight float64 `json:"weight"`
	// QueueBound is the largest number of the group's requests that wait at one
	// upstream. Default: 128.
	QueueBound int `json:"queue_bound,omitempty"`
	// SlotsPerUpstream is the largest number of slots that the group may hold at
	// one upstream, even when other slots are free. It keeps the long requests
	// of one group from making all other groups wait. Zero means no limit.
	SlotsPerUpstream int `json:"slots_per_upstream,omitempty"`
	// DeadlineClass is a key of SharingPolicySpec.DeadlineClasses. The deadline of
	// this class is the longest time that a request of the group may take. It is
	// also the timeout of requests that set none. Default: the service's deadline.
	DeadlineClass string `json:"deadline_class,omitempty"`
	// RatePerSecond limits the rate of the group's requests over all daemons, in
	// requests per second. Zero means no limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// Concurrency limits the number of the group's requests in flight over all
	// daemons. Zero means no limit.
	Concurrency int `json:"concurrency,omitempty"`
}
