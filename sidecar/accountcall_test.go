package sidecar

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/account"
	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// TestAccountEncodingRoundTrip encodes and decodes the accounts of calls. The value must be valid in a
// header.
func TestAccountEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Call{
			Account: account.Name(rapid.StringN(1, 40, -1).Draw(t, "name")), Credential: account.Credential(rapid.Uint64().Draw(t, "credential")),
			AccountVersion: model.Version(rapid.Uint64().Draw(t, "version")),
		}
		var got Call
		encoded := want.encodeAccount()
		require.NoError(t, got.decodeAccount(encoded))
		require.Equal(t, want, got)
		require.Regexp(t, `^[!-~]+ [!-~]+ [!-~]+$`, encoded)
	})
	for _, s := range []string{"a", "a 1", "a 1 1 1", " 1 1", "a x 1", "a 1 x", "%zz 1 1", "a 1 -1"} {
		require.ErrorAs(t, (&Call{}).decodeAccount(s), new(*FieldError), s)
	}
}

// TestCallWithoutAccountIsSentAsBefore compares the bytes of a call without an account with those that
// daemons without client accounts send.
func TestCallWithoutAccountIsSentAsBefore(t *testing.T) {
	want := []string{
		"", "Authorization: Bearer key", "Content-Length: 3", "Dt-Limit: 2.5", "Dt: r1 1 b a i-1 7 false 2 3000 400 500 600 9",
		"Host: h", "POST /unsafe/ HTTP/1.1", "T-Id: r1", "X-Other: own", "pay",
	}
	numBytes := len(strings.Join(want, "\r\n"))
	c := &Call{
		ID: "r1", AttemptIndex: 1, Method: http.MethodPost, Target: "/unsafe/", Host: "h",
		Header: http.Header{"T-Id": {"r1"}, "Authorization": {"Bearer key"}, "X-Other": {"own"}}, Body: []byte("pay"),
		Service: "b", Caller: "a", Upstream: lifecycle.Incarnation{ID: "i-1", Born: 7}, Rank: 2, Kind: 9,
		ServiceTime: 3 * time.Millisecond, TimeToTarget: 400 * time.Millisecond, Deadline: 500 * time.Millisecond, Alternative: 600 * time.Millisecond,
		RateLimit: RateLimit{Limited: true, PerSecond: 2.5},
	}
	require.Equal(t, want, sentLines(t, c, numBytes))
	c.Account, c.Credential, c.AccountVersion = "firm", 0xab, 3
	require.Contains(t, sentLines(t, c, numBytes+1), "Dt-Account: firm ab 3")
}

// sentLines returns the lines that are sent for a call, sorted, since the order of headers is random. It
// waits for n bytes at least.
func sentLines(t *testing.T, c *Call, n int) []string {
	t.Helper()
	ln, err := net.Listen("tcp", unusedAddress(t))
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	received := make(chan string, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		b := make([]byte, 1<<12)
		got, _ := io.ReadAtLeast(conn, b, n)
		received <- string(b[:got])
	}()
	d := &Daemon{}
	d.peers = newPeers(Record{}, func() model.Instant { return 0 }, nil)
	e := &entry{daemon: d}
	go func() {
		_, _ = e.sendOnConnection(t.Context(), newPeerPool(ln.Addr().String()), &attemptState{acknowledged: make(chan struct{})}, c)
	}()
	lines := strings.Split(<-received, "\r\n")
	slices.Sort(lines)
	return lines
}
