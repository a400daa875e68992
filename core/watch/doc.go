// Package watch decides which daemons watch the store that holds the configuration.
//
// # Concept
//
// A few daemons of each availability zone, the watchers, read the store by long polling: a read
// returns when there is a new version. The watchers forward new versions of the configuration
// to other daemons. They also send heartbeats, which say whether the watcher reaches the store.
// Daemons that receive enough heartbeats from watchers do not read the store.
//
// The daemons of a zone are sorted by address and divided into cells of limited size.
// The first daemons of each cell watch the store. Other daemons volunteer at random if the
// heartbeats of the first daemons stop, or say that the store cannot be reached. Only a few
// daemons volunteer at once, so that an unreachable store does not receive calls from all
// daemons.
//
// A watcher that has not reached the store for yieldAfter stops watching for a limited time.
// Other daemons can then try, in case the store serves only some daemons. If daemons disagree
// about the members of the cell or do not receive each other's heartbeats, there are more
// watchers than needed, never fewer.
package watch
