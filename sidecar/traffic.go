package sidecar

import (
	"net/http"

	"github.com/uber-go/tally/v4"
)

// datagramNameByKind maps the kinds of datagrams to their names in metrics.
var datagramNameByKind = map[byte]string{
	kindLoadQuery:      "load_question",
	kindLoadReply:      "load",
	kindRecordPush:     "record",
	kindRecordAck:      "record_noted",
	kindVersion:        "version",
	kindSuspects:       "suspects",
	kindHeartbeat:      "heartbeat",
	kindRelayedRecords: "records",
	kindDigest:         "comparison",
	kindSummary:        "summary",
	kindRecordRequest:  "wish",
	kindMissingRecords: "compared",
	kindEvacuations:    "evacuations",
	kindQuotaRequest:   "quota_request",
	kindQuotaReply:     "quota_reply",
	kindProbe:          "probe",
	kindProbeReply:     "probe_reply",
}

// messageNameByPath maps the paths of control messages to their names in metrics.
var messageNameByPath = map[string]string{
	pathSync:    "sync",
	pathResolve: "settle",
	pathConfig:  "configuration",
}

// controlTraffic counts the bytes of control messages between daemons by kind. Calls are not
// included. Messages over HTTP are counted without headers, by the daemon that serves them.
type controlTraffic struct {
	// countersByKind holds the counters of datagrams, by kind.
	countersByKind map[byte]byteCounter
	// countersByPath holds the counters of control messages over HTTP, by path.
	countersByPath map[string]byteCounter
}

// byteCounter counts bytes in both directions.
type byteCounter struct{ sent, received tally.Counter }

func newControlTraffic(scope tally.Scope) *controlTraffic {
	t := &controlTraffic{countersByKind: make(map[byte]byteCounter), countersByPath: make(map[string]byteCounter)}
	for kind, name := range datagramNameByKind {
		t.countersByKind[kind] = newByteCounter(scope, name)
	}
	for path, name := range messageNameByPath {
		t.countersByPath[path] = newByteCounter(scope, name)
	}
	return t
}

func newByteCounter(scope tally.Scope, kind string) byteCounter {
	counter := func(direction string) tally.Counter {
		return scope.Tagged(map[string]string{"kind": kind, "direction": direction}).Counter("control_bytes")
	}
	return byteCounter{sent: counter("sent"), received: counter("received")}
}

// countSent counts a sent datagram, whose first byte is its kind.
func (t *controlTraffic) countSent(b []byte) {
	if c, ok := t.countersByKind[b[0]]; ok {
		c.sent.Inc(int64(len(b)))
	}
}

func (t *controlTraffic) countReceived(b []byte) {
	if c, ok := t.countersByKind[b[0]]; ok {
		c.received.Inc(int64(len(b)))
	}
}

// countMessage counts an HTTP control message. It returns a ResponseWriter that counts the
// response. A request with any other path is not counted, and w is returned unchanged.
func (t *controlTraffic) countMessage(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	c, ok := t.countersByPath[r.URL.Path]
	if !ok {
		return w
	}
	c.received.Inc(max(r.ContentLength, 0))
	return countingWriter{w, c.sent}
}

// countingWriter counts the bytes of a response body.
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

// Unwrap returns the wrapped ResponseWriter for http.ResponseController.
func (w countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
