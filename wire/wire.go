package wire

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// Call is one attempt on its way from an entry to a guard.
type Call struct {
	// ID binds the answer to this attempt. It is unique for ever.
	ID string
	// Method, Target, Host, Header, Body and ContentLength are the caller's
	// request. Target is the request target in origin form. ContentLength is
	// -1 when unknown. Body is nil when there is none. Whoever is handed the
	// Call owns Header and may change it.
	Method        string
	Target        string
	Host          string
	Header        http.Header
	Body          io.Reader
	ContentLength int64

	Service     model.ServiceName
	Group       model.GroupName
	Caller      model.CallerName
	Upstream    model.UpstreamID
	Incarnation model.Incarnation
	Idempotent  bool
	Attempt     int
	Depth       int
	// Key is the caller's idempotency key. Empty when there is none.
	Key string
	// Timeout is the time left to the deadline when the call was sent.
	Timeout time.Duration
	// QueueTimeout is how long the call may wait at the guard, counted only when
	// HasQueueTimeout is set. A call that has not started by then is given back as
	// "not run", withdrawn. Zero: start at once or give back at once.
	QueueTimeout    time.Duration
	HasQueueTimeout bool
}

// Result is what came back for a Call.
type Result struct {
	Outcome outcome.Outcome
	// Status, Header, Body and ContentLength are the upstream's response when
	// Outcome is Answered so far. The outcome is final when Body has been read
	// to io.EOF; any other read error makes it Unknown, or a truncated answer.
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64
	// Trailer is filled in when Body has been read to io.EOF.
	Trailer http.Header
	// Load is the guard's exact load; HasLoad tells whether it is present.
	Load    model.Load
	HasLoad bool
}

// CancelOnClose makes the closing of the body end a context as well, and returns
// the answer.
func (r *Result) CancelOnClose(cancel context.CancelFunc) *Result {
	r.Body = &cancelingBody{ReadCloser: r.Body, cancel: cancel}
	return r
}

// cancelingBody ends its context when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and ends the context.
func (b *cancelingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// NoResponse returns an Result without a response.
func NoResponse(o outcome.Outcome) *Result {
	return &Result{Outcome: o, Body: http.NoBody, ContentLength: 0}
}
