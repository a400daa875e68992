package soak

import (
	"context"
	"time"
)

const (
	// suspectsRate bounds what a daemon sends to others of requests that may crash
	// upstreams, in bytes a second: all that control may take in a deployment of 1,700
	// daemons. suspectsBurst, in bytes, lets short lives begin with a comparison.
	suspectsRate  = 19_000.0
	suspectsBurst = 12 * 1400.0
)

// checkControl holds the daemons' own count of what they sent to the bound.
func (w *world) checkControl(ctx context.Context) {
	for _, m := range w.machines {
		sent, err := readCounter(ctx, m.metricsURL(), "dottereltiller_control_bytes", `direction="sent"`, `kind="suspects"`)
		if err != nil {
			w.check.report("metrics: %s: %v", m.vm.Name, err)
			continue
		}
		up := time.Since(m.startedAt())
		if sent > suspectsBurst+suspectsRate*up.Seconds() {
			w.check.report("control: %s sent %.0f bytes about suspects in %s", m.vm.Name, sent, up.Round(time.Second))
		}
	}
}
