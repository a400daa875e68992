// Package calltoken signs and verifies the tokens that pass the group, deadline
// and call depth of a request on to the calls that its upstream makes in turn
// (nested calls).
//
// # Concept
//
// The daemon sends a token to the upstream with each call. An upstream that
// calls another service includes the token in that call. The daemon that
// receives the nested call accounts it to the caller named in the token and
// limits its timeout to the time remaining. Tokens are signed with a key
// derived from the secret that all daemons share, so an upstream can neither
// claim another group nor extend a deadline. A token expires at its deadline.
//
// The deadline is a wall-clock time because it is read on other machines. The
// token also holds the time that was left when it was signed, so that a daemon
// whose clock is behind never extends the deadline.
package calltoken
