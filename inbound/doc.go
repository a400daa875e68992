// Package inbound tells whether a server has closed the connection of a request that it has
// read. net/http does not: a server that stops closes connections that it takes for idle,
// and one on which a request has just been read may be among them. Its handler would pass
// the request on, and the caller would get no answer.
package inbound
