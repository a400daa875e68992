package guard

import (
	"net/http"
	"strconv"
	"time"

	"github.com/dottereltiller/dottereltiller/core/calltoken"
	"github.com/dottereltiller/dottereltiller/wire"
)

// setToken sets the header with the call token that the upstream must pass on in
// its nested calls. It replaces any token in h. remaining is the time left until the
// call's deadline.
func (u *upstreamProxy) setToken(h http.Header, c *wire.Call, remaining time.Duration) {
	h.Del(wire.HeaderCallToken)
	token := u.tokens.Sign(calltoken.Token{
		Caller:   c.Caller,
		Group:    c.Group,
		Depth:    c.Depth + 1,
		Deadline: time.Now().Add(remaining),
		TimeLeft: remaining,
	})
	if token != "" {
		h.Set(wire.HeaderCallToken, token)
	}
}

// refusedBeforeStart reports whether the upstream states that it has not started the
// request. It states this with status 429 or 503 and the header wire.HeaderRefused.
func refusedBeforeStart(resp *http.Response) bool {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return false
	}
	return resp.Header.Get(wire.HeaderRefused) == wire.RefusedBeforeStart
}

// retryAfter returns the value of the upstream's Retry-After header, but at most one
// hour. It returns 0 when the header is missing, or is not a number of seconds that is
// at least 0.
func retryAfter(resp *http.Response) time.Duration {
	const maxRetryAfter = time.Hour
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
