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

// send forwards the request as chosen. When the router says so, an idempotent
// request that outlasts a delay is sent to a second upstream as well; the first
// whole answer counts and the other sending is cancelled.
func (e *Entry) send(ctx context.Context, req *request, choice routing.Choice, tried []model.UpstreamID, attempt int) *wire.Answer {
	delay, ok := e.opts.Routers.HedgeDelay(req.modelRequest(attempt))
	if !ok || !req.body.replayable() {
		return e.sendOnce(ctx, req, choice, attempt, false)
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	hedgeCtx, cancelHedge := context.WithCancel(ctx)
	sentAt := e.opts.Now()
	hedgeResult := make(chan *wire.Answer, 1)
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
		return firstResponse.EndOnClose(cancelFirst)
	case succeeded(firstResponse):
		cancelHedge()
		go closeHedge(hedgeResult)
		return firstResponse.EndOnClose(cancelFirst)
	}
	hedgeResponse := <-hedgeResult
	if succeeded(hedgeResponse) {
		_ = firstResponse.Body.Close()
		cancelFirst()
		return hedgeResponse.EndOnClose(cancelHedge)
	}
	cancelHedge()
	if hedgeResponse != nil {
		_ = hedgeResponse.Body.Close()
		firstResponse.Outcome = firstResponse.Outcome.After(hedgeResponse.Outcome)
	}
	return firstResponse.EndOnClose(cancelFirst)
}

// hedge sends the request to a second upstream. It returns nil when there is
// none, when the budget forbids it, or when the request is settled already.
func (e *Entry) sendHedge(ctx context.Context, req *request, first routing.Choice, sentAt model.Instant, tried []model.UpstreamID, attempt int) *wire.Answer {
	if ctx.Err() != nil {
		return nil
	}
	exclude := append([]model.UpstreamID{first.Upstream.ID}, tried...)
	choice, ok := e.opts.Routers.Hedge(first.Upstream, sentAt, exclude)
	if !ok {
		return nil
	}
	return e.sendOnce(ctx, req, choice, attempt, true)
}

// good reports whether an answer settles the request.
func succeeded(response *wire.Answer) bool {
	return response != nil && response.Outcome.Kind == outcome.Answered && response.Status < http.StatusInternalServerError
}

func closeHedge(hedgeResult <-chan *wire.Answer) {
	if response := <-hedgeResult; response != nil {
		_ = response.Body.Close()
	}
}
