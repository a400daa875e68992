package soak

import (
	"net/http"
	"time"
)

// sendReport sends a report of a VM's upstream late, or one of another writer, after the duration of the fault. A daemon must not
// acknowledge a report of a service that is not configured. That such reports take no upstream out for good is checked
// with the recovery.
func (h *harness) sendReport(m *vm, f Fault) {
	switch f.Mode {
	case "late":
		m.upstream.DelayReport(f.Duration)
	case "writer":
		time.Sleep(f.Duration)
		m.upstream.SendStrayReport("")
	default:
		time.Sleep(f.Duration)
		if status := m.upstream.SendStrayReport("service-of-nobody"); status == http.StatusOK {
			h.checker.addViolation("report: %s acknowledged a report of a service that is not configured", m.config.Name)
		}
	}
}
