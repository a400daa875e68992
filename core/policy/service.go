package policy

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Service is a compiled Service document with the sharing policy in force
// there. It is immutable.
type Service struct {
	Name     model.ServiceName
	Deadline time.Duration
	Routing  string
	// Policy names the sharing policy; empty when none selects the service.
	Policy string
	Groups []GroupSpec
	// MeasuringBudget is nil when no document names one.
	MeasuringBudget *float64
	// RetryShare is the share of requests that an entry may add as retries.
	RetryShare float64
	// Quarantine has its defaults filled in.
	Quarantine QuarantineSpec

	spec            ServiceSpec
	defaultGroup    model.GroupName
	selectors       []Selector
	deadlineClasses map[string]Duration
	// cache holds for each caller the index of its group plus one; noGroup
	// when it has none, 0 when not looked up yet.
	groupCache []atomic.Int32
}

const noGroup = -1

// Group returns the group of a caller with the given labels at the service. It
// reports false when the caller belongs to none and the policy names no default
// group.
func (s *Service) GroupByLabels(labels model.Labels) (model.GroupName, bool) {
	return s.groupAt(s.matchIndex(labels))
}

// GroupOf is Group for a caller of the same Set. It remembers the answer.
func (s *Service) GroupOf(c Caller) (model.GroupName, bool) {
	if c.cacheIndex >= len(s.groupCache) {
		return s.GroupByLabels(c.Labels)
	}
	cached := &s.groupCache[c.cacheIndex]
	index := cached.Load()
	if index == 0 {
		index = s.matchIndex(c.Labels)
		cached.Store(index)
	}
	return s.groupAt(index)
}

// GroupSpec returns the declaration of a group.
func (s *Service) GroupSpec(name model.GroupName) (GroupSpec, bool) {
	i := slices.IndexFunc(s.Groups, func(g GroupSpec) bool { return g.Name == name })
	if i < 0 {
		return GroupSpec{}, false
	}
	return s.Groups[i], true
}

// DeadlineOf returns the longest time that a request of a group may take.
func (s *Service) DeadlineOf(name model.GroupName) time.Duration {
	if g, ok := s.GroupSpec(name); ok && g.DeadlineClass != "" {
		return time.Duration(s.deadlineClasses[g.DeadlineClass])
	}
	return s.Deadline
}

// match returns the index of the group that selects the labels plus one, or
// noGroup.
func (s *Service) matchIndex(labels model.Labels) int32 {
	for i, sel := range s.selectors {
		if !sel.Empty() && sel.Matches(labels) {
			return int32(i) + 1
		}
	}
	return noGroup
}

func (s *Service) groupAt(i int32) (model.GroupName, bool) {
	if i > 0 {
		return s.Groups[i-1].Name, true
	}
	return s.defaultGroup, s.defaultGroup != ""
}

// Idempotent reports whether a request may run more than once.
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
