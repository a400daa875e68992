// Package why joins the decision lines of several daemons into one timeline: the
// events of a request or of an upstream, or the times at which each daemon put a
// configuration version in force.
//
// A request usually has lines of two daemons: of the entry, which accepted the
// request from the caller and picked an upstream, and of the guard, the proxy in
// front of that upstream.
//
// Lines may come from any number of files in any order. Text before the JSON object
// of a line, which some log collectors add, is ignored. Lines that cannot be parsed
// are counted. Lines are ordered by their timestamps, which the daemons take from
// their own clocks: a time difference between lines of two daemons may be a
// difference between their clocks.
package why
