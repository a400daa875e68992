package routing

import (
	"fmt"
	"strings"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// The names of the policies.
const (
	ExpectedCompletion = "expected-completion"
	TwoChoices         = "two-choices"
	LeastOutstanding   = "least-outstanding"
	RoundRobin         = "round-robin"
	Random             = "random"
)

// Names returns the names of all policies, the default first.
func Names() []string {
	return []string{ExpectedCompletion, TwoChoices, LeastOutstanding, RoundRobin, Random}
}

// Options configure a Router.
type Options struct {
	// Policy is the name of the selection policy. Default: ExpectedCompletion.
	Policy string
	// Zone is the availability zone of the entry.
	Zone model.AvailabilityZone
	// Self is the daemon of the entry; its own upstreams are reached without
	// delay. Empty means that no upstream is its own.
	Self model.DaemonID
	// ZoneDelay gives the one-way delay to a zone. A zone that is not in it
	// counts as DefaultZoneDelay away, the own zone as 0.
	ZoneDelay map[model.AvailabilityZone]time.Duration
	// Ramp is the time over which an upstream that joins a running pool takes
	// up its full part. Default: 2s. Negative: none.
	Ramp time.Duration
	// HedgeBudget is the number of hedges allowed for each request. Default:
	// 0.02. Negative: none.
	HedgeBudget float64
	// Seed seeds the random choices.
	Seed uint64
}

// DefaultZoneDelay is the one-way delay assumed to a zone without a figure.
const DefaultZoneDelay = time.Millisecond

const defaultRamp = 2 * time.Second

// UnknownPolicyError names a policy that does not exist.
type UnknownPolicyError struct{ Name string }

// Error lists the policies that exist.
func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("unknown routing policy %q, want one of %s", e.Name, strings.Join(Names(), ", "))
}

// policy ranks candidates.
type policy interface {
	// choose returns a candidate that is usable, or nil when there is none.
	// panicking takes ejected candidates for usable.
	choose(r *Router, now model.Instant, exclude []model.UpstreamID, panicking bool) *candidate
	// queueTimeout tells how long a request may wait at the chosen candidate.
	// bounced counts how often the request has been given back.
	queueTimeout(r *Router, now model.Instant, c *candidate, rejections int) time.Duration
	// hedges reports whether slow idempotent requests are sent a second time.
	hedges() bool
}

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

// queues is embedded by policies that let every request wait where it was sent
// first, and send it once.
type waitsAtUpstream struct{}

func (waitsAtUpstream) queueTimeout(*Router, model.Instant, *candidate, int) time.Duration {
	return WaitForDeadline
}

func (waitsAtUpstream) hedges() bool { return false }
