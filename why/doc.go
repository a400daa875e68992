// Package why joins the decision lines of several daemons into a story: what
// became of a request, of an upstream, or when each daemon learned of a
// configuration.
//
// Lines may come from any number of files in any order. What comes before a
// line's JSON, as some collectors write, is passed over; what cannot be read is
// counted. Times are those of the daemons' own clocks, which may differ: lines are
// ordered by them, and a gap between two daemons may be one between two clocks.
package why
