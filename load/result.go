package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/latency"
)

// Latency holds latency percentiles in microseconds.
type Latency = latency.Percentiles

// Stats are the results of a run for one group of a service, or in total.
type Stats struct {
	// Service and Group are empty in the total.
	Service  model.ServiceName `json:"service,omitempty"`
	Group    model.GroupName   `json:"group,omitempty"`
	Requests int64             `json:"requests"`
	// Answered, NotRun and Unknown count the requests by outcome. NotRun means that
	// the request certainly was not executed, Unknown that it may have been.
	Answered int64 `json:"answered"`
	NotRun   int64 `json:"not_run"`
	Unknown  int64 `json:"unknown"`
	// Reasons counts, by reason, the requests that were not answered.
	Reasons map[string]int64 `json:"reasons,omitempty"`
	// Latency covers answered requests only. It is measured from the time when a
	// request was due to the end of its response.
	Latency
	// SlotTimeShare is the group's share of the slot time of its service. Slot
	// time is the time for which requests occupy slots of upstreams. The share is
	// computed from the costs that the plan states.
	SlotTimeShare float64 `json:"slot_time_share"`
	// Series holds one point for each second of the run.
	Series []Point `json:"series,omitempty"`
}

// Point holds the results of the requests that were due in one second.
type Point struct {
	// AtMs is the start of the second, in milliseconds since the start of the run.
	AtMs int64 `json:"at_ms"`
	// Answered, NotRun and Unknown count the requests by outcome.
	Answered int64 `json:"answered"`
	NotRun   int64 `json:"not_run"`
	Unknown  int64 `json:"unknown"`
	Latency
	// SlotTimeUs is the slot time of the answered requests, in microseconds. It is
	// the sum of Source.Cost over these requests.
	SlotTimeUs int64 `json:"slot_time_us"`
}

// Result is the result of a run.
type Result struct {
	// DurationMs is the plan's duration in milliseconds.
	DurationMs int64   `json:"duration_ms"`
	Seed       uint64  `json:"seed"`
	Total      Stats   `json:"total"`
	Groups     []Stats `json:"groups"`
	// SendLagP99Us is the p99 of the time from when a request was due until it
	// was sent. Latencies include this time.
	SendLagP99Us int64 `json:"send_lag_p99_us"`
	// Held counts the requests that had to wait because of the plan's
	// max_in_flight.
	Held int64 `json:"held"`
	// Wrong counts the responses that failed the check of Source.Verify.
	Wrong int64 `json:"wrong"`
	// WrongAnswers describes the first maxWrongAnswers of the responses that Wrong
	// counts.
	WrongAnswers []string `json:"wrong_answers,omitempty"`
}

// Progress holds intermediate results of a run.
type Progress struct {
	Elapsed time.Duration
	// Requests counts the completed requests, whatever their outcome.
	Requests int64
	// Answered, NotRun and Unknown count the completed requests by outcome.
	Answered int64
	NotRun   int64
	Unknown  int64
	InFlight int
	// P99 is the p99 latency since the start of the run.
	P99 time.Duration
}

// String returns the progress on one line.
func (p Progress) String() string {
	return fmt.Sprintf("%3.0f s: %d ended, %d answered, %d not run, %d unknown, %d in flight, p99 %.2f ms",
		p.Elapsed.Seconds(), p.Requests, p.Answered, p.NotRun, p.Unknown, p.InFlight, p.P99.Seconds()*1000)
}

// Print writes the results as a table.
func (r *Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "service\tgroup\trequests\tanswered\tnot run\tunknown\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\tslot time\t")
	for _, stats := range r.Groups {
		printRow(t, string(stats.Service), string(stats.Group), stats)
	}
	printRow(t, "all", "", r.Total)
	if err := t.Flush(); err != nil {
		return err
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Total.Reasons)) {
		_, _ = fmt.Fprintf(w, "not answered, reason %s: %d\n", reason, r.Total.Reasons[reason])
	}
	_, err := fmt.Fprintf(w, "latency is measured from when a request was due; p99 of the delay until it was sent: %.2f ms; requests held by max_in_flight: %d\n",
		milliseconds(r.SendLagP99Us), r.Held)
	return err
}

func printRow(w io.Writer, service, group string, stats Stats) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f%%\t\n", service, group,
		stats.Requests, stats.Answered, stats.NotRun, stats.Unknown,
		milliseconds(stats.P50), milliseconds(stats.P99), milliseconds(stats.P999), milliseconds(stats.Max), 100*stats.SlotTimeShare)
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
