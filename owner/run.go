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

// run is one run of a claimed request.
type run struct {
	// ready is closed when first or outcome is set, done when the claim has
	// been finished.
	ready chan struct{}
	done  chan struct{}
	// outcome and whole are set before done is closed. whole is nil when the
	// answer was too large to retain.
	outcome outcome.Outcome
	whole   *claims.Answer
	// large is an answer that is passed on to the first submission as it
	// arrives, set before ready is closed.
	large *wire.Result

	mu        sync.Mutex
	abandoned bool
	taken     bool
}

// start runs a claimed request to its end, whatever becomes of its caller: the
// outcome is owed to later submissions too.
func (s *Service) start(ctx context.Context, id claims.ID, c *wire.Call) *run {
	r := &run{ready: make(chan struct{}), done: make(chan struct{})}
	s.runs[id] = r
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Timeout)
		a := s.opts.Execute(ctx, c)
		s.settle(id, r, a, cancel)
	}()
	return r
}

// settle takes in the answer of a run. An answer too large to retain goes on to
// the first submission; the run ends when that has been read.
func (s *Service) settle(id claims.ID, r *run, a *wire.Result, cancel context.CancelFunc) {
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
	rest := &restOfBody{Reader: io.MultiReader(bytes.NewReader(head), a.Body), body: a.Body}
	rest.end = func(o outcome.Outcome) {
		cancel()
		s.finish(id, r, o, nil)
	}
	a.Body = rest
	if err == nil && r.offer() {
		r.large = a
	} else {
		_ = rest.Close()
	}
	close(r.ready)
}

// offer reports whether the first submission still waits for a large answer; it
// must then close it.
func (r *run) offer() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken = !r.abandoned
	return r.taken
}

// abandon tells that the first submission has gone. It reports false when a
// large answer has been offered to it already.
func (r *run) abandon() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abandoned = true
	return !r.taken
}

func (s *Service) finish(id claims.ID, r *run, o outcome.Outcome, whole *claims.Answer) {
	s.mu.Lock()
	s.table.Finish(id, o.Kind, whole)
	delete(s.runs, id)
	s.mu.Unlock()
	r.outcome, r.whole = o, whole
	close(r.done)
}

// restOfBody is a large answer on its way to the first submission. The run ends
// with it.
type restOfBody struct {
	io.Reader
	body io.Closer
	end  func(outcome.Outcome)
	once sync.Once
}

// Read reads on and ends the run at the end of the answer.
func (b *restOfBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.once.Do(func() { b.end(outcome.Done()) })
	case err != nil:
		b.once.Do(func() { b.end(outcome.UnknownBecause(outcome.ReasonTruncated)) })
	}
	return n, err
}

// Close gives up what is unread. The request may or may not have run.
func (b *restOfBody) Close() error {
	err := b.body.Close()
	b.once.Do(func() { b.end(outcome.UnknownBecause(outcome.ReasonTruncated)) })
	return err
}

// replay returns a retained answer.
func replay(a *claims.Answer, again bool) *wire.Result {
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
