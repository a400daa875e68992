package entry

import (
	"net/http"
	"time"

	"github.com/dottereltiller/dottereltiller/core/calltoken"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/identity"
	"github.com/dottereltiller/dottereltiller/wire"
)

// requester identifies the caller on whose behalf a request is made.
type requester struct {
	caller policy.Caller
	// depth is the number of nested calls that led to this request, including the
	// request itself if it is a nested call. It is 0 for any other request.
	depth int
	// nested is set when the request has a call token.
	nested bool
	// remaining is the time left until the deadline in the call token. It is valid
	// only when nested is set.
	remaining time.Duration
}

// requesterOf identifies the caller on whose behalf a request is made. If the request
// has a call token, this is the caller named in the token. Otherwise it is the caller
// that the request's credentials identify. requesterOf returns ReasonNone, or the
// reason for which the request must be refused.
func (e *Entry) requesterOf(set *policy.Set, r *http.Request) (requester, outcome.Reason) {
	tokens := r.Header[wire.HeaderCallToken]
	if len(tokens) == 0 {
		caller, ok := identity.AuthenticateCaller(set, r)
		if !ok {
			return requester{}, outcome.ReasonUnauthenticated
		}
		return requester{caller: caller}, outcome.ReasonNone
	}
	token, err := e.opts.Tokens.Verify(tokens[0])
	if err != nil || len(tokens) > 1 {
		return requester{}, outcome.ReasonUnauthenticated
	}
	result := requester{depth: token.Depth, nested: true, remaining: token.Remaining(time.Now())}
	var known bool
	result.caller, known = set.CallerByName(token.Caller)
	switch {
	case !known && token.Caller != "":
		return requester{}, outcome.ReasonForbidden
	case token.Depth >= calltoken.MaxDepth:
		return requester{}, outcome.ReasonDepth
	case result.remaining <= 0:
		return requester{}, outcome.ReasonDeadline
	}
	return result, outcome.ReasonNone
}

// capTimeout caps the timeout of a nested call at the time that is left until the
// deadline in its call token. It returns any other timeout unchanged.
func (r requester) capTimeout(timeout time.Duration) time.Duration {
	if r.nested {
		return min(timeout, r.remaining)
	}
	return timeout
}
