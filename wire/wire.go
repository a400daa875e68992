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
	// the ID.
	ID string
	// Method is the HTTP method of the caller's request.
	Method string
	// Target is the target of the caller's request in origin form.
	Target string
	// Host is the host of the caller's request.
	Host string
	// Header holds the headers of the caller's request. The receiver of a Call
	// owns Header and may change it.
	Header http.Header
	// Body is the body of the caller's request, or nil if it has none.
	Body io.Reader
	// ContentLength is the length of Body in bytes, or -1 if it is unknown.
	ContentLength int64

	// Service is the service called.
	Service model.ServiceName
	// Group is the group of callers that the request is charged to.
	Group model.GroupName
	// Caller is the caller, or empty if the caller is anonymous.
	Caller model.CallerName
	// Upstream is the upstream that is to execute the request.
	Upstream model.UpstreamID
	// Incarnation tells which process of the upstream is to execute the request:
	// it rises with every restart of the upstream.
	Incarnation model.Incarnation
	// Idempotent marks a request that may be executed more than once.
	Idempotent bool
	// Attempt is the number of this attempt among those for the request, from 0.
	Attempt int
	// Depth is the number of calls in which this call is nested. It is 0 unless
	// an upstream sent the request while it executed another one.
	Depth int
	// Key is the caller's idempotency key, or empty if the request has none.
	Key string
	// Timeout is the time that was left until the deadline of the request when the
	// call was sent.
	Timeout time.Duration
	// QueueTimeout is the longest time that the call may wait in the guard's
	// queue. A call that has not started within that time is rejected with outcome
	// NotRun and reason "withdrawn". With 0, a call that cannot start at once is
	// rejected.
	QueueTimeout time.Duration
	// HasQueueTimeout is set if QueueTimeout applies.
	HasQueueTimeout bool
}

// Result is the outcome of a Call and, if there is one, the upstream's
// response.
type Result struct {
	Outcome outcome.Outcome
	// Status is the status code of the upstream's response. Status, Header, Body
	// and ContentLength are meaningful only if Outcome is Answered.
	Status int
	// Header holds the headers of the upstream's response.
	Header http.Header
	// Body is the body of the upstream's response. The outcome Answered is final
	// once Body has been read to io.EOF. Any other read error means that the
	// response is truncated and that its outcome is Unknown. If a part of the
	// response has already been sent to the caller, the caller must see that the
	// response is truncated.
	Body io.ReadCloser
	// ContentLength is the length of Body in bytes, or -1 if it is unknown.
	ContentLength int64
	// Trailer is set once Body has been read to io.EOF.
	Trailer http.Header
	// Load is the exact load of the upstream, as reported by its guard. It is
	// meaningful only if HasLoad is set.
	Load model.Load
	// HasLoad is set if the guard reported a load.
	HasLoad bool
}

// CancelOnClose makes the Close method of the body call cancel too. It changes r
// and returns it.
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
