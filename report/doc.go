// Package report draws plots of the results of load runs and replays.
//
// A plot compares several results, for example one for each routing policy. Every
// group of callers gets a plot of its latency percentiles. This plot also shows the
// ideal bound, a lower bound on latency, if a replay computed it.
//
// Some results, such as those of load runs, hold a time series. For them, each group
// also gets a plot of its p99 latency over time. Each service gets one plot for each
// result, which shows the groups' shares of its slot time over time. Slot time is the
// time for which requests occupy slots of upstreams.
package report
