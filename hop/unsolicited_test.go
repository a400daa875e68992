package hop

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/standin"
)

// doubleResponse is a response followed by an unsolicited second response.
const doubleResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmineHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"

// countUnsolicited sends attemptCount attempts, a multiple of 8, to an upstream that
// sends two responses to each attempt. It returns the number of attempts to which
// the Client delivered the second response to an earlier attempt.
func countUnsolicited(t *testing.T, c *Client, attemptCount int) int64 {
	upstream, err := standin.StartFaultyUpstream()
	require.NoError(t, err)
	defer func() { _ = upstream.Close() }()
	defer c.CloseIdle()
	upstream.SetScript(standin.Script{Response: []byte(doubleResponse), CutAfter: -1})
	var misdelivered atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range attemptCount / 8 {
				resp, _, err := c.Do(t.Context(), Request{Address: upstream.Address(), Method: http.MethodPost, Target: "/", Header: http.Header{}})
				if err != nil {
					continue
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err == nil && string(body) != "mine" {
					misdelivered.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return misdelivered.Load()
}

// TestUnsolicitedResponseIsNotDelivered checks that no attempt is given a
// response that was left over from an earlier attempt on the same connection.
// The Transport itself drops a connection with unread bytes, unless the next
// attempt is sent before the Transport has noticed the bytes. The test therefore
// needs many attempts. It also checks that the protection is needed: without it, an
// attempt gets such a response in one of at most 100 rounds.
func TestUnsolicitedResponseIsNotDelivered(t *testing.T) {
	const attemptsPerRound, maxRounds = 800, 100
	require.Zero(t, countUnsolicited(t, NewClient(Options{}), attemptsPerRound))
	client := NewClient(Options{})
	client.unprotected = true
	misdelivered := int64(0)
	for range maxRounds {
		if misdelivered = countUnsolicited(t, client, attemptsPerRound); misdelivered > 0 {
			break
		}
	}
	require.Positive(t, misdelivered, "without the protection some attempts get the response of another")
}
