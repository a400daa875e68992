package why

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dottereltiller/dottereltiller/decision"
)

// around is how long before and after a request the changes count that may
// explain it: a belief is corrected within a few seconds.
const around = 5 * time.Second

// Story is a selection of lines with what they are about.
type Story struct {
	About string `json:"about"`
	// Outcome is the last word on a request, empty for others.
	Outcome string  `json:"outcome,omitempty"`
	Events  []Event `json:"events"`
	// Damaged counts the lines that could not be read.
	Damaged int `json:"damaged_lines"`
}

// Event is one line of a story.
type Event struct {
	// AtMS is the time since the first event, in milliseconds.
	AtMS   float64           `json:"at_ms"`
	Time   time.Time         `json:"time"`
	Daemon string            `json:"daemon"`
	Kind   string            `json:"kind"`
	Fields map[string]string `json:"fields,omitempty"`
	// order keeps the fields as the line had them.
	order []Field
	// Context tells that the line is not about the request itself.
	Context bool `json:"context,omitempty"`
}

// Request tells the story of a request: its own lines, and the changes around it
// of what its daemons believed of the upstreams that took part, of the store and
// of the configuration.
func (l *Log) Request(id string) Story {
	s := Story{About: "request " + id, Damaged: l.Damaged}
	var own []Line
	daemons, upstreams := map[string]bool{}, map[string]bool{}
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Request != id {
			continue
		}
		own = append(own, *line)
		daemons[line.Daemon] = true
		for _, name := range []string{"upstream", "instead_of"} {
			if up := upstreamOf(line.Get(name)); up != "" {
				upstreams[up] = true
			}
		}
		if isEnd(line.Kind) {
			s.Outcome = outcomeOf(line)
		}
	}
	if len(own) == 0 {
		return s
	}
	from, to := own[0].Time.Add(-around), own[len(own)-1].Time.Add(around)
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Request == id {
			s.add(line, false)
		} else if line.Request == "" && !line.Time.Before(from) && !line.Time.After(to) && explains(line, daemons, upstreams) {
			s.add(line, true)
		}
	}
	return s
}

// upstreamOf returns the id of an upstream, which an entry names behind its
// daemon's address.
func upstreamOf(s string) string { return s[strings.LastIndexByte(s, ' ')+1:] }

func isEnd(kind string) bool {
	return slices.Contains([]decision.Kind{decision.Answered, decision.Refused, decision.Failed}, decision.Kind(kind))
}

func outcomeOf(l *Line) string {
	out := fmt.Sprintf("%s with %s after %s ms", l.Kind, l.Get("status"), l.Get("took_ms"))
	if r := l.Get("reason"); r != "" {
		out += ": " + r
	}
	return out
}

// explains reports whether a change of belief may have decided about a request of
// the daemons and upstreams.
func explains(l *Line, daemons, upstreams map[string]bool) bool {
	switch decision.Kind(l.Kind) {
	case decision.UpstreamState, decision.PeerState:
		return upstreams[upstreamOf(l.Get("upstream"))]
	case decision.ConfigInForce, decision.ConfigRefused, decision.StoreUnreachable, decision.StoreReachable, decision.Started,
		decision.Stopping, decision.Stopped, decision.Reloaded, decision.PeersLearned, decision.PeerUnreachable, decision.PeerReachable, decision.LinesDropped:
		return daemons[l.Daemon]
	default:
		return false
	}
}

// Upstream tells the story of an upstream: what it reported, what the daemons
// believed, and the runs that failed there.
func (l *Log) Upstream(id string) Story {
	s := Story{About: "upstream " + id, Damaged: l.Damaged}
	for i := range l.Lines {
		line := &l.Lines[i]
		if upstreamOf(line.Get("upstream")) != id {
			continue
		}
		switch decision.Kind(line.Kind) {
		case decision.UpstreamState, decision.PeerState, decision.RunFailed, decision.ReportRefused:
			s.add(line, false)
		}
	}
	return s
}

// Configuration tells when each daemon brought a version into force, or a later
// one, and from whom it had it.
func (l *Log) Configuration(version uint64) Story {
	s := Story{About: fmt.Sprintf("configuration %d", version), Damaged: l.Damaged}
	for i := range l.Lines {
		line := &l.Lines[i]
		kind := decision.Kind(line.Kind)
		at, errAt := strconv.ParseUint(line.Get("version"), 10, 64)
		before, errBefore := strconv.ParseUint(line.Get("previous"), 10, 64)
		reached := errAt == nil && errBefore == nil && at >= version && before < version
		if kind == decision.ConfigInForce && reached || kind == decision.ConfigRefused && at == version {
			s.add(line, false)
		}
	}
	return s
}

func (s *Story) add(l *Line, context bool) {
	e := Event{Time: l.Time, Daemon: l.Daemon, Kind: l.Kind, Fields: make(map[string]string, len(l.Fields)), order: l.Fields, Context: context}
	for _, f := range l.Fields {
		e.Fields[f.Name] = f.Value
	}
	s.Events = append(s.Events, e)
	e.AtMS = float64(e.Time.Sub(s.Events[0].Time)) / float64(time.Millisecond)
	s.Events[len(s.Events)-1].AtMS = e.AtMS
}

// WriteText writes a story for people. Lines of context are set off by a dot.
func (s *Story) WriteText(w io.Writer) error {
	if len(s.Events) == 0 {
		_, err := fmt.Fprintf(w, "%s: no line tells of it (%d lines could not be read)\n", s.About, s.Damaged)
		return err
	}
	if _, err := fmt.Fprintf(w, "%s, from %s\n", s.About, s.Events[0].Time.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	for i := range s.Events {
		e := &s.Events[i]
		mark := " "
		if e.Context {
			mark = "."
		}
		var fields strings.Builder
		for _, f := range e.order {
			if f.Value != "" {
				fmt.Fprintf(&fields, " %s=%s", f.Name, f.Value)
			}
		}
		if _, err := fmt.Fprintf(w, "%s %9.1f ms  %-24s %s%s\n", mark, e.AtMS, e.Daemon, e.Kind, fields.String()); err != nil {
			return err
		}
	}
	if s.Outcome != "" {
		if _, err := fmt.Fprintf(w, "outcome: %s\n", s.Outcome); err != nil {
			return err
		}
	}
	if s.Damaged > 0 {
		_, err := fmt.Fprintf(w, "%d lines could not be read\n", s.Damaged)
		return err
	}
	return nil
}

// WriteJSON writes a story for programs.
func (s *Story) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(s) }
