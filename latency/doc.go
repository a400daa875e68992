// Package latency records durations in histograms and computes percentiles.
//
// A Histogram keeps durations from one microsecond to two hours with a precision
// of three significant digits. Shorter and longer durations are recorded as the
// nearest of these two limits.
package latency
