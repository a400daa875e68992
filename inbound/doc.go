// Package inbound holds what the HTTP servers of all daemons need around their
// handlers: it reports whether the connection of a request has been closed, by
// the server or by the client, and it reports panics of handlers.
//
// A server may close a connection as idle just after it has read a request from
// the connection. net/http does not report this close to the handler. Without this
// package, the request would be forwarded, and its client would get no response.
//
// If the client closes the connection, net/http reports the close late on a busy
// processor. Without this package, the request would be forwarded although nobody
// waits for the response.
//
// An HTTP/1.0 client takes the end of its connection for the end of a response of unknown
// length. This package resets the connection of such a response if it breaks off.
package inbound
