package why

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dottereltiller/dottereltiller/decision"
)

// contextWindow determines which state changes are in the timeline of a request: those from
// contextWindow before the request's first line to contextWindow after its last line.
// Daemons correct outdated state within a few seconds, so state changes outside this period
// did not affect the request.
const contextWindow = 5 * time.Second

// Timeline is a list of decision lines about one subject, ordered by time.
type Timeline struct {
	Subject string `json:"about"`
	// Outcome describes how a request ended. It is empty for other subjects.
	Outcome string  `json:"outcome,omitempty"`
	Events  []Event `json:"events"`
	// UnreadableLines counts the lines of all logs that could not be parsed.
	UnreadableLines int `json:"damaged_lines"`
}

// Event is one line of a timeline.
type Event struct {
	// AtMS is the time since the first event of the timeline, in milliseconds.
	AtMS   float64           `json:"at_ms"`
	Time   time.Time         `json:"time"`
	Daemon string            `json:"daemon"`
	Kind   string            `json:"kind"`
	Fields map[string]string `json:"fields,omitempty"`
	// orderedFields holds the same fields as Fields, in their order in the line.
	orderedFields []Field
	// Context is true if the line is about a state change that may explain the outcome
	// of the request. It is false for lines about the request itself.
	Context bool `json:"context,omitempty"`
}

// RequestTimeline returns the lines about a request and the lines about state changes that
// may explain its outcome. These are changes of the upstreams to which the request was sent,
// and changes at the daemons that handled the request. Changes at a daemon are those of its
// configuration, its settings, the store and its peers, its start and stop, and dropped log
// lines. See contextWindow for the period of these changes. A rate limit that an upstream named earlier
// is included while it is in force.
func (l *Log) RequestTimeline(id string) Timeline {
	t := Timeline{Subject: "request " + id, UnreadableLines: l.UnreadableLines}
	var requestLines []Line
	daemons, upstreams := map[string]bool{}, map[string]bool{}
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Request != id {
			continue
		}
		requestLines = append(requestLines, *line)
		daemons[line.Daemon] = true
		for _, name := range []string{"upstream", "instead_of"} {
			if upstream := upstreamID(line.Get(name)); upstream != "" {
				upstreams[upstream] = true
			}
		}
		if endsRequest(line.Kind) {
			t.Outcome = describeOutcome(line)
		}
	}
	if len(requestLines) == 0 {
		return t
	}
	l.addLimitsInForce(&t, requestLines[0].Time.Add(-contextWindow), upstreams)
	windowStart, windowEnd := requestLines[0].Time.Add(-contextWindow), requestLines[len(requestLines)-1].Time.Add(contextWindow)
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Request == id {
			t.add(line, false)
		} else if line.Request == "" && !line.Time.Before(windowStart) && !line.Time.After(windowEnd) && mayExplain(line, daemons, upstreams) {
			t.add(line, true)
		}
	}
	return t
}

// addLimitsInForce adds the latest line about the rate limit of each given upstream before an instant, unless it
// says that the upstream has lifted the limit.
func (l *Log) addLimitsInForce(t *Timeline, before time.Time, upstreams map[string]bool) {
	latest := map[string]int{}
	for i := range l.Lines {
		line := &l.Lines[i]
		if id := upstreamID(line.Get("upstream")); line.Kind == string(decision.UpstreamLimited) && upstreams[id] && line.Time.Before(before) {
			latest[id] = i
		}
	}
	for _, i := range slices.Sorted(maps.Values(latest)) {
		if l.Lines[i].Get("limited") == "true" {
			t.add(&l.Lines[i], true)
		}
	}
}

// upstreamID returns the id of an upstream from the value of an upstream field. Entries
// write "ADDRESS ID" with the address of the upstream's daemon, guards only the id.
func upstreamID(field string) string { return field[strings.LastIndexByte(field, ' ')+1:] }

// endsRequest reports whether a line of this kind records the end of a request at the entry.
func endsRequest(kind string) bool {
	return slices.Contains([]decision.Kind{decision.Answered, decision.Refused, decision.Failed}, decision.Kind(kind))
}

// describeOutcome returns a text such as "request failed with 504 after 300 ms: deadline".
func describeOutcome(l *Line) string {
	out := fmt.Sprintf("%s with %s after %s ms", l.Kind, l.Get("status"), l.Get("took_ms"))
	if r := l.Get("reason"); r != "" {
		out += ": " + r
	}
	return out
}

// mayExplain reports whether a line records a state change that may have affected a
// request. daemons holds the names of the daemons that handled the request, and upstreams
// the IDs of the upstreams to which the request was sent.
func mayExplain(l *Line, daemons, upstreams map[string]bool) bool {
	switch decision.Kind(l.Kind) {
	case decision.UpstreamState, decision.UpstreamDeparture, decision.UpstreamLimited, decision.PeerState, decision.PeerLeaving:
		return upstreams[upstreamID(l.Get("upstream"))]
	case decision.ConfigInForce, decision.ConfigRefused, decision.StoreUnreachable, decision.StoreReachable, decision.Started,
		decision.Stopping, decision.Stopped, decision.Reloaded, decision.PeersLearned, decision.PeerUnreachable, decision.PeerReachable, decision.LinesDropped:
		return daemons[l.Daemon]
	default:
		return false
	}
}

// UpstreamTimeline returns the lines about an upstream. They record its state at the daemon
// of its own VM and at other daemons, its invalid reports, and the requests that failed at
// the upstream.
func (l *Log) UpstreamTimeline(id string) Timeline {
	t := Timeline{Subject: "upstream " + id, UnreadableLines: l.UnreadableLines}
	for i := range l.Lines {
		line := &l.Lines[i]
		if upstreamID(line.Get("upstream")) != id {
			continue
		}
		switch decision.Kind(line.Kind) {
		case decision.UpstreamState, decision.UpstreamDeparture, decision.UpstreamLimited, decision.PeerState, decision.PeerLeaving, decision.RunFailed, decision.ReportRefused:
			t.add(line, false)
		}
	}
	return t
}

// ConfigurationTimeline returns the lines that show when each daemon put a configuration
// version in force and from where it received the version. A daemon may skip versions, so a
// line about a later version is included if the daemon's previous version was lower than
// the given one. The lines of daemons that refused the given version are also included.
func (l *Log) ConfigurationTimeline(version uint64) Timeline {
	t := Timeline{Subject: fmt.Sprintf("configuration %d", version), UnreadableLines: l.UnreadableLines}
	for i := range l.Lines {
		line := &l.Lines[i]
		kind := decision.Kind(line.Kind)
		newVersion, newVersionErr := strconv.ParseUint(line.Get("version"), 10, 64)
		previousVersion, previousVersionErr := strconv.ParseUint(line.Get("previous"), 10, 64)
		reachesVersion := newVersionErr == nil && previousVersionErr == nil && newVersion >= version && previousVersion < version
		if kind == decision.ConfigInForce && reachesVersion || kind == decision.ConfigRefused && newVersion == version {
			t.add(line, false)
		}
	}
	return t
}

// add appends a line as an event. isContext is true if the line is not about the subject
// itself but about a state change that may explain the outcome.
func (t *Timeline) add(l *Line, isContext bool) {
	e := Event{Time: l.Time, Daemon: l.Daemon, Kind: l.Kind, Fields: make(map[string]string, len(l.Fields)), orderedFields: l.Fields, Context: isContext}
	for _, f := range l.Fields {
		e.Fields[f.Name] = f.Value
	}
	t.Events = append(t.Events, e)
	e.AtMS = float64(e.Time.Sub(t.Events[0].Time)) / float64(time.Millisecond)
	t.Events[len(t.Events)-1].AtMS = e.AtMS
}

// WriteText writes the timeline as text. Lines of events with Context set start with a dot.
func (t *Timeline) WriteText(w io.Writer) error {
	if len(t.Events) == 0 {
		_, err := fmt.Fprintf(w, "%s: not found in the logs (%d lines could not be read)\n", t.Subject, t.UnreadableLines)
		return err
	}
	if _, err := fmt.Fprintf(w, "%s, from %s\n", t.Subject, t.Events[0].Time.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	for i := range t.Events {
		e := &t.Events[i]
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
	if t.Outcome != "" {
		if _, err := fmt.Fprintf(w, "outcome: %s\n", t.Outcome); err != nil {
			return err
		}
	}
	if t.UnreadableLines > 0 {
		_, err := fmt.Fprintf(w, "%d lines could not be read\n", t.UnreadableLines)
		return err
	}
	return nil
}

// WriteJSON writes the timeline as one JSON object.
func (t *Timeline) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(t) }
