// Package standin provides stand-in upstreams for demonstrations and tests. Upstream executes a
// bounded number of requests at once and counts the executions of each request. Upstream.Run
// announces the upstream to its daemon. FaultyUpstream sends scripted, possibly malformed
// responses.
package standin
