package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/routing"
	"github.com/dottereltiller/dottereltiller/wire"
)

// sendWithHedge sends the request to the chosen upstream. The router may give a hedge
// delay for the request, but only if the request is idempotent. If there is no response
// within this delay, sendWithHedge also sends the request to a second upstream. This
// second attempt is the hedge. A request whose body cannot be replayed is not hedged.
// sendWithHedge returns the first successful response and cancels the other attempt. If
// neither attempt succeeds, it returns the response of the first attempt.
func (e *Entry) sendWithHedge(ctx context.Context, req *request, choice routing.Choice, tried []model.UpstreamID, attempt int) *wire.Result {
	delay, ok := e.opts.Routers.HedgeDelay(req.modelRequest(attempt))
	if !ok || !req.body.replayable() {
		return e.sendOnce(ctx, req, choice, attempt, false)
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	hedgeCtx, cancelHedge := context.WithCancel(ctx)
	sentAt := e.opts.Now()
	hedgeResult := make(chan *wire.Result, 1)
	timer := time.AfterFunc(delay, func() {
		hedgeResponse := e.sendHedge(hedgeCtx, req, choice, sentAt, tried, attempt)
		if succeeded(hedgeResponse) {
			cancelFirst()
		}
		hedgeResult <- hedgeResponse
	})
	firstResponse := e.sendOnce(firstCtx, req, choice, attempt, false)
	switch {
	case timer.Stop():
		cancelHedge()
		return firstResponse.CancelOnClose(cancelFirst)
	case succeeded(firstResponse):
		cancelHedge()
		go closeHedge(hedgeResult)
		return firstResponse.CancelOnClose(cancelFirst)
	}
	hedgeResponse := <-hedgeResult
	if succeeded(hedgeResponse) {
		_ = firstResponse.Body.Close()
		cancelFirst()
		return hedgeResponse.CancelOnClose(cancelHedge)
	}
	cancelHedge()
	if hedgeResponse != nil {
		_ = hedgeResponse.Body.Close()
		firstResponse.Outcome = firstResponse.Outcome.After(hedgeResponse.Outcome)
	}
	return firstResponse.CancelOnClose(cancelFirst)
}

// sendHedge sends the request to a second upstream. firstChoice is the choice of the first
// attempt, which was sent at sentAt. The second upstream is neither the first one nor an
// upstream in tried. sendHedge returns nil when ctx has been cancelled, for example
// because the first attempt has ended. It also returns nil when the router does not allow
// a hedge, for example because the hedge budget is exhausted; see routing.Router.Hedge.
func (e *Entry) sendHedge(ctx context.Context, req *request, firstChoice routing.Choice, sentAt model.Instant, tried []model.UpstreamID, attempt int) *wire.Result {
	if ctx.Err() != nil {
		return nil
	}
	exclude := append([]model.UpstreamID{firstChoice.Upstream.ID}, tried...)
	choice, ok := e.opts.Routers.Hedge(firstChoice.Upstream, sentAt, exclude)
	if !ok {
		return nil
	}
	return e.sendOnce(ctx, req, choice, attempt, true)
}

// succeeded reports whether the request was answered without a server error, so
// that no other attempt is needed.
func succeeded(response *wire.Result) bool {
	return response != nil && response.Outcome.Kind == outcome.Answered && response.Status < http.StatusInternalServerError
}

// closeHedge waits for the response of a hedge that is no longer needed, and closes it.
func closeHedge(hedgeResult <-chan *wire.Result) {
	if response := <-hedgeResult; response != nil {
		_ = response.Body.Close()
	}
}
