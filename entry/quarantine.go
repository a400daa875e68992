package entry

import (
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/quarantine"
	"github.com/dottereltiller/dottereltiller/wire"
)

// Quarantine knows the requests that kill upstreams.
type Quarantine interface {
	// Watching reports whether any request is suspected or refused.
	Watching() bool
	// Refused reports for how long yet a request is refused.
	Refused(quarantine.Fingerprint) (time.Duration, bool)
	// Died tells that an upstream died while it ran a request.
	Died(quarantine.Fingerprint, quarantine.Request, quarantine.Death)
	// Answered tells that a request was answered in full.
	Answered(quarantine.Fingerprint)
}

// print takes a request's fingerprint once, when it is first asked for.
type lazyFingerprint struct {
	once  sync.Once
	value quarantine.Fingerprint
}

func (r *request) quarantineRequest() quarantine.Request {
	return quarantine.Request{
		Service: r.service.Name,
		Caller:  r.caller.Name,
		Method:  r.http.Method,
		Target:  r.http.URL.RequestURI(),
		Body:    r.body.data,
		Length:  r.body.length,
	}
}

func (r *request) fingerprint() quarantine.Fingerprint {
	r.cachedFingerprint.once.Do(func() { r.cachedFingerprint.value = quarantine.Of(r.quarantineRequest()) })
	return r.cachedFingerprint.value
}

// quarantined reports whether the request is refused because it kills
// upstreams.
func (e *Entry) quarantined(req *request) (outcome.Outcome, bool) {
	if e.opts.Quarantine == nil || !e.opts.Quarantine.Watching() {
		return outcome.Outcome{}, false
	}
	remaining, refused := e.opts.Quarantine.Refused(req.fingerprint())
	o := outcome.NotRunBecause(outcome.ReasonQuarantined)
	o.RetryAfter = remaining
	return o, refused
}

// suspect reports the death of an upstream that ran the request.
func (e *Entry) recordCrash(req *request, upstream model.Upstream, response *wire.Answer) {
	if e.opts.Quarantine != nil && response.Outcome.Reason == outcome.ReasonUpstreamCrashed {
		crash := quarantine.Death{Upstream: upstream.ID, Incarnation: upstream.Incarnation}
		e.opts.Quarantine.Died(req.fingerprint(), req.quarantineRequest(), crash)
	}
}

// clear frees the request of suspicion once its answer is whole.
func (e *Entry) clearCrashes(req *request, o outcome.Outcome) {
	if e.opts.Quarantine != nil && o.Kind == outcome.Answered && e.opts.Quarantine.Watching() {
		e.opts.Quarantine.Answered(req.fingerprint())
	}
}
