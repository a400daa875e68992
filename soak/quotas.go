package soak

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// What the settings of the daemons state of quotas, see platform.Bounds.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// burstAccount is the number of the account whose callers send burstSize requests every burstInterval.
// Its rate is lowBurstRate in versions with an odd number, and highBurstRate in the others. In all versions, the rate is
// higher by an excessShare of Options.Excess.
const (
	burstAccount  = accountCount
	burstSize     = 80
	burstInterval = time.Second
	lowBurstRate  = 5
	highBurstRate = 20
	burstCapacity = 60
	excessShare   = 1. / 4
)

// calmQuotaFactor is how many times as many requests the other accounts may send as they do.
const calmQuotaFactor = 4

// probeRate is the number of probes a second that are sent to each daemon.
const probeRate = 2 * int(time.Second/configCheckInterval)

// accountStart is the start of a request of an account at an upstream.
type accountStart struct {
	sentAt time.Time
	// bound is how many requests the account may have run in quotaWindow, see checker.quotaBound.
	bound float64
}

// quota returns the quota of an account in a version.
func (p *Plan) quota(name string, version int, o *Options) (perSecond, burst float64) {
	excess := excessShare * float64(o.Excess)
	switch {
	case name != fmt.Sprintf("account %d", burstAccount):
		calm := float64(calmQuotaFactor * (p.VMs/accountCount + 1) * (o.Rate + probeRate))
		return calm, calm
	case version%2 == 1:
		return lowBurstRate + excess, burstCapacity
	}
	return highBurstRate + excess, burstCapacity
}

// quotaBound implements checker.quotaBound.
func (h *harness) quotaBound(name string, oldest int) float64 {
	bound := 0.0
	newest, _ := h.latestPublication()
	for version := max(oldest, newest-1, 1); version <= newest; version++ {
		perSecond, burst := h.plan.quota(name, version, &h.opts)
		bound = max(bound, (perSecond*quotaWindow.Seconds()+burst)*(1+quotaOverage)+quotaSlack)
	}
	return bound
}

// oldestInForce returns the oldest version that daemons may have in force. In calm time that is the
// newest one from a quotaWindow after it had to be in force.
func (h *harness) oldestInForce() int {
	calm := h.undisturbed() && !h.opts.SafetyOnly
	h.mu.Lock()
	defer h.mu.Unlock()
	if calm && time.Since(h.publishedAt) > maxConfigDelay+quotaWindow {
		h.oldestVersion = h.version
	}
	return h.oldestVersion
}

// checkQuotaLocked checks the requests of an account in the quotaWindow that ends now, when the request of rec
// starts. Only requests that were sent in the window count: the others may have passed before it.
func (c *checker) checkQuotaLocked(rec *requestRecord) {
	name, now := rec.key.account, time.Now()
	starts := append(c.startsByAccount[name], accountStart{rec.sentAt, c.quotaBound(name, rec.key.oldest)})
	inWindow := starts[:0]
	bound := 0.0
	for _, s := range starts {
		if now.Sub(s.sentAt) <= quotaWindow {
			inWindow = append(inWindow, s)
			bound = max(bound, s.bound)
		}
	}
	c.startsByAccount[name] = inWindow
	if bound > 0 {
		c.quotaPeak = max(c.quotaPeak, float64(len(inWindow))/bound)
	}
	if float64(len(inWindow)) > bound {
		c.addViolationLocked("quota: %d requests of %s ran in %s, more than %.0f", len(inWindow), name, quotaWindow, bound)
	}
}

// peakOfQuotas returns Result.QuotaPeak.
func (c *checker) peakOfQuotas() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quotaPeak
}

// sendExcess sends Options.Excess requests of burstAccount a second, one after the other to all daemons, so that all that
// hold a share of its quota are asked for it.
func (h *harness) sendExcess(ctx context.Context) {
	if !h.plan.hasAccounts() || h.opts.Excess == 0 {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Second / time.Duration(h.opts.Excess))
		m := h.vms[n%len(h.vms)]
		if m.replacing.Load() {
			continue
		}
		key := h.keyFor(m)
		key.account = fmt.Sprintf("account %d", burstAccount)
		wg.Go(func() { h.sendOfBurst(m, key, fmt.Sprintf("excess-%d", n)) })
	}
}

// sendBursts sends the bursts of burstAccount, to one daemon after another.
func (h *harness) sendBursts(ctx context.Context) {
	if !h.plan.hasAccounts() {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(burstInterval)
		m := h.vms[n%len(h.vms)]
		if m.replacing.Load() {
			continue
		}
		key := h.keyFor(m)
		key.account = fmt.Sprintf("account %d", burstAccount)
		for i := range burstSize {
			wg.Go(func() { h.sendOfBurst(m, key, fmt.Sprintf("burst-%d-%d", n, i)) })
		}
	}
}

// sendOfBurst sends one request of a burst and checks the response.
func (h *harness) sendOfBurst(m *vm, key sentKey, attempt string) {
	h.checker.recordSent(attempt, m.service(), false)
	if r, err := h.sendWithKey(context.Background(), m, key, "/safe/x", attempt, false, requestDeadline); err == nil {
		h.checker.checkResponse(attempt, r)
	}
}
