// Package bench runs daemons and stand-in upstreams on the loopback interface and
// measures the latency that forwarding adds and the CPU time of an idle daemon. It
// also measures how memory and CPU time grow with the size of a deployment;
// docs/CAPACITY.md extrapolates from these slopes.
package bench
