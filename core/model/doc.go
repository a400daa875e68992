// Package model defines the types shared by the decision packages, that is, the packages that
// make decisions without doing I/O, such as routing and slots. The types are the names of
// services, groups, upstreams and availability zones, and the loads that replies carry. An
// entry accepts a request from its caller and chooses the upstream. The guard, the proxy in
// front of the upstream, sends the reply to the entry.
//
// The package has no behavior beyond formatting and arithmetic on instants. The decision
// packages read no clock: callers pass the time as an Instant, a reading of a monotonic clock
// that is used for all intervals. A wall-clock time.Time is used only where a timestamp leaves
// the process.
package model
