package sidecar

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// faultyUpstream answers most requests correctly. Its other responses have all the faults that a
// response on a connection can have.
type faultyUpstream struct {
	id string
	ln net.Listener
}

func startFaultyUpstream(t *testing.T, id string) *faultyUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", unusedAddress(t))
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	u := &faultyUpstream{id: id, ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u
}

func (u *faultyUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.URL.Path == "/health" {
			u.reply(c, req, "200 OK", "")
			continue
		}
		if !u.respondFaultily(c, req) {
			return
		}
	}
}

// reply writes a response with the headers of an upstream, followed by extraHeaders.
func (u *faultyUpstream) reply(c net.Conn, req *http.Request, status, extraHeaders string) {
	const body = "some text"
	sentBody := body
	if req.Method == http.MethodHead {
		sentBody = ""
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nT-Instance: %s\r\nT-Slow: %.2f\r\nT-Id: %s\r\nT-Seal: s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, u.id, 0.5+2*rand.Float64(), req.Header.Get("T-Id"), extraHeaders, len(body), sentBody)
}

// respondFaultily sends a random response, faulty or correct, or closes the connection.
// It reports whether the connection may be used for further requests.
func (u *faultyUpstream) respondFaultily(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("T-Id")
	switch rand.IntN(60) {
	case 0:
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case 1:
		return false
	case 2:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: s\r\nContent-Length: 100\r\n\r\nhalf", id)
		return false
	case 3:
		_, _ = io.WriteString(c, "\x00\x01 garbage\r\n\r\n\xff")
		return false
	case 4, 5, 6, 7:
		statuses := []string{"000 a", "099 b", "+12 c", "199 d", "600 e", "999 f", "204 g", "304 h", "101 i", "500 j", "503 k", "421 l"}
		u.reply(c, req, statuses[rand.IntN(len(statuses))], "")
		return false
	case 8:
		u.reply(c, req, "200 OK", "")
		u.reply(c, req, "200 OK", "")
	case 9:
		time.Sleep(time.Duration(rand.IntN(600)) * time.Millisecond)
		u.reply(c, req, "200 OK", "")
	case 10:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: another\r\nContent-Length: 0\r\n\r\n")
		return true
	case 11:
		u.reply(c, req, "200 OK", "Connection: X-Some, close\r\nX-Some: 1\r\nTrailer: T-Slow\r\nKeep-Alive: timeout=x\r\n")
		return false
	case 12:
		_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100))
		u.reply(c, req, "200 OK", "")
	case 13:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nT-Slow: 3\r\n\r\n", id)
	case 14:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Not Run\r\nT-Not-Run: 1\r\nT-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	default:
		time.Sleep(time.Duration(rand.IntN(8)) * time.Millisecond)
		u.reply(c, req, "200 OK", "")
	}
	return true
}

// keepAliveCaller sends sequential requests over persistent connections.
type keepAliveCaller struct {
	address string
	sent    *atomic.Int64
	// unanswered counts the requests that could not be written or got no complete response. A
	// request whose response the caller did not read is not counted.
	unanswered *atomic.Int64
	lastError  *atomic.Value
}

// run opens one connection after the other and sends requests over each. It returns when the
// context ends or no connection can be opened.
func (c *keepAliveCaller) run(ctx context.Context, name string) {
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return
		}
		c.useConnection(ctx, conn, name)
		_ = conn.Close()
	}
}

// useConnection sends requests over a connection, one after the other. It returns when the
// context ends, a request fails, or the daemon announces that it closes the connection. After
// one in 50 requests, it returns without reading the response, like a caller that disconnects.
func (c *keepAliveCaller) useConnection(ctx context.Context, conn net.Conn, name string) {
	in := bufio.NewReader(conn)
	for ctx.Err() == nil {
		n := c.sent.Add(1)
		method, path, bodyBytes := http.MethodGet, "/safe/x", 0
		switch rand.IntN(6) {
		case 0:
			method = http.MethodHead
		case 1, 2:
			method, path, bodyBytes = http.MethodPost, "/unsafe/x", []int{0, 10, 9000}[rand.IntN(3)]
		}
		_ = conn.SetDeadline(time.Now().Add(waitLimit))
		_, err := fmt.Fprintf(conn, "%s %s%d HTTP/1.1\r\nHost: h\r\nT-Id: %s-%d\r\nT-Deadline: %d\r\nContent-Length: %d\r\n\r\n%s",
			method, path, rand.IntN(50), name, n, 20+rand.IntN(1500), bodyBytes, strings.Repeat("x", bodyBytes))
		if err == nil && rand.IntN(50) == 0 {
			time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
			return
		}
		var resp *http.Response
		if err == nil {
			if resp, err = http.ReadResponse(in, &http.Request{Method: method}); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
		}
		if err != nil {
			c.unanswered.Add(1)
			c.lastError.Store(err.Error())
			return
		}
		if resp.Close || resp.StatusCode == http.StatusSwitchingProtocols {
			return
		}
		if rand.IntN(10) == 0 {
			time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
		}
	}
}

// sendRandomDatagrams sends datagrams of random length and content until the context ends. Most
// of them are invalid.
func sendRandomDatagrams(ctx context.Context, address string) {
	conn, err := net.Dial("udp4", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for ctx.Err() == nil {
		b := make([]byte, rand.IntN(200))
		for i := range b {
			b[i] = byte(rand.Uint32())
		}
		if len(b) >= datagramHeaderBytes {
			b[0] = byte(rand.IntN(14))
			binary.BigEndian.PutUint32(b[1:], uint32(rand.IntN(1000)))
			binary.BigEndian.PutUint64(b[5:], uint64(rand.IntN(2)))
		}
		_, _ = conn.Write(b)
		time.Sleep(2 * time.Millisecond)
	}
}

// TestKeepAliveRequestsAreAnsweredUnderFaults guards against requests on persistent connections
// that get no response. Many callers send requests while upstreams fail in all ways. Meanwhile
// the reports of the upstreams, the configuration and the settings change, and invalid datagrams
// arrive. The environment variable STRESS sets the duration, for example to 90s.
func TestKeepAliveRequestsAreAnsweredUnderFaults(t *testing.T) {
	duration := 2 * time.Second
	if stressDuration := os.Getenv("STRESS"); stressDuration != "" {
		var err error
		duration, err = time.ParseDuration(stressDuration)
		require.NoError(t, err)
	}
	const callerCount, daemonCount = 120, 2
	s := newStore(documentOf(1, "a"))
	var members []*member
	for i := range daemonCount {
		id := fmt.Sprintf("u%d", i)
		up := startFaultyUpstream(t, id)
		o := optionsFor(t, s, &upstream{server: &httptest.Server{Listener: up.ln}}, "a")
		o.Tunables.Retries = RetryBudget{Ratio: 1, Slack: 1e6, Span: time.Second}
		m := startDaemon(t, o, s)
		m.Report(readyReport(id, 1, 1, "a"))
		members = append(members, m)
	}
	for _, m := range members {
		m.waitForCandidates(t, "a", daemonCount)
	}

	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var sent, unanswered atomic.Int64
	var lastError atomic.Value
	var wg sync.WaitGroup
	for i := range callerCount {
		caller := &keepAliveCaller{address: members[i%daemonCount].opts.Addresses.Callers, sent: &sent, unanswered: &unanswered, lastError: &lastError}
		wg.Go(func() { caller.run(ctx, fmt.Sprint("c", i)) })
	}
	for i, m := range members {
		wg.Go(func() { sendRandomDatagrams(ctx, m.opts.Addresses.Peers) })
		wg.Go(func() { changeReports(ctx, m, fmt.Sprintf("u%d", i)) })
	}
	wg.Go(func() { changeConfiguration(ctx, s, members) })
	wg.Wait()

	t.Logf("%d requests", sent.Load())
	require.Zero(t, unanswered.Load(), "of %d requests, the last: %v", sent.Load(), lastError.Load())
	for _, m := range members {
		counters := m.scope.Snapshot().Counters()
		require.Zero(t, counters["handlers_panicked+"].Value())
		require.Zero(t, counters["requests_cut+"].Value())
	}
}

// changeReports reports changing states, slots and incarnations of an upstream until the context
// ends.
func changeReports(ctx context.Context, m *member, id string) {
	for born := int64(2); ctx.Err() == nil; born++ {
		for seq := uint64(1); seq < 4; seq++ {
			r := readyReport(id, born, seq, "a")
			r.Slots = 1 + rand.IntN(60)
			if seq == 3 && rand.IntN(2) == 0 {
				r.State = lifecycle.Draining
			}
			m.Report(r)
			time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
		}
		if rand.IntN(3) == 0 {
			m.Leave(lifecycle.Incarnation{ID: model.UpstreamID(id), Born: born})
		}
	}
}

// changeConfiguration publishes configurations with random idle timeouts, attempt limits and
// target latencies, and sets random retry budgets, until the context ends.
func changeConfiguration(ctx context.Context, s *store, members []*member) {
	for version := model.Version(2); ctx.Err() == nil; version++ {
		doc := documentOf(version, "a")
		doc.Limits.IdleTimeout = time.Duration(2+rand.IntN(10)) * time.Second
		for i := range doc.Routes {
			doc.Routes[i].MaxAttempts = 1 + rand.IntN(4)
			doc.Routes[i].TargetLatency = time.Duration(10+rand.IntN(200)) * time.Millisecond
		}
		s.publish(doc)
		for _, m := range members {
			m.Reconfigure(Tunables{Service: "a", Retries: RetryBudget{Ratio: rand.Float64(), Slack: 1e6, Span: time.Second}, GracePeriod: 5 * time.Second})
		}
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
	}
}
