// Package owner runs non-idempotent requests with an idempotency key at most
// once.
//
// Each key has at most one owner. A grant is a record on the platform's log that
// gives a daemon ranges of keys up to a timestamp, similar to a lease. The entry
// is the component of a daemon that accepts requests, selects an upstream and
// forwards them to it.
//
// Each daemon has a Service with two sides. The routing side receives a keyed
// request from the entry of its daemon, finds the owner of the key in the grants
// and submits the request to that owner. It may submit the request repeatedly,
// because the owner recognizes the key. The owning side claims the key and
// executes the request through the entry of its own daemon. It retains the
// response for retries. It also renews the grants of this daemon. Package claims
// decides what happens to each submission.
//
// A retry waits while the first execution is in progress. Then it receives the
// response of the first execution, while that response is retained. If the
// outcome cannot be known, the retry receives "unknown". If the routing side gets
// no final outcome from an owner, the submission is "unknown" too. It is never
// "not run", because another daemon may be executing the same key.
package owner
