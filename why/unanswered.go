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

// ExecutionCount is how often a request has run.
type ExecutionCount string

// The fates, as far as logs tell.
const (
	NotAtAll     ExecutionCount = "not at all"
	Once         ExecutionCount = "once"
	AtMostOnce   ExecutionCount = "at most once"
	PerhapsTwice ExecutionCount = "perhaps twice"
)

// UnansweredRequest is a request that must not run twice and got no answer from an upstream.
type UnansweredRequest struct {
	Request string    `json:"request"`
	Time    time.Time `json:"time"`
	// Entry is the daemon that took it, empty where its log is not there.
	Entry string `json:"entry,omitempty"`
	// Upstreams may have run it.
	Upstreams []string `json:"upstreams"`
	// CallerStatus is the status that its caller got, empty where that is not known.
	CallerStatus string         `json:"told,omitempty"`
	Executions   ExecutionCount `json:"fate"`
}

// UnansweredRequests is what became of the requests of an upstream that must not run twice.
type UnansweredRequests struct {
	Upstream        string              `json:"upstream"`
	Requests        []UnansweredRequest `json:"requests"`
	UnreadableLines int                 `json:"damaged_lines"`
}

// Unanswered tells, for each request that must not run twice and whose run at an upstream has
// no answer, how often it has run.
func (l *Log) Unanswered(upstream string) UnansweredRequests {
	out := UnansweredRequests{Upstream: upstream, UnreadableLines: l.UnreadableLines}
	lines := make(map[string][]*Line)
	for i := range l.Lines {
		line := &l.Lines[i]
		if hasUnknownExecution(line, upstream) {
			lines[line.Request] = nil
		}
	}
	for i := range l.Lines {
		line := &l.Lines[i]
		if _, ok := lines[line.Request]; ok {
			lines[line.Request] = append(lines[line.Request], line)
		}
	}
	for id, of := range lines {
		out.Requests = append(out.Requests, summarizeRequest(id, of))
	}
	slices.SortFunc(out.Requests, func(a, b UnansweredRequest) int {
		return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.Request, b.Request))
	})
	return out
}

// hasUnknownExecution reports whether a line tells of a run at an upstream that has no answer.
func hasUnknownExecution(l *Line, upstream string) bool {
	if l.Request == "" || l.Get("idempotent") != "false" || upstreamID(l.Get("upstream")) != upstream {
		return false
	}
	kind := decision.Kind(l.Kind)
	return kind == decision.Failed || kind == decision.RunFailed && l.Get("outcome") == "unknown"
}

// mayHaveRun reports whether the upstream of a line may have run its request.
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

// summarizeRequest joins the lines of a request, in order of time.
func summarizeRequest(id string, lines []*Line) UnansweredRequest {
	loss := UnansweredRequest{Request: id, Time: lines[0].Time}
	answered, refused := false, false
	for _, l := range lines {
		kind := decision.Kind(l.Kind)
		if up := upstreamID(l.Get("upstream")); mayHaveRun(l) && up != "" && !slices.Contains(loss.Upstreams, up) {
			loss.Upstreams = append(loss.Upstreams, up)
		}
		if endsRequest(l.Kind) {
			loss.Entry, loss.CallerStatus = l.Daemon, l.Get("status")
			answered = kind == decision.Answered
			refused = kind == decision.Refused
		}
	}
	switch {
	case len(loss.Upstreams) > 1:
		loss.Executions = PerhapsTwice
	case answered:
		loss.Executions = Once
	case refused && len(loss.Upstreams) == 0:
		loss.Executions = NotAtAll
	default:
		loss.Executions = AtMostOnce
	}
	return loss
}

// WriteText writes the requests for people, with a count of each fate.
func (l *UnansweredRequests) WriteText(w io.Writer) error {
	count := make(map[ExecutionCount]int)
	for _, r := range l.Requests {
		count[r.Executions]++
	}
	_, err := fmt.Fprintf(w, "upstream %s: %d requests that must not run twice got no answer there\n", l.Upstream, len(l.Requests))
	if err != nil {
		return err
	}
	for _, f := range []ExecutionCount{NotAtAll, Once, AtMostOnce, PerhapsTwice} {
		if _, err := fmt.Fprintf(w, "%6d ran %s\n", count[f], f); err != nil {
			return err
		}
	}
	for _, r := range l.Requests {
		_, err := fmt.Fprintf(w, "%s  %-24s %s  ran %s, told %s, upstreams %s\n", r.Time.Format(time.RFC3339Nano), r.Entry, r.Request,
			r.Executions, r.CallerStatus, strings.Join(r.Upstreams, " "))
		if err != nil {
			return err
		}
	}
	if l.UnreadableLines > 0 {
		_, err = fmt.Fprintf(w, "%d lines could not be read\n", l.UnreadableLines)
	}
	return err
}

// WriteJSON writes the requests for programs.
func (l *UnansweredRequests) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(l) }
