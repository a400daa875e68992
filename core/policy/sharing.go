package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// sharingPolicy is a SharingPolicy document with its selectors parsed.
type sharingPolicy struct {
	name string
	spec SharingPolicySpec
	// serviceSelector selects the services that the policy may apply to.
	serviceSelector Selector
	// groupSelectors holds the parsed GroupSpec.Callers of each group.
	groupSelectors []Selector
}

func (c *compiler) addPolicy(d Document) {
	var spec SharingPolicySpec
	if !c.decode(d, &spec) {
		return
	}
	p := sharingPolicy{name: d.Name, spec: spec}
	p.serviceSelector = c.parseSelector(d, "spec.services", spec.Services)
	c.checkShare(d, "spec.measuring_budget", spec.MeasuringBudget)
	c.checkShare(d, "spec.retry_share", spec.RetryShare)
	c.checkQuarantine(d, spec.Quarantine)
	for name, deadline := range spec.DeadlineClasses {
		if deadline <= 0 {
			c.addProblem(d, "spec.deadline_classes."+name, time.Duration(deadline).String(), "must be above 0")
		}
	}
	p.groupSelectors = c.checkGroups(d, spec)
	c.set.policies = append(c.set.policies, p)
}

// parseSelector parses a selector, and records a problem when the text is invalid.
func (c *compiler) parseSelector(d Document, path, text string) Selector {
	s, err := ParseSelector(text)
	if err != nil {
		c.addProblem(d, path, fmt.Sprintf("%q", text), err.Error())
	}
	return s
}

func (c *compiler) checkQuarantine(d Document, q *QuarantineSpec) {
	if q == nil {
		return
	}
	if q.Crashes < 0 {
		c.addProblem(d, "spec.quarantine.deaths", fmt.Sprint(q.Crashes), "must not be negative")
	}
	if q.Duration < 0 {
		c.addProblem(d, "spec.quarantine.duration", time.Duration(q.Duration).String(), "must not be negative")
	}
}

// checkGroups checks the groups of a policy, sets their default queue bound and
// returns their selectors.
func (c *compiler) checkGroups(d Document, spec SharingPolicySpec) []Selector {
	if len(spec.Groups) == 0 {
		c.addProblem(d, "spec.groups", "none", "want at least one group")
	}
	seen := make(map[model.GroupName]bool)
	selectors := make([]Selector, 0, len(spec.Groups))
	for i := range spec.Groups {
		g := &spec.Groups[i]
		path := fmt.Sprintf("spec.groups[%d]", i)
		selectors = append(selectors, c.checkGroup(d, path, g, spec))
		if seen[g.Name] {
			c.addProblem(d, path+".name", string(g.Name), "declared more than once")
		}
		seen[g.Name] = true
		if g.QueueBound == 0 {
			g.QueueBound = defaultQueueBound
		}
	}
	if spec.DefaultGroup != "" && !seen[spec.DefaultGroup] {
		c.addProblem(d, "spec.default_group", string(spec.DefaultGroup), "no such group in this policy")
	}
	return selectors
}

// checkGroup checks a group of a policy and returns its selector.
func (c *compiler) checkGroup(d Document, path string, g *GroupSpec, spec SharingPolicySpec) Selector {
	selector := c.parseSelector(d, path+".callers", g.Callers)
	if strings.TrimSpace(g.Callers) == "" && g.Name != spec.DefaultGroup {
		c.addProblem(d, path+".callers", fmt.Sprintf("%q", g.Callers), "selects nobody; only the default group may be empty")
	}
	if g.Name == "" || !validChars(string(g.Name)) {
		c.addProblem(d, path+".name", fmt.Sprintf("%q", g.Name), "want letters, digits and \"-_./\"")
	}
	c.checkNumber(d, path+".weight", g.Weight)
	c.checkNumber(d, path+".rate_per_second", g.RatePerSecond)
	c.checkNumber(d, path+".queue_bound", float64(g.QueueBound))
	c.checkNumber(d, path+".slots_per_upstream", float64(g.SlotsPerUpstream))
	c.checkNumber(d, path+".concurrency", float64(g.Concurrency))
	if _, ok := spec.DeadlineClasses[g.DeadlineClass]; !ok && g.DeadlineClass != "" {
		c.addProblem(d, path+".deadline_class", g.DeadlineClass, "no such class in deadline_classes")
	}
	return selector
}

// checkNumber records a problem when a value is negative or not finite.
func (c *compiler) checkNumber(d Document, path string, v float64) {
	if !(v >= 0) || math.IsInf(v, 0) {
		c.addProblem(d, path, fmt.Sprint(v), "must not be negative")
	}
}

// assignPolicies sorts the policies by priority and name, and applies to each
// service the first policy that selects it.
func (c *compiler) assignPolicies() {
	slices.SortStableFunc(c.set.policies, func(a, b sharingPolicy) int {
		return cmp.Or(cmp.Compare(b.spec.Priority, a.spec.Priority), cmp.Compare(a.name, b.name))
	})
	for name, svc := range c.set.services {
		i := slices.IndexFunc(c.set.policies, func(p sharingPolicy) bool { return p.serviceSelector.Matches(c.set.labelsByService[name]) })
		if i >= 0 {
			svc.applyPolicy(c.set.policies[i])
		}
	}
}

// applyPolicy sets the fields of the service that its sharing policy determines. The
// service's own measuring budget, if set, takes precedence over that of the policy.
func (s *Service) applyPolicy(p sharingPolicy) {
	s.Policy = p.name
	s.Groups = p.spec.Groups
	s.defaultGroup = p.spec.DefaultGroup
	s.groupSelectors = p.groupSelectors
	s.deadlineClasses = p.spec.DeadlineClasses
	if s.MeasuringBudget == nil {
		s.MeasuringBudget = p.spec.MeasuringBudget
	}
	if p.spec.RetryShare != nil {
		s.RetryShare = *p.spec.RetryShare
	}
	if q := p.spec.Quarantine; q != nil {
		s.Quarantine.Crashes = cmp.Or(q.Crashes, s.Quarantine.Crashes)
		s.Quarantine.Duration = cmp.Or(q.Duration, s.Quarantine.Duration)
	}
}
