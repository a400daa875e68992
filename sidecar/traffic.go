package sidecar

import (
	"net/http"

	"github.com/uber-go/tally/v4"
)

// kindNames name the kinds of datagrams in metrics.
var kindNames = map[byte]string{
	kindAsk:       "load_question",
	kindLoad:      "load",
	kindRecord:    "record",
	kindNoted:     "record_noted",
	kindNews:      "version",
	kindSuspects:  "suspects",
	kindHeartbeat: "heartbeat",
	kindRecords:   "records",
	kindCompare:   "comparison",
	kindSummary:   "summary",
	kindWish:      "wish",
	kindCompared:  "compared",
}

// pathNames name the messages by connection in metrics.
var pathNames = map[string]string{
	pathSync:   "sync",
	pathSettle: "settle",
	pathConfig: "configuration",
}

// traffic counts the bytes of what daemons say to each other besides calls, by kind.
// Messages by connection count at the daemon that answers them, without their headers.
type traffic struct {
	datagrams map[byte]byteCounter
	messages  map[string]byteCounter
}

// byteCounter counts bytes in both directions.
type byteCounter struct{ sent, received tally.Counter }

func newTraffic(scope tally.Scope) *traffic {
	t := &traffic{datagrams: make(map[byte]byteCounter), messages: make(map[string]byteCounter)}
	for kind, name := range kindNames {
		t.datagrams[kind] = newByteCounter(scope, name)
	}
	for path, name := range pathNames {
		t.messages[path] = newByteCounter(scope, name)
	}
	return t
}

func newByteCounter(scope tally.Scope, kind string) byteCounter {
	counter := func(direction string) tally.Counter {
		return scope.Tagged(map[string]string{"kind": kind, "direction": direction}).Counter("control_bytes")
	}
	return byteCounter{sent: counter("sent"), received: counter("received")}
}

// sent counts a datagram. Its first byte is the kind.
func (t *traffic) sent(b []byte) {
	if c, ok := t.datagrams[b[0]]; ok {
		c.sent.Inc(int64(len(b)))
	}
}

// received counts a datagram. Its first byte is the kind.
func (t *traffic) received(b []byte) {
	if c, ok := t.datagrams[b[0]]; ok {
		c.received.Inc(int64(len(b)))
	}
}

// message counts a message by connection and returns what to answer it with.
func (t *traffic) message(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	c, ok := t.messages[r.URL.Path]
	if !ok {
		return w
	}
	c.received.Inc(max(r.ContentLength, 0))
	return countingWriter{w, c.sent}
}

// countingWriter counts the bytes of a body.
type countingWriter struct {
	http.ResponseWriter
	sent tally.Counter
}

// Write implements io.Writer.
func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.sent.Inc(int64(n))
	return n, err
}

// Unwrap lets http.ResponseController reach the connection.
func (w countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
