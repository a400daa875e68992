package telemetry

import (
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// Prefix starts the name of every metric.
const Prefix = "dottereltiller"

// reportInterval is how old a figure at the endpoint can be.
const reportInterval = time.Second

// latencyBuckets are the bounds of timers, in seconds.
var latencyBuckets = []float64{.0002, .0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

// Metrics collects counters, gauges and timers and serves them for Prometheus.
type Metrics struct {
	// Scope is the root scope. Parts take a sub-scope of it.
	Scope    tally.Scope
	reporter promreporter.Reporter
	registry *prometheus.Registry
	closer   io.Closer
}

// NewMetrics returns a Metrics with its own registry, so that several daemons
// in one process do not share figures. Close ends its reporting.
func NewMetrics(logger *slog.Logger) *Metrics { return NewMetricsWithInterval(logger, reportInterval) }

// NewMetricsWithInterval is NewMetrics with another age that figures may reach. A longer
// one wakes an idle process less often.
func NewMetricsWithInterval(logger *slog.Logger, interval time.Duration) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer:              registry,
		Gatherer:                registry,
		DefaultTimerType:        promreporter.HistogramTimerType,
		DefaultHistogramBuckets: latencyBuckets,
		OnRegisterError: func(err error) {
			logger.Error("metric not registered", "error", err)
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, interval)
	return &Metrics{Scope: scope, reporter: reporter, registry: registry, closer: closer}
}

// sanitizer returns the usual rules for names, and lets values hold dots, colons
// and dashes, so that reasons read as in the answers to callers.
func sanitizer() *tally.SanitizeOptions {
	o := promreporter.DefaultSanitizerOpts
	o.ValueCharacters.Characters = []rune{'_', '-', '.', ':', '/'}
	return &o
}

// Handler serves the figures in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// GaugeFunc adds a figure that is read when the figures are asked for. Its name gets
// the prefix.
func (m *Metrics) GaugeFunc(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: Prefix + "_" + name, Help: help}, read))
}

// Close reports what is pending and ends the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// OrNoop returns the scope, or one that drops everything when it is nil.
func OrNoop(s tally.Scope) tally.Scope {
	if s == nil {
		return tally.NoopScope
	}
	return s
}
