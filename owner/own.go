package owner

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dottereltiller/dottereltiller/core/claims"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/wire"
)

// retryAfter is what callers are advised to wait for a key that is in progress
// or cannot be settled yet.
const retryAfter = time.Second

// own answers a submission as the owner of its key.
func (s *Service) own(ctx context.Context, c *wire.Call) *wire.Result {
	key, err := claims.ParseKey(c.Key)
	if err != nil {
		return wire.NoResponse(outcome.NotRunBecause(outcome.ReasonKeyInvalid))
	}
	body, reason := readWhole(c.Body, s.opts.MaxBodyBytes)
	if reason != outcome.ReasonNone {
		return wire.NoResponse(outcome.NotRunBecause(reason))
	}
	c.Body, c.ContentLength = nil, int64(len(body))
	if len(body) > 0 {
		c.Body = bytes.NewReader(body)
	}
	req := claims.Request{
		ID:     claims.ID{Caller: c.Caller, Key: key},
		Group:  c.Group,
		Digest: digest(c, body),
	}
	b := s.begin(ctx, req, c)
	if b.verdict == claims.NotOwner {
		// The sender may have read a grant or a transfer that is not read here.
		s.refresh(ctx)
		b = s.begin(ctx, req, c)
	}
	s.metrics.verdict(b.verdict)
	switch b.verdict {
	case claims.Run:
		return first(ctx, b.run)
	case claims.InProgress:
		return follow(ctx, b.run, c.Timeout)
	case claims.Replay:
		return replay(b.retained, true)
	default:
		return wire.NoResponse(refusalOf(b.verdict))
	}
}

// begun is what became of a submission at the owner.
type begun struct {
	verdict claims.Decision
	// run is set for Execute and InProgress, retained for Replay.
	run      *run
	retained *claims.Answer
}

// begin claims the key of a submission and starts its run when it is the first.
func (s *Service) begin(ctx context.Context, req claims.Request, c *wire.Call) begun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b begun
	b.verdict, b.retained = s.table.Begin(s.ledger, req)
	switch b.verdict {
	case claims.Run:
		b.run = s.start(ctx, req.ID, c)
	case claims.InProgress:
		b.run = s.runs[req.ID]
	}
	return b
}

// first waits for the run that its submission started.
func first(ctx context.Context, r *run) *wire.Result {
	select {
	case <-r.ready:
	case <-ctx.Done():
		if r.abandon() {
			return wire.NoResponse(outcome.UnknownBecause(outcome.ReasonCancelled))
		}
		<-r.ready
	}
	if r.large != nil {
		return r.large
	}
	return r.result(false)
}

// followPart is the part of its time that a submission waits for an earlier one,
// in percent. The rest is left for telling the caller.
const followPart = 90

// follow waits for a run that an earlier submission started.
func follow(ctx context.Context, r *run, timeout time.Duration) *wire.Result {
	enough := time.NewTimer(timeout * followPart / 100)
	defer enough.Stop()
	select {
	case <-r.done:
		return r.result(true)
	case <-enough.C:
	case <-ctx.Done():
	}
	return wire.NoResponse(inProgress())
}

func (r *run) result(again bool) *wire.Result {
	switch {
	case r.outcome.Kind != outcome.Answered:
		return wire.NoResponse(r.outcome)
	case r.whole == nil:
		return wire.NoResponse(outcome.UnknownBecause(outcome.ReasonKeyAnswerGone))
	default:
		return replay(r.whole, again)
	}
}

func inProgress() outcome.Outcome {
	return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.ReasonKeyInProgress, RetryAfter: retryAfter}
}

// refusalOf gives the outcome of a submission that neither runs nor is
// answered. Only Full proves that the key has not run.
func refusalOf(v claims.Decision) outcome.Outcome {
	switch v {
	case claims.Full:
		return outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.ReasonQueueFull, RetryAfter: retryAfter}
	case claims.NotOwner:
		return outcome.UnknownBecause(outcome.ReasonKeyNotOwned)
	case claims.Sealed:
		return outcome.UnknownBecause(reasonMoving)
	case claims.Expired:
		return outcome.UnknownBecause(outcome.ReasonKeyExpired)
	case claims.AnswerGone:
		return outcome.UnknownBecause(outcome.ReasonKeyAnswerGone)
	case claims.Mismatch:
		return outcome.UnknownBecause(outcome.ReasonKeyMismatch)
	case claims.OutcomeUnknown:
		return outcome.UnknownBecause(outcome.ReasonKeyOutcome)
	default:
		return outcome.UnknownBecause(outcome.ReasonKeyOwnerLost)
	}
}

// readWhole reads a body of at most limit bytes.
func readWhole(r io.Reader, limit int64) ([]byte, outcome.Reason) {
	if r == nil {
		return nil, outcome.ReasonNone
	}
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	switch {
	case err != nil:
		return nil, outcome.ReasonBadRequest
	case int64(len(data)) > limit:
		return nil, outcome.ReasonTooLarge
	default:
		return data, outcome.ReasonNone
	}
}

// digest covers what makes two submissions the same request.
func digest(c *wire.Call, body []byte) claims.Digest {
	h := sha256.New()
	for _, part := range []string{string(c.Service), c.Method, c.Target, c.Header.Get("Content-Type")} {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	_, _ = h.Write(body)
	return claims.Digest(h.Sum(nil))
}

// ServeHTTP answers submissions that other daemons route to this owner.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := wire.ReadCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.Timeout)
	defer cancel()
	wire.WriteResult(w, s.own(ctx, c), c.ID)
}
