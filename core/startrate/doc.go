// Package startrate limits the rate at which requests are sent to an upstream.
//
// The guard in front of an upstream is the only sender of its requests, so the guard enforces all
// limits alone. A start is a request that the guard sends to the upstream. There are two limits, and a
// Limiter combines them:
//
//   - Cold limits the starts at a cold upstream. An upstream is cold for some seconds after its start,
//     and may become cold again at any moment, for example after its zone was evacuated.
//   - Named limits the starts at an upstream that names in its responses how many requests a second
//     it takes.
//
// Both keep the times of the latest starts and count those in a sliding window. The count is exact:
// no window holds more starts than allowed. A token bucket that refills at r a second and holds b
// tokens would let b+r starts pass in a window of a second that begins with a full bucket. Both also
// spread the starts, so that an upstream gets about as many in each second.
//
// # Cold upstreams
//
// The guard learns of coldness late, so every start counts against ColdLimits.Max until a response to a
// later health check says that the upstream is warm. Once more starts than are safe lack such a
// proof, the next one waits for a health check. The starts before the proof need not count any
// longer: either they went to a warm upstream, or the upstream became warm since, and it does not
// become cold again within a second. For the same reason the starts before the beginning of a cold
// phase need not count. The beginning follows from the stated rest of the phase, as long as that is
// not longer than ColdLimits.Duration.
//
// An upstream that is known to be cold is expected to get ColdLimits.Rate, which is what Delay tells the
// entries. While more requests wait, it gets up to ColdLimits.PeakRate. What ColdLimits.Max allows beyond
// that is left to the starts that happened before the guard knew.
//
// # Named limits
//
// A limit holds until a response to a request that was sent after the limit was last named does not
// name it. Responses that were on their way meanwhile prove nothing. Some upstreams name the limit only
// in responses to requests, not to health checks. A health check lifts the limit only if the responses
// to health checks have named it before.
package startrate
