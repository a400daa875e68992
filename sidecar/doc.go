// Package sidecar is a daemon beside one upstream whose callers are on the same
// VM, configured by one whole document of routes.
//
// It has the two parts of every daemon. The entry takes the requests of local
// callers and of the upstream itself, finds their route, chooses an upstream and
// sends them to the daemon beside it. The guard stands before the own upstream and
// is the only one that sends to it: it alone knows what runs there, and it alone
// refuses once the upstream leaves, so that nothing has to be agreed for that.
//
// Daemons know each other by records (see Peers): each is the only writer of its
// own, and tells the others when it changes. Whatever must outlive all daemons is
// kept by a Directory and a Source, which the deployment supplies.
//
// How callers and upstreams spell things is left to an Edge.
package sidecar
