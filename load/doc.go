// Package load is an open-loop load generator. It sends requests to running
// daemons and measures latencies and outcomes as callers see them.
//
// The plan and its seed fix the times at which requests are due. These times do
// not depend on the responses, as with many independent callers. Latency is
// measured from the time at which a request was due. When the system stalls, the
// delay therefore counts for every request that was due during the stall, even if
// the load generator could send the request only later. This avoids coordinated
// omission.
//
// The requests of a run can be recorded as a trace for package replay.
package load
