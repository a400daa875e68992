// Package local runs a small deployment in one process on loopback: an in-memory
// record log, and stand-in upstreams with one daemon each. Demonstrations,
// benchmarks and end-to-end tests use it.
package local
