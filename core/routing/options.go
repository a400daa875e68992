package routing

import (
	"fmt"
	"strings"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// The names of the routing policies.
const (
	ExpectedCompletion = "expected-completion"
	TwoChoices         = "two-choices"
	LeastOutstanding   = "least-outstanding"
	RoundRobin         = "round-robin"
	Random             = "random"
)

// PolicyNames returns the names of all routing policies. The default policy comes first.
func PolicyNames() []string {
	return []string{ExpectedCompletion, TwoChoices, LeastOutstanding, RoundRobin, Random}
}

// Options configure a Router.
type Options struct {
	// Policy is the name of the routing policy. Default: ExpectedCompletion.
	Policy string
	// Zone is the availability zone of the entry.
	Zone model.AvailabilityZone
	// Self is the ID of the daemon that the entry belongs to. The delay to upstreams of
	// that daemon is 0. If Self is empty, no upstream counts as belonging to the entry's
	// daemon.
	Self model.DaemonID
	// ZoneDelay holds the one-way delay to each zone. For zones that are not in the map,
	// the delay is 0 (local zone) or DefaultZoneDelay (other zones).
	ZoneDelay map[model.AvailabilityZone]time.Duration
	// Ramp is how long an upstream that joins a running pool takes to reach its full
	// share of requests. Default: 2s. A negative value disables ramping.
	Ramp time.Duration
	// HedgeBudget is the number of hedges (second copies of slow requests) allowed per
	// request. Default: 0.02. A negative value disables hedging.
	HedgeBudget float64
	// Seed seeds the random number generator.
	Seed uint64
}

// DefaultZoneDelay is the one-way delay assumed for zones that Options.ZoneDelay omits.
const DefaultZoneDelay = time.Millisecond

// defaultRamp is the default of Options.Ramp, the time in which a new upstream ramps up.
const defaultRamp = 2 * time.Second

// UnknownPolicyError is returned by New for a policy name that does not exist.
type UnknownPolicyError struct{ Name string }

// Error names the unknown policy and lists the existing ones.
func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("unknown routing policy %q, want one of %s", e.Name, strings.Join(PolicyNames(), ", "))
}

// policy picks the upstream for a request and decides how long the request may wait
// there.
type policy interface {
	// choose returns a usable candidate, or nil if there is none. If ignoreEjections is set,
	// ejected candidates are usable too.
	choose(r *Router, now model.Instant, exclude []model.UpstreamID, ignoreEjections bool) *candidate
	// queueTimeout returns how long a request may wait at the chosen candidate. rejectionCount
	// is the number of times that guards have rejected the request so far.
	queueTimeout(r *Router, now model.Instant, c *candidate, rejectionCount int) time.Duration
	// hedges reports whether the policy sends slow idempotent requests to a second
	// upstream.
	hedges() bool
}

// newPolicy returns the policy with the given name. An empty name stands for
// ExpectedCompletion. For any other unknown name, newPolicy returns an *UnknownPolicyError.
func newPolicy(name string) (policy, error) {
	switch name {
	case "", ExpectedCompletion:
		return &expectedCompletion{}, nil
	case TwoChoices:
		return twoChoices{}, nil
	case LeastOutstanding:
		return leastOutstanding{}, nil
	case RoundRobin:
		return &roundRobin{}, nil
	case Random:
		return random{}, nil
	default:
		return nil, &UnknownPolicyError{Name: name}
	}
}

// waitsAtUpstream is embedded by policies whose requests wait at the first chosen
// upstream until their deadline and are never hedged.
type waitsAtUpstream struct{}

func (waitsAtUpstream) queueTimeout(*Router, model.Instant, *candidate, int) time.Duration {
	return WaitForDeadline
}

func (waitsAtUpstream) hedges() bool { return false }
