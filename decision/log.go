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
	// SampleOneIn keeps one in so many requests' plain lines. Default: 16.
	SampleOneIn uint32
	// LinesPerSecond bounds plain and trouble lines. Default: 40.
	LinesPerSecond float64
	// BufferLines is the number of lines that may wait. Default: 512.
	BufferLines int
	// Now reads the time. Default: time.Now.
	Now func() time.Time
	// Scope receives the counters of decisions. Nil means none.
	Scope tally.Scope
}

const (
	// defaultSampleOneIn, defaultLinesPerSecond and defaultBufferLines hold a daemon's log under
	// 16 KB/s at 400 bytes a line and its buffer under 256 KB.
	defaultSampleOneIn    = 16
	defaultLinesPerSecond = 40
	defaultBufferLines    = 512
	// burstSeconds is how many seconds' worth of unused lines may be saved up.
	burstSeconds = 5
	// dropReportInterval is the time between two reports of dropped lines.
	dropReportInterval = time.Second
	// troubleReserve is the share of the saved lines that plain ones leave alone.
	troubleReserve = 0.5
)

// Log writes lines. It is safe for concurrent use. A nil Log drops everything.
type Log struct {
	opts     Options
	counters *decisionCounters
	classes  map[Kind]Class
	lines    chan queuedLine
	done     chan struct{}

	mu              sync.Mutex
	closed          bool
	tokens          float64
	tokensUpdatedAt time.Time
	dropped         [State + 1]int64
	// dropsReportedAt is when that was last reported.
	dropsReportedAt time.Time
	// totalDropped counts all lines ever dropped.
	totalDropped int64
}

// queuedLine is a record and the handler that writes it.
type queuedLine struct {
	record  slog.Record
	handler slog.Handler
}

// New returns a Log. Close flushes it.
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
		classes:         make(map[Kind]Class),
		lines:           make(chan queuedLine, o.BufferLines),
		done:            make(chan struct{}),
		tokens:          o.LinesPerSecond * burstSeconds,
		tokensUpdatedAt: o.Now(),
	}
	for _, d := range Declarations() {
		l.classes[d.Kind] = d.Class
	}
	go l.writeLines()
	return l
}

// Sampled reports whether plain lines of a request are kept, so that the work of
// making them can be left out.
func (l *Log) Sampled(request string) bool {
	if l == nil {
		return false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(request))
	return h.Sum32()%l.opts.SampleOneIn == 0
}

// Write writes a line of a kind. Request is the id of the request that it is
// about, empty where there is none.
func (l *Log) Write(k Kind, request string, attrs ...slog.Attr) {
	if l == nil {
		return
	}
	l.counters.add(k, attrs)
	class := l.classes[k]
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

// admit reports whether the budget allows a line. State lines are always
// admitted: they are as rare as the changes that they tell of.
func (l *Log) admit(c Class, now time.Time) bool {
	most := l.opts.LinesPerSecond * burstSeconds
	l.tokens = min(most, l.tokens+now.Sub(l.tokensUpdatedAt).Seconds()*l.opts.LinesPerSecond)
	l.tokensUpdatedAt = now
	if c == State {
		return true
	}
	floor := 1.0
	if c == Plain {
		floor = most * troubleReserve
	}
	if l.tokens < floor {
		return false
	}
	l.tokens--
	return true
}

// reportDropped reports what was dropped, once there is room again.
func (l *Log) reportDropped(now time.Time) {
	if l.dropped == [State + 1]int64{} || len(l.lines) > cap(l.lines)/2 || now.Sub(l.dropsReportedAt) < dropReportInterval {
		return
	}
	l.dropsReportedAt = now
	attrs := []slog.Attr{
		slog.Int64("plain", l.dropped[Plain]),
		slog.Int64("trouble", l.dropped[Trouble]),
		slog.Int64("state", l.dropped[State]),
	}
	l.dropped = [State + 1]int64{}
	l.enqueue(State, newRecord(now, LinesDropped, State, "", attrs), l.opts.Handler)
}

func (l *Log) enqueue(c Class, r slog.Record, h slog.Handler) {
	select {
	case l.lines <- queuedLine{record: r, handler: h}:
	default:
		l.countDropped(c)
	}
}

// countDropped counts a line. l.mu is held.
func (l *Log) countDropped(c Class) {
	l.dropped[c]++
	l.totalDropped++
}

// Dropped returns how many lines were dropped since the start, plain ones of
// requests that are not sampled left out.
func (l *Log) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totalDropped
}

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

func (l *Log) writeLines() {
	defer close(l.done)
	for w := range l.lines {
		_ = w.handler.Handle(context.Background(), w.record)
	}
}

// Close writes what waits, for at most the given time.
func (l *Log) Close(wait time.Duration) {
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
	case <-time.After(wait):
	}
}
