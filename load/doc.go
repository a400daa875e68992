// Package load is an open-loop load generator. It sends requests to running
// daemons and measures latencies and outcomes as callers see them.
//
// The plan and its seed fix in advance when each request is due. These times do
// not depend on the responses, as with many independent callers. A request is sent
// late only if the load generator cannot keep up or Plan.MaxInFlight requests are in
// flight.
//
// Latency is measured from the time at which a request was due, not from when it
// was sent. A stall of the system therefore counts for every request due during
// the stall, even if the load generator could send the request only later.
// Measuring from the time of sending would hide this delay, an error known as
// coordinated omission.
//
// The requests of a run can be recorded as a trace for package replay.
package load
