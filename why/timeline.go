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

// contextWindow is how long before and after a request the changes count that may
// explain it: a belief is corrected within a few seconds.
const contextWindow = 5 * time.Second

// Timeline is a selection of lines with what they are about.
type Timeline struct {
	Subject string `json:"about"`
	// Outcome is the last word on a request, empty for others.
	Outcome string  `json:"outcome,omitempty"`
	Events  []Event `json:"events"`
	// UnreadableLines counts the lines that could not be read.
	UnreadableLines int `json:"damaged_lines"`
}

// Event is one line of a story.
type Event struct {
	// AtMS is the time since the first event, in milliseconds.
	AtMS   float64           `json:"at_ms"`
	Time   time.Time         `json:"time"`
	Daemon string            `json:"daemon"`
	Kind   string            `json:"kind"`
	Fields map[string]string `json:"fields,omitempty"`
	// orderedFields keeps the fields as the line had them.
	orderedFields []Field
	// Context tells that the line is not about the request itself.
	Context bool `json:"context,omitempty"`
}

// RequestTimeline tells the story of a request: its own lines, and the changes around it
// of what its daemons believed of the upstreams that took part, of the store and
// of the configuration.
func (l *Log) RequestTimeline(id string) Timeline {
	s := Timeline{Subject: "request " + id, UnreadableLines: l.UnreadableLines}
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
			if up := upstreamID(line.Get(name)); up != "" {
				upstreams[up] = true
			}
		}
		if endsRequest(line.Kind) {
			s.Outcome = describeOutcome(line)
		}
	}
	if len(own) == 0 {
		return s
	}
	from, to := own[0].Time.Add(-contextWindow), own[len(own)-1].Time.Add(contextWindow)
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Request == id {
			s.add(line, false)
		} else if line.Request == "" && !line.Time.Before(from) && !line.Time.After(to) && mayExplain(line, daemons, upstreams) {
			s.add(line, true)
		}
	}
	return s
}

// upstreamID returns the id of an upstream, which an entry names behind its
// daemon's address.
func upstreamID(s string) string { return s[strings.LastIndexByte(s, ' ')+1:] }

func endsRequest(kind string) bool {
	return slices.Contains([]decision.Kind{decision.Answered, decision.Refused, decision.Failed}, decision.Kind(kind))
}

func describeOutcome(l *Line) string {
	out := fmt.Sprintf("%s with %s after %s ms", l.Kind, l.Get("status"), l.Get("took_ms"))
	if r := l.Get("reason"); r != "" {
		out += ": " + r
	}
	return out
}

// mayExplain reports whether a change of belief may have decided about a request of
// the daemons and upstreams.
func mayExplain(l *Line, daemons, upstreams map[string]bool) bool {
	switch decision.Kind(l.Kind) {
	case decision.UpstreamState, decision.PeerState:
		return upstreams[upstreamID(l.Get("upstream"))]
	case decision.ConfigInForce, decision.ConfigRefused, decision.StoreUnreachable, decision.StoreReachable, decision.Started,
		decision.Stopping, decision.Stopped, decision.Reloaded, decision.PeersLearned, decision.PeerUnreachable, decision.PeerReachable, decision.LinesDropped:
		return daemons[l.Daemon]
	default:
		return false
	}
}

// UpstreamTimeline tells the story of an upstream: what it reported, what the daemons
// believed, and the runs that failed there.
func (l *Log) UpstreamTimeline(id string) Timeline {
	s := Timeline{Subject: "upstream " + id, UnreadableLines: l.UnreadableLines}
	for i := range l.Lines {
		line := &l.Lines[i]
		if upstreamID(line.Get("upstream")) != id {
			continue
		}
		switch decision.Kind(line.Kind) {
		case decision.UpstreamState, decision.PeerState, decision.RunFailed, decision.ReportRefused:
			s.add(line, false)
		}
	}
	return s
}

// ConfigurationTimeline tells when each daemon brought a version into force, or a later
// one, and from whom it had it.
func (l *Log) ConfigurationTimeline(version uint64) Timeline {
	s := Timeline{Subject: fmt.Sprintf("configuration %d", version), UnreadableLines: l.UnreadableLines}
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

func (s *Timeline) add(l *Line, context bool) {
	e := Event{Time: l.Time, Daemon: l.Daemon, Kind: l.Kind, Fields: make(map[string]string, len(l.Fields)), orderedFields: l.Fields, Context: context}
	for _, f := range l.Fields {
		e.Fields[f.Name] = f.Value
	}
	s.Events = append(s.Events, e)
	e.AtMS = float64(e.Time.Sub(s.Events[0].Time)) / float64(time.Millisecond)
	s.Events[len(s.Events)-1].AtMS = e.AtMS
}

// WriteText writes a story for people. Lines of context are set off by a dot.
func (s *Timeline) WriteText(w io.Writer) error {
	if len(s.Events) == 0 {
		_, err := fmt.Fprintf(w, "%s: no line tells of it (%d lines could not be read)\n", s.Subject, s.UnreadableLines)
		return err
	}
	if _, err := fmt.Fprintf(w, "%s, from %s\n", s.Subject, s.Events[0].Time.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	for i := range s.Events {
		e := &s.Events[i]
		mark := " "
		if e.Context {
			mark = "."
		}
		var fields strings.Builder
		for _, f := range e.orderedFields {
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
	if s.UnreadableLines > 0 {
		_, err := fmt.Fprintf(w, "%d lines could not be read\n", s.UnreadableLines)
		return err
	}
	return nil
}

// WriteJSON writes a story for programs.
func (s *Timeline) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(s) }
