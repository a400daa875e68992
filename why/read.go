package why

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"
)

// Line is one decision line of a log.
type Line struct {
	Time time.Time
	// Daemon is the name of the daemon that wrote the line. If the line does not state it,
	// Daemon is the name that was passed to Read.
	Daemon string
	// Kind is the message of the line: a decision.Kind.
	Kind string
	// Request is the id of the request that the line is about. It is empty if the line
	// is not about a request.
	Request string
	// Fields are the remaining fields, except the level, in their order in the line.
	Fields []Field
}

// Field is one field of a line. Values other than JSON strings are kept as JSON text.
type Field struct {
	Name  string
	Value string
}

// Get returns the value of the first field with the given name, or an empty string if the
// line has no such field.
func (l *Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Log holds the decision lines of all files that were read.
type Log struct {
	Lines []Line
	// UnreadableLines counts the lines that are neither decision lines nor blank.
	UnreadableLines int
}

// maxLineBytes is the maximum length of a line. Read fails on longer lines.
const maxLineBytes = 1 << 20

// Read adds the lines of the file with the given name, which r reads. For lines that do not
// name their daemon, Daemon is set to the name of the file. Read returns an error if r fails
// or a line is longer than maxLineBytes. The lines before the error are still added.
func (l *Log) Read(name string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for s.Scan() {
		line, ok := parseLine(s.Bytes())
		switch {
		case len(bytes.TrimSpace(s.Bytes())) == 0:
			continue
		case !ok:
			l.UnreadableLines++
			continue
		case line.Daemon == "":
			line.Daemon = name
		}
		l.Lines = append(l.Lines, line)
	}
	return s.Err()
}

// Sort orders the lines by time. Call it before the methods that return timelines or
// unanswered requests, since these methods need ordered lines.
func (l *Log) Sort() {
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// parseLine parses one line and reports whether it is a decision line: a JSON object with a
// message and a valid time, which other text may precede.
func parseLine(b []byte) (Line, bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return Line{}, false
	}
	d := json.NewDecoder(bytes.NewReader(b[start:]))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return Line{}, false
	}
	var l Line
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return Line{}, false
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return Line{}, false
		}
		if !l.setMember(key.(string), value) {
			return Line{}, false
		}
	}
	if _, err := d.Token(); err != nil {
		return Line{}, false
	}
	return l, l.Kind != "" && !l.Time.IsZero()
}

// setMember stores one member of the line's JSON object in l. It returns false if the
// member is the time and its value is not a valid time.
func (l *Line) setMember(key string, value json.RawMessage) bool {
	text := string(value)
	var s string
	if json.Unmarshal(value, &s) == nil {
		text = s
	}
	switch key {
	case "time":
		t, err := time.Parse(time.RFC3339Nano, text)
		l.Time = t
		return err == nil
	case "daemon":
		l.Daemon = text
	case "msg":
		l.Kind = text
	case "request":
		l.Request = text
	case "level":
	default:
		l.Fields = append(l.Fields, Field{Name: key, Value: text})
	}
	return true
}
