// Package calltoken signs and verifies call tokens. An upstream that runs a
// request may itself call other services; such a call is a nested call. The token
// carries the caller, the group, the deadline and the call depth of the request over
// to its nested calls.
//
// # Concept
//
// The daemon sends a token to the upstream with each call. An upstream that
// calls another service includes the token in that call. The daemon that
// receives the nested call accounts it to the caller named in the token and
// limits its timeout to the time remaining until the deadline in the token.
// Tokens are signed with a key derived from the secret that all daemons share, so
// an upstream can neither claim another group nor extend a deadline. A token
// expires at its deadline.
//
// The deadline is a wall-clock time because other machines read it. A daemon whose
// clock is behind would compute too much remaining time and thus extend the
// deadline. The token therefore also holds the time that was left when it was
// signed, and a nested call never gets a longer timeout than that.
package calltoken
