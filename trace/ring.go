package trace

import (
	"context"
	"slices"
	"sync"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Record is an ended span.
type Record struct {
	TraceID string `json:"trace_id"`
	SpanID  string `json:"span_id"`
	// ParentID is empty for the root span of a trace.
	ParentID string `json:"parent_id,omitempty"`
	Name     string `json:"name"`
	// Daemon and Zone identify the daemon that recorded the span.
	Daemon string    `json:"daemon"`
	Zone   string    `json:"zone"`
	Start  time.Time `json:"start"`
	// DurationUs is the duration in microseconds.
	DurationUs int64             `json:"duration_us"`
	Attributes map[string]string `json:"attributes,omitempty"`
}

// Ring is a ring buffer of the most recent records. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	records []Record
	// nextIndex is the index in records that the next record is stored at.
	nextIndex int
	// wrapped is set once all of records is in use.
	wrapped bool
}

// NewRing returns a Ring that holds up to size records. With size 0 it drops all
// records.
func NewRing(size int) *Ring { return &Ring{records: make([]Record, size)} }

// Add stores a record. It overwrites the oldest one when the ring is full.
func (r *Ring) Add(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) == 0 {
		return
	}
	r.records[r.nextIndex] = record
	r.nextIndex++
	if r.nextIndex == len(r.records) {
		r.nextIndex, r.wrapped = 0, true
	}
}

// Records returns the stored records, oldest first.
func (r *Ring) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.wrapped {
		return slices.Clone(r.records[:r.nextIndex])
	}
	return slices.Concat(r.records[r.nextIndex:], r.records[:r.nextIndex])
}

// ringProcessor is a sdktrace.SpanProcessor that adds ended spans to a Ring.
type ringProcessor struct {
	ring   *Ring
	daemon string
	zone   string
}

// OnStart implements sdktrace.SpanProcessor.
func (*ringProcessor) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

// OnEnd implements sdktrace.SpanProcessor.
func (p *ringProcessor) OnEnd(s sdktrace.ReadOnlySpan) {
	record := Record{
		TraceID:    s.SpanContext().TraceID().String(),
		SpanID:     s.SpanContext().SpanID().String(),
		Name:       s.Name(),
		Daemon:     p.daemon,
		Zone:       p.zone,
		Start:      s.StartTime(),
		DurationUs: s.EndTime().Sub(s.StartTime()).Microseconds(),
		Attributes: make(map[string]string, len(s.Attributes())),
	}
	if s.Parent().SpanID().IsValid() {
		record.ParentID = s.Parent().SpanID().String()
	}
	for _, a := range s.Attributes() {
		record.Attributes[string(a.Key)] = a.Value.String()
	}
	p.ring.Add(record)
}

// Shutdown implements sdktrace.SpanProcessor.
func (*ringProcessor) Shutdown(context.Context) error { return nil }

// ForceFlush implements sdktrace.SpanProcessor.
func (*ringProcessor) ForceFlush(context.Context) error { return nil }
