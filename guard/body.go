package guard

import (
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/wire"
)

// slotReleasingBody is a response body that releases the slot that the call holds at
// the upstream. It does so when the body has been read completely, reading has failed, the
// body has been closed, or the call's context has ended, whichever is first.
type slotReleasingBody struct {
	body io.ReadCloser
	// releaseSlot releases the slot. o is the outcome of the call, and failed says
	// whether the attempt failed.
	releaseSlot func(o outcome.Outcome, failed bool)
	// failed is set when the upstream answered with a server error.
	failed bool
	once   sync.Once
	// stopWatching unregisters the function that runs when the call's context
	// ends.
	stopWatching func() bool
}

// releaseAtContextEnd registers a function that releases the slot when ctx, the call's
// context, ends. Without this function, a caller that does not read the body could hold
// the slot for ever. The end of the context also cancels the request to the upstream.
func (b *slotReleasingBody) releaseAtContextEnd(ctx context.Context) {
	b.stopWatching = context.AfterFunc(ctx, func() { b.releaseOnce(outcome.UnknownBecause(outcome.ReasonCancelled)) })
}

// Read implements io.Reader. It releases the slot at the end of the body, and when
// reading the body fails.
func (b *slotReleasingBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err == io.EOF:
		b.finish(outcome.ResponseComplete())
	case err != nil:
		b.finish(outcome.UnknownBecause(outcome.ReasonTruncated))
	}
	return n, err
}

// Close implements io.Closer. It discards the rest of the body and releases the
// slot.
func (b *slotReleasingBody) Close() error {
	err := b.body.Close()
	b.finish(outcome.UnknownBecause(outcome.ReasonCancelled))
	return err
}

// finish releases the slot and stops watching the call's context.
func (b *slotReleasingBody) finish(o outcome.Outcome) {
	b.stopWatching()
	b.releaseOnce(o)
}

// releaseOnce releases the slot unless it has been released already.
func (b *slotReleasingBody) releaseOnce(o outcome.Outcome) {
	b.once.Do(func() { b.releaseSlot(o, b.failed || o.Kind != outcome.Answered) })
}

// maxBufferedResponse is the largest response body, in bytes, that is read
// completely before the response is returned. The slot of such a response is released
// without waiting for the caller to read the body.
const maxBufferedResponse = 64 << 10

// bufferSmallResponse reads the body of a response into memory when the length of the
// body is known and at most maxBufferedResponse. It returns the response with the
// buffered body. If the body cannot be read completely, bufferSmallResponse returns a
// response without a body whose outcome is unknown. It returns a response with a larger
// body or a body of unknown length unchanged.
func bufferSmallResponse(response *wire.Result) *wire.Result {
	if response.ContentLength < 0 || response.ContentLength > maxBufferedResponse {
		return response
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return wire.NoResponse(outcome.UnknownBecause(outcome.ReasonTruncated))
	}
	response.Body = io.NopCloser(bytes.NewReader(data))
	return response
}
