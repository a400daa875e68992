// Package hop sends a single attempt of a request over HTTP/1.1 to the next
// server, a daemon or an upstream, and reports whether that server may have
// executed it.
//
// A Client sends to many addresses and streams bodies. A Pool holds the
// connections to one address and buffers bodies in memory. If PoolRequest.Accept
// is set, a Pool also checks whether a response belongs to the request, and
// discards one that does not. A connection carries each PoolRequest.ID once, so
// that the responses to two requests with the same ID are told apart.
//
// A response whose head is not valid HTTP/1.x is an error (see InvalidHeadError),
// whatever it states. A Transport checks that for clients of net/http.
//
// A body without a length ends with its connection. It counts as complete only if
// the server has ended the connection in order, not if it was reset, also while the
// request is still being written.
//
// A Client wraps a net/http Transport whose connections count the bytes
// written. If no byte of a failed attempt was written, the attempt provably did
// not run. The Client then seals the connection, so that no byte can be written
// later.
//
// The Transport never retries an attempt on its own, for two reasons. Bodies
// cannot be rewound. The names of the headers Idempotency-Key and
// X-Idempotency-Key are sent in a spelling that the Transport does not recognize as
// permission to retry.
package hop
