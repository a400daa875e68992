package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// adminHandler returns the handler of the admin address, for operators, monitoring
// and the upstreams of this VM. Requests from other hosts may only read.
func (d *Daemon) adminHandler() http.Handler {
	// Create the counters of refused announcements now, so that /metrics serves them
	// before the first refusal.
	for _, reason := range []string{reasonUnreadable, reasonInvalid, reasonTooMany} {
		d.refusedAnnouncementsCounter(reason)
	}
	r := chi.NewRouter()
	r.Get("/healthz", d.healthz)
	r.Get("/readyz", d.readyz)
	r.Get("/status", d.serveStatus)
	r.Get("/v1/zones", d.serveZones)
	r.Get("/traces", d.tracer.ServeRecent)
	r.Handle("/metrics", d.Metrics.Handler())
	r.Get("/v1/quarantine", d.listQuarantine)
	r.With(d.requireSameVM).Delete("/v1/quarantine/{fingerprint}", d.releaseQuarantine)
	r.With(d.requireSameVM).Put("/v1/upstreams/{id}", d.handleAnnouncement)
	return r
}

// Health is the response body of /healthz and /readyz.
type Health struct {
	OK bool `json:"ok"`
	// NotReadyReasons lists why the daemon is not ready.
	NotReadyReasons []string `json:"lacking,omitempty"`
}

// healthz responds 200 as long as the process can serve HTTP. Failed components do not
// change the response, since the supervisor restarts them.
func (d *Daemon) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Health{OK: true})
}

// readyz responds 200 when the daemon can serve callers, else 503.
func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	h := d.readiness()
	status := http.StatusOK
	if !h.OK {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, h)
}

// readiness returns whether the daemon is ready to serve callers and, if not, why.
func (d *Daemon) readiness() Health {
	var reasons []string
	if d.stopping.Load() {
		reasons = append(reasons, "stopping")
	}
	if d.Config.Current() == nil {
		reasons = append(reasons, "no configuration in force")
	}
	return Health{OK: len(reasons) == 0, NotReadyReasons: reasons}
}

// writeJSON writes a response with the given status and the JSON form of v as its body. It
// ignores errors.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
