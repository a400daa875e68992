package settings

import (
	"log/slog"
	"strconv"
	"time"

	"github.com/dottereltiller/dottereltiller/core/policy"
)

// Process configures shutdown and memory of the daemon's process.
type Process struct {
	// ShutdownTimeout bounds the whole shutdown. Requests that are still in flight
	// at its end are aborted.
	ShutdownTimeout policy.Duration `json:"shutdown_timeout"`
	// DrainTime bounds the first part of the shutdown. In this part the daemon
	// still accepts callers' requests, and asks callers and other daemons to close
	// their connections. DrainTime is part of ShutdownTimeout.
	DrainTime policy.Duration `json:"drain_time"`
	// MemoryLimitBytes is the soft memory limit of the Go runtime, as GOMEMLIMIT.
	// 0 means no limit.
	MemoryLimitBytes int64 `json:"memory_limit_bytes"`
	// GCPercent is how far the heap may grow before the next garbage collection,
	// in percent of the live heap, as GOGC. With a larger value the daemon uses
	// more memory and collects less often. Each collection adds to the tail
	// latency of calls.
	GCPercent int `json:"gc_percent"`
}

const (
	defaultShutdownTimeout = 30 * time.Second
	defaultDrainTime       = time.Second
	defaultGCPercent       = 400
	minGCPercent           = 25
	maxGCPercent           = 10_000
)

func defaultProcess() Process {
	return Process{
		ShutdownTimeout: policy.Duration(defaultShutdownTimeout),
		DrainTime:       policy.Duration(defaultDrainTime),
		GCPercent:       defaultGCPercent,
	}
}

func (p Process) check(c *checker) {
	c.checkDuration("process.shutdown_timeout", p.ShutdownTimeout, minTimeout, maxTimeout)
	c.checkDuration("process.drain_time", p.DrainTime, 0, maxTimeout)
	c.checkNumber("process.memory_limit_bytes", p.MemoryLimitBytes, 0, 1<<40)
	c.checkNumber("process.gc_percent", int64(p.GCPercent), minGCPercent, maxGCPercent)
}

// Logging configures the log on standard error.
type Logging struct {
	// Format is "json" or "text".
	Format string `json:"format"`
	// Level is the lowest level that is logged: "debug", "info", "warn" or
	// "error".
	Level string `json:"level"`
}

func defaultLogging() Logging { return Logging{Format: "json", Level: "info"} }

func (l Logging) check(c *checker) {
	c.checkOneOf("logging.format", l.Format, "json", "text")
	c.checkOneOf("logging.level", l.Level, "debug", "info", "warn", "error")
}

// SlogLevel returns Level as a slog.Level, or slog.LevelInfo if Level is not valid.
func (l Logging) SlogLevel() slog.Level {
	var level slog.Level
	if level.UnmarshalText([]byte(l.Level)) != nil {
		return slog.LevelInfo
	}
	return level
}

// Tracing configures which requests are traced and where their spans are
// exported to.
type Tracing struct {
	// Exporter is "none", "stdout" or "otlp".
	Exporter string `json:"exporter"`
	// Endpoint is host:port of a collector that accepts OTLP over HTTP.
	Endpoint string `json:"endpoint"`
	// Sample is the share, 0 to 1, of the requests without a traceparent header
	// that are traced. If a request has the header, the sampled flag in it decides.
	// 0 turns tracing off for all requests, with or without the header.
	Sample float64 `json:"sample"`
	// Keep is the number of recent spans that the daemon holds in memory.
	// "dottereltiller trace" reads these spans.
	Keep int `json:"keep"`
}

const (
	defaultKeepSpans = 1024
	maxKeepSpans     = 65536
)

func defaultTracing() Tracing { return Tracing{Exporter: "none", Keep: defaultKeepSpans} }

func (t Tracing) check(c *checker) {
	c.checkOneOf("tracing.exporter", t.Exporter, "none", "stdout", "otlp")
	if t.Exporter == "otlp" {
		c.checkAddress("tracing.endpoint", t.Endpoint)
	}
	if t.Sample < 0 || t.Sample > 1 {
		c.fail("tracing.sample", strconv.FormatFloat(t.Sample, 'g', -1, 64), "must be from 0 to 1")
	}
	c.checkNumber("tracing.keep", int64(t.Keep), 0, maxKeepSpans)
}
