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

// origin tells on whose behalf a request is made.
type requester struct {
	caller policy.Caller
	// depth is the number of calls above this one.
	depth int
	// nested is set when a call token came with the request; left is then the
	// most time that it may take.
	nested    bool
	remaining time.Duration
}

// originOf finds out who caused a request: the caller named by its call token,
// if it has one, else the caller that its credentials name.
func (e *Entry) requesterOf(set *policy.Set, r *http.Request) (requester, outcome.Reason) {
	tokens := r.Header[wire.HeaderCallToken]
	if len(tokens) == 0 {
		caller, ok := identity.Caller(set, r)
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

// timeout caps the time that a request asks for by what its cause has left.
func (r requester) capTimeout(requested time.Duration) time.Duration {
	if r.nested {
		return min(requested, r.remaining)
	}
	return requested
}
