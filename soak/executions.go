package soak

import (
	"fmt"
	"maps"
	"time"

	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

// RequestArrived records when a request arrived at an upstream. It implements platformtest.ArrivalObserver.
func (c *checker) RequestArrived(u *platformtest.Upstream, attempt string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec := c.recordsByAttempt[attempt]; rec != nil {
		rec.arrivedAt[u] = at
	}
}

// RequestEnded records how an execution of a request ended. It implements platformtest.Observer.
func (c *checker) RequestEnded(_ *platformtest.Upstream, attempt string, end platformtest.RunEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec := c.recordsByAttempt[attempt]; rec != nil {
		rec.endedExecutions[end]++
	}
}

// wasExecuted reports whether the request of an attempt has run at least once under this attempt
// id.
func (c *checker) wasExecuted(attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.recordsByAttempt[attempt]
	return rec != nil && rec.executions > 0
}

// executionTimes returns when the requests of an attempt that were executed arrived, by upstream.
func (c *checker) executionTimes(attempt string) map[*platformtest.Upstream]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.recordsByAttempt[attempt].executedAt)
}

// executionsOf describes the executions of an attempt for a violation.
func (c *checker) executionsOf(attempt string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.recordsByAttempt[attempt]
	if rec == nil {
		return "unknown"
	}
	ended := rec.endedExecutions
	return fmt.Sprintf("%d executions, of which %d answered, %d were broken off by a daemon and %d by the upstream", rec.executions,
		ended[platformtest.RunAnswered], ended[platformtest.RunBrokenOff], ended[platformtest.RunLost])
}

// wasTakenAway reports whether an upstream was executing the request of an attempt, had answered it, or
// had it broken off by a daemon. If the caller then gets no response of an upstream, the
// daemons have lost the request. Executions that upstreams broke off do not count. If an execution has
// not ended, wasTakenAway waits until it does, for endNoticeTime at most.
func (c *checker) wasTakenAway(attempt string) bool {
	for deadline := time.Now().Add(endNoticeTime); c.isExecuting(attempt) && time.Now().Before(deadline); {
		time.Sleep(endNoticeInterval)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.recordsByAttempt[attempt]
	return rec != nil && rec.executions > rec.endedExecutions[platformtest.RunLost]
}

// isExecuting reports whether an execution of an attempt has not ended.
func (c *checker) isExecuting(attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.recordsByAttempt[attempt]
	if rec == nil {
		return false
	}
	ended := 0
	for _, n := range rec.endedExecutions {
		ended += n
	}
	return rec.executions > ended
}
