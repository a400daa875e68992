package recordlog

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/bubble"
	"github.com/dottereltiller/dottereltiller/loopback"
	"github.com/dottereltiller/dottereltiller/standin"
)

func newTestClient(t *testing.T, h http.Handler) *Client {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return NewClient(strings.TrimPrefix(srv.URL, "http://"))
}

// formatRecords formats each record of a batch as "offset:data".
func formatRecords(b Batch) []string {
	var out []string
	for _, r := range b.Records {
		out = append(out, fmt.Sprintf("%d:%s", r.Offset, r.Data))
	}
	return out
}

func TestClientAgainstHandler(t *testing.T) {
	log := &Memory{}
	c := newTestClient(t, Handler(log))
	first, err := c.Append(t.Context(), "s", [][]byte{[]byte("a"), []byte("b")})
	require.NoError(t, err)
	require.Zero(t, first)
	first, err = c.Append(t.Context(), "s", [][]byte{[]byte("c")})
	require.NoError(t, err)
	require.EqualValues(t, 2, first)

	b, err := c.Read(t.Context(), "s", 1, 1)
	require.NoError(t, err)
	require.Equal(t, []string{"1:b"}, formatRecords(b))
	require.EqualValues(t, 3, b.Next)
	b, err = c.Read(t.Context(), "s", 3, 10)
	require.NoError(t, err)
	require.Empty(t, b.Records)

	log.Trim("s", 2)
	_, err = c.Read(t.Context(), "s", 1, 10)
	var trimmed *TrimmedError
	require.ErrorAs(t, err, &trimmed)
	require.EqualValues(t, 2, trimmed.Oldest)
}

func TestClientReportsUncertainAppends(t *testing.T) {
	lossyLog := NewFaultyLog(&Memory{})
	lossyLog.SetFaults(Faults{LoseReplies: 1})
	unusedAddress, err := loopback.UnusedAddress()
	require.NoError(t, err)
	invalid, err := standin.StartFaultyUpstream()
	require.NoError(t, err)
	defer func() { _ = invalid.Close() }()
	invalid.SetScript(standin.Script{Response: []byte("HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n"), CutAfter: -1})
	for name, c := range map[string]struct {
		client        *Client
		wantUncertain bool
	}{
		"response lost": {newTestClient(t, Handler(lossyLog)), true},
		"no connection": {NewClient(unusedAddress), false},
		"not found":     {newTestClient(t, http.NotFoundHandler()), false},
		"connection aborted": {newTestClient(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		})), true},
		"invalid status": {NewClient(invalid.Address()), true},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := c.client.Append(t.Context(), "s", [][]byte{[]byte("a")})
			var appendErr *AppendError
			require.ErrorAs(t, err, &appendErr)
			require.Equal(t, c.wantUncertain, appendErr.Uncertain, "%v", err)
		})
	}
}

func TestFaultyLogInjectsFaults(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		memory := &Memory{Retention: time.Minute}
		log := NewFaultyLog(memory)
		records := [][]byte{[]byte("x")}
		countRecords := func() Offset {
			b, err := memory.Read(t.Context(), "s", 0, 100)
			require.NoError(t, err)
			return b.Next
		}
		log.SetFaults(Faults{Duplicate: 1})
		_, err := log.Append(t.Context(), "s", records)
		require.NoError(t, err)
		require.EqualValues(t, 2, countRecords(), "appended twice")

		log.SetFaults(Faults{LoseReplies: 1})
		_, err = log.Append(t.Context(), "s", records)
		require.ErrorIs(t, err, ErrReplyLost)
		require.EqualValues(t, 3, countRecords(), "the append took effect")

		log.SetFaults(Faults{Down: true})
		_, err = log.Append(t.Context(), "s", records)
		require.ErrorIs(t, err, ErrDown)
		_, err = log.Read(t.Context(), "s", 0, 1)
		require.ErrorIs(t, err, ErrDown)
		require.EqualValues(t, 3, countRecords(), "the append had no effect")

		log.SetFaults(Faults{Latency: time.Second})
		start := time.Now()
		_, err = log.Read(t.Context(), "s", 0, 1)
		require.NoError(t, err)
		require.Equal(t, time.Second, time.Since(start))

		time.Sleep(2 * time.Minute)
		_, err = memory.Read(t.Context(), "s", 0, 1)
		var trimmed *TrimmedError
		require.ErrorAs(t, err, &trimmed)
		require.EqualValues(t, 3, trimmed.Oldest, "records older than the retention are dropped")
	})
}

func TestFaultHandlerSetsFaults(t *testing.T) {
	log := NewFaultyLog(&Memory{})
	h := FaultHandler(log)
	putFaults := func(body string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/faults", strings.NewReader(body)))
		return w.Code
	}
	require.Equal(t, http.StatusBadRequest, putFaults(`{"dwon": true}`))
	require.Equal(t, http.StatusNoContent, putFaults(`{"down": true}`))
	_, err := newTestClient(t, h).Read(t.Context(), "s", 0, 1)
	require.ErrorContains(t, err, "503")
}

func TestBatcherReturnsOffsetOfEachAppend(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		memory := &Memory{}
		counting := &countingLog{Log: memory}
		b := &Batcher{Log: counting}
		offsets := make([]Offset, 50)
		var wg sync.WaitGroup
		for i := range offsets {
			wg.Go(func() {
				var err error
				offsets[i], err = b.Append(t.Context(), "s", [][]byte{fmt.Append(nil, i)})
				require.NoError(t, err)
			})
		}
		wg.Wait()
		require.Equal(t, 1, counting.appendCount)
		batch, err := memory.Read(t.Context(), "s", 0, 100)
		require.NoError(t, err)
		for i, o := range offsets {
			require.Equal(t, fmt.Sprint(i), string(batch.Records[o].Data))
		}
	})
}

func TestBatcherReportsCancelledAppendAsUncertain(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		b := &Batcher{Log: &Memory{}, Window: time.Second}
		_, err := b.Append(ctx, "s", [][]byte{[]byte("a")})
		var appendErr *AppendError
		require.ErrorAs(t, err, &appendErr)
		require.True(t, appendErr.Uncertain)
		time.Sleep(2 * time.Second)
	})
}

func TestRateLimitedLogKeepsShareOfOneDaemon(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		memory := &Memory{}
		limitedLog := NewRateLimitedLog(memory)
		limitedLog.SetDaemonCount(1700)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Second)
		defer cancel()
		var err error
		for err == nil {
			_, err = limitedLog.Append(ctx, "s", [][]byte{[]byte("a")})
		}
		require.ErrorIs(t, err, ErrRateLimited)
		var appendErr *AppendError
		require.True(t, errors.As(err, &appendErr) && !appendErr.Uncertain)
		b, err := memory.Read(t.Context(), "s", 0, 1)
		require.NoError(t, err)
		require.InDelta(t, 100*MaxSystemAppendsPerSecond/1700+appendBurst, int(b.Next), 1)
	})
}

// countingLog wraps a Log and counts the appends to it.
type countingLog struct {
	Log
	appendCount int
}

func (l *countingLog) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	l.appendCount++
	return l.Log.Append(ctx, stream, records)
}
