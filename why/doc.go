// Package why joins the decision lines in the logs of several daemons into one
// timeline. The timeline is about one request, one upstream or one version of the
// configuration.
//
// A request usually has lines of two daemons, its entry and its guard. The entry
// accepted the request from the caller and picked an upstream. The guard is the proxy
// in front of that upstream.
//
// Lines may come from any number of files in any order. Text before the JSON object
// of a line, which some log collectors add, is ignored. Lines that cannot be parsed
// are counted.
//
// Lines are ordered by their timestamps, which the daemons take from their own
// clocks. A time difference between lines of two daemons may therefore be a
// difference between their clocks.
package why
