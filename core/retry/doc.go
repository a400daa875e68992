// Package retry decides whether a failed attempt may be retried.
//
// # Concept
//
// A retry adds load to a service that has just failed a request, so retries are limited
// by a Budget. Each entry (the proxy that accepts the requests of callers) has a Budget
// for each service. Each request adds a fraction of a token, and each retry takes a whole
// token. A limited number of tokens can be saved up. While more than half of the recent
// attempts fail, retries are disabled, because the problem is then not limited to one
// upstream.
//
// Backoff returns a random delay before a retry. It returns false if the delay would leave
// too little time until the deadline.
//
// A WindowBudget is one daemon's share of a retry budget that all daemons share. While it is scarce, a
// Reserve keeps a part of it for those retries that achieve most.
package retry
