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

// Prefix is the prefix of all metric names.
const Prefix = "dottereltiller"

// reportInterval is the default report interval: the time between two updates of
// the values that are served. Served values are at most this old.
const reportInterval = time.Second

// latencyBuckets are the histogram buckets of timers, in seconds.
var latencyBuckets = []float64{.0002, .0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

// Metrics collects counters, gauges and timers and serves them to Prometheus.
type Metrics struct {
	// Scope is the root scope. Each component uses a sub-scope.
	Scope    tally.Scope
	reporter promreporter.Reporter
	registry *prometheus.Registry
	closer   io.Closer
}

// NewMetrics returns a Metrics with its own registry, so that several daemons
// in one process do not share metrics. Call Close to stop its reporting goroutine.
func NewMetrics(logger *slog.Logger) *Metrics { return NewMetricsWithInterval(logger, reportInterval) }

// NewMetricsWithInterval is NewMetrics with another report interval. Values are up
// to an interval old when served; a longer interval wakes an idle process less
// often.
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
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, interval)
	return &Metrics{Scope: scope, reporter: reporter, registry: registry, closer: closer}
}

// sanitizeOptions returns the rules for characters in names and label values.
// Those for names are the defaults. Label values may also contain dashes, dots,
// colons and slashes, so that reasons are spelled as in the responses to callers.
func sanitizeOptions() *tally.SanitizeOptions {
	options := promreporter.DefaultSanitizerOpts
	options.ValueCharacters.Characters = []rune{'_', '-', '.', ':', '/'}
	return &options
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// GaugeFunc registers a gauge whose value is read at each scrape. Prefix is added
// to the name.
func (m *Metrics) GaugeFunc(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: Prefix + "_" + name, Help: help}, read))
}

// Close reports pending values and stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// OrNoop returns s, or tally.NoopScope when s is nil.
func OrNoop(s tally.Scope) tally.Scope {
	if s == nil {
		return tally.NoopScope
	}
	return s
}
