// Package decision writes one structured line for each decision that touches a
// request or changes what a daemon believes.
//
// Every kind of line is declared once, with what it tells and how long it is
// kept when lines come faster than the budget allows: state changes and failures
// first, plain successes last. Successes are sampled by request id, so that all
// daemons keep the same requests. Writing never blocks: lines wait in a buffer of
// fixed length, and what does not fit is counted and reported in a line once
// there is room.
package decision
