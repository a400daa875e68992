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

// Reply is what a caller was told.
type Reply struct {
	Kind outcome.Kind
	// Reason is empty when the request was answered.
	Reason string
	// Wrong tells in what way the answer is not the whole answer to the
	// request. Empty when it is, or when that is not checked.
	Wrong string
}

// HTTPSender sends requests to daemons, each exactly once.
type HTTPSender struct {
	client *hop.Client
}

const (
	senderConns = 16 << 10
	senderIdle  = 1024
	dialTimeout = 5 * time.Second
	// noOutcome is the reason of an answer that names no outcome.
	noOutcome = "no-outcome"
)

// NewHTTPSender returns an HTTPSender that connects as the files tell, in
// plaintext when they name none. Close ends it.
func NewHTTPSender(files settings.TLS) (*HTTPSender, error) {
	dial, err := identity.CallerDialer("tls", files, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &HTTPSender{client: hop.NewClient(hop.Options{
		MaxConns: senderConns, MaxIdleConns: senderIdle, Dial: dial,
	})}, nil
}

// Close closes idle connections.
func (s *HTTPSender) Close() { s.client.CloseIdle() }

// Send implements Sender.
func (s *HTTPSender) Send(ctx context.Context, r *Request) Reply {
	body := bodyOf(r)
	resp, o, err := s.client.Do(ctx, hop.Request{
		Address:       r.Target.Address,
		Method:        r.Method,
		Target:        r.Path,
		Host:          r.Target.Address,
		Header:        headerOf(r),
		Body:          strings.NewReader(body),
		ContentLength: int64(len(body)),
	})
	if err != nil {
		return Reply{Kind: o.Kind, Reason: string(o.Reason)}
	}
	defer func() { _ = resp.Body.Close() }()
	if !r.Verify {
		_, err = io.Copy(io.Discard, resp.Body)
		return replyOf(resp, err)
	}
	answer, err := io.ReadAll(resp.Body)
	reply := replyOf(resp, err)
	if want := r.Name + " " + body; reply.Kind == outcome.Answered && string(answer) != want {
		reply.Wrong = fmt.Sprintf("got %q for %q", cut(string(answer)), cut(want))
	}
	return reply
}

func bodyOf(r *Request) string {
	if r.BodyBytes <= 0 {
		return ""
	}
	return strings.Repeat(r.Name+".", r.BodyBytes/(len(r.Name)+1)+1)[:r.BodyBytes]
}

func headerOf(r *Request) http.Header {
	h := make(http.Header, 8)
	h.Set(wire.HeaderService, string(r.Service))
	h.Set(standin.HeaderRequest, r.Name)
	if r.Cost > 0 {
		h.Set(standin.HeaderCost, time.Duration(r.Cost).String())
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

// replyOf reads the outcome that the daemon states. An answer that breaks off
// is unknown, whatever its headers say.
func replyOf(resp *http.Response, err error) Reply {
	if err != nil {
		return Reply{Kind: outcome.Unknown, Reason: string(outcome.ReasonTruncated)}
	}
	kind, ok := outcome.ParseKind(resp.Header.Get(wire.HeaderOutcome))
	if !ok {
		return Reply{Kind: outcome.Unknown, Reason: noOutcome}
	}
	return Reply{Kind: kind, Reason: resp.Header.Get(wire.HeaderReason)}
}

const maxQuoted = 80

func cut(s string) string {
	if len(s) > maxQuoted {
		return s[:maxQuoted] + "..."
	}
	return s
}
