// Package entry implements the part of a daemon that accepts callers' requests.
// The entry determines the group of the caller. The callers of a group share slot
// time and limits at a service; see policy.GroupSpec. The entry picks an upstream and
// forwards the request to the guard of that upstream, the proxy on the upstream's VM;
// see package guard. The entry retries the request where a retry is safe. It tells the
// caller whether the request was answered, did not run, or may have run (unknown).
package entry
