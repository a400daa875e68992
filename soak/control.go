package soak

import (
	"context"
	"time"
)

const (
	// maxQuarantineBytesPerSecond bounds the quarantine records (of suspected requests) that
	// a daemon sends to its peers. It is the whole limit of control traffic of a daemon in a
	// deployment of 1,700 daemons. maxQuarantineBurstBytes allows daemons that ran only for
	// a short time an anti-entropy exchange at the start.
	maxQuarantineBytesPerSecond = 19_000.0
	maxQuarantineBurstBytes     = 12 * 1400.0
)

// checkControlTraffic checks the bytes of quarantine records that the daemons report as sent
// in their metrics.
func (h *harness) checkControlTraffic(ctx context.Context) {
	for _, m := range h.vms {
		sent, err := readCounter(ctx, m.metricsURL(), "dottereltiller_control_bytes", `direction="sent"`, `kind="suspects"`)
		if err != nil {
			h.check.addViolation("metrics: %s: %v", m.config.Name, err)
			continue
		}
		up := time.Since(m.startedAt())
		if sent > maxQuarantineBurstBytes+maxQuarantineBytesPerSecond*up.Seconds() {
			h.check.addViolation("control: %s sent %.0f bytes of quarantine records in %s", m.config.Name, sent, up.Round(time.Second))
		}
	}
}
