package entry

import (
	"context"
	"net/http"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/routing"
	"github.com/dottereltiller/dottereltiller/trace"
	"github.com/dottereltiller/dottereltiller/wire"
)

// attempt sends the request to an upstream that is not in tried. It returns the
// response and the ID of the upstream. The parameter attempt is the number of the
// attempt, from 0.
//
// A guard rejects a request that does not start within the queue timeout that the router
// has chosen for the request. A rejected request did not run, so attempt sends it to the
// next upstream that the router chooses, unless ctx has ended. The boolean result is
// false when the router finds no upstream for the request.
func (e *Entry) attempt(ctx context.Context, req *request, tried []model.UpstreamID, attempt int) (*wire.Result, model.UpstreamID, bool) {
	for rejections := req.initialRejections(); ; rejections++ {
		choice, ok := e.opts.Routers.Place(req.modelRequest(attempt), tried, rejections)
		if !ok {
			return nil, "", false
		}
		response := e.sendWithHedge(ctx, req, choice, tried, attempt)
		if !choice.Rejected(response.Outcome) || ctx.Err() != nil {
			return response, choice.Upstream.ID, true
		}
		_ = response.Body.Close()
	}
}

// initialRejections returns the number of rejections that the router is told at the
// start of an attempt. It is 0 for a body that can be replayed. A request with any other
// body can be sent only once, so it must wait at the first guard instead of being
// rejected. For such a request the number is routing.MaxRejections.
func (r *request) initialRejections() int {
	if r.body.replayable() {
		return 0
	}
	return routing.MaxRejections
}

// sendOnce sends the request to the chosen upstream once. It reports the result to the
// router and the metrics, and a crash of the upstream to the quarantine. hedge says
// whether the request is sent as a hedge, that is as a second copy of a request whose
// response is late.
func (e *Entry) sendOnce(ctx context.Context, req *request, choice routing.Choice, attempt int, hedge bool) *wire.Result {
	upstream := choice.Upstream
	call := req.call(upstream, attempt)
	sentAt := e.opts.Now()
	call.Timeout = req.deadline.Sub(sentAt)
	call.HasQueueTimeout = choice.QueueTimeout >= 0
	call.QueueTimeout = max(choice.QueueTimeout, 0)
	ctx, span := trace.Start(ctx, "attempt")
	span.SetCallAttributes(call)
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
