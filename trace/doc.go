// Package trace records OpenTelemetry spans of requests.
//
// The entry is the component that accepts callers' requests, picks an upstream for
// each and forwards it. The guard is the proxy in front of the upstreams of its own
// VM. Each hop of a request is a span:
//
//   - "entry" lasts from the caller's request to the end of the response.
//   - "attempt" covers one call to a guard.
//   - "guard" lasts from a call's arrival at the guard to its result, including the
//     wait in the guard's queue.
//   - "upstream" covers the execution by the upstream.
//
// The spans of one request share a trace ID. It is passed on in the traceparent
// header of W3C Trace Context, from the caller through every hop to the upstream.
//
// A Tracer samples requests and sends the spans of the sampled requests to an
// exporter. It also keeps the most recent spans in a Ring, which "dottereltiller
// trace" reads from the admin address. Without a Tracer no spans are recorded and
// the caller's traceparent header is forwarded unchanged.
package trace
