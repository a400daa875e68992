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

// handleSubmission answers a submission as the owner of its key.
func (s *Service) handleSubmission(ctx context.Context, c *wire.Call) *wire.Result {
	key, err := claims.ParseKey(c.Key)
	if err != nil {
		return wire.NoResponse(outcome.NotRunBecause(outcome.ReasonKeyInvalid))
	}
	body, reason := readBody(c.Body, s.opts.MaxBodyBytes)
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
		Digest: requestDigest(c, body),
	}
	b := s.beginSubmission(ctx, req, c)
	if b.decision == claims.NotOwner {
		// The sender may have read a grant or a transfer that is not read here.
		s.refresh(ctx)
		b = s.beginSubmission(ctx, req, c)
	}
	s.metrics.countDecision(b.decision)
	switch b.decision {
	case claims.Run:
		return awaitFirst(ctx, b.execution)
	case claims.InProgress:
		return awaitEarlier(ctx, b.execution, c.Timeout)
	case claims.Replay:
		return replayResponse(b.response, true)
	default:
		return wire.NoResponse(outcomeOf(b.decision))
	}
}

// beginResult is what became of a submission at the owner.
type beginResult struct {
	decision claims.Decision
	// execution is set for Execute and InProgress, retained for Replay.
	execution *execution
	response  *claims.Answer
}

// beginSubmission claims the key of a submission and starts its run when it is the first.
func (s *Service) beginSubmission(ctx context.Context, req claims.Request, c *wire.Call) beginResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b beginResult
	b.decision, b.response = s.table.Begin(s.ledger, req)
	switch b.decision {
	case claims.Run:
		b.execution = s.startExecution(ctx, req.ID, c)
	case claims.InProgress:
		b.execution = s.executions[req.ID]
	}
	return b
}

// awaitFirst waits for the run that its submission started.
func awaitFirst(ctx context.Context, r *execution) *wire.Result {
	select {
	case <-r.ready:
	case <-ctx.Done():
		if r.abandon() {
			return wire.NoResponse(outcome.UnknownBecause(outcome.ReasonCancelled))
		}
		<-r.ready
	}
	if r.streamed != nil {
		return r.streamed
	}
	return r.response(false)
}

// maxWaitPercent is the part of its time that a submission waits for an earlier one,
// in percent. The rest is left for telling the caller.
const maxWaitPercent = 90

// awaitEarlier waits for a run that an earlier submission started.
func awaitEarlier(ctx context.Context, r *execution, timeout time.Duration) *wire.Result {
	enough := time.NewTimer(timeout * maxWaitPercent / 100)
	defer enough.Stop()
	select {
	case <-r.done:
		return r.response(true)
	case <-enough.C:
	case <-ctx.Done():
	}
	return wire.NoResponse(inProgressOutcome())
}

func (r *execution) response(again bool) *wire.Result {
	switch {
	case r.outcome.Kind != outcome.Answered:
		return wire.NoResponse(r.outcome)
	case r.retained == nil:
		return wire.NoResponse(outcome.UnknownBecause(outcome.ReasonKeyAnswerGone))
	default:
		return replayResponse(r.retained, again)
	}
}

func inProgressOutcome() outcome.Outcome {
	return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.ReasonKeyInProgress, RetryAfter: retryAfter}
}

// outcomeOf gives the outcome of a submission that neither runs nor is
// answered. Only Full proves that the key has not run.
func outcomeOf(v claims.Decision) outcome.Outcome {
	switch v {
	case claims.Full:
		return outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.ReasonQueueFull, RetryAfter: retryAfter}
	case claims.NotOwner:
		return outcome.UnknownBecause(outcome.ReasonKeyNotOwned)
	case claims.Sealed:
		return outcome.UnknownBecause(reasonOwnerMoving)
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

// readBody reads a body of at most limit bytes.
func readBody(r io.Reader, limit int64) ([]byte, outcome.Reason) {
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

// requestDigest covers what makes two submissions the same request.
func requestDigest(c *wire.Call, body []byte) claims.Digest {
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
	wire.WriteResult(w, s.handleSubmission(ctx, c), c.ID)
}
