// Package owner runs non-idempotent requests with an idempotency key at most
// once.
//
// Each key has one owner at most. A grant is a record on the platform's log
// that gives a daemon ranges of keys up to a timestamp, similar to a lease.
// Each daemon has a Service with two sides. The routing side takes a keyed
// request from the entry of its daemon, finds the owner of the key in the
// grants and submits the request to that owner. It may submit the request
// repeatedly, because the owner recognizes the key. The owning side claims the
// key, executes the request through the entry of its own daemon, retains the
// response for retries and renews the grants of this daemon. The entry is the
// component that accepts requests, selects an upstream and forwards them to it.
// The decisions are in package claims.
//
// A retry receives the response of the first execution while that response is
// retained, and waits while the execution is in progress. If the outcome cannot
// be known, the retry receives "unknown". A submission that the routing side
// cannot resolve is "unknown" too, never "not run", because another daemon may
// be executing the same key.
package owner
