package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

const (
	// drainBound is how long after an acknowledged drain a request may still come.
	drainBound = 2 * time.Second
	// configBound is how long after it was published a configuration may take.
	configBound = 2 * time.Second
	// calmFor is how long nothing must have disturbed a VM for bounds to hold.
	calmFor = 3 * time.Second
	// budgetSpan, budgetRatio and budgetSlack bound re-sends.
	budgetSpan  = 10 * time.Second
	budgetRatio = 0.2
	budgetSlack = 40.0
	// maxViolations bounds those that are kept.
	maxViolations = 20
)

// sent is what is known of one request of a caller.
type sent struct {
	at       time.Time
	unsafe   bool
	service  string
	runs     int
	promised bool
	// poison names a request that crashes upstreams, calm tells whether its daemon
	// is undisturbed.
	poison string
	calm   func() bool
}

// checker holds what callers and upstreams see to the promises.
type checker struct {
	// untimed leaves out what depends on how fast the machine is.
	untimed bool

	mu         sync.Mutex
	requests   map[string]*sent
	repeats    []time.Time
	firsts     []time.Time
	drained    map[string]time.Time
	crashes    map[string]*crashes
	violations []string
}

// crashes are the runs of a request that crashes upstreams.
type crashes struct {
	runs  int
	third time.Time
	late  int
}

const (
	// enoughCrashes must be known everywhere calmFor later, and lateCrashes may
	// follow then.
	enoughCrashes = 3
	lateCrashes   = 3
	poisonPrefix  = "poison-"
	// mostCrashes bounds the upstreams that one request crashes, however slow the
	// machine is: 8 to 10 at a load average of 90 on 8 cores, and 21 to 23 without a
	// quarantine.
	mostCrashes = 16
)

func newChecker() *checker {
	return &checker{requests: make(map[string]*sent), drained: make(map[string]time.Time), crashes: make(map[string]*crashes)}
}

func (c *checker) violate(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// report notes a violation found elsewhere.
func (c *checker) report(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate(format, args...)
}

// found returns the violations.
func (c *checker) found() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// send notes a request that is about to be sent.
func (c *checker) send(attempt, service string, unsafe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.requests[attempt] = &sent{at: now, unsafe: unsafe, service: service}
	c.firsts = append(c.firsts, now)
}

// RequestStarted implements platformtest.Observer.
func (c *checker) RequestStarted(u *platformtest.Upstream, attempt, caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[attempt]
	if s == nil {
		c.violate("unasked: %s ran at %s, which nobody sent", attempt, u.ID())
		return
	}
	s.runs++
	switch {
	case s.runs > 1 && s.unsafe:
		c.violate("twice: %s ran %d times, the last at %s", attempt, s.runs, u.ID())
	case s.runs > 1:
		c.repeats = append(c.repeats, time.Now())
	}
	if s.promised && s.unsafe {
		c.violate("promise: %s ran at %s after its caller was told that it never would", attempt, u.ID())
	}
	if s.poison != "" {
		c.crash(s)
	}
	if caller != s.service {
		c.violate("caller: %s came from %s and ran as of %s", attempt, s.service, caller)
	}
	if at, ok := c.drained[u.Incarnation()]; ok && time.Since(at) > drainBound {
		c.violate("drain: %s ran at %s %s after its leaving was acknowledged", attempt, u.ID(), time.Since(at).Round(time.Millisecond))
	}
}

// sendPoison notes that a request crashes upstreams.
func (c *checker) sendPoison(attempt, key string, calm func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[attempt].poison, c.requests[attempt].calm = key, calm
	if c.crashes[key] == nil {
		c.crashes[key] = &crashes{}
	}
}

// crash notes that a request crashes the upstream that runs it. c.mu is held.
func (c *checker) crash(s *sent) {
	k := c.crashes[s.poison]
	k.runs++
	if c.untimed {
		if k.runs == mostCrashes+1 {
			c.violate("poison: a request crashed upstreams more than %d times", mostCrashes)
		}
		return
	}
	switch {
	case k.runs == enoughCrashes:
		k.third = time.Now()
	case k.runs > enoughCrashes && s.at.Sub(k.third) > calmFor && s.calm():
		if k.late++; k.late == lateCrashes+1 {
			c.violate("poison: a request went on crashing upstreams %s after its third crash, %d in all", s.at.Sub(k.third).Round(time.Millisecond), k.runs)
		}
	}
}

// forgotten notes that all daemons were killed at once. What they knew of requests that crash
// upstreams was in their memory only, so the number of crashes is bounded from here on anew.
func (c *checker) forgotten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.untimed {
		return
	}
	for _, k := range c.crashes {
		k.runs = 0
	}
}

// drain notes that the leaving of an incarnation was acknowledged. Another one may
// have its id.
func (c *checker) drain(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained[id] = time.Now()
}

// ranOnce reports whether a request has run.
func (c *checker) ranOnce(attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[attempt]
	return s != nil && s.runs > 0
}

// answer holds an answer to the request that it was given to.
func (c *checker) answer(attempt string, r platformtest.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[attempt]
	body, seal := platformtest.ResponseBody(attempt)
	switch {
	case r.Status >= 200 && r.Status < 300:
		if r.Body != body || r.Seal != seal || r.Attempt != attempt {
			c.violate("mixed: %s got %q with seal %q of %q", attempt, r.Body, r.Seal, r.Attempt)
		}
		if s.runs == 0 {
			c.violate("mixed: %s was answered and never ran", attempt)
		}
	case r.NotExecuted():
		s.promised = true
		if s.unsafe && s.runs > 0 {
			c.violate("promise: %s was told %d though it ran", attempt, r.Status)
		}
		if r.Status == 503 && r.RetryAfter <= 0 {
			c.violate("advice: %s was told 503 without a time to come back", attempt)
		}
	case r.Status == 404 && !strings.Contains(attempt, "probe"):
		c.violate("denied: %s got 404 for a route that was always there", attempt)
	}
}

// budget holds the repeats of every span to the budget.
func (c *checker) budget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, from := range c.repeats {
		repeats, requests := 0.0, 0.0
		for _, t := range c.repeats {
			if !t.Before(from) && t.Sub(from) < budgetSpan {
				repeats++
			}
		}
		for _, t := range c.firsts {
			if d := t.Sub(from); d > -budgetSpan/2 && d < budgetSpan {
				requests++
			}
		}
		if repeats > budgetRatio*requests+budgetSlack {
			c.violate("budget: %.0f repeats for %.0f requests in a span", repeats, requests)
			return
		}
	}
}
