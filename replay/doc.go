// Package replay is a discrete-event simulation that runs the routing and
// admission code on a recorded trace in virtual time.
//
// Each simulated daemon has an entry, which accepts callers' requests, picks an
// upstream and forwards, and a guard, the proxy in front of the daemon's
// upstream that enforces the concurrency limit. The routers of the entries
// (core/routing), the admission control and the concurrency limiters of the
// guards (core/admission, core/limit) and the measuring budget (core/measure)
// are the production code. Upstreams and the network are simulated: an upstream
// has a number of slots, service times and faults, and a link has a delay.
// Events run in the order of their virtual time, so the same trace, topology
// and seed always produce the same output, byte for byte.
//
// For comparison, the result also holds a lower bound on latency: that of one
// central queue with perfect knowledge and no network (field Ideal of Stats).
// The file formats are documented in docs/REPLAY.md.
package replay
