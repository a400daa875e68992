package decision

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// clock is a fake clock that tests advance.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) currentTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// lockedBuffer stores the lines of a log. While a test holds mu, all writes block.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// countByKind returns the number of lines of each kind.
func (b *lockedBuffer) countByKind(t *testing.T) map[string]int {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for _, line := range strings.Split(strings.TrimSpace(b.buf.String()), "\n") {
		var l struct {
			Msg string `json:"msg"`
		}
		require.NoError(t, json.Unmarshal([]byte(line), &l))
		out[l.Msg]++
	}
	return out
}

// newTestLog returns a Log that writes JSON lines to a buffer and reads the time from a
// fake clock.
func newTestLog(o Options) (*Log, *lockedBuffer, *clock) {
	b, c := &lockedBuffer{}, &clock{now: time.Unix(1000, 0)}
	o.Handler, o.Now = slog.NewJSONHandler(b, nil), c.currentTime
	return New(o), b, c
}

// TestPlainLinesAreSampledByRequest writes plain lines about 100 requests. Two logs must
// sample the same requests, about one in four. Only lines about sampled requests may be
// written.
func TestPlainLinesAreSampledByRequest(t *testing.T) {
	l, b, c := newTestLog(Options{SampleOneIn: 4})
	secondLog := New(Options{Handler: slog.DiscardHandler, SampleOneIn: 4})
	defer secondLog.Close(time.Second)
	sampledCount := 0
	for i := range 100 {
		id := fmt.Sprint("r", i)
		require.Equal(t, l.Sampled(id), secondLog.Sampled(id), "all daemons keep the same requests")
		if l.Sampled(id) {
			sampledCount++
		}
		l.Write(Answered, id)
		c.advance(time.Second)
	}
	l.Close(time.Second)
	require.Equal(t, sampledCount, b.countByKind(t)[string(Answered)])
	require.InDelta(t, 25, sampledCount, 15)
}

// TestPlainLinesAreDroppedFirst writes ten times the lines that the rate limit allows.
// Plain lines must be dropped before trouble lines, and no state line may be dropped. Lines
// of the kind LinesDropped must report the numbers of dropped lines.
func TestPlainLinesAreDroppedFirst(t *testing.T) {
	l, b, c := newTestLog(Options{SampleOneIn: 1, LinesPerSecond: 10, BufferLines: 4096})
	const seconds = 30
	for range seconds {
		for range 50 {
			l.Write(Answered, "a")
			l.Write(Refused, "b")
		}
		l.Write(UpstreamState, "")
		c.advance(time.Second)
	}
	require.Positive(t, l.Dropped())
	l.Close(time.Second)
	got := b.countByKind(t)
	require.Equal(t, seconds, got[string(UpstreamState)])
	require.InDelta(t, seconds*10+10*burstSeconds, got[string(Refused)]+got[string(Answered)], 15)
	require.Greater(t, got[string(Refused)], 3*got[string(Answered)])
	require.Positive(t, got[string(LinesDropped)])
	require.LessOrEqual(t, got[string(LinesDropped)], seconds, "once a second at most")
}

// TestWritersNeverBlock writes lines while the output is blocked, as when nobody reads
// standard output. Write must not block, and lines that do not fit in the queue must be
// dropped. Once the output works again, one line must report the drops.
func TestWritersNeverBlock(t *testing.T) {
	l, b, c := newTestLog(Options{BufferLines: 8})
	b.mu.Lock()
	for i := range 1000 {
		l.Write(UpstreamState, "", slog.Int("i", i))
		c.advance(time.Millisecond)
	}
	dropped := l.Dropped()
	b.mu.Unlock()
	require.GreaterOrEqual(t, dropped, int64(1000-8-2))
	c.advance(2 * time.Second)
	require.Eventually(t, func() bool { return len(l.lines) == 0 }, 20*time.Second, time.Millisecond)
	l.Write(UpstreamState, "")
	l.Close(time.Second)
	require.Equal(t, 1, b.countByKind(t)[string(LinesDropped)])
}

// TestClosedLogAndNilLogDropLines writes lines to a nil Log and to a Log that has been closed
// twice. Neither may panic, and the line after Close must be dropped.
func TestClosedLogAndNilLogDropLines(t *testing.T) {
	var nilLog *Log
	nilLog.Write(Answered, "x")
	nilLog.Close(0)
	require.False(t, nilLog.Sampled("x"))
	l, b, _ := newTestLog(Options{})
	l.Write(Started, "")
	l.Close(time.Second)
	l.Close(time.Second)
	l.Write(Stopped, "")
	require.Equal(t, map[string]int{string(Started): 1}, b.countByKind(t))
}

// TestEveryKindIsDeclaredAndUsed checks that each Kind constant has exactly one declaration
// and is used outside kinds.go and the tests.
func TestEveryKindIsDeclaredAndUsed(t *testing.T) {
	text, err := os.ReadFile("kinds.go")
	require.NoError(t, err)
	constMatches := regexp.MustCompile(`(?m)^\t(\w+)\s+Kind = "`).FindAllStringSubmatch(string(text), -1)
	require.Len(t, Declarations(), len(constMatches))
	declared := map[Kind]bool{}
	for _, d := range Declarations() {
		require.False(t, declared[d.Kind], d.Kind)
		declared[d.Kind] = true
		require.NotEmpty(t, d.Description)
		require.NotEmpty(t, d.Fields)
	}
	var code strings.Builder
	for _, dir := range []string{"../sidecar", "../platform", "../quota", "."} {
		files, err := filepath.Glob(dir + "/*.go")
		require.NoError(t, err)
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") || strings.HasSuffix(f, "kinds.go") {
				continue
			}
			data, err := os.ReadFile(f)
			require.NoError(t, err)
			code.Write(data)
		}
	}
	for _, match := range constMatches {
		require.Regexp(t, `\b(decision\.)?`+match[1]+`\b`, code.String(), "%s is written nowhere", match[1])
	}
}

// TestLogsPageMatchesDeclarations checks that the table in docs/LOGS.md is what Page
// returns.
func TestLogsPageMatchesDeclarations(t *testing.T) {
	page, err := os.ReadFile("../docs/LOGS.md")
	require.NoError(t, err)
	_, table, ok := strings.Cut(string(page), "<!-- kinds -->\n")
	require.True(t, ok)
	require.Equal(t, Page(), table)
}

// BenchmarkWrite measures Write for a line that the rate limit allows.
func BenchmarkWrite(b *testing.B) {
	l := New(Options{Handler: slog.DiscardHandler, LinesPerSecond: 1e9})
	defer l.Close(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		l.Write(Refused, "request", slog.String("reason", "queue-full"), slog.Int("status", 503))
	}
}
