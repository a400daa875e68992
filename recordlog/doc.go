// Package recordlog is the client of the platform's append-only log and a small
// stand-in for it.
//
// The log holds named streams of records. A record's offset is its place in the
// stream, from 0. Records are kept for a limited time; reading below the oldest
// kept offset fails with a TrimmedError. An append whose reply is lost may have
// taken effect, which AppendError tells apart from a refused one.
//
// Client speaks to the log over HTTP. Two wrappers keep many daemons within
// what the log takes: Batcher joins appends that come together, and RateLimitedLog
// spaces them out. None of them repeats an append that may have taken effect:
// only the caller knows whether its records may stand twice, and how to find
// out by reading back.
//
// Memory, behind FaultyLog and Handler, is the stand-in: it forgets records after
// a retention time, and can be slow, down, lose replies after taking effect and
// take effect twice.
package recordlog
