// Package warmup limits how many requests are sent to a cold upstream.
//
// An upstream is cold for some seconds after its start, and may become cold again at any moment,
// for example after its zone was evacuated. While it is cold, it tolerates only a certain rate of
// requests. The guard in front of it is the only sender of its requests, so the guard enforces the
// rate alone.
//
// A Limiter keeps the times of the latest starts (requests sent to the upstream) and counts those
// in a sliding window. The count is exact: no window of one second holds more than Limits.Max
// starts. A token bucket that refills at r a second and holds b tokens would let b+r starts pass
// in a window that begins with a full bucket.
//
// The guard learns of coldness late, so every start counts against Limits.Max until a response to a
// later health check says that the upstream is warm. Once more starts than are safe lack such a
// proof, the next one waits for a health check. The starts before the proof need not count any
// longer: either they went to a warm upstream, or the upstream became warm since, and it does not
// become cold again within a second. For the same reason the starts before the beginning of a cold
// phase need not count. The beginning follows from the stated rest of the phase, as long as that is
// not longer than Limits.Duration.
//
// An upstream that is known to be cold is expected to get Limits.Rate, which is what Delay tells the
// entries. While more requests wait, it gets up to Limits.PeakRate. What Limits.Max allows beyond that
// is left to the starts that happened before the guard knew.
package warmup
