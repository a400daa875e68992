// Package sidecar implements a daemon that runs on the VM of one upstream and serves callers on
// the same VM. One configuration document holds all of its routes.
//
// Like every daemon, it has two components. The entry accepts requests from local callers and
// from the upstream itself, looks up the route, chooses an upstream and forwards the request to
// the daemon on the VM of that upstream. The guard is the proxy in front of the local upstream
// and the only sender of requests to it. It enforces the concurrency limit of the upstream. Only
// the guard has an exact count of the requests that run in its upstream. Only the guard rejects
// requests once the upstream leaves. Daemons therefore need not agree on the state of an
// upstream.
//
// Daemons learn of each other through records (see Record). Each daemon is the only writer of
// its record and announces every change. State that must survive the loss of all daemons is kept
// by a Directory and a Source, which the deployment supplies.
//
// A HeaderCodec reads and writes the headers that callers and upstreams use.
package sidecar
