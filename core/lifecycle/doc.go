// Package lifecycle decides which incarnation of an upstream is the one at an address, and whether it accepts
// requests. All statements about that come here, whoever makes them and whenever they arrive.
//
// Each start of an upstream process is a new incarnation, identified by the upstream's id and the start time of
// the process. A restarted process may reuse the id of its predecessor. The start time may be unknown.
//
// Statements may be late, repeated, of an incarnation that has ended, or of another writer. The table lists who may
// state what, in the order of precedence:
//
//	statement                                  binds
//	-----------------------------------------  -----------------------------------------------------------
//	draining or deregistered, with a start     the incarnations of that id that started no later, for good
//	deregistered, without a start              the incarnations of that id that had started by then; the
//	                                           current one for good
//	response that states to be leaving         those that had started when the request was sent
//	another id responds at the address         those of the expected id that had started by then
//	departures stored by other daemons         as they were stated
//	ready, of a later start of the same id     replaces the current incarnation
//	ready, of another id, or the first report  counts if the process at the address confirms the id
//	ready, of an earlier start, or unordered   counts if the current incarnation is silent, and the process
//	                                           at the address does not object
//	ready, of the current incarnation          updates it if the sequence number is higher
//	health check response                      identifies the process; it never revives what has departed
//
// So a departure is only undone by a later start. The start times tell that, by one clock, as upstream and daemon
// share a VM. If that clock was set back, they do not, and a departure that named no start would bind a later one,
// too. Reports are late by seconds at most. So once DepartureHold has passed since such a departure, a report counts
// if the process at the address is healthy and confirms it.
package lifecycle
