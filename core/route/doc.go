// Package route finds the route of a request in the configuration in force, and
// the service in the route's traffic split that serves the request.
//
// A Document is one complete configuration. New validates it and builds a Table,
// which is immutable and safe for concurrent use. Table.Lookup selects a route by
// host and longest path prefix. A Splitter then distributes the requests of a
// route among the services of its traffic split by smooth weighted round robin.
// After any number of requests, each service of a split between two is within one
// request of its share (within n-1 requests for n services), so splits are exact
// even for few requests. The state of a split is kept when a new configuration
// does not change the split.
package route
