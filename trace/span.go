package trace

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/wire"
)

// Span is the span of one hop of a request. The methods of the zero Span do
// nothing.
type Span struct {
	span oteltrace.Span
}

// Start starts a child of the span in ctx. When the span in ctx is not recorded,
// it returns ctx and the zero Span without allocating.
func Start(ctx context.Context, name string) (context.Context, Span) {
	parent := oteltrace.SpanFromContext(ctx)
	if !parent.IsRecording() {
		return ctx, Span{}
	}
	tracer := parent.TracerProvider().Tracer(scopeName)
	ctx, span := tracer.Start(ctx, name, oteltrace.WithSpanKind(oteltrace.SpanKindClient))
	return ctx, Span{span: span}
}

// Inject sets the traceparent header to the trace ID, the span ID and the sampled
// flag of the span in ctx. It leaves the headers unchanged when ctx has no span.
func Inject(ctx context.Context, h http.Header) {
	if oteltrace.SpanContextFromContext(ctx).IsValid() {
		propagator.Inject(ctx, propagation.HeaderCarrier(h))
	}
}

// SetCallAttributes sets the span's attributes that describe a call.
func (s Span) SetCallAttributes(c *wire.Call) {
	if s.span == nil {
		return
	}
	s.span.SetAttributes(
		attribute.String("service", string(c.Service)),
		attribute.String("group", string(c.Group)),
		attribute.String("caller", string(c.Caller)),
		attribute.String("upstream", string(c.Upstream)),
		attribute.Int("attempt", c.Attempt),
	)
}

// End records an outcome on the span and ends the span. An outcome other than
// Answered also sets the span's status to Error.
func (s Span) End(o outcome.Outcome) {
	if s.span == nil {
		return
	}
	s.span.SetAttributes(attribute.String("outcome", o.Kind.String()))
	if o.Reason != outcome.ReasonNone {
		s.span.SetAttributes(attribute.String("reason", string(o.Reason)))
	}
	if o.Kind != outcome.Answered {
		s.span.SetStatus(codes.Error, string(o.Reason))
	}
	s.span.End()
}

// Forwarder sends a call to the guard in front of the call's upstream.
type Forwarder interface {
	Do(ctx context.Context, c *wire.Call) *wire.Result
}

// TracedGuard records a span around each call to the guard in the same process.
// Tracer.Handler records the span for a call from another daemon.
type TracedGuard struct {
	// Next is the guard.
	Next Forwarder
}

// Do implements Forwarder.
func (g TracedGuard) Do(ctx context.Context, c *wire.Call) *wire.Result {
	ctx, span := Start(ctx, "guard")
	result := g.Next.Do(ctx, c)
	span.End(result.Outcome)
	return result
}
