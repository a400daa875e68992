// Package inbound tells whether a server has closed the connection of a request that it has
// read. net/http does not: a server may close a connection as unused or idle just when a
// request on it has been read. Its handler would pass the request on, and the caller would
// get no answer.
package inbound
