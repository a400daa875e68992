package guard

import (
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/wire"
)

// slotBody releases the upstream's slot once the body has been read or closed.
type slotReleasingBody struct {
	body        io.ReadCloser
	releaseSlot func(o outcome.Outcome, failed bool)
	failed      bool
	once        sync.Once
	// stop ends the watch over the call's context.
	stopWatching func() bool
}

// releaseAtEnd releases the slot when the call's context ends, so that a caller
// who does not read cannot hold it: the same end cancels the upstream's run.
func (b *slotReleasingBody) releaseWhenDone(ctx context.Context) {
	b.stopWatching = context.AfterFunc(ctx, func() { b.releaseOnce(outcome.UnknownBecause(outcome.ReasonCancelled)) })
}

// Read reads from the upstream and releases the slot at the end.
func (b *slotReleasingBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err == io.EOF:
		b.finish(outcome.Done())
	case err != nil:
		b.finish(outcome.UnknownBecause(outcome.ReasonTruncated))
	}
	return n, err
}

// Close gives up what is unread and releases the slot.
func (b *slotReleasingBody) Close() error {
	err := b.body.Close()
	b.finish(outcome.UnknownBecause(outcome.ReasonCancelled))
	return err
}

func (b *slotReleasingBody) finish(o outcome.Outcome) {
	b.stopWatching()
	b.releaseOnce(o)
}

func (b *slotReleasingBody) releaseOnce(o outcome.Outcome) {
	b.once.Do(func() { b.releaseSlot(o, b.failed || o.Kind != outcome.Answered) })
}

// smallAnswer is the largest answer that is read whole before it is passed on,
// in bytes. Its slot is free before the caller reads it.
const maxBufferedResponse = 64 << 10

// readSmall reads an answer of small known length whole.
func bufferSmallResponse(response *wire.Answer) *wire.Answer {
	if response.ContentLength < 0 || response.ContentLength > maxBufferedResponse {
		return response
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return wire.NoAnswer(outcome.UnknownBecause(outcome.ReasonTruncated))
	}
	response.Body = io.NopCloser(bytes.NewReader(data))
	return response
}
