// Package decision writes one structured log line for each decision that affects a
// request or changes the state that a daemon knows.
//
// Every kind of line is declared once, with its description, its fields and its
// class. When lines come faster than the rate limit allows, the class determines
// which are dropped: first lines about successful requests, then lines about
// failures. Lines about state changes are not rate limited. Lines about successful
// requests are also sampled by request id, so that all daemons keep the lines of the
// same requests.
//
// The descriptions of the kinds name two components of a daemon, the entry and the
// guard. The entry accepts the requests of callers, picks an upstream for each
// request and forwards the request to the guard of that upstream. The guard is the
// proxy in front of the upstream of its own VM and limits the upstream's concurrency.
// The store of which they speak is the platform's metadata store. It holds the
// configuration and the records by which daemons find each other.
//
// Writing never blocks. Lines are queued in a buffer of fixed length. Lines that do
// not fit are dropped and counted, and a later line reports the counts.
package decision
