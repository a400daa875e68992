// Package operator implements the operator's command line: it reads configuration
// documents, publishes them as changes on the platform's log, and reports whether
// the changes were accepted.
//
// A change is accepted once it has been read back from the log and the state machine
// of the configuration has accepted it. A lost reply to an append is handled in the
// same way: the change is looked up on the log by its id. Appending the same change
// again is safe, because the state machine applies an id only once. If the change is
// not found before the timeout, its outcome is reported as unknown. The report contains
// the id, so that the operator can look for the change later.
package operator
