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

// execution is one run of a claimed request.
type execution struct {
	// ready is closed when first or outcome is set, done when the claim has
	// been finished.
	ready chan struct{}
	done  chan struct{}
	// outcome and whole are set before done is closed. whole is nil when the
	// answer was too large to retain.
	outcome  outcome.Outcome
	retained *claims.Answer
	// streamed is an answer that is passed on to the first submission as it
	// arrives, set before ready is closed.
	streamed *wire.Result

	mu        sync.Mutex
	abandoned bool
	accepted  bool
}

// startExecution runs a claimed request to its end, whatever becomes of its caller: the
// outcome is owed to later submissions too.
func (s *Service) startExecution(ctx context.Context, id claims.ID, c *wire.Call) *execution {
	r := &execution{ready: make(chan struct{}), done: make(chan struct{})}
	s.executions[id] = r
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Timeout)
		a := s.opts.Execute(ctx, c)
		s.complete(id, r, a, cancel)
	}()
	return r
}

// complete takes in the answer of a run. An answer too large to retain goes on to
// the first submission; the run ends when that has been read.
func (s *Service) complete(id claims.ID, r *execution, a *wire.Result, cancel context.CancelFunc) {
	if a.Outcome.Kind != outcome.Answered {
		_ = a.Body.Close()
		cancel()
		s.finish(id, r, a.Outcome, nil)
		close(r.ready)
		return
	}
	head, err := io.ReadAll(io.LimitReader(a.Body, s.opts.MaxResponseBytes+1))
	if err == nil && int64(len(head)) <= s.opts.MaxResponseBytes {
		_ = a.Body.Close()
		cancel()
		s.finish(id, r, outcome.Done(), &claims.Answer{Status: a.Status, Header: a.Header, Body: head, Trailer: a.Trailer})
		close(r.ready)
		return
	}
	rest := &streamedBody{Reader: io.MultiReader(bytes.NewReader(head), a.Body), body: a.Body}
	rest.onEnd = func(o outcome.Outcome) {
		cancel()
		s.finish(id, r, o, nil)
	}
	a.Body = rest
	if err == nil && r.offerStreamed() {
		r.streamed = a
	} else {
		_ = rest.Close()
	}
	close(r.ready)
}

// offerStreamed reports whether the first submission still waits for a large answer; it
// must then close it.
func (r *execution) offerStreamed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = !r.abandoned
	return r.accepted
}

// abandon tells that the first submission has gone. It reports false when a
// large answer has been offered to it already.
func (r *execution) abandon() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abandoned = true
	return !r.accepted
}

func (s *Service) finish(id claims.ID, r *execution, o outcome.Outcome, whole *claims.Answer) {
	s.mu.Lock()
	s.table.Finish(id, o.Kind, whole)
	delete(s.executions, id)
	s.mu.Unlock()
	r.outcome, r.retained = o, whole
	close(r.done)
}

// streamedBody is a large answer on its way to the first submission. The run ends
// with it.
type streamedBody struct {
	io.Reader
	body  io.Closer
	onEnd func(outcome.Outcome)
	once  sync.Once
}

// Read reads on and ends the run at the end of the answer.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.once.Do(func() { b.onEnd(outcome.Done()) })
	case err != nil:
		b.once.Do(func() { b.onEnd(outcome.UnknownBecause(outcome.ReasonTruncated)) })
	}
	return n, err
}

// Close gives up what is unread. The request may or may not have run.
func (b *streamedBody) Close() error {
	err := b.body.Close()
	b.once.Do(func() { b.onEnd(outcome.UnknownBecause(outcome.ReasonTruncated)) })
	return err
}

// replayResponse returns a retained answer.
func replayResponse(a *claims.Answer, again bool) *wire.Result {
	h := http.Header(maps.Clone(a.Header))
	if h == nil {
		h = make(http.Header)
	}
	if again {
		h.Set(wire.HeaderReplayed, strconv.FormatBool(true))
	}
	return &wire.Result{
		Outcome:       outcome.Done(),
		Status:        a.Status,
		Header:        h,
		Body:          io.NopCloser(bytes.NewReader(a.Body)),
		ContentLength: int64(len(a.Body)),
		Trailer:       a.Trailer,
	}
}
