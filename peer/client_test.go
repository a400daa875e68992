package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	peerv1 "github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1"
	"github.com/dottereltiller/dottereltiller/standin"
)

// TestInvalidHeadIsNoReply guards against a reply of another daemon that is believed though its head is not valid.
func TestInvalidHeadIsNoReply(t *testing.T) {
	for name, tc := range map[string]struct {
		head      string
		wantError bool
	}{
		"valid":           {"HTTP/1.1 200 OK\r\n", false},
		"status 000":      {"HTTP/1.1 000 None\r\n", true},
		"space in a name": {"HTTP/1.1 200 OK\r\nX Some: 1\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			daemon, err := standin.StartFaultyUpstream()
			require.NoError(t, err)
			defer func() { _ = daemon.Close() }()
			daemon.SetScript(standin.Script{Response: []byte(tc.head + "Content-Type: application/proto\r\nContent-Length: 0\r\n\r\n"), CutAfter: -1})
			c := NewClient("secret")
			defer c.Close()
			_, err = c.Ping(t.Context(), model.DaemonID(daemon.Address()), &peerv1.PingRequest{})
			require.Equal(t, tc.wantError, err != nil, "%v", err)
		})
	}
}

// TestReplyBrokenOffDuringMessageIsNoReply guards against a part of a reply that is taken as a whole one. The reply has no length,
// and the other daemon's connection is reset while a long message is being written.
func TestReplyBrokenOffDuringMessageIsNoReply(t *testing.T) {
	const repetitions = 10
	response := "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n"
	daemon, err := standin.StartFaultyUpstream()
	require.NoError(t, err)
	defer func() { _ = daemon.Close() }()
	daemon.SetScript(standin.Script{Response: []byte(response), CutAfter: len(response), SkipBody: true, Reset: true, CloseDelay: 20 * time.Millisecond})
	message := &peerv1.ExchangeRequest{Topics: []*peerv1.TopicMessage{{Topic: "max", Delta: make([]byte, 6<<20)}}}
	for range repetitions {
		c := NewClient("secret")
		_, err = c.Exchange(t.Context(), model.DaemonID(daemon.Address()), message)
		c.Close()
		require.Error(t, err)
	}
}
