// Package pause spaces the tries of the system's own calls, such as those to the
// metadata store, which go on until one succeeds. A Backoff waits longer after each
// failure, up to a bound, and a random part of that, so that daemons that failed
// together do not come back together.
package pause
