// Package route finds the route of a request in the configuration in force, and
// the service in the route's traffic split that serves the request.
//
// A Document is one complete configuration. New validates it and builds a Table, which is
// immutable and safe for concurrent use. Table.Lookup selects a route by host and longest
// path prefix. A Splitter then distributes the requests of a route among the services of
// its traffic split by smooth weighted round robin. The split is exact even for few
// requests. In a split between two services, the number of requests that each has got
// differs by at most one from its share, by weight, of the requests so far. In a split
// between n services, the difference is at most n-1. The state of a split is kept when a
// new configuration does not change the split.
package route
