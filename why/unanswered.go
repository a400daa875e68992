package why

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/dottereltiller/dottereltiller/decision"
)

// ExecutionCount states how often a request was executed, as far as the logs show.
type ExecutionCount string

// The execution counts.
const (
	// NotAtAll means that the request was refused and no upstream may have executed it.
	NotAtAll ExecutionCount = "not at all"
	// Once means that the request was answered and only one upstream may have executed it.
	Once ExecutionCount = "once"
	// AtMostOnce means that no more than one upstream may have executed the request. The
	// logs do not show whether it was executed.
	AtMostOnce ExecutionCount = "at most once"
	// PerhapsTwice means that more than one upstream may have executed the request.
	PerhapsTwice ExecutionCount = "perhaps twice"
)

// UnansweredRequest is a non-idempotent request to which an upstream gave no response.
type UnansweredRequest struct {
	// Request is the id of the request.
	Request string `json:"request"`
	// Time is the time of the first line about the request.
	Time time.Time `json:"time"`
	// Entry is the daemon that accepted the request from the caller. It is empty if no
	// line records the end of the request at that daemon, for example because the
	// daemon's log was not read.
	Entry string `json:"entry,omitempty"`
	// Upstreams are the upstreams that may have executed the request.
	Upstreams []string `json:"upstreams"`
	// CallerStatus is the HTTP status that the caller received. It is empty if the status
	// is not known.
	CallerStatus string         `json:"told,omitempty"`
	Executions   ExecutionCount `json:"fate"`
}

// UnansweredRequests lists the non-idempotent requests to which one upstream gave no
// response.
type UnansweredRequests struct {
	// Upstream is the id of the upstream.
	Upstream string              `json:"upstream"`
	Requests []UnansweredRequest `json:"requests"`
	// UnreadableLines counts the lines of all logs that could not be parsed.
	UnreadableLines int `json:"damaged_lines"`
}

// Unanswered returns the non-idempotent requests to which the upstream with the given id
// gave no response, and how often each of them was executed. The requests are ordered by
// time. The lines of l must be sorted.
func (l *Log) Unanswered(upstream string) UnansweredRequests {
	out := UnansweredRequests{Upstream: upstream, UnreadableLines: l.UnreadableLines}
	linesByRequest := make(map[string][]*Line)
	for i := range l.Lines {
		line := &l.Lines[i]
		if recordsNoResponse(line, upstream) {
			linesByRequest[line.Request] = nil
		}
	}
	for i := range l.Lines {
		line := &l.Lines[i]
		if _, ok := linesByRequest[line.Request]; ok {
			linesByRequest[line.Request] = append(linesByRequest[line.Request], line)
		}
	}
	for id, lines := range linesByRequest {
		out.Requests = append(out.Requests, summarizeRequest(id, lines))
	}
	slices.SortFunc(out.Requests, func(a, b UnansweredRequest) int {
		return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.Request, b.Request))
	})
	return out
}

// recordsNoResponse reports whether a line records that the upstream gave no response to
// a non-idempotent request.
func recordsNoResponse(l *Line, upstream string) bool {
	if l.Request == "" || l.Get("idempotent") != "false" || upstreamID(l.Get("upstream")) != upstream {
		return false
	}
	kind := decision.Kind(l.Kind)
	return kind == decision.Failed || kind == decision.RunFailed && l.Get("outcome") == "unknown"
}

// mayHaveRun reports whether the upstream named in a line may have executed the request of
// the line.
func mayHaveRun(l *Line) bool {
	switch decision.Kind(l.Kind) {
	case decision.Ran, decision.Answered, decision.Failed:
		return true
	case decision.RunFailed:
		return l.Get("outcome") != "not-run"
	default:
		return false
	}
}

// summarizeRequest returns what the lines of a request show: where it may have been
// executed, how often, and what the caller received. The lines must be ordered by time.
func summarizeRequest(id string, lines []*Line) UnansweredRequest {
	out := UnansweredRequest{Request: id, Time: lines[0].Time}
	answered, refused := false, false
	for _, l := range lines {
		kind := decision.Kind(l.Kind)
		if up := upstreamID(l.Get("upstream")); mayHaveRun(l) && up != "" && !slices.Contains(out.Upstreams, up) {
			out.Upstreams = append(out.Upstreams, up)
		}
		if endsRequest(l.Kind) {
			out.Entry, out.CallerStatus = l.Daemon, l.Get("status")
			answered = kind == decision.Answered
			refused = kind == decision.Refused
		}
	}
	switch {
	case len(out.Upstreams) > 1:
		out.Executions = PerhapsTwice
	case answered:
		out.Executions = Once
	case refused && len(out.Upstreams) == 0:
		out.Executions = NotAtAll
	default:
		out.Executions = AtMostOnce
	}
	return out
}

// WriteText writes the requests as text. The first lines are the number of requests in
// total and for each ExecutionCount. One line for each request follows. The last line is
// the number of unreadable lines, if there are any.
func (u *UnansweredRequests) WriteText(w io.Writer) error {
	countByExecutions := make(map[ExecutionCount]int)
	for _, r := range u.Requests {
		countByExecutions[r.Executions]++
	}
	_, err := fmt.Fprintf(w, "upstream %s: %d requests that must not run twice got no answer there\n", u.Upstream, len(u.Requests))
	if err != nil {
		return err
	}
	for _, c := range []ExecutionCount{NotAtAll, Once, AtMostOnce, PerhapsTwice} {
		if _, err := fmt.Fprintf(w, "%6d ran %s\n", countByExecutions[c], c); err != nil {
			return err
		}
	}
	for _, r := range u.Requests {
		_, err := fmt.Fprintf(w, "%s  %-24s %s  ran %s, told %s, upstreams %s\n", r.Time.Format(time.RFC3339Nano), r.Entry, r.Request,
			r.Executions, r.CallerStatus, strings.Join(r.Upstreams, " "))
		if err != nil {
			return err
		}
	}
	if u.UnreadableLines > 0 {
		_, err = fmt.Fprintf(w, "%d lines could not be read\n", u.UnreadableLines)
	}
	return err
}

// WriteJSON writes the requests as one JSON object.
func (u *UnansweredRequests) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(u) }
