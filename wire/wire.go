package wire

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// Call is one attempt to execute a caller's request. An entry sends it to a
// guard, or to the daemon that owns the request's idempotency key.
type Call struct {
	// ID identifies this attempt and is never used again. The response repeats
	// it.
	ID string
	// Method, Target, Host, Header, Body and ContentLength are those of the
	// caller's request. Target is the request target in origin form.
	// ContentLength is -1 when unknown. Body is nil for a request without a
	// body. The receiver of a Call owns Header and may change it.
	Method        string
	Target        string
	Host          string
	Header        http.Header
	Body          io.Reader
	ContentLength int64

	// Service is the service called, Group the group of callers that the
	// request is charged to.
	Service model.ServiceName
	Group   model.GroupName
	Caller  model.CallerName
	// Upstream and Incarnation identify the upstream process that is to execute
	// the request.
	Upstream    model.UpstreamID
	Incarnation model.Incarnation
	// Idempotent marks a request that may be executed more than once.
	Idempotent bool
	// Attempt counts the attempts for the request, from 0.
	Attempt int
	// Depth is the number of calls that this one is nested in: 0 unless an
	// upstream sent the request while executing another.
	Depth int
	// Key is the caller's idempotency key, or empty if the request has none.
	Key string
	// Timeout is the time left until the deadline when the call was sent.
	Timeout time.Duration
	// QueueTimeout is the longest time that the call may wait in the guard's
	// queue. A call that has not started by then is rejected with outcome
	// NotRun and reason "withdrawn". With 0 it is rejected unless it can start
	// at once. QueueTimeout is ignored unless HasQueueTimeout is set.
	QueueTimeout    time.Duration
	HasQueueTimeout bool
}

// Result is the outcome of a Call and, if there is one, the upstream's
// response.
type Result struct {
	Outcome outcome.Outcome
	// Status, Header, Body and ContentLength are the upstream's response. They
	// are meaningful only when Outcome is Answered. That outcome is final once
	// Body has been read to io.EOF. Any other read error means that the
	// response is truncated and its outcome Unknown; a caller that has already
	// been sent a part of the response must see it as truncated.
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64
	// Trailer is set once Body has been read to io.EOF.
	Trailer http.Header
	// Load is the exact load of the upstream, as reported by its guard. It is
	// present only if HasLoad is set.
	Load    model.Load
	HasLoad bool
}

// CancelOnClose makes closing the body also call cancel, and returns the
// result.
func (r *Result) CancelOnClose(cancel context.CancelFunc) *Result {
	r.Body = &cancelingBody{ReadCloser: r.Body, cancel: cancel}
	return r
}

// cancelingBody is a response body that cancels a context when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (b *cancelingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// NoResponse returns a Result with an outcome and no HTTP response.
func NoResponse(o outcome.Outcome) *Result {
	return &Result{Outcome: o, Body: http.NoBody, ContentLength: 0}
}
