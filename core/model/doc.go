// Package model defines the types shared by all decision packages: the names of
// services, groups, upstreams and availability zones, and the load values that replies
// carry. A guard, the proxy in front of an upstream, sends replies to the entry that
// accepted the request from its caller and chose the upstream.
//
// The package has no behavior beyond formatting and comparison. The decision packages
// read no clock: callers pass the time as an Instant, a reading of a monotonic clock
// that is used for all intervals. A wall-clock time.Time is used only where a timestamp
// leaves the process.
package model
