// Package delta encodes a document as its difference from another one that the receiver
// holds.
//
// A delta is a Zstandard frame (RFC 8878) whose dictionary is the document that it starts
// from. The frame names that document by a hash and carries a checksum of the result, so
// that a receiver which holds another document gets an error and never a wrong one.
package delta
