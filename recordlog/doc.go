// Package recordlog is the client of the platform's append-only log, with an
// in-memory implementation of that log for tests and local use.
//
// The log holds named streams of records. The offset of a record is its
// position in the stream, counted from 0. Records are kept for a limited time;
// a read below the oldest offset that is still kept fails with a TrimmedError.
// When the response to an append is lost, the append may have taken effect;
// AppendError.Uncertain distinguishes this case from an append that certainly
// failed.
//
// Client accesses the log over HTTP. Two wrappers keep the load of many daemons
// within the capacity of the log: Batcher joins appends that arrive at about
// the same time, and RateLimitedLog spaces them out. Neither retries an append
// that may have taken effect, because only the caller knows whether its records
// may appear twice and how to find out by reading them back.
//
// Memory is the in-memory implementation. FaultyLog injects faults into it, and
// Handler serves it over HTTP. Memory drops records after a retention time;
// FaultyLog can be slow or down, lose the response to an append that has taken
// effect, and apply an append twice.
package recordlog
