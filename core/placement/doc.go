// Package placement chooses the upstream that is expected to complete a request first.
//
// An entry, which accepts the requests of callers, has a Placer for each service. The
// guard, the proxy in front of an upstream, enforces the upstream's concurrency limit and
// reports the upstream's Load.
//
// Upstreams share their VMs with other processes, so their speed changes several times a second
// and its mean says little. A Placer needs to know how slow an upstream is now and how old that
// information is. A Load contains both: the slowdown (the current service time divided by the
// usual service time) and its age. The expected time of a request is its usual service time
// multiplied by the slowdown, plus the wait for the requests that are already there. As the
// information ages, the slowdown that a Placer assumes moves towards the mean slowdown of the
// service.
//
// A request to another availability zone costs latency and money. A Placer therefore chooses an
// upstream of the local zone if that upstream is expected to respond well within the target
// latency and the request hardly waits there (see package overflow). Otherwise the Placer chooses
// the upstream with the shortest expected time in any zone, after adding Options.CrossZonePenalty
// to the expected times in other zones.
package placement
