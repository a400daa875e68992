// Package owner runs non-idempotent requests with an idempotency key at most
// once.
//
// Each key contains a timestamp and has at most one owner. A grant is a record on the
// platform's log that gives a daemon the keys of certain ranges whose timestamps are
// before an end, similar to a lease. The entry is the component of a daemon that accepts
// requests, selects an upstream for each and forwards the request to that upstream.
//
// Each daemon has a Service with two sides. The routing side receives a keyed
// request from the entry of its daemon, finds the owner of the key in the grants
// and submits the request to that owner. It may submit the request repeatedly,
// because the owner recognizes the key. The owning side records in a claim that the key
// is in use, and executes the request through the entry of its own daemon. It retains
// the response for retries, and renews the grants of its daemon. Package core/claims
// decides what happens to each submission.
//
// A retry waits while the first execution is in progress. Then the retry receives the
// response of the first execution, if that response is still retained. If the
// outcome of the first execution cannot be known, the outcome of the retry is
// "unknown". If the routing side gets no final outcome from an owner, the outcome of the
// submission is "unknown" too. It is never "not run" in this case, because another
// daemon may be executing the request.
package owner
