package trace

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/dottereltiller/dottereltiller/wire"
)

// Values of Options.Exporter.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterOTLP   = "otlp"
)

// Options configure a Tracer.
type Options struct {
	// Daemon and Zone identify this daemon in its spans.
	Daemon string
	Zone   string
	// Exporter is one of the Exporter constants. Empty means ExporterNone.
	Exporter string
	// Endpoint is host:port of the OTLP collector that ExporterOTLP sends to.
	Endpoint string
	// Stdout is the writer that ExporterStdout writes spans to.
	Stdout io.Writer
	// SampleRatio is the share, 0 to 1, of the requests without a traceparent
	// header that are traced. If a request has the header, the sampled flag in it
	// decides. 0 turns tracing off for all requests, with or without the header.
	SampleRatio float64
	// RecentSpans is the largest number of spans that Tracer.Recent holds.
	RecentSpans int
}

// scopeName is the OpenTelemetry instrumentation scope.
const scopeName = "github.com/dottereltiller/dottereltiller"

// Tracer records the spans of a daemon. A nil *Tracer records nothing.
type Tracer struct {
	// Recent holds the most recent spans.
	Recent   *Ring
	provider *sdktrace.TracerProvider
	tracer   oteltrace.Tracer
}

// New returns a Tracer, or nil when SampleRatio is not positive. Call Shutdown to stop it.
func New(ctx context.Context, o Options) (*Tracer, error) {
	if o.SampleRatio <= 0 {
		return nil, nil
	}
	t := &Tracer{Recent: NewRing(o.RecentSpans)}
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "dottereltillerd"),
			attribute.String("service.instance.id", o.Daemon),
			attribute.String("cloud.availability_zone", o.Zone),
		)),
		sdktrace.WithSpanProcessor(&ringProcessor{ring: t.Recent, daemon: o.Daemon, zone: o.Zone}),
	}
	exporter, err := newExporter(ctx, o)
	if err != nil {
		return nil, fmt.Errorf("tracing exporter %s: %w", o.Exporter, err)
	}
	if exporter != nil {
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	t.provider = sdktrace.NewTracerProvider(options...)
	t.tracer = t.provider.Tracer(scopeName)
	return t, nil
}

func newExporter(ctx context.Context, o Options) (sdktrace.SpanExporter, error) {
	switch o.Exporter {
	case ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(o.Stdout))
	case ExporterOTLP:
		return otlptracehttp.New(ctx,
			otlptracehttp.WithEndpoint(o.Endpoint),
			otlptracehttp.WithInsecure(),
			otlptracehttp.WithProxy(noProxy))
	default:
		return nil, nil
	}
}

// noProxy makes the exporter ignore proxy settings in the environment.
func noProxy(*http.Request) (*url.URL, error) { return nil, nil }

// Shutdown exports pending spans and stops the Tracer.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

var propagator propagation.TraceContext

// Handler returns a handler that records a server span around every request to
// next. The span continues the trace in the request's traceparent header, if any.
// A nil Tracer returns next.
func (t *Tracer) Handler(name string, next http.Handler) http.Handler {
	if t == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := t.tracer.Start(ctx, name, oteltrace.WithSpanKind(oteltrace.SpanKindServer))
		defer span.End()
		if span.IsRecording() {
			defer setServerAttributes(span, w, r)
		}
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// setServerAttributes sets the request's method and path and the response's outcome
// and reason as span attributes.
func setServerAttributes(span oteltrace.Span, w http.ResponseWriter, r *http.Request) {
	span.SetAttributes(
		attribute.String("http.request.method", r.Method),
		attribute.String("url.path", r.URL.Path),
	)
	for key, header := range map[string]string{"outcome": wire.HeaderOutcome, "reason": wire.HeaderReason} {
		if v := w.Header().Get(header); v != "" {
			span.SetAttributes(attribute.String(key, v))
		}
	}
}
