// Package inbound holds what the HTTP servers of all daemons need around their handlers. It
// tells whether the connection of a request that has been read is closed, by this side or by
// the other, and has panics of handlers told.
//
// A server may close a connection as unused or idle just when a request on it has been read.
// net/http does not tell: its handler would pass the request on, and the caller would get no
// answer. The other side's close net/http tells late where the processor is busy: the
// request would be passed on for nobody.
package inbound
