// Package daemon assembles the components of one daemon under a supervisor tree.
//
// One daemon runs on each VM. Its two main components are the entry, which accepts
// callers' requests, picks an upstream and forwards, and the guard, which is the proxy
// in front of the upstreams of its own VM and enforces their concurrency limit.
//
// Every long-running component is a supervised service with a name; the supervisor
// restarts a failed component with backoff. Components call each other only through
// the functions and interfaces in their options.
package daemon
