// Package hop sends one attempt over HTTP/1.1 and says what is proved about it.
//
// A Client sends to many addresses and passes bodies on as they come. A Pool holds the
// connections to one address, sends and reads bodies whole, and tells answers that
// belong to an attempt from bytes that belong to none.
//
// A Client uses a net/http Transport whose connections count the bytes that
// went out, so that a failed attempt can be told apart: when no byte of it was
// written it provably did not run, and the connection is sealed so that none
// follows. The Transport never sends an attempt again: bodies cannot be rewound,
// and an Idempotency-Key travels under a name that it does not take as leave to
// send a request twice.
package hop
