package entry

import (
	"context"
	"net/http"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/routing"
	"github.com/dottereltiller/dottereltiller/trace"
	"github.com/dottereltiller/dottereltiller/wire"
)

// attempt sends the request to an upstream that is not in tried and returns its
// answer. A guard that cannot start the request at once may give it back; then
// it goes on to the next choice within the same attempt, since it did not run.
// It reports false when no upstream may take the request.
func (e *Entry) attempt(ctx context.Context, req *request, tried []model.UpstreamID, number int) (*wire.Answer, model.UpstreamID, bool) {
	for rejections := req.initialRejections(); ; rejections++ {
		choice, ok := e.opts.Routers.Place(req.modelRequest(number), tried, rejections)
		if !ok {
			return nil, "", false
		}
		response := e.send(ctx, req, choice, tried, number)
		if !choice.Bounced(response.Outcome) || ctx.Err() != nil {
			return response, choice.Upstream.ID, true
		}
		_ = response.Body.Close()
	}
}

// firstBounce is how often the request counts as given back before it is sent:
// a body that cannot be sent again must wait at the first guard.
func (r *request) initialRejections() int {
	if r.body.replayable() {
		return 0
	}
	return routing.MaxBounces
}

// sendOnce forwards the request as chosen and tells the router how it went.
func (e *Entry) sendOnce(ctx context.Context, req *request, choice routing.Choice, attempt int, hedge bool) *wire.Answer {
	upstream := choice.Upstream
	call := req.call(upstream, attempt)
	sentAt := e.opts.Now()
	call.Timeout = req.deadline.Sub(sentAt)
	call.HasPatience = choice.Patience >= 0
	call.Patience = max(choice.Patience, 0)
	ctx, span := trace.Start(ctx, "attempt")
	span.Call(call)
	trace.Inject(ctx, call.Header)
	response := e.forwarder(upstream).Do(ctx, call)
	span.End(response.Outcome)
	e.metrics.attempts.Count(response.Outcome)
	e.recordCrash(req, upstream, response)
	e.opts.Routers.Done(upstream, routing.Reply{
		Outcome: response.Outcome,
		Failed:  response.Status >= http.StatusInternalServerError,
		Load:    response.Load,
		HasLoad: response.HasLoad,
		Latency: e.opts.Now().Sub(sentAt),
		Group:   req.group,
		Hedge:   hedge,
	})
	return response
}
