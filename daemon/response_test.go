package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/local"
	"github.com/dottereltiller/dottereltiller/standin"
	"github.com/dottereltiller/dottereltiller/wire"
)

// pollInterval is the time between two checks of a condition that a test waits for.
const pollInterval = 5 * time.Millisecond

// startWithFaultyUpstream starts two daemons and drains their regular upstreams, so
// that a standin.FaultyUpstream on the VM of the second daemon is the only upstream of
// the service.
func startWithFaultyUpstream(t *testing.T) (*local.Deployment, *standin.FaultyUpstream) {
	t.Helper()
	d := startDeployment(t, []model.AvailabilityZone{"odense-hal-a", "odense-hal-b"}, 2, nil)
	faultyUpstream, err := standin.StartFaultyUpstream()
	require.NoError(t, err)
	t.Cleanup(func() { _ = faultyUpstream.Close() })
	ctx := t.Context()
	for i, n := range d.Nodes {
		require.NoError(t, n.Upstream.Announce(ctx, n.Daemon.AdminAddress(), 1, true), i)
	}
	code, body := putAnnouncement(t, d.Nodes[1].Daemon.AdminAddress(), "faulty",
		fmt.Sprintf(`{"service": "returdesk", "address": %q, "slots": 8, "incarnation": 1}`, faultyUpstream.Address()))
	require.Equal(t, http.StatusNoContent, code, body)
	faultyUpstream.SetScript(standin.Script{Response: []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), CutAfter: -1})
	for _, n := range d.Nodes {
		require.Eventually(t, func() bool {
			requestsBefore := faultyUpstream.Requests()
			got := sendRequest(t, n.Daemon.CallerAddress(), http.MethodGet, "")
			return got.outcome == outcome.Answered && faultyUpstream.Requests() == requestsBefore+1
		}, waitLimit, pollInterval)
	}
	return d, faultyUpstream
}

func putAnnouncement(t *testing.T, adminAddress, id, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+adminAddress+"/v1/upstreams/"+id, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(text)
}

// callerResponse is a response as the caller received it.
type callerResponse struct {
	status  int
	outcome outcome.Kind
	body    string
	header  http.Header
	trailer http.Header
	// err is set when the response was not received completely.
	err error
}

func sendRequest(t *testing.T, address, method, body string) callerResponse {
	t.Helper()
	var bodyReader io.Reader
	if body != "" {
		bodyReader = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://"+address+"/x", bodyReader)
	require.NoError(t, err)
	req.Host = "returdesk.fyn"
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	kind, _ := outcome.ParseKind(resp.Header.Get(wire.HeaderOutcome))
	return callerResponse{resp.StatusCode, kind, string(text), resp.Header, resp.Trailer, err}
}

// completeResponses holds complete responses of an upstream. The key is the name of the test
// case.
var completeResponses = map[string]string{
	"length":      "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nwhole reply",
	"chunked":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n6\r\n reply\r\n0\r\n\r\n",
	"trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nwhole\r\n6\r\n reply\r\n0\r\nX-Sum: 42\r\n\r\n",
	"early hints": "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nwhole reply",
}

// TestTruncatedResponseNeverLooksComplete truncates the upstream's response to every length
// from 0 to one byte less than the whole. It sends the requests to the daemon of the
// upstream and to another daemon, which forwards them. The caller must see an error or the
// outcome "unknown". The request must not be sent twice. A response that is not truncated
// must arrive complete.
func TestTruncatedResponseNeverLooksComplete(t *testing.T) {
	d, faultyUpstream := startWithFaultyUpstream(t)
	for name, response := range completeResponses {
		for _, n := range d.Nodes {
			t.Run(fmt.Sprintf("%s/%s", name, n.Upstream.ID), func(t *testing.T) {
				for cutAfter := range len(response) {
					faultyUpstream.SetScript(standin.Script{Response: []byte(response), CutAfter: cutAfter, Reset: cutAfter%2 == 0})
					requestsBefore := faultyUpstream.Requests()
					got := sendRequest(t, n.Daemon.CallerAddress(), http.MethodPost, "release")
					if got.err == nil {
						require.Equal(t, outcome.Unknown, got.outcome, "cut after %d bytes: %+v", cutAfter, got)
					}
					require.Equal(t, requestsBefore+1, faultyUpstream.Requests(), "the request must be sent exactly once")
				}
				faultyUpstream.SetScript(standin.Script{Response: []byte(response), CutAfter: -1})
				got := sendRequest(t, n.Daemon.CallerAddress(), http.MethodPost, "release")
				require.NoError(t, got.err)
				require.Equal(t, outcome.Answered, got.outcome)
				require.Equal(t, "whole reply", got.body)
				if name == "trailer" {
					require.Equal(t, "42", got.trailer.Get("X-Sum"))
				}
			})
		}
	}
}

// TestSurplusResponseNeverReachesTheNextRequest has the upstream send more bytes than
// one response. The surplus bytes must not become the response to the next request.
func TestSurplusResponseNeverReachesTheNextRequest(t *testing.T) {
	d, faultyUpstream := startWithFaultyUpstream(t)
	for name, response := range map[string]string{
		"two responses":                          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo",
		"surplus bytes":                          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none and more",
		"second response after one without body": "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo",
	} {
		for _, n := range d.Nodes {
			t.Run(name+"/"+n.Upstream.ID, func(t *testing.T) {
				faultyUpstream.SetScript(standin.Script{Response: []byte(response), CutAfter: -1})
				sendRequest(t, n.Daemon.CallerAddress(), http.MethodPost, "release")
				faultyUpstream.SetScript(standin.Script{Response: []byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine"), CutAfter: -1})
				for range 3 {
					got := sendRequest(t, n.Daemon.CallerAddress(), http.MethodPost, "release")
					require.NoError(t, got.err)
					if got.outcome == outcome.Answered {
						require.Equal(t, "mine", got.body)
					}
				}
			})
		}
	}
}

// TestAmbiguousResponsesAreNotForwarded has the upstream send responses that are malformed or
// whose end is ambiguous. The caller must get an error or the outcome "unknown".
func TestAmbiguousResponsesAreNotForwarded(t *testing.T) {
	d, faultyUpstream := startWithFaultyUpstream(t)
	for name, response := range map[string]string{
		"two lengths":       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"signed length":     "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc",
		"unknown encoding":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc",
		"bad chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
		"chunk without end": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcX\r\n0\r\n\r\n",
		"no status":         "HTTP/1.1 OK\r\nContent-Length: 3\r\n\r\nabc",
		"not HTTP":          "SSH-2.0-x\r\n\r\n",
		"status 000":        "HTTP/1.1 000 None\r\nContent-Length: 3\r\n\r\nabc",
		"status 000, two":   "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"status 099":        "HTTP/1.1 099 None\r\nContent-Length: 3\r\n\r\nabc",
		"status 600":        "HTTP/1.1 600 None\r\nContent-Length: 3\r\n\r\nabc",
		"status 999":        "HTTP/1.1 999 None\r\nContent-Length: 3\r\n\r\nabc",
		"another protocol":  "HTTP/2.0 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"control character": "HTTP/1.1 200 O\x00K\r\nContent-Length: 3\r\n\r\nabc",
		"space in a name":   "HTTP/1.1 200 OK\r\nX Some: 1\r\nContent-Length: 3\r\n\r\nabc",
		"space, length":     "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nContent-Length: 3\r\n\r\nabc",
		"space, no length":  "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nabc",
		"space, coding":     "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"space, interim":    "HTTP/1.1 103 Early Hints\r\nX Some: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"control in a name": "HTTP/1.1 200 OK\r\nX\x01Some: 1\r\nContent-Length: 3\r\n\r\nabc",
		"switches protocol": "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nabc",
	} {
		for _, n := range d.Nodes {
			t.Run(name+"/"+n.Upstream.ID, func(t *testing.T) {
				faultyUpstream.SetScript(standin.Script{Response: []byte(response), CutAfter: len(response)})
				got := sendRequest(t, n.Daemon.CallerAddress(), http.MethodPost, "release")
				if got.err == nil {
					require.Equal(t, outcome.Unknown, got.outcome, "%+v", got)
				}
			})
		}
	}
}

// TestCancelledCallReleasesConnectionAndSlot cancels requests that hang at the
// upstream. The daemon must release the connection to the upstream and the slot.
// TestMain checks that no goroutine is left over.
func TestCancelledCallReleasesConnectionAndSlot(t *testing.T) {
	d, faultyUpstream := startWithFaultyUpstream(t)
	faultyUpstream.SetScript(standin.Script{Hang: true})
	for _, n := range d.Nodes {
		requestsBefore := faultyUpstream.Requests()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Daemon.CallerAddress()+"/x", nil)
			req.Host = "returdesk.fyn"
			_, err := http.DefaultTransport.RoundTrip(req)
			done <- err
		}()
		require.Eventually(t, func() bool { return faultyUpstream.Requests() == requestsBefore+1 }, waitLimit, pollInterval)
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
		require.Eventually(t, func() bool {
			return faultyUpstream.Conns() == 0 && d.Nodes[1].Daemon.Guard.Loads("")["faulty"].Running == 0
		}, waitLimit, pollInterval, "connection and slot must be released")
	}
}

// TestUpgradesOtherThanH2CAreRefused sends requests with the header Upgrade. A request that
// asks for h2c alone must be answered. All others must be refused with the status 501 and
// must not reach the upstream.
func TestUpgradesOtherThanH2CAreRefused(t *testing.T) {
	d, faultyUpstream := startWithFaultyUpstream(t)
	for upgrade, status := range map[string]int{"websocket": http.StatusNotImplemented, "h2c": http.StatusOK, "h2c, foo/1": http.StatusNotImplemented} {
		requestsBefore := faultyUpstream.Requests()
		req, err := http.NewRequest(http.MethodGet, "http://"+d.Nodes[0].Daemon.CallerAddress()+"/x", nil)
		require.NoError(t, err)
		req.Host = "returdesk.fyn"
		req.Header.Set("Connection", "Upgrade")
		req.Header.Set("Upgrade", upgrade)
		resp, err := http.DefaultTransport.RoundTrip(req)
		require.NoError(t, err)
		_ = resp.Body.Close()
		require.Equal(t, status, resp.StatusCode, upgrade)
		if status != http.StatusOK {
			require.Equal(t, outcome.NotRun.String(), resp.Header.Get(wire.HeaderOutcome))
			require.Equal(t, requestsBefore, faultyUpstream.Requests())
		}
	}
}

// TestResponsesWithoutBodyAreForwarded has the upstream send responses that have no body
// because of their method, status or length. The caller must get them with the same status
// and Content-Length, twice in a row.
func TestResponsesWithoutBodyAreForwarded(t *testing.T) {
	d, faultyUpstream := startWithFaultyUpstream(t)
	for name, tc := range map[string]struct {
		method, response, length string
		status                   int
	}{
		"HEAD":         {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "5", 200},
		"no content":   {http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n", "", 204},
		"not modified": {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nEtag: \"a\"\r\n\r\n", "", 304},
		"empty":        {http.MethodPost, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n", "0", 201},
	} {
		for _, n := range d.Nodes {
			t.Run(name+"/"+n.Upstream.ID, func(t *testing.T) {
				faultyUpstream.SetScript(standin.Script{Response: []byte(tc.response), CutAfter: -1})
				for range 2 {
					got := sendRequest(t, n.Daemon.CallerAddress(), tc.method, "")
					require.NoError(t, got.err)
					require.Equal(t, outcome.Answered, got.outcome)
					require.Equal(t, tc.status, got.status)
					require.Equal(t, tc.length, got.header.Get("Content-Length"))
					require.Empty(t, got.body)
				}
			})
		}
	}
}

// TestResponseBrokenOffDuringUploadNeverLooksComplete has the upstream send a part of a response without a length to a long
// upload, and reset the connection while the upload is being written. The caller must see an error or the outcome
// "unknown".
func TestResponseBrokenOffDuringUploadNeverLooksComplete(t *testing.T) {
	const repetitions = 5
	d, faultyUpstream := startWithFaultyUpstream(t)
	upload := strings.Repeat("x", 6<<20)
	for name, head := range map[string]string{
		"HTTP/1.1": "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n",
		"failure":  "HTTP/1.1 500 Internal Server Error\r\n\r\n",
	} {
		script := standin.Script{Response: []byte(head + "part of a reply"), CutAfter: len(head + "part of"), Reset: true, SkipBody: true}
		for _, script.CloseDelay = range []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond} {
			for _, n := range d.Nodes {
				t.Run(fmt.Sprintf("%s, reset after %s/%s", name, script.CloseDelay, n.Upstream.ID), func(t *testing.T) {
					faultyUpstream.SetScript(script)
					for range repetitions {
						requestsBefore := faultyUpstream.Requests()
						got := sendRequest(t, n.Daemon.CallerAddress(), http.MethodPost, upload)
						if got.err == nil {
							require.Equal(t, outcome.Unknown, got.outcome, "%+v", got)
						}
						require.Equal(t, requestsBefore+1, faultyUpstream.Requests(), "the request must be sent exactly once")
					}
				})
			}
		}
	}
}

// sendHTTP10 sends an HTTP/1.0 request and returns what arrives until the connection ends.
func sendHTTP10(t *testing.T, address string) (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /x HTTP/1.0\r\nHost: returdesk.fyn\r\n\r\n")
	require.NoError(t, err)
	text, err := io.ReadAll(conn)
	return string(text), err
}

// TestTruncatedResponseNeverLooksCompleteToHTTP10 guards against a part of a response that a caller takes as complete because it
// speaks HTTP/1.0: a response of unknown length then ends with its connection.
func TestTruncatedResponseNeverLooksCompleteToHTTP10(t *testing.T) {
	d, faultyUpstream := startWithFaultyUpstream(t)
	response := completeResponses["chunked"]
	for _, n := range d.Nodes {
		for cutAfter := strings.Index(response, "whole") + len("whole"); cutAfter < len(response); cutAfter++ {
			// The daemon has begun its response when the upstream breaks off, unless the machine is busy.
			faultyUpstream.SetScript(standin.Script{Response: []byte(response), CutAfter: cutAfter, CloseDelay: 10 * time.Millisecond})
			text, err := sendHTTP10(t, n.Daemon.CallerAddress())
			if err == nil {
				require.True(t, strings.HasPrefix(text, "HTTP/1.0 502 "), "cut after %d bytes, %s: %q", cutAfter, n.Upstream.ID, text)
			}
		}
		faultyUpstream.SetScript(standin.Script{Response: []byte(response), CutAfter: -1})
		text, err := sendHTTP10(t, n.Daemon.CallerAddress())
		require.NoError(t, err)
		require.True(t, strings.HasSuffix(text, "\r\n\r\nwhole reply"), text)
	}
}
