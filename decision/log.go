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
	// Buffer is the number of lines that may wait. Default: 512.
	Buffer int
	// Now reads the time. Default: time.Now.
	Now func() time.Time
	// Scope receives the counters of decisions. Nil means none.
	Scope tally.Scope
}

const (
	// defaultSample, defaultRate and defaultBuffer hold a daemon's log under
	// 16 KB/s at 400 bytes a line and its buffer under 256 KB.
	defaultSample = 16
	defaultRate   = 40
	defaultBuffer = 512
	// burstSeconds is how many seconds' worth of unused lines may be saved up.
	burstSeconds = 5
	// tellEvery is the time between two reports of dropped lines.
	tellEvery = time.Second
	// plainShare is the share of the saved lines that plain ones leave alone.
	plainShare = 0.5
)

// Log writes lines. It is safe for concurrent use. A nil Log drops everything.
type Log struct {
	opts    Options
	counts  *counts
	classes map[Kind]Class
	lines   chan line
	done    chan struct{}

	mu      sync.Mutex
	closed  bool
	tokens  float64
	at      time.Time
	dropped [State + 1]int64
	// told is when that was last reported.
	told time.Time
	// total counts all lines ever dropped.
	total int64
}

// line is a record and the handler that writes it.
type line struct {
	record  slog.Record
	handler slog.Handler
}

// New returns a Log. Close flushes it.
func New(o Options) *Log {
	if o.SampleOneIn == 0 {
		o.SampleOneIn = defaultSample
	}
	if o.LinesPerSecond <= 0 {
		o.LinesPerSecond = defaultRate
	}
	if o.Buffer <= 0 {
		o.Buffer = defaultBuffer
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	l := &Log{
		opts:    o,
		counts:  newCounts(o.Scope),
		classes: make(map[Kind]Class),
		lines:   make(chan line, o.Buffer),
		done:    make(chan struct{}),
		tokens:  o.LinesPerSecond * burstSeconds,
		at:      o.Now(),
	}
	for _, d := range Declarations() {
		l.classes[d.Kind] = d.Class
	}
	go l.write()
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
	l.counts.add(k, attrs)
	class := l.classes[k]
	if class == Plain && !l.Sampled(request) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	if l.closed || !l.admit(class, now) {
		l.drop(class)
		return
	}
	l.tell(now)
	l.push(class, record(now, k, class, request, attrs), l.opts.Handler)
}

// admit reports whether the budget allows a line. State lines are always
// admitted: they are as rare as the changes that they tell of.
func (l *Log) admit(c Class, now time.Time) bool {
	most := l.opts.LinesPerSecond * burstSeconds
	l.tokens = min(most, l.tokens+now.Sub(l.at).Seconds()*l.opts.LinesPerSecond)
	l.at = now
	if c == State {
		return true
	}
	floor := 1.0
	if c == Plain {
		floor = most * plainShare
	}
	if l.tokens < floor {
		return false
	}
	l.tokens--
	return true
}

// tell reports what was dropped, once there is room again.
func (l *Log) tell(now time.Time) {
	if l.dropped == [State + 1]int64{} || len(l.lines) > cap(l.lines)/2 || now.Sub(l.told) < tellEvery {
		return
	}
	l.told = now
	attrs := []slog.Attr{
		slog.Int64("plain", l.dropped[Plain]),
		slog.Int64("trouble", l.dropped[Trouble]),
		slog.Int64("state", l.dropped[State]),
	}
	l.dropped = [State + 1]int64{}
	l.push(State, record(now, LinesDropped, State, "", attrs), l.opts.Handler)
}

func (l *Log) push(c Class, r slog.Record, h slog.Handler) {
	select {
	case l.lines <- line{record: r, handler: h}:
	default:
		l.drop(c)
	}
}

// drop counts a line. l.mu is held.
func (l *Log) drop(c Class) {
	l.dropped[c]++
	l.total++
}

// Dropped returns how many lines were dropped since the start, plain ones of
// requests that are not sampled left out.
func (l *Log) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

func record(now time.Time, k Kind, c Class, request string, attrs []slog.Attr) slog.Record {
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

func (l *Log) write() {
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
