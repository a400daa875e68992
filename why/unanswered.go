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

// Fate is how often a request has run.
type Fate string

// The fates, as far as logs tell.
const (
	NotAtAll     Fate = "not at all"
	Once         Fate = "once"
	AtMostOnce   Fate = "at most once"
	PerhapsTwice Fate = "perhaps twice"
)

// Loss is a request that must not run twice and got no answer from an upstream.
type Loss struct {
	Request string    `json:"request"`
	Time    time.Time `json:"time"`
	// Entry is the daemon that took it, empty where its log is not there.
	Entry string `json:"entry,omitempty"`
	// Upstreams may have run it.
	Upstreams []string `json:"upstreams"`
	// Told is the status that its caller got, empty where that is not known.
	Told string `json:"told,omitempty"`
	Fate Fate   `json:"fate"`
}

// Losses is what became of the requests of an upstream that must not run twice.
type Losses struct {
	Upstream string `json:"upstream"`
	Requests []Loss `json:"requests"`
	Damaged  int    `json:"damaged_lines"`
}

// Losses tells, for each request that must not run twice and whose run at an upstream has
// no answer, how often it has run.
func (l *Log) Losses(upstream string) Losses {
	out := Losses{Upstream: upstream, Damaged: l.Damaged}
	lines := make(map[string][]*Line)
	for i := range l.Lines {
		line := &l.Lines[i]
		if isLoss(line, upstream) {
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
		out.Requests = append(out.Requests, lossOf(id, of))
	}
	slices.SortFunc(out.Requests, func(a, b Loss) int {
		return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.Request, b.Request))
	})
	return out
}

// isLoss reports whether a line tells of a run at an upstream that has no answer.
func isLoss(l *Line, upstream string) bool {
	if l.Request == "" || l.Get("idempotent") != "false" || upstreamOf(l.Get("upstream")) != upstream {
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

// lossOf joins the lines of a request, in order of time.
func lossOf(id string, lines []*Line) Loss {
	loss := Loss{Request: id, Time: lines[0].Time}
	answered, refused := false, false
	for _, l := range lines {
		kind := decision.Kind(l.Kind)
		if up := upstreamOf(l.Get("upstream")); mayHaveRun(l) && up != "" && !slices.Contains(loss.Upstreams, up) {
			loss.Upstreams = append(loss.Upstreams, up)
		}
		if isEnd(l.Kind) {
			loss.Entry, loss.Told = l.Daemon, l.Get("status")
			answered = kind == decision.Answered
			refused = kind == decision.Refused
		}
	}
	switch {
	case len(loss.Upstreams) > 1:
		loss.Fate = PerhapsTwice
	case answered:
		loss.Fate = Once
	case refused && len(loss.Upstreams) == 0:
		loss.Fate = NotAtAll
	default:
		loss.Fate = AtMostOnce
	}
	return loss
}

// WriteText writes the requests for people, with a count of each fate.
func (l *Losses) WriteText(w io.Writer) error {
	count := make(map[Fate]int)
	for _, r := range l.Requests {
		count[r.Fate]++
	}
	_, err := fmt.Fprintf(w, "upstream %s: %d requests that must not run twice got no answer there\n", l.Upstream, len(l.Requests))
	if err != nil {
		return err
	}
	for _, f := range []Fate{NotAtAll, Once, AtMostOnce, PerhapsTwice} {
		if _, err := fmt.Fprintf(w, "%6d ran %s\n", count[f], f); err != nil {
			return err
		}
	}
	for _, r := range l.Requests {
		_, err := fmt.Fprintf(w, "%s  %-24s %s  ran %s, told %s, upstreams %s\n", r.Time.Format(time.RFC3339Nano), r.Entry, r.Request,
			r.Fate, r.Told, strings.Join(r.Upstreams, " "))
		if err != nil {
			return err
		}
	}
	if l.Damaged > 0 {
		_, err = fmt.Fprintf(w, "%d lines could not be read\n", l.Damaged)
	}
	return err
}

// WriteJSON writes the requests for programs.
func (l *Losses) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(l) }
