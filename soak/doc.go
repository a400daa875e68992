// Package soak is a randomized fault injection test. It runs real daemons as separate
// processes on loopback addresses. While callers send requests, it injects faults from
// outside the processes. The faults are drawn at random from a seed. A checker compares what
// callers and upstreams observe with the guarantees of the system and records violations.
//
// A Plan is a list of faults with their times. It can be printed, replayed and shrunk to
// the faults that cause a violation. Each daemon has a stand-in upstream; all daemons
// share a stand-in store. Proxies in front of each daemon's peer address, its upstream and
// the store can delay, reset, drop or slow down traffic. Signals stop, pause, kill and reload
// the processes. A process that exits is restarted.
package soak
