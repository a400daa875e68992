package decision

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingWriter is a writer that blocks until release is closed. It sends on started when
// a write begins.
type blockingWriter struct {
	bytes.Buffer
	started, release chan struct{}
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	select {
	case w.started <- struct{}{}:
	default:
	}
	<-w.release
	return w.Buffer.Write(p)
}

// TestLoggerDoesNotBlock logs more lines than the queue holds while the output is blocked.
// The excess lines and a line after Close must be dropped and counted. The queued lines must
// be written once the output works again.
func TestLoggerDoesNotBlock(t *testing.T) {
	out := &blockingWriter{started: make(chan struct{}, 1), release: make(chan struct{})}
	const capacity = 4
	l := New(Options{Handler: slog.NewJSONHandler(out, nil), BufferLines: capacity})
	logger := l.Logger().With("part", "p").WithGroup("g")
	logger.Info("first", "n", 1)
	<-out.started
	for range capacity + 3 {
		logger.Info("more")
	}
	require.EqualValues(t, 3, l.Dropped())
	close(out.release)
	l.Close(time.Minute)
	require.Contains(t, out.String(), `"msg":"first","part":"p","g":{"n":1}`)
	require.Equal(t, 1+capacity, bytes.Count(out.Bytes(), []byte("\n")))
	logger.Info("after Close")
	require.EqualValues(t, 4, l.Dropped())
}
