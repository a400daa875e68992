// Package bench measures daemons and stand-in upstreams that run on the loopback
// interface. It measures the latency that forwarding adds, and the CPU time of an idle
// daemon. It also measures how memory, CPU time and the size of membership messages grow
// with the size of a deployment. docs/CAPACITY.md extrapolates from the measured slopes.
package bench
