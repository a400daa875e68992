// Package soak runs real daemons as separate processes on loopback addresses and
// injects faults from outside them, drawn from a seed, while callers send requests
// and what callers and upstreams see is held to the promises.
//
// A Plan is a list of faults with their times; it can be printed, played again and
// shrunk to the faults that matter. Around each daemon stand a stand-in upstream, a
// stand-in store shared by all, and a proxy in front of each of its addresses that
// can delay, reset, silence or trickle what passes. Processes are stopped, paused,
// killed and told to reload by signals, and are started again when they end.
package soak
