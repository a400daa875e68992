// Package bodylimit limits the memory for the bodies of all requests in flight, and for those of all
// responses in hand. Bodies are buffered whole: a request may be retried, and a response must be known to be
// complete before it is passed on. Without limits, many large bodies at once would exhaust the memory of the
// process.
//
// A Limiter is for requests, a Budget for responses.
package bodylimit
