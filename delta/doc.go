// Package delta encodes a document as its difference from another document that
// the receiver already has.
//
// A delta is a Zstandard frame (RFC 8878) whose dictionary is the base
// document. The frame contains a hash of the base and a checksum of the target,
// so that a receiver with a different base gets an error, never a wrong
// document.
package delta
