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

// retryAfter is the Retry-After value of a response if a later retry may succeed: the
// execution is in progress, the key has no known owner yet, the deadline has passed, or
// the claim table is full.
const retryAfter = time.Second

// handleSubmission decides on a submission as the owner of its key. It starts the
// execution of the request or waits for an earlier one if necessary, and returns the
// result. A submission with an invalid key, or a body that is too large or cannot be
// read, is not run.
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
	result := s.beginSubmission(ctx, req, c)
	if result.decision == claims.NotOwner {
		// The sender may have read a grant or a transfer that this daemon has
		// not read yet.
		s.refresh(ctx)
		result = s.beginSubmission(ctx, req, c)
	}
	s.metrics.countDecision(result.decision)
	switch result.decision {
	case claims.Run:
		return awaitFirst(ctx, result.execution)
	case claims.InProgress:
		return awaitEarlier(ctx, result.execution, c.Timeout)
	case claims.Replay:
		return replayResponse(result.response, true)
	default:
		return wire.NoResponse(outcomeOf(result.decision))
	}
}

// beginResult is the decision on a submission.
type beginResult struct {
	decision claims.Decision
	// execution is set if the decision is claims.Run or claims.InProgress.
	execution *execution
	// response is set if the decision is claims.Replay.
	response *claims.Answer
}

// beginSubmission asks the claim table for the decision on a submission. For the
// first submission of a key it claims the key and starts the execution.
func (s *Service) beginSubmission(ctx context.Context, req claims.Request, c *wire.Call) beginResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	var result beginResult
	result.decision, result.response = s.table.Begin(s.ledger, req)
	switch result.decision {
	case claims.Run:
		result.execution = s.startExecution(ctx, req.ID, c)
	case claims.InProgress:
		result.execution = s.executions[req.ID]
	}
	return result
}

// awaitFirst waits for an execution on behalf of the submission that started it, and
// returns the result. If the context ends first, the outcome is unknown, unless a
// streamed response has to be received.
func awaitFirst(ctx context.Context, e *execution) *wire.Result {
	select {
	case <-e.ready:
	case <-ctx.Done():
		if e.abandon() {
			return wire.NoResponse(outcome.UnknownBecause(outcome.ReasonCancelled))
		}
		<-e.ready
	}
	if e.streamed != nil {
		return e.streamed
	}
	return e.result(false)
}

// maxWaitPercent is the percentage of its timeout for which a later submission
// waits for the execution. The rest of the timeout is left for the response to the
// caller.
const maxWaitPercent = 90

// awaitEarlier waits for an execution that an earlier submission started, and
// returns its result. If the execution takes longer than maxWaitPercent of the timeout
// or the context ends, the outcome is unknown.
func awaitEarlier(ctx context.Context, e *execution, timeout time.Duration) *wire.Result {
	timer := time.NewTimer(timeout * maxWaitPercent / 100)
	defer timer.Stop()
	select {
	case <-e.done:
		return e.result(true)
	case <-timer.C:
	case <-ctx.Done():
	}
	return wire.NoResponse(inProgressOutcome())
}

// result returns the result of a finished execution. If replayed is set, a
// retained response is marked as replayed.
func (e *execution) result(replayed bool) *wire.Result {
	switch {
	case e.outcome.Kind != outcome.Answered:
		return wire.NoResponse(e.outcome)
	case e.retained == nil:
		return wire.NoResponse(outcome.UnknownBecause(outcome.ReasonKeyAnswerGone))
	default:
		return replayResponse(e.retained, replayed)
	}
}

func inProgressOutcome() outcome.Outcome {
	return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.ReasonKeyInProgress, RetryAfter: retryAfter}
}

// outcomeOf returns the outcome of a submission for which decision d means that it is
// neither executed nor gets a retained response. Only for claims.Full is the outcome
// "not run", because only this decision proves that the request has not been executed.
func outcomeOf(d claims.Decision) outcome.Outcome {
	switch d {
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

// readBody reads a body of at most limit bytes; r may be nil. It returns
// outcome.ReasonTooLarge if the body is larger, outcome.ReasonBadRequest if the body
// cannot be read, and otherwise outcome.ReasonNone.
func readBody(r io.Reader, limit int64) ([]byte, outcome.Reason) {
	if r == nil {
		return nil, outcome.ReasonNone
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	switch {
	case err != nil:
		return nil, outcome.ReasonBadRequest
	case int64(len(body)) > limit:
		return nil, outcome.ReasonTooLarge
	default:
		return body, outcome.ReasonNone
	}
}

// requestDigest hashes the parts of a request that must be the same in all
// submissions of a key.
func requestDigest(c *wire.Call, body []byte) claims.Digest {
	h := sha256.New()
	for _, field := range []string{string(c.Service), c.Method, c.Target, c.Header.Get("Content-Type")} {
		_, _ = io.WriteString(h, strconv.Itoa(len(field))+":"+field)
	}
	_, _ = h.Write(body)
	return claims.Digest(h.Sum(nil))
}

// ServeHTTP handles submissions from other daemons. It responds with status 400 to a
// request that wire.ReadCall cannot read.
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
