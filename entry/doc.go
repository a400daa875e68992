// Package entry implements the part of a daemon that accepts callers' requests.
// The entry determines the group of the caller, which is the unit of sharing and
// limits at a service (see policy.GroupSpec). It picks an upstream and forwards
// the request to the guard of that upstream, the proxy on the upstream's VM; see
// package guard. It retries where that is safe, and tells the caller whether the
// request was answered, did not run, or may have run (unknown).
package entry
