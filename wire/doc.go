// Package wire holds what travels between two daemons with a call: the Call
// that goes out, the Result that comes back, and the headers that carry both
// over HTTP/1.1.
//
// Control messages do not travel here; they are connect-go messages in
// proto/dottereltiller/peer/v1.
package wire
