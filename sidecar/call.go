package sidecar

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/bodylimit"
	"github.com/dottereltiller/dottereltiller/core/account"
	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/core/slots"
)

// Call is one attempt of a request as an entry sends it to the guard of the chosen
// upstream.
type Call struct {
	// ID is the caller's id of the request.
	ID string
	// AttemptIndex numbers the attempts of the request from 0. ID and AttemptIndex together
	// identify the attempt.
	AttemptIndex int
	// Method, Target, Host, Header and Body are those of the caller's request. Target is the URI
	// in its request line.
	Method string
	Target string
	Host   string
	// Header is shared by all attempts of the request and must not be modified.
	Header http.Header
	Body   []byte

	// Service is the service of the chosen upstream.
	Service model.ServiceName
	// Caller is the service of the upstream on the VM of the sender.
	Caller model.ServiceName
	// Upstream is the incarnation of the chosen upstream.
	Upstream lifecycle.Incarnation
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Rank is the rank of the request in the queue of the guard, see route.Table.RankOf; 0 starts first.
	Rank int
	// Kind identifies the route of the request in the queue of the guard.
	Kind slots.Kind
	// ServiceTime is how long requests of the route usually run in an upstream with slowdown 1,
	// that is one that is as fast as usual. An upstream with slowdown 2 takes twice as long.
	ServiceTime time.Duration
	// TimeToTarget is the time left until the target latency of the route, zero if the route has
	// none.
	TimeToTarget time.Duration
	// Deadline is the time left until the request times out.
	Deadline time.Duration
	// Alternative is the expected time until the request would end at the best other upstream.
	// The guard rejects the call if it expects a much later end here. If Alternative is zero,
	// the guard makes no such comparison, for example because there is no other upstream.
	Alternative time.Duration
	// RateLimit is the limit that the upstream has stated in responses that the entry has forwarded.
	RateLimit RateLimit
	// Account is the client account of the request, empty if it has none.
	Account account.Name
	// Credential identifies the key that the caller sent. It is zero if Account is empty.
	Credential account.Credential
	// AccountVersion is the version of the configuration by which the entry found the account.
	AccountVersion model.Version
	// Responses accounts for the memory of the response. It is not sent between daemons.
	Responses *bodylimit.Holder
}

// kindOf returns the kind of a route's requests. The kind depends only on the name of the route,
// so it is the same on all daemons. Routes whose names have the same hash share a kind.
func kindOf(r *route.Route) slots.Kind { return slots.Kind(xxhash.Sum64String(r.Name)) }

// Key returns the string that identifies the attempt.
func (c *Call) Key() string { return c.ID + "/" + strconv.Itoa(c.AttemptIndex) }

// Result is the result of a Call.
type Result struct {
	Outcome outcome.Outcome
	// Status, Header and Body are the complete response of the upstream if Outcome is
	// Answered.
	Status int
	Header http.Header
	Body   []byte
	// Load is the load of the upstream as its guard sees it, nil if unknown.
	Load *placement.Load
	// ServiceTime is how long the request would have run if the upstream had been as fast as
	// usual, that is with slowdown 1.
	ServiceTime time.Duration
	// CallsPerRun is the recent average number of requests to other services that the
	// upstream sends while it serves one request.
	CallsPerRun float64
	// Delivered reports whether the upstream may have received the request, even if it
	// refused to run it.
	Delivered bool
	// Version is the version of the configuration in force at the guard.
	Version model.Version
	// PeerError is set if the connection to the daemon of the guard was lost. It is not sent between
	// daemons.
	PeerError error
}

func notRunResult(r outcome.Reason) *Result {
	return &Result{Outcome: outcome.NotRunBecause(r), Header: http.Header{}}
}

// unknownResult returns the result of an attempt that may have run.
func unknownResult(r outcome.Reason) *Result {
	return &Result{Outcome: outcome.UnknownBecause(r), Header: http.Header{}, Delivered: true}
}

// callHeader carries the encoded fields of a call or a result between daemons. To save
// cross-zone traffic, the name is short and all fields share one header.
const callHeader = "Dt"

// rateLimitHeader carries Call.RateLimit between daemons, in requests per second. Calls without a limit
// omit it.
const rateLimitHeader = "Dt-Limit"

// callFieldCount is the number of fields of an encoded call.
const callFieldCount = 13

// encode returns the fields of the call that are not part of the HTTP request itself, separated
// by spaces.
func (c *Call) encode() string {
	return fmt.Sprintf("%s %d %s %s %s %d %t %d %d %d %d %d %d",
		c.ID, c.AttemptIndex, c.Service, c.Caller, c.Upstream.ID, c.Upstream.Born, c.Idempotent, c.Rank,
		c.ServiceTime.Microseconds(), c.TimeToTarget.Milliseconds(), c.Deadline.Milliseconds(), c.Alternative.Milliseconds(), c.Kind)
}

// FieldError reports a value received from another daemon that cannot be parsed.
type FieldError struct {
	Field string
	Value string
}

// Error returns the name of the field and the value.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: cannot parse %q", e.Field, e.Value) }

// decodeCall parses the output of Call.encode. It returns a *FieldError if the input is invalid.
func decodeCall(s string) (*Call, error) {
	fields := strings.Split(s, " ")
	if len(fields) != callFieldCount {
		return nil, &FieldError{Field: "call", Value: s}
	}
	ints, err := parseInts(fields[1], fields[5], fields[7], fields[8], fields[9], fields[10], fields[11], fields[12])
	if err != nil {
		return nil, err
	}
	idempotent, err := strconv.ParseBool(fields[6])
	if err != nil || fields[0] == "" || fields[2] == "" || fields[4] == "" {
		return nil, &FieldError{Field: "call", Value: s}
	}
	return &Call{
		ID:           fields[0],
		AttemptIndex: int(ints[0]),
		Service:      model.ServiceName(fields[2]),
		Caller:       model.ServiceName(fields[3]),
		Upstream:     lifecycle.Incarnation{ID: model.UpstreamID(fields[4]), Born: ints[1]},
		Idempotent:   idempotent,
		Rank:         int(ints[2]),
		Kind:         slots.Kind(ints[7]),
		ServiceTime:  time.Duration(ints[3]) * time.Microsecond,
		TimeToTarget: time.Duration(ints[4]) * time.Millisecond,
		Deadline:     time.Duration(ints[5]) * time.Millisecond,
		Alternative:  time.Duration(ints[6]) * time.Millisecond,
	}, nil
}

// encode returns the limit in requests per second.
func (l RateLimit) encode() string { return strconv.FormatFloat(l.PerSecond, 'g', -1, 64) }

// decodeRateLimit parses the output of RateLimit.encode. An empty string means that there is no limit. It
// returns a *FieldError if the input is invalid.
func decodeRateLimit(s string) (RateLimit, error) {
	if s == "" {
		return RateLimit{}, nil
	}
	perSecond, err := strconv.ParseFloat(s, 64)
	if err != nil || !(perSecond >= 0) {
		return RateLimit{}, &FieldError{Field: "rate limit", Value: s}
	}
	return RateLimit{Limited: true, PerSecond: perSecond}, nil
}

// accountHeader carries the account of a call between daemons: its name, the credential and the version
// of the configuration at the entry. Calls without an account omit it.
const accountHeader = "Dt-Account"

// accountFieldCount is the number of fields of an encoded account.
const accountFieldCount = 3

// encodeAccount returns the account of the call for accountHeader.
func (c *Call) encodeAccount() string {
	return fmt.Sprintf("%s %x %d", url.QueryEscape(string(c.Account)), uint64(c.Credential), c.AccountVersion)
}

// decodeAccount parses the output of encodeAccount into the call. An empty string means that the call
// has no account. decodeAccount returns a *FieldError if the input is invalid.
func (c *Call) decodeAccount(s string) error {
	if s == "" {
		return nil
	}
	fields := strings.Split(s, " ")
	if len(fields) != accountFieldCount {
		return &FieldError{Field: "account", Value: s}
	}
	name, nameErr := url.QueryUnescape(fields[0])
	credential, credentialErr := strconv.ParseUint(fields[1], 16, 64)
	version, versionErr := strconv.ParseUint(fields[2], 10, 64)
	if nameErr != nil || credentialErr != nil || versionErr != nil || name == "" {
		return &FieldError{Field: "account", Value: s}
	}
	c.Account, c.Credential, c.AccountVersion = account.Name(name), account.Credential(credential), model.Version(version)
	return nil
}

// resultFieldCount is the number of fields of an encoded result. A field for Load.StartDelay in
// milliseconds follows if that is not zero.
const resultFieldCount = 11

// encode returns the fields of the result that are not part of the HTTP response itself,
// separated by spaces.
func (r *Result) encode() string {
	load := placement.Load{}
	if r.Load != nil {
		load = *r.Load
	}
	reason := string(r.Outcome.Reason)
	if reason == "" {
		reason = "-"
	}
	encoded := fmt.Sprintf("%s %s %t %d %d %d %d %d %d %d %d/%d",
		r.Outcome.Kind, reason, r.Delivered, load.Running, load.Waiting, load.Limit,
		int(load.Slowdown*ratioScale), load.SlowdownAge.Milliseconds(), int(load.FailureRate*ratioScale), int(r.CallsPerRun*ratioScale), r.ServiceTime.Microseconds(), r.Version)
	if load.StartDelay > 0 {
		encoded += " " + strconv.FormatInt(load.StartDelay.Milliseconds(), 10)
	}
	return encoded
}

// ratioScale is the factor by which slowdowns, failure rates and calls per run are multiplied
// before they are encoded as integers.
const ratioScale = 100

// decodeResult parses the output of Result.encode. It returns a *FieldError if the input is
// invalid.
func decodeResult(s string) (*Result, error) {
	fields := strings.Split(s, " ")
	startDelay := "0"
	if len(fields) == resultFieldCount+1 {
		startDelay = fields[resultFieldCount]
		fields = fields[:resultFieldCount]
	}
	if len(fields) != resultFieldCount {
		return nil, &FieldError{Field: "answer", Value: s}
	}
	kind, ok := outcome.ParseKind(fields[0])
	delivered, err := strconv.ParseBool(fields[2])
	serviceTime, version, found := strings.Cut(fields[10], "/")
	if !ok || err != nil || !found {
		return nil, &FieldError{Field: "answer", Value: s}
	}
	ints, err := parseInts(fields[3], fields[4], fields[5], fields[6], fields[7], fields[8], serviceTime, version, fields[9], startDelay)
	if err != nil {
		return nil, err
	}
	result := &Result{
		Outcome:     outcome.Outcome{Kind: kind},
		Delivered:   delivered,
		ServiceTime: time.Duration(ints[6]) * time.Microsecond,
		Version:     model.Version(ints[7]),
		CallsPerRun: float64(ints[8]) / ratioScale,
	}
	if fields[1] != "-" {
		result.Outcome.Reason = outcome.Reason(fields[1])
	}
	if ints[2] > 0 {
		result.Load = &placement.Load{
			Running: int(ints[0]), Waiting: int(ints[1]), Limit: int(ints[2]),
			Slowdown: float64(ints[3]) / ratioScale, SlowdownAge: time.Duration(ints[4]) * time.Millisecond,
			FailureRate: float64(ints[5]) / ratioScale, StartDelay: time.Duration(ints[9]) * time.Millisecond,
		}
	}
	return result, nil
}

// parseInts parses decimal integers. It returns a *FieldError if a field is not an integer.
func parseInts(fields ...string) ([]int64, error) {
	numbers := make([]int64, len(fields))
	for i, f := range fields {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return nil, &FieldError{Field: "number", Value: f}
		}
		numbers[i] = n
	}
	return numbers, nil
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", callHeader, rateLimitHeader, accountHeader,
}

// endToEndHeaders returns a copy of h without hop-by-hop headers. These include the headers that
// are named in the Connection header.
func endToEndHeaders(h http.Header) http.Header {
	endToEnd := h.Clone()
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			endToEnd.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		endToEnd.Del(name)
	}
	return endToEnd
}
