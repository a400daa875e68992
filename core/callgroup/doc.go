// Package callgroup finds the requests that one run of an upstream has sent, and tells which of
// them are worth a retry.
//
// # Concept
//
// While an upstream runs a request, it may send requests to other services, its calls. If one call
// fails, the run fails, and all other calls of the run were useless. A retry of a rejected call is
// therefore worth most if the other calls of its run are served, and nothing if another one has
// failed for good.
//
// A request does not name the run that sent it, its id is opaque, and its deadline may be one of its
// own. What the entry knows to which the upstream sends its calls is that calls that a run sends in
// parallel arrive together. A Tracker takes requests of one route that arrive within maxArrivalGap of the first
// for calls of the same run, a Group. If a route has so many requests that those of different runs
// often arrive together, it forms no groups. Calls that a run sends one after the other are not recognized.
//
// Requests of different callers are sometimes taken for a group. That only changes the order in which
// a scarce retry budget is spent.
//
// A Group counts how the requests in it stand. Its Prospect says what a retry of one of them may
// achieve.
package callgroup
