package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

// accountCount is the number of client accounts of a run that has any.
const accountCount = 3

// hasAccounts reports whether the run has client accounts. Every second seed has, so that runs without
// accounts are covered as well.
func (p *Plan) hasAccounts() bool { return p.Seed%2 == 0 }

// accountOf returns the name of the client account whose callers are on a VM.
func accountOf(m *vm) string { return fmt.Sprintf("account %d", m.number%accountCount) }

// keyOf returns the key that a version of the configuration adds to an account. The next version keeps
// the key, and the one after that removes it.
func keyOf(name string, version int) string {
	return fmt.Sprintf("key-%s-%d", name[len(name)-1:], version)
}

// accounts returns the client accounts of a version, nil if the run has none.
func (p *Plan) accounts(version int, o *Options) []platformtest.Account {
	if !p.hasAccounts() {
		return nil
	}
	var accounts []platformtest.Account
	for n := range accountCount + 1 {
		name := fmt.Sprintf("account %d", n)
		accounts = append(accounts, platformtest.Account{Name: name, Keys: []string{keyOf(name, version), keyOf(name, version-1)}})
	}
	for n := range accounts {
		accounts[n].PerSecond, accounts[n].Burst = p.quota(accounts[n].Name, version, o)
	}
	return accounts
}

// sentKey describes the key of an attempt.
type sentKey struct {
	// account is the account that upstreams must be told, empty if the route is public.
	account string
	// version is the version of the configuration that added the key.
	version int
	// oldest is the oldest version that may have been in force when the attempt was sent.
	oldest int
}

// keyFor returns a key that has been valid at all daemons for maxConfigDelay, if there is one.
func (h *harness) keyFor(m *vm) sentKey {
	version, publishedAt := h.latestPublication()
	if time.Since(publishedAt) < maxConfigDelay {
		version--
	}
	return sentKey{account: accountOf(m), version: version, oldest: h.oldestInForce()}
}

// send sends a request of a caller on a VM, with a key of the callers of the VM if the run has accounts.
func (h *harness) send(ctx context.Context, m *vm, caller *platformtest.Caller, path, attempt string, nonIdempotent bool, timeout time.Duration) (platformtest.Result, error) {
	if !h.plan.hasAccounts() {
		return caller.Send(h.recordingCaller(ctx, m, attempt), path, attempt, nonIdempotent, timeout)
	}
	key := h.keyFor(m)
	quiet, faults := h.undisturbed(), m.faultCount()
	r, err := h.sendWithKey(ctx, m, key, path, attempt, nonIdempotent, timeout)
	if err == nil && r.Status == http.StatusUnauthorized && quiet && m.faultCount() == faults && h.holds(key) && !h.opts.SafetyOnly {
		h.checker.addViolation("key: %s got status 401 although its key is in force", attempt)
	}
	if err == nil && r.Status == http.StatusTooManyRequests {
		h.refusedBelowQuota.Add(1)
	}
	if err == nil && r.Status == http.StatusTooManyRequests && quiet && m.faultCount() == faults && h.undisturbed() && !h.opts.SafetyOnly {
		h.checker.addViolation("refused: %s got status 429 although its account is far below its rate", attempt)
	}
	return r, err
}

// recordingCaller returns a context with which a request is recorded as one of the service of the daemon that it
// reaches. The VM may be replaced after the request has been recorded and before it is sent.
func (h *harness) recordingCaller(ctx context.Context, m *vm, attempt string) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { h.checker.recordCaller(attempt, m.runningService()) },
	})
}

// sendWithKey sends a request with a key and records its account. Requests on the public route carry a
// key as well, which has no effect.
func (h *harness) sendWithKey(ctx context.Context, m *vm, key sentKey, path, attempt string, nonIdempotent bool, timeout time.Duration) (platformtest.Result, error) {
	caller := m.caller
	caller.Key = keyOf(key.account, key.version)
	if path == platformtest.LongPath+"x" {
		key = sentKey{}
	}
	h.checker.recordKey(attempt, key)
	return caller.Send(h.recordingCaller(ctx, m, attempt), path, attempt, nonIdempotent, timeout)
}

// holds reports whether the key is in the newest configuration, and has been for maxConfigDelay.
func (h *harness) holds(key sentKey) bool {
	version, publishedAt := h.latestPublication()
	return key.version == version && time.Since(publishedAt) > maxConfigDelay || key.version == version-1
}

// removedFor returns how long ago a key was removed, zero if it is valid.
func (h *harness) removedFor(key sentKey) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	removedAt, ok := h.publicationTimes[key.version+2]
	if !ok {
		return 0
	}
	return time.Since(removedAt)
}

// sendRemovedKeys regularly sends a request with the key that was removed last.
func (h *harness) sendRemovedKeys(ctx context.Context, m *vm) {
	if !h.plan.hasAccounts() {
		return
	}
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(configCheckInterval)
		version, _ := h.latestPublication()
		attempt := fmt.Sprintf("probe-removed-%s-%d", m.config.Name, i)
		h.checker.recordSent(attempt, m.service(), false)
		key := sentKey{account: accountOf(m), version: version - 2, oldest: h.oldestInForce()}
		if r, err := h.sendWithKey(ctx, m, key, "/safe/x", attempt, false, requestDeadline); err == nil && r.NotExecuted() {
			h.checker.checkResponse(attempt, r)
		}
	}
}

// recordKey records the key of an attempt.
func (c *checker) recordKey(attempt string, key sentKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordsByAttempt[attempt].key = key
}

// AccountStated checks the account that an upstream is told and that it is told no key. A request must
// not start later than maxConfigDelay after its key was removed. It implements platformtest.Observer.
func (c *checker) AccountStated(u *platformtest.Upstream, attempt, account, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.recordsByAttempt[attempt]
	if rec == nil {
		return
	}
	if key != "" {
		c.addViolationLocked("key: %s reached %s with its key", attempt, u.ID())
	}
	if account != rec.key.account {
		c.addViolationLocked("account: %s was sent for account %q and reached %s for %q", attempt, rec.key.account, u.ID(), account)
	}
	if rec.key.account != "" && rec.executions == 0 {
		c.checkQuotaLocked(rec)
	}
	if removedFor := c.removedFor(rec.key); rec.key.account != "" && removedFor-c.handlingDelay() > maxConfigDelay && c.inTouch(u) && !c.safetyOnly {
		c.addViolationLocked("key: %s ran at %s %s after its key was removed", attempt, u.ID(), removedFor.Round(time.Millisecond))
	}
}
