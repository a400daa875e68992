// Package replay is a discrete-event simulation that runs the routing and
// admission code on a recorded trace in virtual time.
//
// Each simulated daemon has an entry and a guard. The entry accepts callers'
// requests, picks an upstream and forwards the request to the guard of that
// upstream. The guard is the proxy in front of the daemon's own upstream. It limits
// the number of requests that this upstream executes at once.
//
// The following parts are the production code:
//
//   - the routers of the entries (core/routing),
//   - the admission control of the guards (core/admission),
//   - the concurrency limiters of the guards (core/limit),
//   - the measuring budget, which limits the cost of load reports (core/measure).
//
// Upstreams and the network are simulated. An upstream has a number of slots,
// service times and faults, and a link has a delay. Events run in the order of
// their virtual time. The same trace, topology and seed therefore always produce
// the same output, byte for byte.
//
// For comparison, the result also holds a lower bound on latency, the ideal
// bound: the latency of one central queue with perfect knowledge and no network.
// Field Ideal of Stats holds this bound.
// The file formats are documented in docs/REPLAY.md.
package replay
