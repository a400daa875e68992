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

// writeAnswer answers a caller. A body that breaks off aborts the connection,
// so that a truncated answer never looks complete.
func writeResponse(w http.ResponseWriter, response *wire.Answer) {
	defer func() { _ = response.Body.Close() }()
	if response.Outcome.Kind != outcome.Answered {
		writeProblem(w, response.Outcome)
		return
	}
	wire.StripConnection(response.Header)
	stripDaemonHeaders(response.Header)
	maps.Copy(w.Header(), response.Header)
	w.Header().Set(wire.HeaderOutcome, outcome.Answered.String())
	w.WriteHeader(response.Status)
	if err := wire.CopyBody(w, response); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// stripOwn removes the headers that only daemons set towards callers, and those
// meant for daemons. An upstream may have copied them from a nested answer.
func stripDaemonHeaders(h http.Header) {
	for _, name := range []string{wire.HeaderOutcome, wire.HeaderReason, wire.HeaderCallToken, wire.HeaderRefused} {
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
	problemTypePrefix = "https://dottereltiller.example/problems/"
	// comeBack is the advice where a later try may help and nothing better is
	// known.
	defaultRetryAfter = time.Second
)

// titles are the short words for the outcomes that are no answers.
var titles = map[outcome.Kind]string{
	outcome.NotRun:  "The request did not run",
	outcome.Unknown: "It is not known whether the request ran",
}

func writeProblem(w http.ResponseWriter, o outcome.Outcome) {
	p := problem{
		Type:       problemTypePrefix + string(o.Reason),
		Title:      titles[o.Kind],
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

// retryAfter returns the advice in whole seconds, 0 for none.
func retryAfterSeconds(o outcome.Outcome) int {
	retryAfter := o.RetryAfter
	if status := statusOf(o); retryAfter <= 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		retryAfter = defaultRetryAfter
	}
	return int(math.Ceil(retryAfter.Seconds()))
}

// statuses are the statuses of reasons that have one of their own.
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
	outcome.ReasonKeyExpired:       http.StatusGone,
	outcome.ReasonKeyAnswerGone:    http.StatusGone,
	outcome.ReasonKeyNotOwned:      http.StatusServiceUnavailable,
	outcome.ReasonKeyInProgress:    http.StatusConflict,
	outcome.ReasonKeyMismatch:      http.StatusUnprocessableEntity,
}

// statusOf returns the status of an outcome that is no answer: the reason's
// own, else 503 for what did not run and 502 for what may have.
func statusOf(o outcome.Outcome) int {
	if status, ok := statusByReason[o.Reason]; ok {
		return status
	}
	if o.Kind == outcome.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
