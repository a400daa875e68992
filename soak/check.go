package soak

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

const (
	// drainAllowance is how long after the acknowledgement of an upstream's drain a request may
	// still start at the upstream.
	drainAllowance = 2 * time.Second
	// maxConfigDelay is how long a daemon may take to put a published configuration in force.
	maxConfigDelay = 2 * time.Second
	// quietPeriod is how long after the end of an unplanned fault the checks that the fault could
	// make fail are still skipped.
	quietPeriod = 3 * time.Second
	// retryBudgetWindow is the length of the windows in which retries are counted. Each retry
	// starts one of these windows, so windows overlap.
	retryBudgetWindow = 10 * time.Second
	// retryBudgetRatio is the number of retries that a window may have for each request that was
	// sent in the window or up to half of retryBudgetWindow before its start.
	retryBudgetRatio = 0.2
	// retryBudgetSlack is the number of retries that a window may have in addition to those that
	// retryBudgetRatio allows.
	retryBudgetSlack = 40.0
	// endNoticeTime is how long after the response to a request an upstream may notice that the
	// request has ended there, for example because the upstream has crashed.
	endNoticeTime = time.Second
	// endNoticeInterval is the time between two looks whether it has.
	endNoticeInterval = 10 * time.Millisecond
	// maxViolations is the maximum number of violations that are recorded. Violations beyond this
	// number are dropped.
	maxViolations = 20
)

// requestRecord records what happened to one attempt of a caller to send a request. Each
// attempt has its own attempt id.
type requestRecord struct {
	sentAt time.Time
	// nonIdempotent is set if the request must not be executed more than once.
	nonIdempotent bool
	// callerService is the service of the caller.
	callerService string
	// daemon is the incarnation of the daemon that the attempt was sent to, see vm.daemonIncarnation.
	daemon string
	// executions is the number of times that upstreams started the request.
	executions int
	// endedExecutions counts the executions that have ended, by how they ended.
	endedExecutions map[platformtest.RunEnd]int
	// executedAt holds when the requests arrived at each upstream that were then executed. Until the execution starts,
	// arrivedAt holds it.
	executedAt, arrivedAt map[*platformtest.Upstream]time.Time
	// toldNotExecuted is set when the response tells the caller that the request did not run.
	toldNotExecuted bool
	// crashKey identifies a request that crashes upstreams. Such a request is sent with many
	// attempt ids. For all other requests crashKey is empty.
	crashKey string
	// key is the key of the attempt. It is empty on public routes and in runs without client accounts.
	key sentKey
	// undisturbed reports whether the VM of the daemon to which the attempt was sent has been
	// without unplanned faults for quietPeriod at the time of the call. It is nil if crashKey is
	// empty.
	undisturbed func() bool
}

// checker checks what callers and upstreams observe against the guarantees of the system.
type checker struct {
	// safetyOnly turns off the checks that depend on the speed of the machine.
	safetyOnly bool
	// handlingDelay returns how long before now a request that an upstream starts now may have
	// arrived, see canary.
	handlingDelay func() time.Duration

	mu sync.Mutex
	// recordsByAttempt holds the records by attempt id.
	recordsByAttempt map[string]*requestRecord
	// repeatTimes are the times of the repeated executions of idempotent requests.
	repeatTimes []time.Time
	// sendTimes are the times at which callers sent requests.
	sendTimes []time.Time
	// drainTimes holds the times of acknowledged drains by upstream incarnation.
	drainTimes map[string]time.Time
	// leavingForwardedAt holds when a daemon first forwarded a response that states that an upstream is leaving, by
	// the incarnations of the daemon and of the upstream.
	leavingForwardedAt map[string]time.Time
	// crashCounts holds the number of crashes that each request caused, by requestRecord.crashKey.
	crashCounts map[string]*crashCount
	// expectedCrashAt is when a request last crashed an upstream before it had to be quarantined.
	expectedCrashAt time.Time
	// evacuatedZones holds when each zone was evacuated that still is.
	evacuatedZones map[string]time.Time
	// inTouch reports whether the VM of an upstream has been undisturbed. It is nil in tests.
	inTouch func(u *platformtest.Upstream) bool
	// removedFor returns how long ago a key was removed, zero if it is valid.
	removedFor func(sentKey) time.Duration
	// quotaBound returns how many requests of an account may run in a quotaWindow if the versions of the
	// configuration from the given one on may be in force.
	quotaBound func(account string, oldest int) float64
	// quotaPeak is Result.QuotaPeak.
	quotaPeak float64
	// startsByAccount holds the last starts of the requests of each account.
	startsByAccount map[string][]accountStart
	violations      []string
}

// crashCount counts the crashes caused by one request.
type crashCount struct {
	total int
	// thresholdAt is when the total reached quarantineThreshold.
	thresholdAt time.Time
	// late counts the crashes that the quarantine should have prevented, see maxLateCrashes.
	late int
}

const (
	// quarantineThreshold is the number of crashes that one request may cause before it is
	// quarantined. All daemons must quarantine the request within quietPeriod after its number of
	// crashes reaches quarantineThreshold.
	quarantineThreshold = 3
	// maxLateCrashes is the number of late crashes that one request may cause. A crash is late if
	// its attempt was sent more than quietPeriod after the number of crashes reached
	// quarantineThreshold. The VM to which the attempt was sent must also be undisturbed when the
	// crash is counted.
	maxLateCrashes = 3
	// poisonAttemptPrefix starts the attempt ids of requests that crash upstreams.
	poisonAttemptPrefix = "poison-"
	// maxCrashes is the number of crashes that one request may cause on a machine of any
	// speed. It is checked only if safetyOnly is set. At a load average of 90 on 8 cores a
	// request causes 8 to 10 crashes, and 21 to 23 without a quarantine.
	maxCrashes = 16
)

func newChecker() *checker {
	return &checker{
		handlingDelay:    func() time.Duration { return 0 },
		removedFor:       func(sentKey) time.Duration { return 0 },
		quotaBound:       func(string, int) float64 { return math.Inf(1) },
		startsByAccount:  make(map[string][]accountStart),
		recordsByAttempt: make(map[string]*requestRecord), drainTimes: make(map[string]time.Time), crashCounts: make(map[string]*crashCount),
		evacuatedZones: make(map[string]time.Time), leavingForwardedAt: make(map[string]time.Time), inTouch: func(*platformtest.Upstream) bool { return true },
	}
}

// addViolationLocked records a violation, unless maxViolations are recorded already. The caller
// must hold c.mu.
func (c *checker) addViolationLocked(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// addViolation records a violation that was found by code outside the checker.
func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

// allViolations returns the recorded violations.
func (c *checker) allViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// recordSent records an attempt that is about to be sent by a caller of a service.
func (c *checker) recordSent(attempt, service string, nonIdempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.recordsByAttempt[attempt] = &requestRecord{
		sentAt: now, nonIdempotent: nonIdempotent, callerService: service, endedExecutions: make(map[platformtest.RunEnd]int),
		executedAt: make(map[*platformtest.Upstream]time.Time), arrivedAt: make(map[*platformtest.Upstream]time.Time),
	}
	c.sendTimes = append(c.sendTimes, now)
}

// RequestStarted records that an upstream has started a request, and checks that the request was
// allowed to run there. It implements platformtest.Observer.
func (c *checker) RequestStarted(u *platformtest.Upstream, attempt, caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.recordsByAttempt[attempt]
	if rec == nil {
		c.addViolationLocked("unasked: %s ran at %s and was never sent", attempt, u.ID())
		return
	}
	rec.executions++
	arrivedAt, ok := rec.arrivedAt[u]
	if !ok {
		arrivedAt = time.Now()
	}
	delete(rec.arrivedAt, u)
	rec.executedAt[u] = arrivedAt
	switch {
	case rec.executions > 1 && rec.nonIdempotent:
		c.addViolationLocked("twice: non-idempotent request %s ran %d times, the last time at %s", attempt, rec.executions, u.ID())
	case rec.executions > 1:
		c.repeatTimes = append(c.repeatTimes, time.Now())
	}
	if rec.toldNotExecuted && rec.nonIdempotent {
		c.addViolationLocked("promise: %s ran at %s after its caller was told that it was not executed", attempt, u.ID())
	}
	if rec.crashKey != "" {
		c.recordCrash(rec)
	}
	if caller != rec.callerService {
		c.addViolationLocked("caller: %s was sent by service %s and reached the upstream as sent by %s", attempt, rec.callerService, caller)
	}
	c.checkEvacuation(u, attempt, arrivedAt)
	c.checkLeavingLocked(u, attempt, rec)
	if drainedAt, ok := c.drainTimes[u.Incarnation()]; ok && arrivedAt.Sub(drainedAt)-c.handlingDelay() > drainAllowance {
		c.addViolationLocked("drain: %s ran at %s %s after the drain was acknowledged, with a delay of %s in the test", attempt, u.ID(),
			arrivedAt.Sub(drainedAt).Round(time.Millisecond), c.handlingDelay().Round(time.Millisecond))
	}
}

// recordPoison records that the request of an attempt crashes upstreams. Attempts with the same
// key belong to one request. undisturbed is described at requestRecord.undisturbed.
func (c *checker) recordPoison(attempt, key string, undisturbed func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordsByAttempt[attempt].crashKey, c.recordsByAttempt[attempt].undisturbed = key, undisturbed
	if c.crashCounts[key] == nil {
		c.crashCounts[key] = &crashCount{}
	}
}

// recordCrash counts one crash that a request has caused and checks the bounds on crashes. The
// caller must hold c.mu.
func (c *checker) recordCrash(rec *requestRecord) {
	count := c.crashCounts[rec.crashKey]
	count.total++
	if count.total <= quarantineThreshold {
		c.expectedCrashAt = time.Now()
	}
	if c.safetyOnly {
		if count.total == maxCrashes+1 {
			c.addViolationLocked("poison: a request crashed upstreams more than %d times", maxCrashes)
		}
		return
	}
	switch {
	case count.total == quarantineThreshold:
		count.thresholdAt = time.Now()
	case count.total > quarantineThreshold && rec.sentAt.Sub(count.thresholdAt) > quietPeriod && rec.undisturbed():
		if count.late++; count.late == maxLateCrashes+1 {
			c.addViolationLocked("poison: a request still crashed upstreams %s after its third crash, %d crashes in total", rec.sentAt.Sub(count.thresholdAt).Round(time.Millisecond), count.total)
		}
	}
}

// resetCrashCounts makes the crash counts start again. It is called when all daemons are killed at
// once: daemons keep the quarantine only in memory, so the quarantine is lost. Late crashes until then
// still count.
func (c *checker) resetCrashCounts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, count := range c.crashCounts {
		count.total = 0
	}
}

// recentlyCrashed reports whether a request that was not yet quarantined crashed an upstream within
// the duration before now.
func (c *checker) recentlyCrashed(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.expectedCrashAt) < d
}

// recordCaller records the service of the daemon that a request has reached.
func (c *checker) recordCaller(attempt, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec := c.recordsByAttempt[attempt]; rec != nil {
		rec.callerService = service
	}
}

// recordDrain records that the drain of an upstream's incarnation was acknowledged. Drains
// are recorded by incarnation because a later incarnation may have the same upstream id.
func (c *checker) recordDrain(incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainTimes[incarnation] = time.Now()
}

// checkResponse checks the response to an attempt. It also records in the record of the attempt
// if the response tells the caller that the request did not run.
func (c *checker) checkResponse(attempt string, r platformtest.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.recordsByAttempt[attempt]
	body, seal := platformtest.ResponseBody(attempt)
	if r.Leaving {
		c.recordLeavingLocked(rec.daemon, r.Incarnation)
	}
	switch {
	case r.Status >= 200 && r.Status < 300:
		if r.Body != body || r.Seal != seal || r.Attempt != attempt {
			c.addViolationLocked("mixed: %s received the body %q with seal %q of attempt %q", attempt, r.Body, r.Seal, r.Attempt)
		}
		if rec.executions == 0 {
			c.addViolationLocked("mixed: %s was answered but never ran", attempt)
		}
	case r.NotExecuted():
		rec.toldNotExecuted = true
		if rec.nonIdempotent && rec.executions > 0 {
			c.addViolationLocked("promise: %s got status %d (not executed) although it ran", attempt, r.Status)
		}
		if (r.Status == 503 || r.Status == 429) && r.RetryAfter <= 0 {
			c.addViolationLocked("advice: %s got status %d without Retry-After", attempt, r.Status)
		}
	case r.Status == 404 && !strings.Contains(attempt, "probe"):
		c.addViolationLocked("denied: %s got status 404 for a route that always exists", attempt)
	}
}

// checkRetryBudget checks the retry budget in every window and records at most one violation. The
// repeated executions of idempotent requests count as the retries.
func (c *checker) checkRetryBudget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, windowStart := range c.repeatTimes {
		repeatCount, requestCount := 0.0, 0.0
		for _, t := range c.repeatTimes {
			if !t.Before(windowStart) && t.Sub(windowStart) < retryBudgetWindow {
				repeatCount++
			}
		}
		for _, t := range c.sendTimes {
			if d := t.Sub(windowStart); d > -retryBudgetWindow/2 && d < retryBudgetWindow {
				requestCount++
			}
		}
		if repeatCount > retryBudgetRatio*requestCount+retryBudgetSlack {
			c.addViolationLocked("budget: %.0f repeated executions for %.0f requests in one window", repeatCount, requestCount)
			return
		}
	}
}
