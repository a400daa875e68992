package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/bubble"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/replay"
	"github.com/dottereltiller/dottereltiller/settings"
	"github.com/dottereltiller/dottereltiller/wire"
)

// testPlan returns a plan with one target and one source of the given rate.
func testPlan(rate float64, d time.Duration) Plan {
	return Plan{
		Targets:  []Target{{Address: "127.0.0.1:1", Zone: "odense-hal-a"}},
		Duration: policy.Duration(d),
		Seed:     1,
		Sources: []Source{{
			Service: "returdesk", Group: "sorters", Caller: "bench", Rate: rate, Cost: policy.Duration(time.Millisecond),
		}},
	}
}

// senderFunc is a Sender that calls a function.
type senderFunc func(ctx context.Context, r *Request) Reply

func (f senderFunc) Send(ctx context.Context, r *Request) Reply { return f(ctx, r) }

// TestStallCountsForEveryRequestDue checks that a stall of one second counts in the
// latency of every request due during the stall. A closed-loop load generator would
// measure only one slow request.
func TestStallCountsForEveryRequestDue(t *testing.T) {
	for name, maxInFlight := range map[string]int{"4096 requests in flight": 4096, "1 request in flight": 1} {
		t.Run(name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				p := testPlan(200, 10*time.Second)
				p.MaxInFlight = maxInFlight
				require.NoError(t, p.Check())
				start := time.Now()
				res, err := Run(t.Context(), p, Options{Sender: senderFunc(func(context.Context, *Request) Reply {
					const stallStart, stallEnd = 4 * time.Second, 5 * time.Second
					if elapsed := time.Since(start); elapsed >= stallStart && elapsed < stallEnd {
						time.Sleep(stallEnd - elapsed)
					}
					time.Sleep(time.Millisecond)
					return Reply{Kind: outcome.Answered}
				})})
				require.NoError(t, err)
				require.InDelta(t, 2000, res.Total.Requests, 150)
				require.Equal(t, res.Total.Requests, res.Total.Answered)
				require.Greater(t, res.Total.P99, int64(800_000), "a tenth of the requests waited up to a second")
				require.Less(t, res.Total.P50, int64(5_000))
				require.Len(t, res.Groups[0].Series, 10)
				require.Greater(t, res.Groups[0].Series[4].P50, int64(300_000))
				require.Equal(t, maxInFlight == 1, res.Held > 0)
			})
		})
	}
}

// TestEqualSeedsSendAtEqualTimes checks that runs with equal seeds record equal traces, that
// another seed gives another trace, and that package replay can read a recorded trace.
func TestEqualSeedsSendAtEqualTimes(t *testing.T) {
	recordTrace := func(seed uint64) string {
		var out bytes.Buffer
		bubble.Run(t, func(t *testing.T) {
			p := testPlan(500, time.Second)
			p.Seed = seed
			require.NoError(t, p.Check())
			recorder := &Recorder{}
			_, err := Run(t.Context(), p, Options{Recorder: recorder, Sender: senderFunc(func(context.Context, *Request) Reply {
				time.Sleep(time.Millisecond)
				return Reply{Kind: outcome.Answered}
			})})
			require.NoError(t, err)
			require.NoError(t, recorder.Write(&out))
		})
		return out.String()
	}
	trace := recordTrace(1)
	require.Equal(t, trace, recordTrace(1))
	require.NotEqual(t, trace, recordTrace(2))
	events, err := replay.ReadTrace(strings.NewReader(trace))
	require.NoError(t, err)
	require.InDelta(t, 500, len(events), 80)
	require.EqualValues(t, 1000, events[0].CostUs)
	require.True(t, events[0].Idempotent)
}

func TestOutcomesAndReasonsAreCounted(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		p := testPlan(100, 3*time.Second)
		require.NoError(t, p.Check())
		var sendCount atomic.Int64
		var progressCalls atomic.Int64
		res, err := Run(t.Context(), p, Options{
			Progress: func(Progress) { progressCalls.Add(1) },
			Sender: senderFunc(func(context.Context, *Request) Reply {
				switch sendCount.Add(1) % 4 {
				case 0:
					return Reply{Kind: outcome.NotRun, Reason: "queue-full"}
				case 1:
					return Reply{Kind: outcome.Unknown, Reason: "connection-lost"}
				case 2:
					return Reply{Kind: outcome.Answered, Wrong: "response to another request"}
				}
				return Reply{Kind: outcome.Answered}
			}),
		})
		require.NoError(t, err)
		stats := res.Groups[0]
		require.Equal(t, stats.Requests, stats.Answered+stats.NotRun+stats.Unknown)
		require.Equal(t, map[string]int64{"queue-full": stats.NotRun, "connection-lost": stats.Unknown}, stats.Reasons)
		require.InDelta(t, stats.Requests/2, stats.Answered, 2)
		require.InDelta(t, stats.Requests/4, res.Wrong, 2)
		require.Len(t, res.WrongAnswers, maxWrongAnswers)
		require.InDelta(t, 1, stats.SlotTimeShare, 1e-9)
		require.EqualValues(t, 2, progressCalls.Load())
	})
}

// TestCancelledRunReturnsPartialResult cancels a run in which two requests, the maximum, are
// in flight. Run must return at once, and the result must hold these two requests only.
func TestCancelledRunReturnsPartialResult(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		p := testPlan(100, time.Hour)
		p.MaxInFlight = 2
		require.NoError(t, p.Check())
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		start := time.Now()
		res, err := Run(ctx, p, Options{Sender: senderFunc(func(ctx context.Context, _ *Request) Reply {
			<-ctx.Done()
			return Reply{Kind: outcome.Unknown, Reason: "cancelled"}
		})})
		require.NoError(t, err)
		require.Equal(t, 5*time.Second, time.Since(start))
		require.EqualValues(t, 2, res.Total.Unknown)
	})
}

func TestInvalidPlansReturnFieldErrors(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Plan)
		want   string
	}{
		"no duration": {func(p *Plan) { p.Duration = 0 }, `duration: must be more than 0 and at most 24h0m0s (got 0s)`},
		"no targets":  {func(p *Plan) { p.Targets = nil }, `targets: name at least one daemon (got [])`},
		"no port":     {func(p *Plan) { p.Targets[0].Address = "a" }, `targets[0].address: want host:port (got "a")`},
		"half TLS":    {func(p *Plan) { p.TLS.Certificate = "c.pem" }, `tls.authority: must be set (got "")`},
		"no sources":  {func(p *Plan) { p.Sources = nil }, `sources: name at least one source (got [])`},
		"no service":  {func(p *Plan) { p.Sources[0].Service = "" }, `sources[0].service: must be set (got "")`},
		"path":        {func(p *Plan) { p.Sources[0].Path = "x" }, `sources[0].path: must start with / (got "x")`},
		"rate":        {func(p *Plan) { p.Sources[0].Rate = 0 }, `sources[0].rate: must be more than 0 and at most 1e6 (got 0)`},
	} {
		t.Run(name, func(t *testing.T) {
			p := testPlan(1, time.Second)
			c.change(&p)
			require.EqualError(t, p.Check(), c.want)
		})
	}
}

// TestHTTPSenderSendsHeadersAndReadsOutcomes sends requests to a server that responds like
// a daemon with a stand-in upstream. It checks the headers of a request. It also checks
// the Reply to a correct response, to a response to another request, to a truncated one, to
// one with outcome not run, to one without an outcome, and to a failed connection.
func TestHTTPSenderSendsHeadersAndReadsOutcomes(t *testing.T) {
	var received []*http.Request
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = append(received, r)
		switch r.URL.Path {
		case "/truncated":
			w.Header().Set("Content-Length", "100")
			w.Header().Set(wire.HeaderOutcome, "answered")
			_, _ = w.Write([]byte("half"))
		case "/full":
			w.Header().Set(wire.HeaderOutcome, "not-run")
			w.Header().Set(wire.HeaderReason, "queue-full")
			w.WriteHeader(http.StatusTooManyRequests)
		case "/silent":
			_, _ = w.Write([]byte("no outcome"))
		default:
			w.Header().Set(wire.HeaderOutcome, "answered")
			_, _ = w.Write([]byte("0-7 0-7.0"))
		}
	}))
	defer daemon.Close()
	s, err := NewHTTPSender(settings.TLS{})
	require.NoError(t, err)
	defer s.Close()
	send := func(path, name string) Reply {
		idempotent := false
		return s.Send(t.Context(), &Request{
			Name: name, Key: "a-key", Target: Target{Address: daemon.Listener.Addr().String()},
			Source: &Source{
				Service: "returdesk", Method: http.MethodPost, Path: path, BodyBytes: 5, Verify: true, Token: "secret",
				Idempotent: &idempotent, Cost: policy.Duration(time.Millisecond), Deadline: policy.Duration(time.Second),
			},
		})
	}
	require.Equal(t, Reply{Kind: outcome.Answered}, send("/", "0-7"))
	h := received[0].Header
	require.Equal(t, []string{"returdesk", "0-7", "1ms", "1s", "false", "Bearer secret", "a-key"}, []string{
		h.Get("Dottereltiller-Service"), h.Get("X-Request"), h.Get("X-Cost"), h.Get("Dottereltiller-Timeout"),
		h.Get("Dottereltiller-Idempotent"), h.Get("Authorization"), h.Get("Idempotency-Key"),
	})
	require.Equal(t, `got "0-7 0-7.0" for "0-8 0-8.0"`, send("/", "0-8").Wrong)
	require.Equal(t, Reply{Kind: outcome.Unknown, Reason: "truncated"}, send("/truncated", "0-7"))
	require.Equal(t, Reply{Kind: outcome.NotRun, Reason: "queue-full"}, send("/full", "0-7"))
	require.Equal(t, Reply{Kind: outcome.Unknown, Reason: reasonNoOutcome}, send("/silent", "0-7"))
	daemon.Close()
	s.Close() // otherwise the request would use an open connection and have outcome unknown
	require.Equal(t, Reply{Kind: outcome.NotRun, Reason: "connect-failed"}, send("/", "0-7"))
}

// TestResultFieldsMatchReplay checks that every required JSON field of load results
// also exists in replay results. Package report reads both with the same type.
func TestResultFieldsMatchReplay(t *testing.T) {
	var loadFields, replayFields map[string]any
	for fields, v := range map[*map[string]any]any{&loadFields: Stats{}, &replayFields: replay.Stats{}} {
		data, err := json.Marshal(v)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(data, fields))
	}
	for name := range loadFields {
		require.Contains(t, replayFields, name)
	}
}
