package soak

import (
	"context"
	"time"
)

const (
	// maxQuarantineBytesPerSecond bounds what a daemon sends to others of requests that may crash
	// upstreams, in bytes a second: all that control may take in a deployment of 1,700
	// daemons. maxQuarantineBurstBytes, in bytes, lets short lives begin with a comparison.
	maxQuarantineBytesPerSecond = 19_000.0
	maxQuarantineBurstBytes     = 12 * 1400.0
)

// checkControlTraffic holds the daemons' own count of what they sent to the bound.
func (h *harness) checkControlTraffic(ctx context.Context) {
	for _, m := range h.machines {
		sent, err := readCounter(ctx, m.metricsURL(), "dottereltiller_control_bytes", `direction="sent"`, `kind="suspects"`)
		if err != nil {
			h.check.addViolation("metrics: %s: %v", m.vm.Name, err)
			continue
		}
		up := time.Since(m.startedAt())
		if sent > maxQuarantineBurstBytes+maxQuarantineBytesPerSecond*up.Seconds() {
			h.check.addViolation("control: %s sent %.0f bytes about suspects in %s", m.vm.Name, sent, up.Round(time.Second))
		}
	}
}
