package decision

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingWriter is a writer that waits until it is let go.
type blockingWriter struct {
	bytes.Buffer
	started, release chan struct{}
}

func (h *blockingWriter) Write(p []byte) (int, error) {
	select {
	case h.started <- struct{}{}:
	default:
	}
	<-h.release
	return h.Buffer.Write(p)
}

func TestLoggerDoesNotBlock(t *testing.T) {
	out := &blockingWriter{started: make(chan struct{}, 1), release: make(chan struct{})}
	const room = 4
	l := New(Options{Handler: slog.NewJSONHandler(out, nil), BufferLines: room})
	logger := l.Logger().With("part", "p").WithGroup("g")
	logger.Info("first", "n", 1)
	<-out.started
	for range room + 3 {
		logger.Info("more")
	}
	require.EqualValues(t, 3, l.Dropped())
	close(out.release)
	l.Close(time.Minute)
	require.Contains(t, out.String(), `"msg":"first","part":"p","g":{"n":1}`)
	require.Equal(t, 1+room, bytes.Count(out.Bytes(), []byte("\n")))
	logger.Info("after the end")
	require.EqualValues(t, 4, l.Dropped())
}
