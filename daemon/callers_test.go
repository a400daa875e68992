package daemon_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/local"
	"github.com/dottereltiller/dottereltiller/settings"
)

// documentsJSON holds the configuration documents of the test deployments.
const documentsJSON = `[
  {"kind": "Service", "name": "returdesk", "labels": {"mesh": "fyn"}, "spec": {"hosts": ["returdesk.fyn"], "deadline": "20s"}},
  {"kind": "Caller", "name": "sorting-bench", "labels": {"role": "sorter"}, "spec": {"certificate_names": ["sorter"]}},
  {"kind": "SharingPolicy", "name": "fyn", "spec": {"services": "mesh=fyn", "groups": [
    {"name": "sorters", "callers": "role=sorter", "weight": 1}], "default_group": "sorters"}}]`

// startSingleDaemon starts a deployment of one daemon with one upstream of the service
// returdesk.
func startSingleDaemon(t *testing.T, modifySettings func(*settings.Settings)) *local.Deployment {
	t.Helper()
	return startDeployment(t, []model.AvailabilityZone{"odense-hal-a"}, 1, modifySettings)
}

// startDeployment starts a deployment with one daemon for each upstream of the service
// returdesk.
func startDeployment(t *testing.T, zones []model.AvailabilityZone, upstreamCount int, modifySettings func(*settings.Settings)) *local.Deployment {
	t.Helper()
	d, err := local.Start(t.Context(), local.Options{
		Zones:     zones,
		Services:  []local.Service{{Name: "returdesk", Upstreams: upstreamCount, Slots: 6}},
		Documents: parseDocuments(t),
		Settings:  modifySettings,
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		d.Stop()
		http.DefaultClient.CloseIdleConnections()
	})
	return d
}

func parseDocuments(t testing.TB) []policy.Document {
	t.Helper()
	var docs []policy.Document
	require.NoError(t, json.Unmarshal([]byte(documentsJSON), &docs))
	return docs
}

// dial connects to an address. Reads and writes of the connection fail after waitLimit.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitLimit)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// waitLimit is how long tests wait for a condition before they fail.
const waitLimit = 20 * time.Second

// TestMalformedRequestsAreRefused guards against request smuggling. Each case sends a
// request whose end two HTTP implementations could see at different places, followed by
// a second request. The daemon must refuse the first request and close the connection.
// In the case "length and chunks", net/http hides the conflict between Content-Length and
// chunked encoding. The daemon then answers the first request and closes the connection.
// The second request must never reach the upstream.
func TestMalformedRequestsAreRefused(t *testing.T) {
	d := startSingleDaemon(t, nil)
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: returdesk.fyn\r\nX-Request: smuggled\r\n\r\n"
	for name, c := range map[string]struct{ head, body, status string }{
		"two lengths":            {"Content-Length: 3\r\nContent-Length: 4\r\n", "abcd", "400"},
		"list of lengths":        {"Content-Length: 3, 3\r\n", "abc", "400"},
		"signed length":          {"Content-Length: +3\r\n", "abc", "400"},
		"length and chunks":      {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n", "200"},
		"chunked twice":          {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n", "501"},
		"unknown encoding":       {"Transfer-Encoding: identity\r\n", "", "501"},
		"space before the colon": {"Transfer-Encoding : chunked\r\n", "0\r\n\r\n", "400"},
		"two hosts":              {"Host: b\r\n", "", "400"},
		"folded header":          {" folded: x\r\n", "", "400"},
		"chunk length":           {"Transfer-Encoding: chunked\r\n", "zz\r\n\r\n", "400"},
		"chunk too long":         {"Transfer-Encoding: chunked\r\n", "3\r\nabcX\r\n0\r\n\r\n", "400"},
		"bare line feed":         {"Transfer-Encoding: chunked\r\n", "3\nabc\r\n0\r\n\r\n", "400"},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, d.Nodes[0].Daemon.CallerAddress())
			_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: returdesk.fyn\r\n"+c.head+"\r\n"+c.body+smuggled)
			require.NoError(t, err)
			response, err := io.ReadAll(conn)
			require.NoError(t, err, "the connection must be closed")
			require.Equal(t, "HTTP/1.1 "+c.status, string(response[:len("HTTP/1.1 ")+len(c.status)]))
			require.Equal(t, 1, strings.Count(string(response), "HTTP/1.1 "))
		})
	}
	require.Zero(t, d.Nodes[0].Upstream.Runs()["smuggled"])
}

// TestHeadersAndBodiesOverTheLimitAreRefused sends requests with a body of exactly the limit,
// with a longer body and with a header over its limit. Only the first may be accepted.
func TestHeadersAndBodiesOverTheLimitAreRefused(t *testing.T) {
	d := startSingleDaemon(t, func(s *settings.Settings) {
		s.Callers.MaxHeaderBytes = 8 << 10
		s.Callers.MaxBodyBytes = 1 << 10
	})
	url := "http://" + d.Nodes[0].Daemon.CallerAddress()
	for name, c := range map[string]struct {
		headerBytes int
		body        io.Reader
		status      int
	}{
		"within the limits":           {headerBytes: 1 << 10, body: strings.NewReader(strings.Repeat("x", 1<<10)), status: 200},
		"header too large":            {headerBytes: 16 << 10, status: 431},
		"body with Content-Length":    {body: strings.NewReader(strings.Repeat("x", 2<<10)), status: 413},
		"body without Content-Length": {body: io.MultiReader(strings.NewReader(strings.Repeat("x", 2<<10))), status: 413},
	} {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPut, url, c.body)
			require.NoError(t, err)
			req.Host = "returdesk.fyn"
			req.Header.Set("X-Long", strings.Repeat("h", c.headerBytes))
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			_ = resp.Body.Close()
			require.Equal(t, c.status, resp.StatusCode)
		})
	}
}

// TestRequestOfACallerThatStopsSendingIsAborted sends part of a request body and then
// nothing. One request is for a known service, which needs the whole body. The other is
// for an unknown host and is refused without the body. The daemon must respond to both
// and close each connection after the stall timeout. The servers for peers and admin must
// do the same.
func TestRequestOfACallerThatStopsSendingIsAborted(t *testing.T) {
	d := startSingleDaemon(t, setShortStallTimeout)
	for host, status := range map[string]string{"returdesk.fyn": "400", "nobody.fyn": "404"} {
		t.Run(host, func(t *testing.T) {
			conn := dial(t, d.Nodes[0].Daemon.CallerAddress())
			_, err := io.WriteString(conn, "PUT / HTTP/1.1\r\nHost: "+host+"\r\nContent-Length: 10\r\nX-Request: half\r\n\r\nabc")
			require.NoError(t, err)
			response, err := io.ReadAll(conn)
			require.NoError(t, err, "the connection must be closed")
			require.Contains(t, string(response), "HTTP/1.1 "+status)
		})
	}
	require.Zero(t, d.Nodes[0].Upstream.Runs()["half"])
	for name, address := range map[string]string{
		"peers": string(d.Nodes[0].Daemon.ID()), "admin": d.Nodes[0].Daemon.AdminAddress(),
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, address)
			_, err := io.WriteString(conn, "PUT /v1/upstreams/x HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc")
			require.NoError(t, err)
			response, err := io.ReadAll(conn)
			require.NoError(t, err, "the connection must be closed")
			require.Contains(t, string(response), "HTTP/1.1 4")
		})
	}
}

// TestRequestOfACallerThatStopsReadingIsAborted requests a response that is larger
// than the socket buffers and does not read it. The request must be aborted after the
// stall timeout, which frees its slot at the upstream.
func TestRequestOfACallerThatStopsReadingIsAborted(t *testing.T) {
	d := startSingleDaemon(t, setShortStallTimeout)
	n := d.Nodes[0]
	conn := dial(t, n.Daemon.CallerAddress())
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: returdesk.fyn\r\nX-Answer-Bytes: 67108864\r\n\r\n")
	require.NoError(t, err)
	runningCount := func() int32 { return n.Daemon.Guard.Loads("")["returdesk-1"].Running }
	require.Eventually(t, func() bool { return runningCount() == 1 }, waitLimit, time.Millisecond)
	require.Eventually(t, func() bool { return runningCount() == 0 }, waitLimit, time.Millisecond)
	receivedBytes, err := io.Copy(io.Discard, conn)
	require.Less(t, receivedBytes, int64(64<<20))
	if err == nil {
		require.Positive(t, receivedBytes)
	}
}

// setShortStallTimeout sets the stall timeout to 100 ms, so that tests can exceed it.
func setShortStallTimeout(s *settings.Settings) {
	s.Callers.StallTimeout = policy.Duration(100 * time.Millisecond)
}

// TestARequestMayRunLongerThanTheStallTimeout sends requests that take the upstream
// longer than the stall timeout. The requests must succeed. The timeout limits only the
// time in which the caller makes no progress in sending the request or receiving the
// response.
func TestARequestMayRunLongerThanTheStallTimeout(t *testing.T) {
	d := startSingleDaemon(t, setShortStallTimeout)
	for _, http2 := range []bool{false, true} {
		client := newClient(t, http2)
		req, err := http.NewRequest(http.MethodPut, "http://"+d.Nodes[0].Daemon.CallerAddress(), strings.NewReader("body"))
		require.NoError(t, err)
		req.Host = "returdesk.fyn"
		req.Header.Set("X-Cost", "350ms")
		resp, err := client.Do(req)
		require.NoError(t, err)
		_ = resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, http2, resp.ProtoMajor == 2)
	}
}

// newClient returns a client that uses only HTTP/2 without TLS or only HTTP/1.1.
func newClient(t *testing.T, http2 bool) *http.Client {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// TestDeadlinesDoNotCarryOverOnAConnection sends several requests on one connection.
// Each runs longer than the stall timeout. A deadline set for one request must not abort
// the next request.
func TestDeadlinesDoNotCarryOverOnAConnection(t *testing.T) {
	d := startSingleDaemon(t, setShortStallTimeout)
	conn := dial(t, d.Nodes[0].Daemon.CallerAddress())
	reader := bufio.NewReader(conn)
	for range 3 {
		_, err := io.WriteString(conn, "PUT / HTTP/1.1\r\nHost: returdesk.fyn\r\nContent-Length: 3\r\nX-Cost: 150ms\r\n\r\nabc")
		require.NoError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
}

// TestConnectionsOverTheLimitAreClosed opens one connection more than the limit. The
// daemon must close the extra connection and keep serving the others. Once one of them is
// closed, the daemon must serve a new connection.
func TestConnectionsOverTheLimitAreClosed(t *testing.T) {
	d := startSingleDaemon(t, func(s *settings.Settings) { s.Callers.MaxConnections = 2 })
	address := d.Nodes[0].Daemon.CallerAddress()
	requestSucceeds := func(conn net.Conn) bool {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: returdesk.fyn\r\n\r\n")
		if err != nil {
			return false
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return false
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK
	}
	first, second := dial(t, address), dial(t, address)
	require.True(t, requestSucceeds(first))
	require.True(t, requestSucceeds(second))
	require.False(t, requestSucceeds(dial(t, address)))
	require.True(t, requestSucceeds(second), "connections within the limit stay usable")
	require.NoError(t, first.Close())
	require.Eventually(t, func() bool { return requestSucceeds(dial(t, address)) }, waitLimit, 5*time.Millisecond)
}

// TestCancelledRequestEndsAtTheUpstream closes the caller's connection while the
// upstream runs the request. The slot at the upstream must come free long before the
// request's deadline.
func TestCancelledRequestEndsAtTheUpstream(t *testing.T) {
	d := startSingleDaemon(t, nil)
	n := d.Nodes[0]
	conn := dial(t, n.Daemon.CallerAddress())
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: returdesk.fyn\r\nX-Cost: 1h\r\nDottereltiller-Timeout: 1h\r\n\r\n")
	require.NoError(t, err)
	runningCount := func() int32 { return n.Daemon.Guard.Loads("")["returdesk-1"].Running }
	require.Eventually(t, func() bool { return runningCount() == 1 }, waitLimit, time.Millisecond)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return runningCount() == 0 }, serviceDeadline/2, time.Millisecond)
}

// serviceDeadline is the deadline of the service returdesk in documentsJSON.
const serviceDeadline = 20 * time.Second

// TestShutdownWaitsForRequestsInFlight stops two daemons while both have requests in
// flight. All requests must complete.
func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	zones := []model.AvailabilityZone{"odense-hal-a", "odense-hal-b"}
	d := startDeployment(t, zones, 2, nil)
	const requestCount = 8
	statuses := make(chan int, requestCount)
	for i := range requestCount {
		go func() {
			client := newClient(t, i%2 == 0)
			req, _ := http.NewRequest(http.MethodGet, "http://"+d.Nodes[i%2].Daemon.CallerAddress(), nil)
			req.Host = "returdesk.fyn"
			req.Header.Set("X-Cost", "400ms")
			resp, err := client.Do(req)
			if err != nil {
				statuses <- 0
				return
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- resp.StatusCode
		}()
	}
	runningCount := func() (n int32) {
		for _, node := range d.Nodes {
			for _, l := range node.Daemon.Guard.Loads("") {
				n += l.Running
			}
		}
		return n
	}
	require.Eventually(t, func() bool { return runningCount() == requestCount }, waitLimit, time.Millisecond)
	d.Stop()
	for range requestCount {
		require.Equal(t, http.StatusOK, <-statuses)
	}
}
