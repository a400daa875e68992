package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minUs and maxUs are the shortest and the longest recorded duration in microseconds.
	// significantDigits is the precision of a recorded duration, in significant decimal digits.
	minUs             = 1
	maxUs             = int64(2 * time.Hour / time.Microsecond)
	significantDigits = 3
)

// Percentiles holds percentiles and the maximum of durations, in microseconds.
type Percentiles struct {
	P50 int64 `json:"p50_us"`
	P99 int64 `json:"p99_us"`
	// P999 is the 99.9th percentile.
	P999 int64 `json:"p999_us"`
	Max  int64 `json:"max_us"`
}

// Histogram records durations. It is not safe for concurrent use.
type Histogram struct {
	hdr *hdrhistogram.Histogram
}

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram {
	return &Histogram{hdr: hdrhistogram.New(minUs, maxUs, significantDigits)}
}

// Record adds a duration. A duration below minUs is recorded as minUs, and a duration above maxUs
// as maxUs.
func (h *Histogram) Record(d time.Duration) {
	// RecordValue fails only for values out of range, and min and max keep the value in range.
	_ = h.hdr.RecordValue(min(max(d.Microseconds(), minUs), maxUs))
}

// Count returns the number of durations recorded.
func (h *Histogram) Count() int64 { return h.hdr.TotalCount() }

// Reset removes all recorded durations.
func (h *Histogram) Reset() { h.hdr.Reset() }

// Percentiles returns the percentiles of the recorded durations. All are 0 if no
// duration is recorded.
func (h *Histogram) Percentiles() Percentiles {
	return Percentiles{
		P50:  h.hdr.ValueAtQuantile(50),
		P99:  h.hdr.ValueAtQuantile(99),
		P999: h.hdr.ValueAtQuantile(99.9),
		Max:  h.hdr.Max(),
	}
}
