// Package wire defines what two daemons exchange when one forwards a request to
// the other: the Call, the Result that comes back, and the HTTP/1.1 headers
// that encode both.
//
// The entry of a daemon accepts callers' requests, picks an upstream for each
// and forwards it. The guard is the proxy in front of the upstreams of its own
// VM and enforces their concurrency limits. Most Calls go from an entry to a
// guard.
//
// Control messages between daemons are defined in proto/dottereltiller/peer/v1
// and sent with connect-go.
package wire
