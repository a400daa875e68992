// Package standin provides stand-in upstreams for demonstrations and tests.
// Upstream executes a bounded number of requests at once, announces itself to its
// daemon, and counts the executions of each request. FaultyUpstream sends scripted,
// possibly malformed responses.
package standin
