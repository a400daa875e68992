package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

const (
	// drainAllowance is how long after an acknowledged drain a request may still come.
	drainAllowance = 2 * time.Second
	// maxConfigDelay is how long after it was published a configuration may take.
	maxConfigDelay = 2 * time.Second
	// quietPeriod is how long nothing must have disturbed a VM for bounds to hold.
	quietPeriod = 3 * time.Second
	// retryBudgetWindow, retryBudgetRatio and retryBudgetSlack bound re-sends.
	retryBudgetWindow = 10 * time.Second
	retryBudgetRatio  = 0.2
	retryBudgetSlack  = 40.0
	// maxViolations bounds those that are kept.
	maxViolations = 20
)

// requestRecord is what is known of one request of a caller.
type requestRecord struct {
	sentAt          time.Time
	unsafe          bool
	service         string
	executions      int
	toldNotExecuted bool
	// crashKey names a request that crashes upstreams, calm tells whether its daemon
	// is undisturbed.
	crashKey    string
	undisturbed func() bool
}

// checker holds what callers and upstreams see to the promises.
type checker struct {
	// safetyOnly leaves out what depends on how fast the machine is.
	safetyOnly bool

	mu          sync.Mutex
	requests    map[string]*requestRecord
	repeatTimes []time.Time
	sendTimes   []time.Time
	drainedAt   map[string]time.Time
	crashes     map[string]*crashCount
	violations  []string
}

// crashCount are the runs of a request that crashes upstreams.
type crashCount struct {
	total       int
	thresholdAt time.Time
	late        int
}

const (
	// quarantineThreshold must be known everywhere quietPeriod later, and maxLateCrashes may
	// follow then.
	quarantineThreshold = 3
	maxLateCrashes      = 3
	poisonAttemptPrefix = "poison-"
	// maxCrashes bounds the upstreams that one request crashes, however slow the
	// machine is: 8 to 10 at a load average of 90 on 8 cores, and 21 to 23 without a
	// quarantine.
	maxCrashes = 16
)

func newChecker() *checker {
	return &checker{requests: make(map[string]*requestRecord), drainedAt: make(map[string]time.Time), crashes: make(map[string]*crashCount)}
}

func (c *checker) addViolationLocked(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// addViolation notes a violation found elsewhere.
func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

// allViolations returns the violations.
func (c *checker) allViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// recordSent notes a request that is about to be sent.
func (c *checker) recordSent(attempt, service string, unsafe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.requests[attempt] = &requestRecord{sentAt: now, unsafe: unsafe, service: service}
	c.sendTimes = append(c.sendTimes, now)
}

// RequestStarted implements platformtest.Observer.
func (c *checker) RequestStarted(u *platformtest.Upstream, attempt, caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[attempt]
	if s == nil {
		c.addViolationLocked("unasked: %s ran at %s, which nobody sent", attempt, u.ID())
		return
	}
	s.executions++
	switch {
	case s.executions > 1 && s.unsafe:
		c.addViolationLocked("twice: %s ran %d times, the last at %s", attempt, s.executions, u.ID())
	case s.executions > 1:
		c.repeatTimes = append(c.repeatTimes, time.Now())
	}
	if s.toldNotExecuted && s.unsafe {
		c.addViolationLocked("promise: %s ran at %s after its caller was told that it never would", attempt, u.ID())
	}
	if s.crashKey != "" {
		c.recordCrash(s)
	}
	if caller != s.service {
		c.addViolationLocked("caller: %s came from %s and ran as of %s", attempt, s.service, caller)
	}
	if at, ok := c.drainedAt[u.Incarnation()]; ok && time.Since(at) > drainAllowance {
		c.addViolationLocked("drain: %s ran at %s %s after its leaving was acknowledged", attempt, u.ID(), time.Since(at).Round(time.Millisecond))
	}
}

// recordPoison notes that a request crashes upstreams.
func (c *checker) recordPoison(attempt, key string, calm func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[attempt].crashKey, c.requests[attempt].undisturbed = key, calm
	if c.crashes[key] == nil {
		c.crashes[key] = &crashCount{}
	}
}

// recordCrash notes that a request crashes the upstream that runs it. c.mu is held.
func (c *checker) recordCrash(s *requestRecord) {
	k := c.crashes[s.crashKey]
	k.total++
	if c.safetyOnly {
		if k.total == maxCrashes+1 {
			c.addViolationLocked("poison: a request crashed upstreams more than %d times", maxCrashes)
		}
		return
	}
	switch {
	case k.total == quarantineThreshold:
		k.thresholdAt = time.Now()
	case k.total > quarantineThreshold && s.sentAt.Sub(k.thresholdAt) > quietPeriod && s.undisturbed():
		if k.late++; k.late == maxLateCrashes+1 {
			c.addViolationLocked("poison: a request went on crashing upstreams %s after its third crash, %d in all", s.sentAt.Sub(k.thresholdAt).Round(time.Millisecond), k.total)
		}
	}
}

// resetCrashCounts notes that all daemons were killed at once. What they knew of requests that crash
// upstreams was in their memory only, so the number of crashes is bounded from here on anew.
func (c *checker) resetCrashCounts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.safetyOnly {
		return
	}
	for _, k := range c.crashes {
		k.total = 0
	}
}

// recordDrain notes that the leaving of an incarnation was acknowledged. Another one may
// have its id.
func (c *checker) recordDrain(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainedAt[id] = time.Now()
}

// wasExecuted reports whether a request has run.
func (c *checker) wasExecuted(attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[attempt]
	return s != nil && s.executions > 0
}

// checkResponse holds an answer to the request that it was given to.
func (c *checker) checkResponse(attempt string, r platformtest.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[attempt]
	body, seal := platformtest.ResponseBody(attempt)
	switch {
	case r.Status >= 200 && r.Status < 300:
		if r.Body != body || r.Seal != seal || r.Attempt != attempt {
			c.addViolationLocked("mixed: %s got %q with seal %q of %q", attempt, r.Body, r.Seal, r.Attempt)
		}
		if s.executions == 0 {
			c.addViolationLocked("mixed: %s was answered and never ran", attempt)
		}
	case r.NotExecuted():
		s.toldNotExecuted = true
		if s.unsafe && s.executions > 0 {
			c.addViolationLocked("promise: %s was told %d though it ran", attempt, r.Status)
		}
		if r.Status == 503 && r.RetryAfter <= 0 {
			c.addViolationLocked("advice: %s was told 503 without a time to come back", attempt)
		}
	case r.Status == 404 && !strings.Contains(attempt, "probe"):
		c.addViolationLocked("denied: %s got 404 for a route that was always there", attempt)
	}
}

// checkRetryBudget holds the repeats of every span to the budget.
func (c *checker) checkRetryBudget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, from := range c.repeatTimes {
		repeats, requests := 0.0, 0.0
		for _, t := range c.repeatTimes {
			if !t.Before(from) && t.Sub(from) < retryBudgetWindow {
				repeats++
			}
		}
		for _, t := range c.sendTimes {
			if d := t.Sub(from); d > -retryBudgetWindow/2 && d < retryBudgetWindow {
				requests++
			}
		}
		if repeats > retryBudgetRatio*requests+retryBudgetSlack {
			c.addViolationLocked("budget: %.0f repeats for %.0f requests in a span", repeats, requests)
			return
		}
	}
}
