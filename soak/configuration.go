package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

// publish publishes a new version of the configuration.
func (h *harness) publish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version++
	h.publishedAt = time.Now()
	h.publicationTimes[h.version] = h.publishedAt
	h.store.PutConfig(h.configLocked())
}

// publishAgain publishes the newest configuration once more. It releases h.mu before it returns: the
// checker locks its own mutex before h.mu, so h.mu must not be held around calls of the checker.
func (h *harness) publishAgain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.PutConfig(h.configLocked())
}

// configLocked returns the newest configuration. The caller must hold h.mu.
func (h *harness) configLocked() []byte {
	var calledServices []string
	for g := range groupCount(h.plan.VMs) {
		calledServices = append(calledServices, serviceOf(g, 0))
		if h.plan.hasNestedRequests() {
			calledServices = append(calledServices, serviceOf(g, 1))
		}
	}
	return platformtest.DocumentWithAccounts(h.version, h.plan.accounts(h.version, &h.opts), calledServices...)
}

// latestPublication returns the newest version of the configuration and when it was published.
func (h *harness) latestPublication() (int, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, h.publishedAt
}

// checkConfigInForce regularly checks the version of the configuration in force at a daemon. A new
// version must be in force within maxConfigDelay. A process must not return to an older version.
// Version n adds a route for /vn/, so daemons with an older version respond with status 404.
func (h *harness) checkConfigInForce(ctx context.Context, m *vm) {
	seenVersion, seenIncarnation := 0, 0
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(configCheckInterval)
		if m.replacing.Load() {
			continue
		}
		version, publishedAt := h.latestPublication()
		overdue := time.Since(publishedAt) > maxConfigDelay && m.undisturbed()
		incarnation, stoppingOrExited := m.processState()
		attempt := fmt.Sprintf("probe-%s-%d", m.config.Name, i)
		h.checker.recordSent(attempt, m.service(), false)
		r, err := h.send(ctx, m, &m.caller, fmt.Sprintf("/v%d/x", version), attempt, false, requestDeadline)
		if incarnationAfter, _ := m.processState(); err != nil || stoppingOrExited || incarnation != incarnationAfter {
			continue
		}
		h.checker.checkResponse(attempt, r)
		switch {
		case r.Status == http.StatusNotFound && incarnation == seenIncarnation && seenVersion >= version:
			h.checker.addViolation("back: %s no longer had version %d in force", m.config.Name, version)
		case r.Status == http.StatusNotFound && overdue && m.undisturbed() && !h.opts.SafetyOnly:
			h.checker.addViolation("late: %s did not have version %d in force %s after its publication", m.config.Name, version, time.Since(publishedAt).Round(time.Millisecond))
		case r.Status != http.StatusNotFound && r.Status != http.StatusServiceUnavailable:
			seenVersion, seenIncarnation = version, incarnation
		}
	}
}
