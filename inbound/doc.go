// Package inbound holds what the HTTP servers of all daemons need around their
// handlers: it reports whether the connection of a request has been closed, by
// the server or by the client, and it reports panics of handlers.
//
// A server may close a connection as idle just when it has read a request from
// it. net/http does not report this to the handler, so the request would be
// forwarded and its client would get no response. When the client closes the
// connection, net/http reports it late on a busy processor, and the request
// would be forwarded although nobody waits for the response.
package inbound
