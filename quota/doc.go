// Package quota enforces the quotas of client accounts over all daemons together.
//
// A Limiter is the driver of one daemon for the decisions of core/quota: it has requests wait for
// their verdicts, exchanges messages with the limiters of other daemons and keeps the time. The
// messages are datagrams, which may be lost. A request whose quota is known locally waits for
// nobody.
//
// The number of goroutines does not depend on the number of accounts or messages: Serve is the only one.
package quota
