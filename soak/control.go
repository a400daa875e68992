package soak

import (
	"context"
	"time"
)

const (
	// maxQuarantineBytesPerSecond is the rate at which a daemon may send quarantine records
	// to its peers. A quarantine record tells which request is suspected of crashing
	// upstreams. In a deployment of 1,700 daemons, all control traffic of a daemon must stay
	// below this rate.
	maxQuarantineBytesPerSecond = 19_000.0
	// maxQuarantineBurstBytes is the number of bytes that a daemon may send in addition to those
	// that maxQuarantineBytesPerSecond allows for its uptime. They suffice for an anti-entropy
	// exchange (a comparison of the records with a peer) at the start of a daemon that has run only
	// for a short time.
	maxQuarantineBurstBytes = 12 * 1400.0
)

// checkControlTraffic checks how many bytes of quarantine records each daemon has sent since its
// last start. It reads the number from the metrics of the daemon. Metrics that cannot be read within
// servingTimeout are a violation.
func (h *harness) checkControlTraffic(ctx context.Context) {
	deadline := time.Now().Add(servingTimeout)
	for _, m := range h.vms {
		sent, err := m.quarantineBytesSent(ctx)
		for err != nil && ctx.Err() == nil && time.Now().Before(deadline) {
			time.Sleep(configCheckInterval)
			sent, err = m.quarantineBytesSent(ctx)
		}
		if err != nil {
			h.checker.addViolation("metrics: %s: %v", m.config.Name, err)
			continue
		}
		uptime := time.Since(m.startedAt())
		if sent > maxQuarantineBurstBytes+maxQuarantineBytesPerSecond*uptime.Seconds() {
			h.checker.addViolation("control: %s sent %.0f bytes of quarantine records in %s", m.config.Name, sent, uptime.Round(time.Second))
		}
	}
}

// quarantineBytesSent reads from the metrics of the daemon how many bytes of quarantine records it
// has sent since its last start.
func (m *vm) quarantineBytesSent(ctx context.Context) (float64, error) {
	return readCounter(ctx, m.metricsURL(), "dottereltiller_control_bytes", `direction="sent"`, `kind="suspects"`)
}
