// Package routing chooses the upstream for each request.
//
// A Router belongs to one entry (the proxy that receives requests from callers) and one
// service. For each upstream, the Router stores the latest reported load, the number of
// requests in flight there from this entry, and the results of recent attempts. A policy (see
// PolicyNames) picks among the upstreams. The Router skips draining upstreams and those that the
// caller excludes. It ejects upstreams that fail while others do not (outlier ejection), and
// skips ejected upstreams too. When more than half of the reachable upstreams are ejected, the
// Router ignores the ejections. The remaining upstreams would otherwise be overloaded.
//
// # Late binding through rejections
//
// The load that an entry knows is always slightly out of date. The default policy,
// expected-completion, therefore sends a request to the upstream with the best score, with a
// queue timeout (the longest wait in the queue there) of zero. The guard (the proxy in front of
// the upstream) either starts the request at once or rejects it at once. A rejection proves
// that the request did not run, and it carries the current load. After MaxRejections rejections
// the request waits in the queue of the upstream where it is expected to complete first. A
// rejection thus serves as a load query and needs no extra message. See Choice.QueueTimeout.
//
// The package does no I/O, starts no goroutines and reads no clock.
package routing
