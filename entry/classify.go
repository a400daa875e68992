package entry

import (
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/wire"
)

// classify determines the service, caller, group and deadline of a request, and reads
// its body. When the request must be refused, classify returns a nil request and the
// outcome of the refusal. Otherwise the outcome is nil.
func (e *Entry) classify(w http.ResponseWriter, r *http.Request) (*request, *outcome.Outcome) {
	config := e.opts.Config()
	if config == nil {
		return nil, refusedBecause(outcome.ReasonNotReady)
	}
	svc, ok := serviceOf(config.Set, r)
	if !ok {
		return nil, refusedBecause(outcome.ReasonNoService)
	}
	requester, reason := e.requesterOf(config.Set, r)
	if reason != outcome.ReasonNone {
		return nil, refusedBecause(reason)
	}
	group, ok := svc.GroupOf(requester.caller)
	if !ok {
		return nil, refusedBecause(outcome.ReasonForbidden)
	}
	timeout, ok := timeoutOf(r, svc.TimeoutOf(group))
	if !ok {
		return nil, refusedBecause(outcome.ReasonBadRequest)
	}
	timeout = requester.capTimeout(timeout)
	if r.ContentLength > e.opts.MaxBody {
		return nil, refusedBecause(outcome.ReasonTooLarge)
	}
	req := &request{
		http:       r,
		service:    svc,
		caller:     requester.caller,
		depth:      requester.depth,
		group:      group,
		idempotent: idempotentOf(r, svc),
		timeout:    timeout,
		deadline:   e.opts.Now().Add(timeout),
	}
	req.body, reason = readBody(http.MaxBytesReader(w, r.Body, e.opts.MaxBody), r.ContentLength)
	if reason != outcome.ReasonNone {
		return nil, refusedBecause(reason)
	}
	return req, nil
}

// refusedBecause returns the outcome of a request that is refused for the given reason.
func refusedBecause(r outcome.Reason) *outcome.Outcome {
	o := outcome.NotRunBecause(r)
	return &o
}

// serviceOf returns the service that the request's service header names. Without this
// header, it returns the service of the request's host. It reports false when there
// is no such service.
func serviceOf(set *policy.Set, r *http.Request) (*policy.Service, bool) {
	name := model.ServiceName(r.Header.Get(wire.HeaderService))
	if name == "" {
		var ok bool
		if name, ok = set.ServiceByHost(r.Host); !ok {
			return nil, false
		}
	}
	return set.Service(name)
}

// timeoutOf returns the timeout of a request: the value of its timeout header, but at
// most maxTimeout. Without this header it returns maxTimeout. timeoutOf reports false
// when the value of the header is not a duration above zero.
func timeoutOf(r *http.Request, maxTimeout time.Duration) (time.Duration, bool) {
	s := r.Header.Get(wire.HeaderTimeout)
	if s == "" {
		return maxTimeout, true
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		return 0, false
	}
	return min(d, maxTimeout), true
}

// idempotentOf reports whether a request may run more than once. The request's
// idempotent header decides. Without a valid value there, the configuration of the
// service decides.
func idempotentOf(r *http.Request, svc *policy.Service) bool {
	switch r.Header.Get(wire.HeaderIdempotent) {
	case "true":
		return true
	case "false":
		return false
	}
	return svc.Idempotent(r.Method, r.URL.Path)
}
