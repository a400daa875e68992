package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/invariant"
	"github.com/dottereltiller/dottereltiller/loopback"
	"github.com/dottereltiller/dottereltiller/settings"
)

// testSettings returns settings with free loopback ports. No log server listens at the
// log's address.
func testSettings() settings.Settings {
	s := settings.Defaults()
	s.Zone = "odense-hal-a"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Log.Address = "127.0.0.1:1"
	s.Peers.Secret = "secret"
	s.Process.DrainTime = 0
	return s
}

// startDaemon starts a daemon that runs until the test ends. The returned channel receives
// the result of Serve.
func startDaemon(t *testing.T, s settings.Settings) (*Daemon, <-chan error) {
	t.Helper()
	d, err := New(s, discardLogger())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		done <- d.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
		http.DefaultClient.CloseIdleConnections()
	})
	return d, done
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := http.Get(url)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body)
}

func TestAddressInUseIsNamedInTheError(t *testing.T) {
	takenListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = takenListener.Close() }()
	s := testSettings()
	s.Listen.Admin = takenListener.Addr().String()

	_, err = New(s, discardLogger())

	var listenErr *ListenError
	require.ErrorAs(t, err, &listenErr)
	require.Equal(t, "listen.admin", listenErr.Path)
	require.ErrorContains(t, err, "address already in use")
	require.ErrorContains(t, err, s.Listen.Admin)
}

// TestADaemonWithoutTheLogIsAliveButNotReady runs a daemon that has never reached the log and
// therefore has no configuration. /healthz must succeed, /readyz must state the reason, and
// requests of callers must be refused.
func TestADaemonWithoutTheLogIsAliveButNotReady(t *testing.T) {
	d, _ := startDaemon(t, testSettings())
	adminURL := "http://" + d.AdminAddress()

	code, _ := get(t, adminURL+"/healthz")
	require.Equal(t, http.StatusOK, code)
	code, body := get(t, adminURL+"/readyz")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.JSONEq(t, `{"ok":false,"lacking":["no configuration in force"]}`, body)
	code, body = get(t, "http://"+d.CallerAddress()+"/")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Contains(t, body, `"reason":"not-ready"`)

	code, body = get(t, adminURL+"/status")
	require.Equal(t, http.StatusOK, code)
	var daemonStatus Status
	require.NoError(t, json.Unmarshal([]byte(body), &daemonStatus))
	require.Equal(t, d.ID(), daemonStatus.Daemon)
	require.Contains(t, daemonStatus.Components, ComponentStatus{Name: "callers"})
}

// TestABrokenInvariantInARequestStopsTheDaemon reports a violated invariant as the handler
// for callers does after a panic. Serve must return the violation as its error.
func TestABrokenInvariantInARequestStopsTheDaemon(t *testing.T) {
	s := testSettings()
	d, done := startDaemon(t, s)
	d.supervisor.reportFatal(&InvariantError{Component: "callers", Broken: &invariant.Broken{Name: "n", Detail: "d"}})
	require.EqualError(t, <-done, `callers: broken invariant "n": d`)
}

// TestServerListensAgainAfterItsListenerFails closes the listener for callers while the daemon
// runs. The supervisor must restart the server, which must respond at the same address.
func TestServerListensAgainAfterItsListenerFails(t *testing.T) {
	// Another process could take an ephemeral port before the daemon listens on it
	// again, so use an address in this process's own loopback network.
	address, err := loopback.UnusedAddress()
	require.NoError(t, err)
	s := testSettings()
	s.Listen.Callers = address
	d, _ := startDaemon(t, s)
	adminURL := "http://" + d.AdminAddress()
	code, _ := get(t, "http://"+d.CallerAddress()+"/")
	require.Equal(t, http.StatusServiceUnavailable, code)

	require.NoError(t, d.callerLn.Close())
	restarted := func() bool {
		_, body := get(t, adminURL+"/status")
		return strings.Contains(body, `"name":"callers","restarts":1`)
	}
	require.Eventually(t, restarted, waitLimit, pollInterval)
	http.DefaultClient.CloseIdleConnections()
	responds := func() bool {
		resp, err := http.Get("http://" + d.CallerAddress() + "/")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	}
	require.Eventually(t, responds, waitLimit, pollInterval)
}

func TestInvalidAnnouncementIsRefusedWithItsField(t *testing.T) {
	d, _ := startDaemon(t, testSettings())
	for name, c := range map[string]struct{ body, want string }{
		"not JSON":       {`service`, `(top level): not JSON: line 1: invalid character 's' looking for beginning of value`},
		"unknown field":  {`{"servce": "returdesk"}`, `servce: no such field (got "returdesk")`},
		"no service":     {`{}`, `service: must be set (got "")`},
		"host name":      {`{"service": "returdesk", "address": "localhost:80"}`, `address: want host:port with an IP address as host (got "localhost:80")`},
		"port 0":         {`{"service": "returdesk", "address": "127.0.0.1:0"}`, `address: want host:port with an IP address as host (got "127.0.0.1:0")`},
		"no slots":       {`{"service": "returdesk", "address": "127.0.0.1:80"}`, `slots: must be from 1 to 65536 (got 0)`},
		"no incarnation": {`{"service": "returdesk", "address": "127.0.0.1:80", "slots": 6}`, `incarnation: must be at least 1 and increase with each start of the upstream (got 0)`},
		"too long":       {`{"service": "` + strings.Repeat("x", maxAnnouncementBytes) + `"}`, `http: request body too large`},
	} {
		t.Run(name, func(t *testing.T) {
			code, body := put(t, "http://"+d.AdminAddress()+"/v1/upstreams/returdesk-1", c.body)
			require.Equal(t, http.StatusBadRequest, code)
			require.Equal(t, c.want, strings.TrimSpace(body))
		})
	}
	require.Empty(t, d.Guard.Loads(""))
}

// TestTheNumberOfLocalUpstreamsIsBounded announces as many upstreams as one VM may have. A
// further upstream must be refused, and a registered one must still be able to renew its
// announcement.
func TestTheNumberOfLocalUpstreamsIsBounded(t *testing.T) {
	d, _ := startDaemon(t, testSettings())
	announce := func(id string) int {
		code, _ := put(t, "http://"+d.AdminAddress()+"/v1/upstreams/"+id,
			`{"service": "returdesk", "address": "127.0.0.1:80", "slots": 1, "incarnation": 1}`)
		return code
	}
	for i := range maxLocalUpstreams {
		require.Equal(t, http.StatusNoContent, announce("returdesk-"+strconv.Itoa(i)))
	}
	require.Equal(t, http.StatusTooManyRequests, announce("one-more"))
	require.Equal(t, http.StatusNoContent, announce("returdesk-0"))
}

func put(t *testing.T, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(respBody)
}
