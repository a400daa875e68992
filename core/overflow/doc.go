// Package overflow decides when a request leaves its availability zone.
//
// Demand moves between zones: callers of one zone come in waves, and callers move. Upstreams of the zone
// that is ahead then queue requests while those of other zones have free slots. A request to another zone
// costs a round trip and traffic between zones, so a request stays in its own zone as long as an upstream
// there serves it in time. It stays even if that upstream is slower than one elsewhere.
//
// A queue is different. A request that waits delays all requests behind it, and how long it will wait is
// uncertain: those ahead may take much longer than usual. A zone that fills its queues up to the target
// latency before it sends anything elsewhere is late for all that take longer than the mean, for as long
// as the wave lasts. Requests therefore leave the zone as soon as they would wait longer than the
// crossing is worth, while slots of the own zone that are free still come first. No state is kept, so
// nothing can oscillate: the next request is decided by the loads that are known then, and a daemon that
// has just started decides like the others as soon as it knows loads.
package overflow
