package trace

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const sampledTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

func newTracer(t *testing.T, o Options) *Tracer {
	t.Helper()
	tr, err := New(t.Context(), o)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, tr.Shutdown(context.Background())) })
	return tr
}

// serveTraced sends a request with the given traceparent header, or none if it is
// empty, through a handler that records an entry span and an attempt span. It
// returns the traceparent header that an upstream would receive.
func serveTraced(t *Tracer, traceparent string) string {
	var forwarded string
	h := t.Handler("entry", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := Start(r.Context(), "attempt")
		span.SetCallAttributes(&wire.Call{Service: "returdesk", Upstream: "returdesk-1", Attempt: 1})
		header := r.Header.Clone()
		Inject(ctx, header)
		forwarded = header.Get("Traceparent")
		span.End(outcome.NotRunBecause(outcome.ReasonQueueFull))
		w.Header().Set(wire.HeaderOutcome, "not-run")
	}))
	r := httptest.NewRequest(http.MethodGet, "/parcels", nil)
	if traceparent != "" {
		r.Header.Set("Traceparent", traceparent)
	}
	h.ServeHTTP(httptest.NewRecorder(), r)
	return forwarded
}

func TestSpansContinueTheCallersTrace(t *testing.T) {
	tr := newTracer(t, Options{Daemon: "127.0.0.1:1", Zone: "odense-hal-a", SampleRatio: 1, RecentSpans: 8})
	forwarded := serveTraced(tr, sampledTraceparent)

	records := tr.Recent.Records()
	require.Len(t, records, 2)
	attempt, entry := records[0], records[1]
	require.Equal(t, "0af7651916cd43dd8448eb211c80319c", entry.TraceID)
	require.Equal(t, "b7ad6b7169203331", entry.ParentID)
	require.Equal(t, entry.TraceID, attempt.TraceID)
	require.Equal(t, entry.SpanID, attempt.ParentID)
	require.Equal(t, "00-"+entry.TraceID+"-"+attempt.SpanID+"-01", forwarded)
	require.Equal(t, "odense-hal-a", entry.Zone)
	require.Equal(t, map[string]string{
		"http.request.method": "GET", "url.path": "/parcels", "outcome": "not-run",
	}, entry.Attributes)
	require.Equal(t, "queue-full", attempt.Attributes["reason"])
	require.Equal(t, "returdesk-1", attempt.Attributes["upstream"])
	require.Equal(t, "1", attempt.Attributes["attempt"])
}

// TestCallersSamplingDecisionIsKept sends a traceparent header without the sampled
// flag. No span may be recorded, and the forwarded header must keep the trace ID and
// the cleared flag.
func TestCallersSamplingDecisionIsKept(t *testing.T) {
	tr := newTracer(t, Options{SampleRatio: 1, RecentSpans: 8})
	unsampledTraceparent := sampledTraceparent[:len(sampledTraceparent)-1] + "0"
	forwarded := serveTraced(tr, unsampledTraceparent)
	require.Empty(t, tr.Recent.Records())
	require.Equal(t, sampledTraceparent[:35], forwarded[:35], "the trace ID must be forwarded")
	require.Equal(t, "00", forwarded[len(forwarded)-2:])
}

func TestWithoutATracerTheHeaderPassesUnchanged(t *testing.T) {
	tr := newTracer(t, Options{SampleRatio: 0, RecentSpans: 8})
	require.Nil(t, tr)
	require.Equal(t, sampledTraceparent, serveTraced(tr, sampledTraceparent))
	require.Empty(t, serveTraced(tr, ""))
}

// traceAttempt makes the same calls to this package as the code that forwards an
// attempt.
func traceAttempt(ctx context.Context, call *wire.Call) {
	ctx, span := Start(ctx, "attempt")
	span.SetCallAttributes(call)
	Inject(ctx, call.Header)
	span.End(outcome.ResponseComplete())
}

func TestUntracedAttemptAllocatesNothing(t *testing.T) {
	call := &wire.Call{Header: http.Header{"Traceparent": {sampledTraceparent}}}
	require.Zero(t, testing.AllocsPerRun(100, func() { traceAttempt(context.Background(), call) }))
}

func BenchmarkUntracedAttempt(b *testing.B) {
	call := &wire.Call{Header: http.Header{}}
	b.ReportAllocs()
	for b.Loop() {
		traceAttempt(context.Background(), call)
	}
}

func BenchmarkSampledRequest(b *testing.B) {
	tr, err := New(b.Context(), Options{SampleRatio: 1, RecentSpans: 1024})
	require.NoError(b, err)
	defer func() { _ = tr.Shutdown(context.Background()) }()
	b.ReportAllocs()
	for b.Loop() {
		serveTraced(tr, "")
	}
}

func TestSpansAreExported(t *testing.T) {
	var out bytes.Buffer
	tr, err := New(t.Context(), Options{SampleRatio: 1, Exporter: ExporterStdout, Stdout: &out})
	require.NoError(t, err)
	serveTraced(tr, sampledTraceparent)
	require.NoError(t, tr.Shutdown(t.Context()))
	require.Contains(t, out.String(), `"Name":"entry"`)
	require.Contains(t, out.String(), "0af7651916cd43dd8448eb211c80319c")
}

func TestSpansAreExportedByOTLP(t *testing.T) {
	receivedRequests := make(chan string, 8)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		receivedRequests <- r.Method + " " + r.URL.Path + " " + r.Header.Get("Content-Type")
	}))
	defer collector.Close()
	tr, err := New(t.Context(), Options{
		SampleRatio: 1, Exporter: ExporterOTLP, Endpoint: collector.Listener.Addr().String(),
	})
	require.NoError(t, err)
	serveTraced(tr, "")
	require.NoError(t, tr.Shutdown(t.Context()))
	require.Equal(t, "POST /v1/traces application/x-protobuf", <-receivedRequests)
	http.DefaultClient.CloseIdleConnections()
}

func TestRingKeepsTheMostRecent(t *testing.T) {
	r := NewRing(3)
	for i := range 5 {
		r.Add(Record{SpanID: strconv.Itoa(i)})
	}
	var ids string
	for _, rec := range r.Records() {
		ids += rec.SpanID
	}
	require.Equal(t, "234", ids)
	zeroSizeRing := NewRing(0)
	zeroSizeRing.Add(Record{})
	require.Empty(t, zeroSizeRing.Records())
}

func TestPrintShowsTheTreeInOrder(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	newRecord := func(id, parent, name string, offset, duration time.Duration) Record {
		return Record{
			TraceID: "t", SpanID: id, ParentID: parent, Name: name, Daemon: "d", Zone: "z",
			Start: start.Add(offset), DurationUs: duration.Microseconds(),
			Attributes: map[string]string{"outcome": "answered", "url.path": ""},
		}
	}
	trees := BuildTrees([]Record{
		newRecord("3", "2", "upstream", 4*time.Millisecond, 5*time.Millisecond),
		newRecord("2", "1", "attempt", 2*time.Millisecond, 8*time.Millisecond),
		newRecord("4", "1", "attempt", time.Millisecond, time.Millisecond/2),
		newRecord("1", "gone", "entry", 0, 12*time.Millisecond),
		{TraceID: "other", SpanID: "9", Name: "entry", Start: start, DurationUs: 7},
		{TraceID: "partial", SpanID: "8", ParentID: "7", Name: "guard", Start: start, DurationUs: 50_000},
	})
	var order []string
	for _, tree := range trees {
		order = append(order, tree.TraceID)
	}
	require.Equal(t, []string{"t", "other", "partial"}, order, "complete trees first, then by duration")
	var out bytes.Buffer
	require.NoError(t, trees[0].Print(&out))
	require.Equal(t, `trace t
  at ms  took ms  span          daemon  zone  
  0.00   12.00    entry         d       z     outcome=answered
  1.00   0.50       attempt     d       z     outcome=answered
  2.00   8.00       attempt     d       z     outcome=answered
  4.00   5.00         upstream  d       z     outcome=answered
`, out.String())
}
