// Package placement chooses the upstream that would finish a request first.
//
// Upstreams share their VMs with others and change their speed several times a
// second, so a mean says little: what counts is how slow an upstream is now, and
// how long ago that was known. A Load carries both. The expected time of a
// request is its usual work times the slowness, which fades towards the service's
// mean as it ages, plus the wait behind what is there already.
//
// A crossing between availability zones costs latency and money. An upstream of
// the own zone is kept to as long as it is expected to answer well inside the
// target latency; past that the fastest wins, wherever it is.
package placement
