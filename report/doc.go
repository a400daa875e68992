// Package report draws plots of the results of load runs and replays.
//
// A plot compares several results, for example one for each routing policy. Every
// group gets a plot of its latency percentiles, which also shows the ideal bound
// if a replay computed it. Results with a time series, such as those of load runs,
// also get a plot of p99 latency over time for each group, and plots of the groups'
// shares of slot time over time for each service.
package report
