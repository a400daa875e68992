// Package decision writes one structured log line for each decision that affects a
// request or changes the state that a daemon knows.
//
// The descriptions name two components of a daemon. The entry accepts the requests
// of callers, picks an upstream and forwards each request to the guard of that
// upstream. The guard is the proxy in front of the upstream of its own VM and limits
// its concurrency.
//
// Every kind of line is declared once, with its description, its fields and its
// class. The class determines which lines are dropped first when lines come faster
// than the rate limit allows: lines about successful requests first, then lines
// about failures. Lines about state changes are not rate limited. Lines about
// successful requests are also sampled by request id, so that all daemons keep the
// lines of the same requests.
//
// Writing never blocks. Lines are queued in a buffer of fixed length; lines that do
// not fit are dropped and counted, and a later line reports the counts.
package decision
