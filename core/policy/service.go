package policy

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Service is a compiled Service document with the sharing policy that applies to
// it. It is safe for concurrent use: after Compile, only the cache of group lookups
// changes, and the cache is updated atomically.
type Service struct {
	Name model.ServiceName
	// Timeout is ServiceSpec.Deadline, with the default applied.
	Timeout time.Duration
	// Routing is ServiceSpec.Routing.
	Routing string
	// Policy is the name of the sharing policy that applies. It is empty when no
	// policy selects the service.
	Policy string
	// Groups are the groups of the sharing policy.
	Groups []GroupSpec
	// MeasuringBudget is nil when neither the service nor the policy sets one.
	MeasuringBudget *float64
	// RetryShare is the retry budget; see SharingPolicySpec.RetryShare.
	RetryShare float64
	// Quarantine is the quarantine rule, with defaults applied.
	Quarantine QuarantineSpec

	spec         ServiceSpec
	defaultGroup model.GroupName
	// groupSelectors holds the parsed GroupSpec.Callers of each group in Groups.
	groupSelectors  []Selector
	deadlineClasses map[string]Duration
	// groupCache holds the result of matchIndex for each caller, at the index
	// Caller.cacheIndex. The value is 0 until GroupOf is first called for the
	// caller.
	groupCache []atomic.Int32
}

// noGroup is the result of matchIndex when no selector matches.
const noGroup = -1

// GroupByLabels returns the group of a caller with the given labels at the
// service. It reports false when no group selects the caller and the policy has
// no default group.
func (s *Service) GroupByLabels(labels model.Labels) (model.GroupName, bool) {
	return s.groupAt(s.matchIndex(labels))
}

// GroupOf returns the result of GroupByLabels for the caller's labels. The caller must
// come from the same Set as the service. GroupOf caches the result for each caller.
func (s *Service) GroupOf(c Caller) (model.GroupName, bool) {
	if c.cacheIndex >= len(s.groupCache) {
		return s.GroupByLabels(c.Labels)
	}
	cachedIndex := &s.groupCache[c.cacheIndex]
	index := cachedIndex.Load()
	if index == 0 {
		index = s.matchIndex(c.Labels)
		cachedIndex.Store(index)
	}
	return s.groupAt(index)
}

// GroupSpec returns the spec of the group with the given name. It reports false when
// the sharing policy has no such group.
func (s *Service) GroupSpec(name model.GroupName) (GroupSpec, bool) {
	i := slices.IndexFunc(s.Groups, func(g GroupSpec) bool { return g.Name == name })
	if i < 0 {
		return GroupSpec{}, false
	}
	return s.Groups[i], true
}

// TimeoutOf returns the longest time that a request of a group may take. This is the
// deadline of the group's deadline class. For a group without a deadline class it is the
// timeout of the service.
func (s *Service) TimeoutOf(name model.GroupName) time.Duration {
	if g, ok := s.GroupSpec(name); ok && g.DeadlineClass != "" {
		return time.Duration(s.deadlineClasses[g.DeadlineClass])
	}
	return s.Timeout
}

// matchIndex returns one plus the index of the first group whose selector matches
// the labels. It returns noGroup when no selector matches.
func (s *Service) matchIndex(labels model.Labels) int32 {
	for i, sel := range s.groupSelectors {
		if !sel.Empty() && sel.Matches(labels) {
			return int32(i) + 1
		}
	}
	return noGroup
}

// groupAt returns the name of the group for a result of matchIndex. For noGroup it
// returns the default group, and reports false when there is none.
func (s *Service) groupAt(i int32) (model.GroupName, bool) {
	if i > 0 {
		return s.Groups[i-1].Name, true
	}
	return s.defaultGroup, s.defaultGroup != ""
}

// Idempotent reports whether a request with the given method and path may run more than
// once; see ServiceSpec.NonIdempotent.
func (s *Service) Idempotent(method, path string) bool {
	if routeMatches(s.spec.NonIdempotent, method, path) {
		return false
	}
	if routeMatches(s.spec.Idempotent, method, path) {
		return true
	}
	return method != "POST" && method != "PATCH"
}

func routeMatches(routes []Route, method, path string) bool {
	return slices.ContainsFunc(routes, func(r Route) bool { return r.matches(method, path) })
}

func (r Route) matches(method, path string) bool {
	if !strings.HasPrefix(path, r.PathPrefix) {
		return false
	}
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}
