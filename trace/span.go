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

// Span is one hop of a recorded request. The zero value records nothing.
type Span struct {
	span oteltrace.Span
}

// Start starts a span below the one that ctx carries. When that one is not
// recorded it returns ctx and the zero Span, at no allocation.
func Start(ctx context.Context, name string) (context.Context, Span) {
	parent := oteltrace.SpanFromContext(ctx)
	if !parent.IsRecording() {
		return ctx, Span{}
	}
	tracer := parent.TracerProvider().Tracer(scopeName)
	ctx, span := tracer.Start(ctx, name, oteltrace.WithSpanKind(oteltrace.SpanKindClient))
	return ctx, Span{span: span}
}

// Inject writes the trace that ctx carries into headers. Without one the
// headers keep what they hold.
func Inject(ctx context.Context, h http.Header) {
	if oteltrace.SpanContextFromContext(ctx).IsValid() {
		propagator.Inject(ctx, propagation.HeaderCarrier(h))
	}
}

// SetCallAttributes adds what is known of a call.
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

// End ends the span with an outcome.
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

// Forwarder sends a call to the guard of its upstream.
type Forwarder interface {
	Do(ctx context.Context, c *wire.Call) *wire.Result
}

// Guard records a span around the calls to a guard in the same process, as
// Tracer.Handler does around those from other daemons.
type Guard struct {
	Next Forwarder
}

// Do implements Forwarder.
func (g Guard) Do(ctx context.Context, c *wire.Call) *wire.Result {
	ctx, span := Start(ctx, "guard")
	a := g.Next.Do(ctx, c)
	span.End(a.Outcome)
	return a
}
