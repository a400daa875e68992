package sidecar

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/core/slots"
)

// Call is one attempt on its way from an entry to a guard.
type Call struct {
	// ID is the caller's, Send counts the attempts made of it, from 0. Together
	// they name this attempt.
	ID           string
	AttemptIndex int
	// Method, Target, Host, Header and Body are the caller's request. Whoever is
	// handed the Call may not change Header.
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte

	Service    model.ServiceName
	Caller     model.ServiceName
	Upstream   lifecycle.Incarnation
	Idempotent bool
	Rank       int
	// Kind is that of the route.
	Kind slots.Kind
	// Work is how long such requests usually run where nothing slows them.
	ServiceTime time.Duration
	// Within is the time left to the target latency, zero where there is none;
	// Deadline is the time left in all.
	TimeToTarget time.Duration
	Deadline     time.Duration
	// Alternative is when the request would end elsewhere. The guard gives it
	// back if it would end much later here. Zero: there is no alternative.
	Alternative time.Duration
}

// kindOf returns the kind of the requests of a route, the same at all daemons. Routes
// whose names fall on the same number share a part.
func kindOf(r *route.Route) slots.Kind { return slots.Kind(xxhash.Sum64String(r.Name)) }

// Key names the attempt.
func (c *Call) Key() string { return c.ID + "/" + strconv.Itoa(c.AttemptIndex) }

// Answer is what came of a Call.
type Answer struct {
	Outcome outcome.Outcome
	// Status, Header and Body are the upstream's whole response when Outcome is
	// Answered.
	Status int
	Header http.Header
	Body   []byte
	// Load is the guard's; nil when it is not known.
	Load *placement.Load
	// Work is how long the upstream would have taken where nothing slows it.
	ServiceTime time.Duration
	// CallsPerRun is how many calls to other services a run there makes of late.
	CallsPerRun float64
	// Arrived tells that the upstream may have got the request, if only to
	// refuse it.
	Arrived bool
	// Version is the configuration in force at the guard.
	Version model.Version
}

func notRun(r outcome.Reason) *Answer {
	return &Answer{Outcome: outcome.NotRunBecause(r), Header: http.Header{}}
}

func unknown(r outcome.Reason) *Answer {
	return &Answer{Outcome: outcome.UnknownBecause(r), Header: http.Header{}, Arrived: true}
}

// callHeader carries a call's or an answer's fields between daemons. One short
// header keeps the bytes between zones few.
const callHeader = "Dt"

// callFields is the number of fields of an encoded call.
const callFieldCount = 13

// encode returns the fields that an HTTP request does not hold by itself.
func (c *Call) encode() string {
	return fmt.Sprintf("%s %d %s %s %s %d %t %d %d %d %d %d %d",
		c.ID, c.AttemptIndex, c.Service, c.Caller, c.Upstream.ID, c.Upstream.Born, c.Idempotent, c.Rank,
		c.ServiceTime.Microseconds(), c.TimeToTarget.Milliseconds(), c.Deadline.Milliseconds(), c.Alternative.Milliseconds(), c.Kind)
}

// FieldError is a field between daemons that cannot be read.
type FieldError struct {
	Field string
	Value string
}

// Error names the field and its value.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: cannot read %q", e.Field, e.Value) }

// decodeCall reads what encode wrote.
func decodeCall(s string) (*Call, error) {
	f := strings.Split(s, " ")
	if len(f) != callFieldCount {
		return nil, &FieldError{Field: "call", Value: s}
	}
	n, err := numbers(f[1], f[5], f[7], f[8], f[9], f[10], f[11], f[12])
	if err != nil {
		return nil, err
	}
	idempotent, err := strconv.ParseBool(f[6])
	if err != nil || f[0] == "" || f[2] == "" || f[4] == "" {
		return nil, &FieldError{Field: "call", Value: s}
	}
	return &Call{
		ID:           f[0],
		AttemptIndex: int(n[0]),
		Service:      model.ServiceName(f[2]),
		Caller:       model.ServiceName(f[3]),
		Upstream:     lifecycle.Incarnation{ID: model.UpstreamID(f[4]), Born: n[1]},
		Idempotent:   idempotent,
		Rank:         int(n[2]),
		Kind:         slots.Kind(n[7]),
		ServiceTime:  time.Duration(n[3]) * time.Microsecond,
		TimeToTarget: time.Duration(n[4]) * time.Millisecond,
		Deadline:     time.Duration(n[5]) * time.Millisecond,
		Alternative:  time.Duration(n[6]) * time.Millisecond,
	}, nil
}

// answerFields is the number of fields of an encoded answer.
const resultFieldCount = 11

// encode returns the fields of an answer that a response does not hold by
// itself.
func (a *Answer) encode() string {
	l := placement.Load{}
	if a.Load != nil {
		l = *a.Load
	}
	reason := string(a.Outcome.Reason)
	if reason == "" {
		reason = "-"
	}
	return fmt.Sprintf("%s %s %t %d %d %d %d %d %d %d %d/%d",
		a.Outcome.Kind, reason, a.Arrived, l.Running, l.Waiting, l.Limit,
		int(l.Slow*ratioScale), l.SlowAge.Milliseconds(), int(l.Failing*ratioScale), int(a.CallsPerRun*ratioScale), a.ServiceTime.Microseconds(), a.Version)
}

// hundred turns shares and ratios into whole hundredths.
const ratioScale = 100

// decodeAnswer reads what encode wrote.
func decodeAnswer(s string) (*Answer, error) {
	f := strings.Split(s, " ")
	if len(f) != resultFieldCount {
		return nil, &FieldError{Field: "answer", Value: s}
	}
	kind, ok := outcome.ParseKind(f[0])
	arrived, err := strconv.ParseBool(f[2])
	work, version, cut := strings.Cut(f[10], "/")
	if !ok || err != nil || !cut {
		return nil, &FieldError{Field: "answer", Value: s}
	}
	n, err := numbers(f[3], f[4], f[5], f[6], f[7], f[8], work, version, f[9])
	if err != nil {
		return nil, err
	}
	a := &Answer{
		Outcome:     outcome.Outcome{Kind: kind},
		Arrived:     arrived,
		ServiceTime: time.Duration(n[6]) * time.Microsecond,
		Version:     model.Version(n[7]),
		CallsPerRun: float64(n[8]) / ratioScale,
	}
	if f[1] != "-" {
		a.Outcome.Reason = outcome.Reason(f[1])
	}
	if n[2] > 0 {
		a.Load = &placement.Load{
			Running: int(n[0]), Waiting: int(n[1]), Limit: int(n[2]),
			Slow: float64(n[3]) / ratioScale, SlowAge: time.Duration(n[4]) * time.Millisecond,
			Failing: float64(n[5]) / ratioScale,
		}
	}
	return a, nil
}

func numbers(fields ...string) ([]int64, error) {
	out := make([]int64, len(fields))
	for i, f := range fields {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return nil, &FieldError{Field: "number", Value: f}
		}
		out[i] = n
	}
	return out, nil
}

// hopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", callHeader,
}

// endToEnd returns a copy of the headers without those that concern one
// connection only.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
