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

// countUnsolicited sends attempts to an upstream that sends two responses to
// each attempt. It returns the number of attempts to which the Client delivered
// the second response to an earlier attempt.
func countUnsolicited(t *testing.T, c *Client, attempts int) int64 {
	upstream, err := standin.StartFaultyUpstream()
	require.NoError(t, err)
	defer func() { _ = upstream.Close() }()
	defer c.CloseIdle()
	upstream.SetScript(standin.Script{Response: []byte(doubleResponse), CutAfter: -1})
	var wrong atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range attempts / 8 {
				resp, _, err := c.Do(t.Context(), Request{Address: upstream.Address(), Method: http.MethodPost, Target: "/", Header: http.Header{}})
				if err != nil {
					continue
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err == nil && string(body) != "mine" {
					wrong.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return wrong.Load()
}

// TestUnsolicitedResponseIsNotDelivered checks that no attempt is given a
// response that was left over from an earlier attempt on the same connection.
// The Transport itself drops a connection with unread bytes, unless the next
// attempt is sent before the Transport has noticed the bytes. The test therefore
// needs many attempts. It also checks that the protection is needed: without it, an
// attempt gets such a response in one of at most 100 rounds.
func TestUnsolicitedResponseIsNotDelivered(t *testing.T) {
	const attempts, rounds = 800, 100
	require.Zero(t, countUnsolicited(t, NewClient(Options{}), attempts))
	client := NewClient(Options{})
	client.unprotected = true
	wrong := int64(0)
	for range rounds {
		if wrong = countUnsolicited(t, client, attempts); wrong > 0 {
			break
		}
	}
	require.Positive(t, wrong, "without the protection some attempts get the response of another")
}
