// Package route decides where a request goes: which route of the configuration
// in force it matches, and which service of the route's traffic split takes it.
//
// A Document is one whole configuration. New checks it and builds a Table, which
// is immutable and safe for concurrent use. Host and longest path prefix select
// the route. A Splitter then deals the requests of a route to the parts of its
// split so that the share of each part stays within one request of its weight,
// however few requests there are; it keeps its place when a new configuration
// leaves the split as it was.
package route
