// Package model defines the types shared by all decision packages: the names of
// services, groups, upstreams and availability zones, and the load values that replies
// carry. An entry accepts a request from its caller and chooses the upstream. The guard,
// the proxy in front of the upstream, sends the reply to the entry.
//
// The package has no behavior beyond formatting and comparison. The decision packages
// read no clock: callers pass the time as an Instant, a reading of a monotonic clock
// that is used for all intervals. A wall-clock time.Time is used only where a timestamp
// leaves the process.
package model
