// Package sidecar implements a daemon that runs on the VM of one upstream (an application server)
// and serves callers on the same VM. One configuration document holds all routes of the daemon.
//
// A daemon has two components. The entry accepts requests from local callers and from the upstream
// itself, looks up the route, chooses an upstream and forwards the request to the daemon on the VM
// of that upstream. The guard is the proxy in front of the local upstream and the only sender of
// requests to the local upstream. It enforces the concurrency limit of the upstream. Only the guard
// has an exact count of the requests that run in its upstream. Once the upstream leaves, only the
// guard can reject every request to it. Daemons therefore need not agree on the state of an
// upstream.
//
// Daemons learn of each other through records (see Record). Each daemon is the only writer of
// its own record and announces every change of it. State that must survive the loss of all
// daemons is kept outside: the addresses of the daemons in a Directory, and the configuration in
// the store that a Source reads. The deployment supplies both.
//
// A HeaderCodec reads and writes the headers that callers and upstreams use.
package sidecar
