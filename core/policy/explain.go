package policy

import (
	"fmt"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Explanation describes how the group of a caller at a service was determined.
type Explanation struct {
	Service model.ServiceName `json:"service"`
	// Caller is empty for a caller without credentials.
	Caller model.CallerName `json:"caller"`
	// Policies lists all sharing policies in the order in which they are tried.
	Policies []PolicyStep `json:"policies"`
	// Groups lists the groups of the policy that applies, in the order in which
	// they are tried.
	Groups []GroupStep `json:"groups"`
	// Group is the caller's group. It is empty when the caller is refused.
	Group model.GroupName `json:"group"`
	// Share is the group's weight divided by the sum of the weights of all groups.
	// When all groups have waiting requests, the group gets this share of each
	// upstream's slot time.
	Share float64 `json:"share"`
	// Deadline is the longest time that a request of the group may take.
	Deadline time.Duration `json:"deadline"`
}

// PolicyStep describes whether a sharing policy applies to the service and why.
type PolicyStep struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	// Wins is set for the policy that applies to the service.
	Wins bool `json:"wins"`
	// Why is the reason for Wins, as a text for the operator.
	Why string `json:"why"`
}

// GroupStep describes whether a group is the caller's group and why.
type GroupStep struct {
	Name model.GroupName `json:"name"`
	// Wins is set for the caller's group.
	Wins bool `json:"wins"`
	// Why is the reason for Wins, as a text for the operator.
	Why string `json:"why"`
}

// NotFoundError reports that no document of the kind has the name.
type NotFoundError struct {
	Kind string
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no %s is named %q", e.Kind, e.Name)
}

// Explain returns the group that a caller belongs to at a service, with the reasons.
// The empty caller name stands for a caller without credentials. When the caller or
// the service does not exist, the error is a *NotFoundError.
func (s *Set) Explain(caller model.CallerName, service model.ServiceName) (Explanation, error) {
	svc, ok := s.services[service]
	if !ok {
		return Explanation{}, &NotFoundError{Kind: KindService, Name: string(service)}
	}
	c, ok := s.callers[caller]
	if !ok && caller != "" {
		return Explanation{}, &NotFoundError{Kind: KindCaller, Name: string(caller)}
	}
	e := Explanation{Service: service, Caller: caller}
	e.Policies = s.explainPolicies(service)
	e.Group, _ = svc.GroupOf(c)
	e.Groups = svc.explainGroups(c.Labels, e.Group)
	e.Deadline = svc.TimeoutOf(e.Group)
	totalWeight := 0.0
	for _, g := range svc.Groups {
		totalWeight += g.Weight
		if g.Name == e.Group {
			e.Share = g.Weight
		}
	}
	if totalWeight > 0 {
		e.Share /= totalWeight
	}
	return e, nil
}

// explainPolicies says for each sharing policy whether it applies to the service and why.
func (s *Set) explainPolicies(service model.ServiceName) []PolicyStep {
	var steps []PolicyStep
	appliedPolicy := ""
	for _, p := range s.policies {
		step := PolicyStep{Name: p.name, Priority: p.spec.Priority}
		switch unmatched := p.serviceSelector.firstUnmatched(s.labelsByService[service]); {
		case unmatched != nil:
			step.Why = fmt.Sprintf("does not select the service: %s does not hold", unmatched)
		case appliedPolicy != "":
			step.Why = fmt.Sprintf("selects the service, but %s comes first", appliedPolicy)
		default:
			step.Wins, appliedPolicy = true, p.name
			step.Why = "first by priority, then name, that selects the service"
		}
		steps = append(steps, step)
	}
	return steps
}

// explainGroups says for each group of the service whether it is the group of a caller with
// the given labels and why. group is the caller's group, empty when the caller is refused.
func (s *Service) explainGroups(labels model.Labels, group model.GroupName) []GroupStep {
	matchedIndex := s.matchIndex(labels)
	var steps []GroupStep
	for i, g := range s.Groups {
		step := GroupStep{Name: g.Name, Wins: g.Name == group}
		unmatched := s.groupSelectors[i].firstUnmatched(labels)
		switch {
		case int32(i)+1 == matchedIndex:
			step.Why = fmt.Sprintf("first group whose selector %q holds", g.Callers)
		case step.Wins:
			step.Why = "default group, as no selector holds"
		case s.groupSelectors[i].Empty():
			step.Why = "selects nobody"
		case unmatched != nil:
			step.Why = fmt.Sprintf("%s does not hold", unmatched)
		default:
			step.Why = "its selector holds, but an earlier group's does too"
		}
		steps = append(steps, step)
	}
	return steps
}
