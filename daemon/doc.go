// Package daemon assembles the components of one daemon under a supervisor tree.
//
// One daemon runs on each VM. Its two main components are the entry and the guard. The
// entry accepts the requests of callers, picks an upstream for each request and forwards
// the request to the guard of that upstream. The guard is the proxy in front of the
// upstreams of its own VM and enforces the concurrency limit of each.
//
// Every long-running component is a supervised service with a name. The supervisor
// restarts a failed component with backoff. Components call each other only through
// the functions and interfaces in their options.
package daemon
