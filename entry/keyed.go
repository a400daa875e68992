package entry

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/dottereltiller/dottereltiller/core/claims"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/wire"
)

// KeyedForwarder forwards non-idempotent calls that have an idempotency key to
// the daemon that owns the key. The body is passed separately from the call, since
// the body may have to be sent more than once.
type KeyedForwarder interface {
	// Submit forwards a call and returns the response. The caller must close the
	// response's body.
	Submit(ctx context.Context, c *wire.Call, body []byte) *wire.Result
}

// defaultMaxKeyedBody is the default of Options.MaxKeyedBody, in bytes.
const defaultMaxKeyedBody = 256 << 10

// forwardOrSubmit forwards a request and returns the response. A non-idempotent request
// with an idempotency key is forwarded to the daemon that owns the key. Any other
// request is forwarded to an upstream.
func (e *Entry) forwardOrSubmit(ctx context.Context, req *request) *wire.Result {
	if req.idempotent || len(req.http.Header[wire.HeaderIdempotencyKey]) == 0 {
		return e.forward(ctx, req)
	}
	return e.submitKeyed(ctx, req)
}

// submitKeyed forwards a request to the daemon that owns the idempotency key of the
// request. It refuses a request with an invalid key or more than one key, and a request
// whose body is larger than Options.MaxKeyedBody or cannot be read.
func (e *Entry) submitKeyed(ctx context.Context, req *request) *wire.Result {
	if e.opts.Keyed == nil {
		return wire.NoResponse(outcome.NotRunBecause(outcome.ReasonNotReady))
	}
	keys := req.http.Header[wire.HeaderIdempotencyKey]
	key, err := claims.ParseKey(keys[0])
	if err != nil || len(keys) > 1 {
		return wire.NoResponse(outcome.NotRunBecause(outcome.ReasonKeyInvalid))
	}
	body, reason := req.body.readAll(e.opts.MaxKeyedBody)
	if reason != outcome.ReasonNone {
		return wire.NoResponse(outcome.NotRunBecause(reason))
	}
	c := req.call(model.Upstream{}, 0)
	c.Body = nil
	c.Key = key.String()
	c.Timeout = req.timeout
	return e.opts.Keyed.Submit(ctx, c, body)
}

// readAll returns the complete body and ReasonNone. When the body is longer than maxBytes
// bytes or cannot be read, readAll returns the reason to refuse the request.
func (b *body) readAll(maxBytes int64) ([]byte, outcome.Reason) {
	if b.length > maxBytes {
		return nil, outcome.ReasonTooLarge
	}
	if b.stream == nil {
		return b.data, outcome.ReasonNone
	}
	data, err := io.ReadAll(io.LimitReader(b.stream, maxBytes+1))
	switch {
	case err != nil:
		return nil, bodyErrorReason(err)
	case int64(len(data)) > maxBytes:
		return nil, outcome.ReasonTooLarge
	default:
		return data, outcome.ReasonNone
	}
}

// bufferBody reads r completely and returns a body that can be replayed. If r is nil, the
// body is empty.
func bufferBody(r io.Reader) (*body, error) {
	if r == nil {
		return &body{}, nil
	}
	data, err := io.ReadAll(r)
	return &body{data: data, length: int64(len(data))}, err
}

// ForwardKeyed forwards a call with an idempotency key to an upstream, in the same way
// as a request that the caller has sent to this entry. This daemon must own the key,
// and must have claimed the key for the call; see package claims.
func (e *Entry) ForwardKeyed(ctx context.Context, c *wire.Call) *wire.Result {
	config := e.opts.Config()
	if config == nil {
		return wire.NoResponse(outcome.NotRunBecause(outcome.ReasonNotReady))
	}
	svc, ok := config.Set.Service(c.Service)
	if !ok {
		return wire.NoResponse(outcome.NotRunBecause(outcome.ReasonNoService))
	}
	target, err := url.ParseRequestURI(c.Target)
	if err != nil {
		return wire.NoResponse(outcome.NotRunBecause(outcome.ReasonBadRequest))
	}
	buffered, err := bufferBody(c.Body)
	if err != nil {
		return wire.NoResponse(outcome.NotRunBecause(outcome.ReasonBadRequest))
	}
	h := c.Header.Clone()
	h.Set(wire.HeaderIdempotencyKey, c.Key)
	return e.forward(ctx, &request{
		http:     (&http.Request{Method: c.Method, URL: target, Host: c.Host, Header: h}).WithContext(ctx),
		service:  svc,
		caller:   policy.Caller{Name: c.Caller},
		group:    c.Group,
		timeout:  c.Timeout,
		deadline: e.opts.Now().Add(c.Timeout),
		body:     buffered,
		depth:    c.Depth,
	})
}
