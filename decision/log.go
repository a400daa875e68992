package decision

import (
	"context"
	"hash/fnv"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Options configure a Log.
type Options struct {
	// Handler writes the lines.
	Handler slog.Handler
	// SampleOneIn sets how many requests are sampled: on average one in SampleOneIn. Plain
	// lines about requests that are not sampled are not written. Default: 16.
	SampleOneIn uint32
	// LinesPerSecond limits the rate of plain and trouble lines together. Default: 40.
	LinesPerSecond float64
	// BufferLines is the length of the queue of lines to be written. Default: 512.
	BufferLines int
	// Now returns the current time. Default: time.Now.
	Now func() time.Time
	// Scope receives the counters of decisions. If it is nil, they are not reported.
	Scope tally.Scope
}

const (
	defaultSampleOneIn = 16
	// defaultLinesPerSecond keeps the log of a daemon below 16 KB/s at 400 bytes a line.
	defaultLinesPerSecond = 40
	// defaultBufferLines keeps the buffer of a daemon below 256 KB at 400 bytes a line.
	defaultBufferLines = 512
	// burstSeconds sets the burst size of the rate limit: as many lines as the rate allows
	// in this many seconds.
	burstSeconds = 5
	// dropReportInterval is the minimum time between two lines that report dropped lines.
	dropReportInterval = time.Second
	// troubleReserveFraction is the fraction of the burst size that is reserved for trouble
	// lines. Plain lines are dropped when less than this reserve is left.
	troubleReserveFraction = 0.5
)

// Log writes decision lines. It is safe for concurrent use. A nil Log drops every line.
type Log struct {
	opts        Options
	counters    *decisionCounters
	classByKind map[Kind]Class
	// lines is the queue of lines to be written.
	lines chan queuedLine
	// done is closed when all queued lines have been written after Close.
	done chan struct{}

	// mu protects the fields below.
	mu     sync.Mutex
	closed bool
	// tokens is the number of lines that the rate limit allowed at tokensUpdatedAt.
	tokens          float64
	tokensUpdatedAt time.Time
	// droppedByClass counts the dropped lines of each class since dropsReportedAt.
	droppedByClass [State + 1]int64
	// dropsReportedAt is the time of the last line that reported dropped lines.
	dropsReportedAt time.Time
	// totalDropped counts the lines dropped since New, without plain lines of requests
	// that are not sampled.
	totalDropped int64
}

// queuedLine is a log record together with the handler that writes it.
type queuedLine struct {
	record  slog.Record
	handler slog.Handler
}

// New returns a Log and starts the goroutine that writes its lines. Close stops it.
func New(o Options) *Log {
	if o.SampleOneIn == 0 {
		o.SampleOneIn = defaultSampleOneIn
	}
	if o.LinesPerSecond <= 0 {
		o.LinesPerSecond = defaultLinesPerSecond
	}
	if o.BufferLines <= 0 {
		o.BufferLines = defaultBufferLines
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	l := &Log{
		opts:            o,
		counters:        newDecisionCounters(o.Scope),
		classByKind:     make(map[Kind]Class),
		lines:           make(chan queuedLine, o.BufferLines),
		done:            make(chan struct{}),
		tokens:          o.LinesPerSecond * burstSeconds,
		tokensUpdatedAt: o.Now(),
	}
	for _, d := range Declarations() {
		l.classByKind[d.Kind] = d.Class
	}
	go l.writeLines()
	return l
}

// Sampled reports whether plain lines about the request with this id are kept. If not,
// callers can skip building such lines. A caller that therefore does not call Write also
// leaves the decision out of the counters. A nil Log samples no request.
func (l *Log) Sampled(request string) bool {
	if l == nil {
		return false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(request))
	return h.Sum32()%l.opts.SampleOneIn == 0
}

// Write counts a decision of kind k and queues its line. It drops plain lines of requests
// that are not sampled. It also drops plain and trouble lines beyond the rate limit. A line
// of any class is dropped if the queue is full or the Log is closed. request is the id of
// the request that the decision is about. It is empty if the decision is not about a request.
func (l *Log) Write(k Kind, request string, attrs ...slog.Attr) {
	if l == nil {
		return
	}
	l.counters.add(k, attrs)
	class := l.classByKind[k]
	if class == Plain && !l.Sampled(request) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	if l.closed || !l.admit(class, now) {
		l.countDropped(class)
		return
	}
	l.reportDropped(now)
	l.enqueue(class, newRecord(now, k, class, request, attrs), l.opts.Handler)
}

// admit reports whether the rate limit allows a line of class c now. If so, it takes a token
// for the line. State lines need no token and are always admitted, since they are as rare as
// the changes that they report. l.mu is held.
func (l *Log) admit(c Class, now time.Time) bool {
	maxTokens := l.opts.LinesPerSecond * burstSeconds
	l.tokens = min(maxTokens, l.tokens+now.Sub(l.tokensUpdatedAt).Seconds()*l.opts.LinesPerSecond)
	l.tokensUpdatedAt = now
	if c == State {
		return true
	}
	minTokens := 1.0
	if c == Plain {
		minTokens = maxTokens * troubleReserveFraction
	}
	if l.tokens < minTokens {
		return false
	}
	l.tokens--
	return true
}

// reportDropped queues a line with the numbers of lines dropped since the last such line,
// if there are any. It does nothing while more than half of the queue is in use, or within
// dropReportInterval of the last such line. l.mu is held.
func (l *Log) reportDropped(now time.Time) {
	if l.droppedByClass == [State + 1]int64{} || len(l.lines) > cap(l.lines)/2 || now.Sub(l.dropsReportedAt) < dropReportInterval {
		return
	}
	l.dropsReportedAt = now
	attrs := []slog.Attr{
		slog.Int64("plain", l.droppedByClass[Plain]),
		slog.Int64("trouble", l.droppedByClass[Trouble]),
		slog.Int64("state", l.droppedByClass[State]),
	}
	l.droppedByClass = [State + 1]int64{}
	l.enqueue(State, newRecord(now, LinesDropped, State, "", attrs), l.opts.Handler)
}

// enqueue queues a line, or drops it if the queue is full. l.mu is held.
func (l *Log) enqueue(c Class, r slog.Record, h slog.Handler) {
	select {
	case l.lines <- queuedLine{record: r, handler: h}:
	default:
		l.countDropped(c)
	}
}

// countDropped counts a dropped line of class c. l.mu is held.
func (l *Log) countDropped(c Class) {
	l.droppedByClass[c]++
	l.totalDropped++
}

// Dropped returns how many lines were dropped since New returned the Log. It does not count
// the plain lines of requests that are not sampled.
func (l *Log) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totalDropped
}

// newRecord returns the log record of a decision. Trouble lines have level WARN, others
// INFO.
func newRecord(now time.Time, k Kind, c Class, request string, attrs []slog.Attr) slog.Record {
	level := slog.LevelInfo
	if c == Trouble {
		level = slog.LevelWarn
	}
	r := slog.NewRecord(now, level, string(k), 0)
	if request != "" {
		r.AddAttrs(slog.String("request", request))
	}
	r.AddAttrs(attrs...)
	return r
}

// writeLines writes the queued lines. It returns after Close, when the queue is empty.
func (l *Log) writeLines() {
	defer close(l.done)
	for queued := range l.lines {
		_ = queued.handler.Handle(context.Background(), queued.record)
	}
}

// Close makes the Log drop all further lines. It waits until the queued lines are written
// or the timeout expires. Close may be called repeatedly and on a nil Log.
func (l *Log) Close(timeout time.Duration) {
	if l == nil {
		return
	}
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(timeout):
	}
}
