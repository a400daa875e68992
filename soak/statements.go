package soak

import (
	"fmt"
	"time"

	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

const (
	// limitAllowance is how long after an upstream has first limited its rate it may get more requests.
	limitAllowance = quietPeriod
	// minLimit is the shortest time for which an upstream limits its rate. A shorter one would hardly be
	// checked.
	minLimit = limitAllowance + 5*time.Second
	// leavingAllowance is how long after a daemon has forwarded a response that states that an upstream is
	// leaving the daemon may still send requests there.
	leavingAllowance = 2 * time.Second
)

// limitsByMode holds the limits that upstreams name, in requests per second, by the mode of the fault.
var limitsByMode = map[string]float64{"some": 10, "few": 2.5, "none": 0}

// limitRate makes the upstream of a VM limit its rate for a time, at least minLimit.
func (h *harness) limitRate(m *vm, f Fault) {
	incarnation := m.upstream.Incarnation()
	m.upstream.LimitRate(limitsByMode[f.Mode], limitAllowance)
	time.Sleep(max(f.Duration, minLimit))
	if m.upstream.Incarnation() == incarnation {
		m.upstream.LiftRateLimit()
	}
}

// leaveUnreported makes the upstream of a VM state in its responses that it is leaving, while its reports say that it is
// ready. After leavingAllowance and the duration of the fault, it ends and starts again, unless another fault has
// restarted it meanwhile.
func (h *harness) leaveUnreported(m *vm, f Fault) {
	incarnation, id := m.upstream.Incarnation(), m.upstream.ID()
	m.upstream.AnnounceLeaving()
	time.Sleep(leavingAllowance + f.Duration)
	if m.upstream.Incarnation() != incarnation {
		return
	}
	m.upstream.Crash()
	if f.Mode == "new-id" {
		id = h.newID(f.VM)
	}
	_ = m.upstream.Start(id)
}

// daemonIncarnation names an incarnation of the daemon of a VM.
func (m *vm) daemonIncarnation(incarnation int) string {
	return fmt.Sprintf("%s/%d", m.config.Name, incarnation)
}

// recordDaemon records which daemon an attempt is sent to.
func (c *checker) recordDaemon(attempt, daemon string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordsByAttempt[attempt].daemon = daemon
}

// recordLeavingLocked records that a daemon has forwarded a response that states that an upstream is leaving. It does
// nothing if it is not recorded which daemon the attempt was sent to. The caller must hold c.mu.
func (c *checker) recordLeavingLocked(daemon, upstream string) {
	if daemon == "" {
		return
	}
	key := daemon + " " + upstream
	if c.leavingForwardedAt[key].IsZero() {
		c.leavingForwardedAt[key] = time.Now()
	}
}

// checkLeavingLocked checks that the daemon of an attempt has not forwarded long before that the upstream which starts
// the request is leaving. The caller must hold c.mu.
func (c *checker) checkLeavingLocked(u *platformtest.Upstream, attempt string, rec *requestRecord) {
	forwardedAt, ok := c.leavingForwardedAt[rec.daemon+" "+u.Incarnation()]
	if ok && rec.sentAt.Sub(forwardedAt) > leavingAllowance {
		c.addViolationLocked("leaving: %s ran at %s, sent %s after %s had forwarded that it leaves", attempt, u.Incarnation(), rec.sentAt.Sub(forwardedAt).Round(time.Millisecond), rec.daemon)
	}
}

// LimitedRequest checks how many requests an upstream gets that limits their rate. It implements
// platformtest.Observer. Requests that the process of the test handles late arrive closer together than they
// were sent.
func (c *checker) LimitedRequest(u *platformtest.Upstream, attempt string, inWindow int, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	allowed := platformtest.AllowedInWindow(perSecond)
	if float64(inWindow) > allowed*(1+c.handlingDelay().Seconds()/platformtest.LimitWindow.Seconds()) {
		c.addViolationLocked("limit: %s was request %d within %s at %s, which takes %g a second; allowed are %.0f",
			attempt, inWindow, platformtest.LimitWindow, u.ID(), perSecond, allowed)
	}
}
