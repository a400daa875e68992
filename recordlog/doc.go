// Package recordlog is the client of the platform's append-only log, with an
// in-memory implementation of that log for tests and local use.
//
// The log holds named streams of records. The offset of a record is its
// position in the stream, counted from 0. Records are kept for a limited time;
// a read below the oldest offset that is still kept fails with a TrimmedError.
// If the response to an append is lost, the records may have been appended. An
// AppendError has Uncertain set in this case, and not if the append certainly
// failed.
//
// Client accesses the log over HTTP. Two wrappers keep the load of many daemons
// within the capacity of the log: Batcher merges appends that arrive at about
// the same time, and RateLimitedLog limits their rate. Neither retries an
// append that may have taken effect. Only the caller knows whether its records
// may appear twice, and how to recognize them when it reads them back.
//
// Memory is the in-memory implementation. FaultyLog injects faults into it, and
// Handler serves it over HTTP. Memory drops records after a retention time;
// FaultyLog can be slow or down, lose the response to an append that has taken
// effect, and apply an append twice.
package recordlog
