package owner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"

	"github.com/dottereltiller/dottereltiller/core/claims"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/wire"
)

// execution is one execution of a claimed request.
type execution struct {
	// ready is closed once streamed or outcome is set.
	ready chan struct{}
	// done is closed once the outcome is recorded in the claim.
	done chan struct{}
	// outcome is the outcome of the execution. It is set before done is closed.
	outcome outcome.Outcome
	// retained is the response for retries. It is nil if there is no response
	// or the response is too large to retain. It is set before done is closed.
	retained *claims.Answer
	// streamed is a response that is too large to retain and is streamed to the
	// first submission instead. It is set before ready is closed. It is nil in these
	// cases:
	//   - There is no response.
	//   - The response is small enough to retain.
	//   - The first submission has stopped waiting.
	streamed *wire.Result

	mu sync.Mutex
	// stoppedWaiting is set when the first submission has stopped waiting.
	stoppedWaiting bool
	// mustReceive is set when the first submission was still waiting for the streamed
	// response. It then has to receive and close that response.
	mustReceive bool
}

// startExecution starts the execution of a claimed request, for at most c.Timeout. The
// execution continues if the caller disconnects, because later submissions of the key
// need the outcome too. s.mu is held.
func (s *Service) startExecution(ctx context.Context, id claims.ID, c *wire.Call) *execution {
	e := &execution{ready: make(chan struct{}), done: make(chan struct{})}
	s.executions[id] = e
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Timeout)
		result := s.opts.Execute(ctx, c)
		s.complete(id, e, result, cancel)
	}()
	return e
}

// complete records the result of an execution, so that the submissions that wait for it
// can receive it. A response that is too large to retain is streamed to the first
// submission, and the execution ends when the response has been read or closed. If the
// first submission has stopped waiting or the response cannot be read, the outcome is
// unknown.
func (s *Service) complete(id claims.ID, e *execution, result *wire.Result, cancel context.CancelFunc) {
	if result.Outcome.Kind != outcome.Answered {
		_ = result.Body.Close()
		cancel()
		s.recordOutcome(id, e, result.Outcome, nil)
		close(e.ready)
		return
	}
	bodyStart, err := io.ReadAll(io.LimitReader(result.Body, s.opts.MaxResponseBytes+1))
	if err == nil && int64(len(bodyStart)) <= s.opts.MaxResponseBytes {
		_ = result.Body.Close()
		cancel()
		s.recordOutcome(id, e, outcome.ResponseComplete(), &claims.Answer{Status: result.Status, Header: result.Header, Body: bodyStart, Trailer: result.Trailer})
		close(e.ready)
		return
	}
	streamed := &streamedBody{Reader: io.MultiReader(bytes.NewReader(bodyStart), result.Body), body: result.Body}
	streamed.onEnd = func(o outcome.Outcome) {
		cancel()
		s.recordOutcome(id, e, o, nil)
	}
	result.Body = streamed
	if err == nil && e.offerStreamed() {
		e.streamed = result
	} else {
		_ = streamed.Close()
	}
	close(e.ready)
}

// offerStreamed reports whether the first submission is still waiting. If so, it sets
// mustReceive: the first submission must then receive the streamed response and close it.
func (e *execution) offerStreamed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mustReceive = !e.stoppedWaiting
	return e.mustReceive
}

// abandon records that the first submission wants to stop waiting. It returns false if
// the first submission must go on waiting, because it has to receive and close the
// streamed response.
func (e *execution) abandon() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stoppedWaiting = true
	return !e.mustReceive
}

// recordOutcome records the outcome and the retained response of an execution in the
// claim of its key and in e, then closes e.done. The execution is no longer in flight.
func (s *Service) recordOutcome(id claims.ID, e *execution, o outcome.Outcome, retained *claims.Answer) {
	s.mu.Lock()
	s.table.Finish(id, o.Kind, retained)
	delete(s.executions, id)
	s.mu.Unlock()
	e.outcome, e.retained = o, retained
	close(e.done)
}

// streamedBody is the body of a response that is streamed to the first
// submission. The execution ends when the body has been read or closed.
type streamedBody struct {
	io.Reader
	body io.Closer
	// onEnd is called once, with the outcome of the execution.
	onEnd func(outcome.Outcome)
	once  sync.Once
}

// Read implements io.Reader. At the end of the response it ends the execution with the
// outcome answered. On an error it ends the execution with the outcome unknown.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.once.Do(func() { b.onEnd(outcome.ResponseComplete()) })
	case err != nil:
		b.once.Do(func() { b.onEnd(outcome.UnknownBecause(outcome.ReasonTruncated)) })
	}
	return n, err
}

// Close closes the body. If the response has not been read to its end, Close ends the
// execution with the outcome unknown.
func (b *streamedBody) Close() error {
	err := b.body.Close()
	b.once.Do(func() { b.onEnd(outcome.UnknownBecause(outcome.ReasonTruncated)) })
	return err
}

// replayResponse returns a retained response as a result. If replayed is set, the
// result has wire.HeaderReplayed, which tells the caller that the response is that of an
// earlier submission.
func replayResponse(retained *claims.Answer, replayed bool) *wire.Result {
	h := http.Header(maps.Clone(retained.Header))
	if h == nil {
		h = make(http.Header)
	}
	if replayed {
		h.Set(wire.HeaderReplayed, strconv.FormatBool(true))
	}
	return &wire.Result{
		Outcome:       outcome.ResponseComplete(),
		Status:        retained.Status,
		Header:        h,
		Body:          io.NopCloser(bytes.NewReader(retained.Body)),
		ContentLength: int64(len(retained.Body)),
		Trailer:       retained.Trailer,
	}
}
