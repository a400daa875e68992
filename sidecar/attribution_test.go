package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/startrate"
)

// serveConns serves each connection to a new address in a goroutine, until the test ends. It returns the
// address.
func serveConns(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", unusedAddress(t))
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go serve(conn)
			}
		}
	}()
	return ln.Addr().String()
}

// latecomer is an upstream that answers the first request on a connection a second time, when the next
// one has arrived.
type latecomer struct {
	// first is the status line and the headers, besides those that every response has, of the response
	// that comes twice.
	first string
	ran   atomic.Int64
}

func (u *latecomer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	copied := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/health" {
			_, _ = io.WriteString(conn, healthResponse)
			continue
		}
		if copied == "" {
			copied = fmt.Sprintf("HTTP/1.1 %s\r\nT-Id: %s\r\nContent-Length: 0\r\n\r\n", u.first, r.Header.Get("T-Id"))
			_, _ = io.WriteString(conn, copied)
			continue
		}
		_, _ = io.WriteString(conn, copied)
		u.ran.Add(1)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("T-Id"))
	}
}

// healthResponse is the response of the upstream a1 to a health check.
const healthResponse = "HTTP/1.1 200 OK\r\nT-Instance: a1\r\nT-Slow: 1\r\nContent-Length: 0\r\n\r\n"

// callOf returns an attempt of a request that must not run twice, at the upstream of a member.
func callOf(m *member, id string, attemptIndex int) *Call {
	return &Call{
		ID: id, AttemptIndex: attemptIndex, Method: http.MethodPost, Target: "/unsafe/", Host: "h", Header: http.Header{}, Service: "a",
		Upstream: m.peers.localRecord().Upstream, Deadline: time.Second,
	}
}

// TestLateCopyOfARefusalIsNotProofOfALaterAttempt guards against an attempt that runs although its guard takes
// it for refused. The upstream refused an earlier attempt of the same request, and its refusal comes twice.
func TestLateCopyOfARefusalIsNotProofOfALaterAttempt(t *testing.T) {
	for _, refusal := range []string{"503 Service Unavailable\r\nT-Not-Run: 1", "429 Too Many Requests\r\nT-Not-Run: 1"} {
		t.Run(strings.Fields(refusal)[0], func(t *testing.T) {
			up := &latecomer{first: refusal}
			m := startReadyWith(t, newStore(documentOf(1, "a")), "a", "a1", func(o *Options) { o.Addresses.Upstream = serveConns(t, up.serve) })
			first := m.guard.Do(t.Context(), callOf(m, "r", 0))
			require.Equal(t, outcome.NotRun, first.Outcome.Kind)
			for i := range 3 {
				// On a new connection the upstream refuses it again, and it has not run.
				result := m.guard.Do(t.Context(), callOf(m, "r", 1+i))
				if result.Outcome.Kind == outcome.NotRun {
					require.Zero(t, up.ran.Load(), "it was said not to have run")
				}
			}
		})
	}
}

// TestLateHealthResponseIsNotTheResponseToARequest guards against a request that must not run twice and does. The
// upstream sends its response to the request before once more as a health check arrives, and refuses that check
// only when the next request has arrived, which it runs.
func TestLateHealthResponseIsNotTheResponseToARequest(t *testing.T) {
	var ran atomic.Int64
	m := startReadyWith(t, newStore(documentOf(1, "a")), "a", "a1", func(o *Options) {
		o.Addresses.Upstream = serveConns(t, func(conn net.Conn) { serveWithLateHealthResponses(conn, &ran) })
	})
	first := m.guard.Do(t.Context(), callOf(m, "r1", 0))
	require.Equal(t, outcome.Answered, first.Outcome.Kind)
	_, healthy := m.guard.checkHealth(healthCheckTimeout, false)
	before := ran.Load()
	second := m.guard.Do(t.Context(), callOf(m, "r2", 0))
	require.EqualValues(t, before+1, ran.Load(), "it runs")
	require.Equal(t, outcome.Answered, second.Outcome.Kind)
	require.False(t, healthy, "a response that names a request is not that to a health check")
}

// serveWithLateHealthResponses runs the requests of a connection. It sends the previous response once more when a
// health check arrives, and refuses the check when the next request has arrived.
func serveWithLateHealthResponses(conn net.Conn, ran *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	previous, late := "", ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/health" {
			_, _ = io.WriteString(conn, previous)
			late = "HTTP/1.1 503 Service Unavailable\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
			continue
		}
		_, _ = io.WriteString(conn, late)
		late = ""
		ran.Add(1)
		previous = fmt.Sprintf("HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("T-Id"))
		_, _ = io.WriteString(conn, previous)
	}
}

// TestHealthChecksThatProveUseNewConnections guards against a proof that the upstream is warm, or that its limit is
// lifted, by a late copy of an earlier response. Without limits, health checks share a connection.
func TestHealthChecksThatProveUseNewConnections(t *testing.T) {
	var conns atomic.Int64
	m := startReadyWith(t, newStore(documentOf(1, "a")), "a", "a1", func(o *Options) {
		o.Addresses.Upstream = serveConns(t, func(conn net.Conn) {
			conns.Add(1)
			(&latecomer{}).serve(conn)
		})
	})
	check := func() int64 {
		before := conns.Load()
		_, healthy := m.guard.checkHealth(healthCheckTimeout, false)
		require.True(t, healthy)
		return conns.Load() - before
	}
	check()
	require.Zero(t, check())
	m.guard.setColdLimits(startrate.ColdLimits{Rate: 5, PeakRate: 5, Max: 10})
	require.Zero(t, check(), "no start lacks a proof")
	m.guard.recordColdness(m.now(), Coldness{Left: time.Hour}, true)
	require.EqualValues(t, 1, check(), "the upstream is known to be cold")
	m.guard.recordRateLimit(startrate.Statement{Limited: true, PerSecond: 9, SentAt: m.now()})
	require.EqualValues(t, 1, check(), "the limit may be lifted")
}

// TestOnlyProofsShowThatAnUpstreamIsWarm guards against starts at a cold upstream that are allowed by a late copy of a
// response from before. Whether it is cold must be believed all the same.
func TestOnlyProofsShowThatAnUpstreamIsWarm(t *testing.T) {
	m := startReady(t, newStore(documentOf(1, "a")), "a", "a1")
	m.guard.setColdLimits(startrate.ColdLimits{Rate: 5, PeakRate: 5, Max: 10})
	m.guard.recordColdness(m.now(), Coldness{Left: time.Hour}, false)
	require.True(t, m.guard.isCold())
	m.guard.recordColdness(m.now(), Coldness{}, false)
	require.True(t, m.guard.isCold())
	m.guard.recordColdness(m.now(), Coldness{}, true)
	require.False(t, m.guard.isCold())
}
