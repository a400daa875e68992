package daemon

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/dottereltiller/dottereltiller/core/model"
	core "github.com/dottereltiller/dottereltiller/core/quarantine"
	"github.com/dottereltiller/dottereltiller/quarantine"
)

// buildQuarantine sets up the table of requests that are suspected of crashing
// upstreams, and registers it for gossip with the other daemons.
func (d *Daemon) buildQuarantine() {
	d.Quarantine = quarantine.NewStore(quarantine.Options{
		Rule:     d.quarantineRule,
		OnUpdate: func() { d.Exchanger.TriggerRound() },
		Scope:    d.scope("quarantine"),
		Logger:   d.logger,
	})
	d.Exchanger.Register(d.Quarantine)
}

// quarantineRule returns the quarantine rule of a service under the configuration in
// force. If that configuration does not contain the service or no configuration is in
// force, the result is a cautious default: quarantine after 2 crashes, for 1 minute.
func (d *Daemon) quarantineRule(service model.ServiceName) core.Rule {
	defaultRule := core.Rule{Crashes: 2, Duration: time.Minute}
	inForce := d.Config.Current()
	if inForce == nil {
		return defaultRule
	}
	svc, ok := inForce.Set.Service(service)
	if !ok {
		return defaultRule
	}
	return core.Rule{Crashes: svc.Quarantine.Crashes, Duration: time.Duration(svc.Quarantine.Duration)}
}

// listQuarantine serves the table of suspected and quarantined requests.
func (d *Daemon) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, d.Quarantine.List())
}

// releaseQuarantine ends the suspicion or quarantine of the request with the fingerprint in
// the URL. It responds 400 to a malformed fingerprint and 404 to an unknown one.
func (d *Daemon) releaseQuarantine(w http.ResponseWriter, r *http.Request) {
	var fingerprint core.Fingerprint
	if err := fingerprint.UnmarshalText([]byte(chi.URLParam(r, "fingerprint"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !d.Quarantine.Release(fingerprint) {
		http.Error(w, "no request with this fingerprint is known", http.StatusNotFound)
		return
	}
	d.logger.Info("request released by an operator", "fingerprint", fingerprint.String())
	w.WriteHeader(http.StatusNoContent)
}
