// Package retry decides whether a failed attempt may be followed by another.
//
// # Concept
//
// A retry adds load where something has just failed, so it is rationed. Each
// service has a Budget at each entry: every request adds a share of a token,
// every retry takes a whole one, and a few tokens may be saved up. While more
// than half of the recent attempts fail, retrying is off altogether: the trouble
// is not one upstream's.
//
// Backoff spreads the retries that are left over time, and gives up when too
// little of the deadline remains.
package retry
