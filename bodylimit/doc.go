// Package bodylimit limits the memory for the bodies of all requests in flight. Bodies are buffered
// whole, because a request may be retried. Without a limit, many large bodies at once would exhaust
// the memory of the process.
package bodylimit
