package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/hop"
	"github.com/dottereltiller/dottereltiller/identity"
	"github.com/dottereltiller/dottereltiller/settings"
	"github.com/dottereltiller/dottereltiller/standin"
	"github.com/dottereltiller/dottereltiller/wire"
)

// Reply is the result of a request as the caller sees it.
type Reply struct {
	// Kind says whether the request was answered, was not run, or has an unknown
	// outcome.
	Kind outcome.Kind
	// Reason says why the request was not answered.
	Reason string
	// Wrong describes how the response differs from the expected one. It is
	// empty if the response is correct or Source.Verify is not set.
	Wrong string
}

// HTTPSender is a Sender that uses HTTP.
type HTTPSender struct {
	client *hop.Client
}

const (
	maxConns     = 16 << 10
	maxIdleConns = 1024
	dialTimeout  = 5 * time.Second
	// reasonNoOutcome is the Reason for a response without an outcome header.
	reasonNoOutcome = "no-outcome"
)

// NewHTTPSender returns an HTTPSender. It uses TLS if files names a certificate
// authority, and plaintext otherwise. An error means that the files cannot be used.
// Call Close when done.
func NewHTTPSender(files settings.TLS) (*HTTPSender, error) {
	dial, err := identity.CallerDialer("tls", files, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &HTTPSender{client: hop.NewClient(hop.Options{
		MaxConns: maxConns, MaxIdleConns: maxIdleConns, Dial: dial,
	})}, nil
}

// Close closes idle connections.
func (s *HTTPSender) Close() { s.client.CloseIdle() }

// Send implements Sender.
func (s *HTTPSender) Send(ctx context.Context, r *Request) Reply {
	body := requestBody(r)
	resp, o, err := s.client.Do(ctx, hop.Request{
		Address:       r.Target.Address,
		Method:        r.Method,
		Target:        r.Path,
		Host:          r.Target.Address,
		Header:        requestHeader(r),
		Body:          strings.NewReader(body),
		ContentLength: int64(len(body)),
	})
	if err != nil {
		return Reply{Kind: o.Kind, Reason: string(o.Reason)}
	}
	defer func() { _ = resp.Body.Close() }()
	if !r.Verify {
		_, err = io.Copy(io.Discard, resp.Body)
		return newReply(resp, err)
	}
	got, err := io.ReadAll(resp.Body)
	reply := newReply(resp, err)
	if want := r.Name + " " + body; reply.Kind == outcome.Answered && string(got) != want {
		reply.Wrong = fmt.Sprintf("got %q for %q", truncate(string(got)), truncate(want))
	}
	return reply
}

// requestBody returns a body of BodyBytes bytes. It consists of repetitions of the
// request's name, so that Source.Verify detects a response to another request.
func requestBody(r *Request) string {
	if r.BodyBytes <= 0 {
		return ""
	}
	return strings.Repeat(r.Name+".", r.BodyBytes/(len(r.Name)+1)+1)[:r.BodyBytes]
}

func requestHeader(r *Request) http.Header {
	h := make(http.Header, 8)
	h.Set(wire.HeaderService, string(r.Service))
	h.Set(standin.HeaderRequest, r.Name)
	if r.Cost > 0 {
		h.Set(standin.HeaderServiceTime, time.Duration(r.Cost).String())
	}
	if r.Deadline > 0 {
		h.Set(wire.HeaderTimeout, time.Duration(r.Deadline).String())
	}
	if r.Idempotent != nil {
		h.Set(wire.HeaderIdempotent, strconv.FormatBool(*r.Idempotent))
	}
	if r.Token != "" {
		h.Set("Authorization", "Bearer "+r.Token)
	}
	if r.Key != "" {
		h.Set(wire.HeaderIdempotencyKey, r.Key)
	}
	return h
}

// newReply returns the outcome and the reason from the response headers. err is the
// error from reading the body. If err is not nil, the response is truncated, and its
// outcome is unknown whatever the headers say.
func newReply(resp *http.Response, err error) Reply {
	if err != nil {
		return Reply{Kind: outcome.Unknown, Reason: string(outcome.ReasonTruncated)}
	}
	kind, ok := outcome.ParseKind(resp.Header.Get(wire.HeaderOutcome))
	if !ok {
		return Reply{Kind: outcome.Unknown, Reason: reasonNoOutcome}
	}
	return Reply{Kind: kind, Reason: resp.Header.Get(wire.HeaderReason)}
}

// maxQuotedLength is the maximum length, in bytes, of a body quoted in Reply.Wrong.
const maxQuotedLength = 80

func truncate(s string) string {
	if len(s) > maxQuotedLength {
		return s[:maxQuotedLength] + "..."
	}
	return s
}
