// Package recordlog is the client of the platform's append-only log, with an
// in-memory implementation of that log for tests and local use.
//
// The log holds named streams of records. The offset of a record is its
// position in the stream, counted from 0. Records are kept for a limited time;
// a read below the oldest offset that is still kept fails with a TrimmedError.
// If the response to an append is lost, the records may have been appended. The
// AppendError then has Uncertain set. If the append certainly failed, Uncertain is not
// set.
//
// Client accesses the log over HTTP. Two wrappers keep the load of many daemons
// within the capacity of the log: Batcher merges appends that arrive at about
// the same time, and RateLimitedLog limits the rate of appends. Neither wrapper retries
// a failed append, because the append may have taken effect. Only the caller knows
// whether its records may be on the log twice, and how to recognize them when it reads
// them back.
//
// Memory is the in-memory implementation, which drops records after a retention time.
// FaultyLog injects faults into any Log, and Handler serves any Log over HTTP. A
// FaultyLog can be slow or down, lose the response to an append that has taken effect,
// and apply an append twice.
package recordlog
