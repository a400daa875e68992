package entry

import (
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/quarantine"
	"github.com/dottereltiller/dottereltiller/wire"
)

// Quarantine keeps track of requests that crash upstreams and says which requests
// are quarantined, that is refused for some time.
type Quarantine interface {
	// HasRecords reports whether any request is suspected of crashing upstreams or
	// is quarantined. If not, RefusedFor need not be called.
	HasRecords() bool
	// RefusedFor reports whether a request is quarantined, and for how much longer.
	RefusedFor(quarantine.Fingerprint) (time.Duration, bool)
	// RecordCrash records that an upstream crashed while it ran a request.
	RecordCrash(quarantine.Fingerprint, quarantine.Request, quarantine.Crash)
	// RecordResponse records that a request was answered completely. The request is
	// then no longer suspected.
	RecordResponse(quarantine.Fingerprint)
}

// lazyFingerprint is a fingerprint that is computed on first use.
type lazyFingerprint struct {
	once  sync.Once
	value quarantine.Fingerprint
}

// fingerprintInput returns the parts of the request that its fingerprint covers.
func (r *request) fingerprintInput() quarantine.Request {
	return quarantine.Request{
		Service: r.service.Name,
		Caller:  r.caller.Name,
		Method:  r.http.Method,
		Target:  r.http.URL.RequestURI(),
		Body:    r.body.data,
		Length:  r.body.length,
	}
}

// fingerprint returns the fingerprint by which the quarantine identifies the request.
func (r *request) fingerprint() quarantine.Fingerprint {
	r.cachedFingerprint.once.Do(func() { r.cachedFingerprint.value = quarantine.FingerprintOf(r.fingerprintInput()) })
	return r.cachedFingerprint.value
}

// checkQuarantine reports whether the request is refused because it is quarantined. If
// so, it returns the outcome of the request.
func (e *Entry) checkQuarantine(req *request) (outcome.Outcome, bool) {
	if e.opts.Quarantine == nil || !e.opts.Quarantine.HasRecords() {
		return outcome.Outcome{}, false
	}
	remaining, refused := e.opts.Quarantine.RefusedFor(req.fingerprint())
	o := outcome.NotRunBecause(outcome.ReasonQuarantined)
	o.RetryAfter = remaining
	return o, refused
}

// recordCrash checks whether the response says that the upstream crashed while it ran
// the request. If so, recordCrash reports the crash to the quarantine.
func (e *Entry) recordCrash(req *request, upstream model.Upstream, response *wire.Result) {
	if e.opts.Quarantine != nil && response.Outcome.Reason == outcome.ReasonUpstreamCrashed {
		crash := quarantine.Crash{Upstream: upstream.ID, Incarnation: upstream.Incarnation}
		e.opts.Quarantine.RecordCrash(req.fingerprint(), req.fingerprintInput(), crash)
	}
}

// clearCrashes reports to the quarantine that the request was answered completely.
// The quarantine then forgets the crashes recorded for the request. clearCrashes does
// nothing for any outcome other than Answered.
func (e *Entry) clearCrashes(req *request, o outcome.Outcome) {
	if e.opts.Quarantine != nil && o.Kind == outcome.Answered {
		e.opts.Quarantine.RecordResponse(req.fingerprint())
	}
}
