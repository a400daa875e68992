// Package trace records OpenTelemetry spans of requests.
//
// The entry is the component that accepts callers' requests, picks an upstream and
// forwards; the guard is the proxy in front of the upstreams of its own VM. Each
// hop of a request is a span: "entry" from the caller's request to the end of the
// response, "attempt" for each call to a guard, "guard" from a call's arrival at
// the guard to its result, including the wait in the guard's queue, and "upstream"
// for the execution by the upstream. The spans of one request share a trace ID,
// which is passed on from the caller through every hop to the upstream in the
// traceparent header of W3C Trace Context.
//
// A Tracer samples requests and sends the spans of the sampled requests to an
// exporter. It also keeps the most recent spans in a Ring, which "dottereltiller
// trace" reads from the admin address. Without a Tracer no spans are recorded and
// the caller's traceparent header is forwarded unchanged.
package trace
