// Package hop sends a single attempt of a request over HTTP/1.1 to the next
// server, a daemon or an upstream, and reports whether that server may have
// executed it.
//
// A Client sends to many addresses and streams bodies. A Pool holds the
// connections to one address and buffers bodies in memory. It also checks which
// request a response belongs to, and does not deliver a response that belongs
// to none.
//
// A Client wraps a net/http Transport whose connections count the bytes
// written. If no byte of a failed attempt was written, the attempt provably did
// not run; its connection is then sealed, so that no byte can follow. The
// Transport never retries an attempt on its own: bodies cannot be rewound, and
// an Idempotency-Key is sent under a spelling that the Transport does not
// recognize as permission to retry.
package hop
