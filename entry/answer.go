package entry

import (
	"encoding/json"
	"maps"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/wire"
)

// writeResponse writes the response to the caller and closes the response's body. For
// an outcome other than Answered it writes a problem response. When the upstream's body
// is truncated, writeResponse aborts the connection to the caller, so that the caller
// does not take the truncated response for a complete one.
func writeResponse(w http.ResponseWriter, response *wire.Result) {
	defer func() { _ = response.Body.Close() }()
	if response.Outcome.Kind != outcome.Answered {
		writeProblem(w, response.Outcome)
		return
	}
	wire.StripHopByHopHeaders(response.Header)
	stripDaemonHeaders(response.Header)
	maps.Copy(w.Header(), response.Header)
	w.Header().Set(wire.HeaderOutcome, outcome.Answered.String())
	w.WriteHeader(response.Status)
	if err := wire.CopyBody(w, response); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// stripDaemonHeaders removes headers from an upstream's response: those that only a
// daemon may set on responses to callers, and those that are meant for daemons only.
// The upstream may have copied such headers from the response to a nested call.
func stripDaemonHeaders(h http.Header) {
	for _, name := range []string{wire.HeaderOutcome, wire.HeaderReason, wire.HeaderCallToken, wire.HeaderRefused, wire.HeaderRateLimit, wire.HeaderLeaving} {
		h.Del(name)
	}
}

// problem is an RFC 9457 problem body.
type problem struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail"`
	Outcome string         `json:"outcome"`
	Reason  outcome.Reason `json:"reason"`
	// RetryAfter is in seconds.
	RetryAfter int `json:"retry_after,omitempty"`
}

const (
	// problemTypePrefix precedes the reason in the type URI of a problem.
	problemTypePrefix = "https://dottereltiller.example/problems/"
	// defaultRetryAfter is the Retry-After value of a response with status 429 or 503
	// whose outcome sets no RetryAfter.
	defaultRetryAfter = time.Second
)

// problemTitleByKind holds the problem title of each kind of outcome other than Answered.
var problemTitleByKind = map[outcome.Kind]string{
	outcome.NotRun:  "The request did not run",
	outcome.Unknown: "It is not known whether the request ran",
}

// writeProblem writes a problem response for an outcome other than Answered.
func writeProblem(w http.ResponseWriter, o outcome.Outcome) {
	p := problem{
		Type:       problemTypePrefix + string(o.Reason),
		Title:      problemTitleByKind[o.Kind],
		Status:     statusOf(o),
		Detail:     o.Reason.Detail(),
		Outcome:    o.Kind.String(),
		Reason:     o.Reason,
		RetryAfter: retryAfterSeconds(o),
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(wire.HeaderOutcome, p.Outcome)
	h.Set(wire.HeaderReason, string(o.Reason))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// retryAfterSeconds returns the value of the Retry-After header in whole seconds,
// rounded up. It returns 0 when the response must have no such header.
func retryAfterSeconds(o outcome.Outcome) int {
	retryAfter := o.RetryAfter
	if status := statusOf(o); retryAfter <= 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		retryAfter = defaultRetryAfter
	}
	return int(math.Ceil(retryAfter.Seconds()))
}

// statusByReason holds the HTTP status of the reasons whose status does not depend on
// the kind of the outcome. All other reasons have status 502 or 503 (see statusOf). Most
// of the statuses here are more specific than these two.
var statusByReason = map[outcome.Reason]int{
	outcome.ReasonNoService:        http.StatusNotFound,
	outcome.ReasonUnauthenticated:  http.StatusUnauthorized,
	outcome.ReasonForbidden:        http.StatusForbidden,
	outcome.ReasonBadRequest:       http.StatusBadRequest,
	outcome.ReasonKeyInvalid:       http.StatusBadRequest,
	outcome.ReasonDepth:            http.StatusBadRequest,
	outcome.ReasonUpgradeForbidden: http.StatusNotImplemented,
	outcome.ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	outcome.ReasonDeadline:         http.StatusGatewayTimeout,
	outcome.ReasonCancelled:        http.StatusGatewayTimeout,
	outcome.ReasonQueueFull:        http.StatusTooManyRequests,
	outcome.ReasonShed:             http.StatusTooManyRequests,
	outcome.ReasonCeiling:          http.StatusTooManyRequests,
	outcome.ReasonOverQuota:        http.StatusTooManyRequests,
	outcome.ReasonKeyExpired:       http.StatusGone,
	outcome.ReasonKeyAnswerGone:    http.StatusGone,
	outcome.ReasonKeyNotOwned:      http.StatusServiceUnavailable,
	outcome.ReasonKeyInProgress:    http.StatusConflict,
	outcome.ReasonKeyMismatch:      http.StatusUnprocessableEntity,
}

// statusOf returns the HTTP status for an outcome other than Answered. If statusByReason
// has a status for the reason of the outcome, statusOf returns that status. Otherwise it
// returns 503 when the request did not run, and 502 when the request may have run.
func statusOf(o outcome.Outcome) int {
	if status, ok := statusByReason[o.Reason]; ok {
		return status
	}
	if o.Kind == outcome.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
