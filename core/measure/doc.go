// Package measure keeps the cost of measuring an upstream within a budget. It also decides
// how far to trust the load that an upstream reports about itself.
//
// # Budget
//
// Each upstream of a service has a Budget. Everything that measuring takes from the upstream is
// converted to slot time and charged to the Budget: the time for which a poll or probe occupies
// the upstream, the connections opened, and the bytes transferred. The largest possible cost is
// reserved before a measurement, so that a slow response cannot exceed the budget. The unused
// part is returned afterwards. The budget is a share of the upstream's capacity and a hard
// limit: within any time window, the charges are at most that share of the window's slot time
// (its length times the number of slots) plus one burst, the slot time that may be charged at
// once.
//
// # Trust
//
// The guard, the proxy in front of the upstream, knows exactly how many requests it has
// running there. A report of the upstream may be late or false. A Trust compares each
// report with what the guard observed during the time that the report may refer to. A
// report of fewer requests than were certainly running is contradicted. A report of more
// requests than the guard had running refers to requests from elsewhere. Such a report is
// trusted only if the guard's own requests take clearly longer than usual, and then only in
// part. Trusted reports can only increase the load that the guard reports to entries, the
// proxies that choose the upstreams.
//
// # Schedule
//
// A Schedule makes polls rare while reports and observations agree, and frequent while they
// differ. The budget is thus spent where a report is most informative.
//
// A Monitor combines a Budget, a Trust and a Schedule for one upstream.
package measure
